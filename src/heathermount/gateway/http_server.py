"""HTTP/1.1 listener of the gateway: one request at a time on each connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, cast

import httptools
import msgspec
from absl import logging

from heathermount.values import Headers

__all__ = [
    "HOP_HEADERS",
    "HttpConnection",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "find_header",
]

# Headers about one connection are not passed on.
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Pipelined requests kept per connection before reading pauses.
MAX_PIPELINED: Final = 16

# A connection whose last answer says "close" is closed this long after it if
# the client does not close it, in seconds. Closing at once could reset it and
# lose the answer.
LINGER_S: Final = 1.0

REASON_PHRASES: Final = {status.value: status.phrase.encode() for status in HTTPStatus}


class HttpLimits(msgspec.Struct, frozen=True):
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class HttpRequest:
    """One whole request; header names are in lower case."""

    __slots__ = ("body", "headers", "keep_alive", "method", "target")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        keep_alive: bool = True,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive


class HttpResponse:
    """One whole response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes = b"") -> None:
        self.status = status
        self.headers = headers
        self.body = body


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, or an empty string."""
    for key, value in headers:
        if key == name:
            return value
    return b""


class HttpConnection(asyncio.Protocol):
    """One connection of a client.

    Each request runs in a task of its own, which is cancelled when the client
    leaves.
    """

    __slots__ = (
        "_body",
        "_closing",
        "_handler",
        "_head_bytes",
        "_head_complete",
        "_headers",
        "_idle_since",
        "_limits",
        "_loop",
        "_open",
        "_parser",
        "_reading_since",
        "_received_at",
        "_refused",
        "_size",
        "_stopping",
        "_target",
        "_task",
        "_timer",
        "_transport",
        "_waiting",
    )

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], HttpLimits],
        connections: set["HttpConnection"],
        stopping: Callable[[], bool],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._open = connections
        self._stopping = stopping
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._waiting: deque[HttpRequest] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = self._loop.time()
        # Time of the first byte of an unfinished request, else 0.
        self._reading_since = 0.0
        self._received_at = 0.0
        self._head_complete = False
        # Bytes of an unfinished head after those that came with its start.
        self._head_bytes = 0
        self._closing = False
        self._refused = False
        self._target = b""
        # None between the end of a request and the start of the next one.
        self._headers: Headers | None = []
        self._body: list[bytes] = []
        self._size = 0

    @property
    def busy(self) -> bool:
        return self._task is not None or bool(self._waiting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._open.add(self)
        self._schedule_check()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._open.discard(self)
        self._waiting.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        # A client that stops sending has left: answers would go nowhere.
        return False

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        self._received_at = self._loop.time()
        head_continues = bool(self._reading_since) and not self._head_complete
        if not self._reading_since:
            self._reading_since = self._received_at
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._refused:
                logging.info('event=request-malformed error="%s"', error)
                self._refuse(HTTPStatus.BAD_REQUEST)
        if head_continues and not self._head_complete:
            self._count_head(len(data))

    def _count_head(self, count: int) -> None:
        """Refuse a head that goes on; the parser tells only what is complete."""
        self._head_bytes += count
        if self._head_bytes > self._limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its answers."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and len(self._waiting) < MAX_PIPELINED:
            self._transport.resume_reading()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers is not None:
            self._headers.append((name.lower(), value))
            self._size += len(name) + len(value) + 4
            if self._size > self._limits().max_header_bytes:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        self._head_complete = True
        if self._headers is None or self._transport is None:
            return
        if find_header(self._headers, b"expect").lower() == b"100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)
        self._size += len(body)
        if self._size > self._limits().max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        if self._refused or self._headers is None:
            return
        self._reading_since = 0.0
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._body[0] if len(self._body) == 1 else b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        self._headers = None
        if self._task is not None:
            self._waiting.append(request)
            if len(self._waiting) >= MAX_PIPELINED and self._transport is not None:
                self._transport.pause_reading()
            return
        self._start(request)

    def close_when_idle(self) -> None:
        """Close the connection now, or after the answer that is due."""
        self._closing = True
        if not self.busy and not self._reading_since and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, whatever is due on it."""
        if self._transport is not None:
            self._transport.abort()

    def _reset_message(self) -> None:
        self._target = b""
        self._head_complete = False
        self._head_bytes = 0
        self._headers = []
        self._body = []
        self._size = 0

    def _start(self, request: HttpRequest) -> None:
        self._task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        try:
            response = await self._handler(request)
        except asyncio.CancelledError:
            return
        except Exception:
            logging.exception("event=request-failed target=%r", request.target)
            response = HttpResponse(502, [])
        self._task = None
        if self._transport is None:
            return
        close = self._closing or not request.keep_alive or self._stopping()
        self._write(response, close, request.method == b"HEAD")
        self._idle_since = self._loop.time()
        if close:
            self._refused = True
            self._loop.call_later(LINGER_S, self._close)
        elif self._waiting:
            self._start(self._waiting.popleft())
            self._transport.resume_reading()

    def _write(self, response: HttpResponse, close: bool, head: bool) -> None:
        assert self._transport is not None
        phrase = REASON_PHRASES.get(response.status, b"Unknown")
        parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, phrase)]
        parts += [b"%b: %b\r\n" % header for header in response.headers]
        if close:
            parts.append(b"connection: close\r\n")
        parts.append(b"content-length: %d\r\n\r\n" % len(response.body))
        if not head:
            parts.append(response.body)
        self._transport.write(b"".join(parts))

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer what cannot be read and close the connection."""
        if self._refused:
            return
        self._refused = True
        if self._transport is None:
            return
        if self._task is None:
            self._write(HttpResponse(status, []), close=True, head=False)
        self._loop.call_later(LINGER_S, self._close)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _schedule_check(self) -> None:
        limits = self._limits()
        self._timer = self._loop.call_later(
            min(limits.header_timeout_s, limits.idle_timeout_s) / 2, self._check_time
        )

    def _check_time(self) -> None:
        """Close connections that are idle or slow for too long."""
        limits = self._limits()
        now = self._loop.time()
        if self._transport is None:
            return
        if self._reading_since:
            # A body may take long as long as some of it arrives.
            late_s = now - self._reading_since - limits.header_timeout_s
            if self._head_complete:
                late_s = now - self._received_at - limits.idle_timeout_s
            if late_s > 0.0:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
                return
        elif not self.busy and now - self._idle_since > limits.idle_timeout_s:
            self._transport.close()
            return
        self._schedule_check()
