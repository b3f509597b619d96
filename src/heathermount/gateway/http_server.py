"""HTTP/1.1 server of the gateway; requests of a connection run one at a time."""

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
    "HOP_BY_HOP_HEADERS",
    "HttpConnection",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "find_header",
]

# Headers that concern a single connection and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Pipelined requests queued per connection before reading pauses.
MAX_PIPELINED_REQUESTS: Final = 16

# Headers that determine how a body is framed.
FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})

# Time that the client has to close a connection after a response with "close".
# Closing it immediately could reset it and lose the response.
LINGERING_CLOSE_S: Final = 1.0

REASON_PHRASES: Final = {status.value: status.phrase.encode() for status in HTTPStatus}


class HttpLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts of client connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class HttpRequest:
    """A complete request; header names are in lower case."""

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
    """A complete response."""

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
    """Server side of a client connection.

    Each request runs in its own task, which is cancelled when the client
    disconnects.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_close_after_response",
        "_connections",
        "_get_limits",
        "_handler",
        "_head_bytes",
        "_head_complete",
        "_header_bytes",
        "_headers",
        "_idle_since",
        "_ignoring_input",
        "_is_stopping",
        "_last_received_at",
        "_loop",
        "_parser",
        "_pipelined",
        "_replaying_head",
        "_request_started_at",
        "_suspended_request",
        "_target",
        "_task",
        "_timeout_check",
        "_transport",
    )

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], HttpLimits],
        connections: set["HttpConnection"],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._connections = connections
        self._is_stopping = is_stopping
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._pipelined: deque[HttpRequest] = deque()
        self._timeout_check: asyncio.TimerHandle | None = None
        self._idle_since = self._loop.time()
        # Time of the first byte of an incomplete request, else 0.
        self._request_started_at = 0.0
        self._last_received_at = 0.0
        self._head_complete = False
        # Bytes of an incomplete head, without those of its first read.
        self._head_bytes = 0
        self._close_after_response = False
        self._ignoring_input = False
        self._target = b""
        # None between two requests.
        self._headers: Headers | None = []
        self._body: bytes | bytearray = b""
        # Bytes of the headers and trailers, and of the body, of the current request.
        self._header_bytes = 0
        self._body_bytes = 0
        # Request with an offer to upgrade, until its body is complete.
        self._suspended_request: HttpRequest | None = None
        # Whether the parser is being told how the body of that request is framed.
        self._replaying_head = False

    @property
    def busy(self) -> bool:
        return self._task is not None or bool(self._pipelined)

    @property
    def has_unsent_response(self) -> bool:
        """Whether the client has not read a response that is ready."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._schedule_timeout_check()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._connections.discard(self)
        self._pipelined.clear()
        if self._timeout_check is not None:
            self._timeout_check.cancel()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        # A half-closed connection counts as disconnected.
        return False

    def data_received(self, data: bytes) -> None:
        if self._ignoring_input:
            return
        self._last_received_at = self._loop.time()
        head_continues = bool(self._request_started_at) and not self._head_complete
        if not self._request_started_at:
            self._request_started_at = self._last_received_at
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            if not self._ignoring_input:
                logging.log_every_n_seconds(
                    logging.INFO, 'event=request-malformed error="%s"', 1, error
                )
                self._reject(HTTPStatus.BAD_REQUEST)
        if head_continues and not self._head_complete:
            self._count_head_bytes(len(data))

    def _feed_parser(self, data: bytes) -> None:
        """Parse data; offers to upgrade the protocol are ignored (RFC 9110, 7.8).

        The parser stops after each head with such an offer.
        """
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                if self._suspended_request is not None:
                    self._restart_parser(self._suspended_request.headers)

    def _restart_parser(self, headers: Headers) -> None:
        """Make the parser read the body of a request whose head it has read.

        It takes what follows an offer to upgrade for another protocol.
        """
        self._parser = httptools.HttpRequestParser(self)
        framing = [b"%b: %b\r\n" % one for one in headers if one[0] in FRAMING_HEADERS]
        self._replaying_head = True
        self._parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n" % b"".join(framing))
        self._replaying_head = False

    def _count_head_bytes(self, count: int) -> None:
        """Limit an incomplete head, of which the parser reports only whole lines."""
        self._head_bytes += count
        if self._head_bytes > self._get_limits().max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its responses."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if (
            self._transport is not None
            and len(self._pipelined) < MAX_PIPELINED_REQUESTS
        ):
            self._transport.resume_reading()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        if not self._replaying_head:
            self._reset_message()

    def on_url(self, url: bytes) -> None:
        if not self._replaying_head:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers is None or self._replaying_head:
            return
        if not self._head_complete:
            # Trailers are dropped: they must not be taken for headers.
            self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self._get_limits().max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        self._head_complete = True
        if self._headers is None or self._transport is None or self._replaying_head:
            return
        if find_header(self._headers, b"expect").lower() == b"100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if not self._body:
            self._body = body
        else:
            # Each part as an object of its own would take many times its bytes.
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body
        self._body_bytes += len(body)
        if self._body_bytes > self._get_limits().max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        if self._ignoring_input or self._headers is None:
            return
        request = self._take_request()
        if request is None:
            return
        self._request_started_at = 0.0
        self._headers = None
        if self._task is not None:
            self._pipelined.append(request)
            if (
                len(self._pipelined) >= MAX_PIPELINED_REQUESTS
                and self._transport is not None
            ):
                self._transport.pause_reading()
            return
        self._start_request(request)

    def _take_request(self) -> HttpRequest | None:
        """Return the complete request; None if its body is still to be read."""
        request, self._suspended_request = self._suspended_request, None
        if request is not None:
            request.body = bytes(self._body)
            return request
        assert self._headers is not None
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
        )
        if not self._parser.should_upgrade():
            return request
        if request.method == b"CONNECT":
            self._reject(HTTPStatus.BAD_REQUEST)
            return None
        if any(name in FRAMING_HEADERS for name, _ in request.headers):
            self._suspended_request = request
            return None
        return request

    def close_when_idle(self) -> None:
        """Close the connection now, or after the pending response."""
        self._close_after_response = True
        if (
            not self.busy
            and not self._request_started_at
            and self._transport is not None
        ):
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately, even with a pending response."""
        if self._transport is not None:
            self._transport.abort()

    def _reset_message(self) -> None:
        self._target = b""
        self._head_complete = False
        self._head_bytes = 0
        self._headers = []
        self._body = b""
        self._header_bytes = 0
        self._body_bytes = 0

    def _start_request(self, request: HttpRequest) -> None:
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
        close = (
            self._close_after_response or not request.keep_alive or self._is_stopping()
        )
        self._write_response(response, close, request.method == b"HEAD")
        self._idle_since = self._loop.time()
        if close:
            self._ignoring_input = True
            self._loop.call_later(LINGERING_CLOSE_S, self._close)
        elif self._pipelined:
            self._start_request(self._pipelined.popleft())
            self._transport.resume_reading()

    def _write_response(
        self, response: HttpResponse, close: bool, is_head: bool
    ) -> None:
        assert self._transport is not None
        phrase = REASON_PHRASES.get(response.status, b"Unknown")
        parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, phrase)]
        parts += [b"%b: %b\r\n" % header for header in response.headers]
        if close:
            parts.append(b"connection: close\r\n")
        parts.append(b"content-length: %d\r\n\r\n" % len(response.body))
        if not is_head:
            parts.append(response.body)
        self._transport.write(b"".join(parts))

    def _reject(self, status: HTTPStatus) -> None:
        """Reject invalid or late input and close the connection."""
        if self._ignoring_input:
            return
        self._ignoring_input = True
        if self._transport is None:
            return
        if self._task is None:
            self._write_response(HttpResponse(status, []), close=True, is_head=False)
        self._loop.call_later(LINGERING_CLOSE_S, self._close)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _schedule_timeout_check(self) -> None:
        limits = self._get_limits()
        self._timeout_check = self._loop.call_later(
            min(limits.header_timeout_s, limits.idle_timeout_s) / 2,
            self._check_timeouts,
        )

    def _check_timeouts(self) -> None:
        """Close the connection if it exceeds the idle or header timeout."""
        limits = self._get_limits()
        now = self._loop.time()
        if self._transport is None:
            return
        if self._request_started_at:
            # The body has no overall timeout, only one between its parts.
            late_s = now - self._request_started_at - limits.header_timeout_s
            if self._head_complete:
                late_s = now - self._last_received_at - limits.idle_timeout_s
            if late_s > 0.0:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
                return
        elif not self.busy and now - self._idle_since > limits.idle_timeout_s:
            self._transport.close()
            return
        self._schedule_timeout_check()
