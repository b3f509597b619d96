"""HTTP/1.1 client connection to a backend server or the store."""

import asyncio
import re
from typing import Final, Protocol, cast

import httptools
from absl import logging

from heathermount.framing import MAX_BODY_BYTES
from heathermount.gateway.http_server import HOP_BY_HOP_HEADERS, find_header
from heathermount.values import Headers

__all__ = [
    "MAX_RESPONSE_BYTES",
    "MAX_RESPONSE_HEAD_BYTES",
    "ConnectionOwner",
    "ResponseIncomplete",
    "ServerConnection",
    "ServerResponse",
]

# Idle connections are reused until the server's keep-alive timeout less this margin.
KEEP_ALIVE_MARGIN_S: Final = 1.0

KEEP_ALIVE_TIMEOUT_PATTERN: Final = re.compile(rb"timeout=(\d+)")

# Servers' response heads have a few hundred bytes. Informational responses before
# the final one count as well.
MAX_RESPONSE_HEAD_BYTES: Final = 64 * 1024

# A response must fit into one frame between nodes.
MAX_RESPONSE_BYTES: Final = MAX_BODY_BYTES

# Late responses to earlier requests that may precede the expected one.
MAX_FOREIGN_RESPONSES: Final = 4

# Processor time that a response may cost, in bytes that cost as much in long reads.
# Each read and each part of a body counts at least as the given number of bytes, so
# that bytes in tiny pieces do not cost a multiple.
MAX_RESPONSE_COST: Final = MAX_RESPONSE_BYTES
MIN_READ_COST: Final = 1024
MIN_BODY_PART_COST: Final = 160

# Responses with lower statuses are informational; the final response follows.
FIRST_FINAL_STATUS: Final = 200

BODILESS_STATUSES: Final = frozenset({204, 304})


class ResponseIncomplete(Exception):
    """The request was sent, but no complete response was received.

    `response_started` is false if the server may have crashed before responding.
    """

    def __init__(self, cause: str, response_started: bool) -> None:
        super().__init__(cause)
        self.response_started = response_started


class ServerResponse:
    """A complete response of the backend server; header names are in lower case."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    # Header in which the server echoes the request ID.
    id_header: bytes

    def connection_closed(self, connection: "ServerConnection") -> None:
        """Handle that a connection has ended."""

    def count_buffered(self, count: int) -> None:
        """Count buffered bytes of incomplete responses, negative when released."""


class ServerConnection(asyncio.Protocol):
    """A connection in a pool, for one request at a time."""

    __slots__ = (
        "_body",
        "_close_after_response",
        "_closed",
        "_content_length",
        "_cost",
        "_expected_id",
        "_foreign_responses",
        "_future",
        "_headers",
        "_id_header",
        "_is_head_request",
        "_loop",
        "_parser",
        "_pool",
        "_response_started",
        "_trailer_bytes",
        "expires_at",
        "received_bytes",
        "transport",
    )

    def __init__(self, pool: ConnectionOwner) -> None:
        self._pool = pool
        self._id_header = pool.id_header
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._future: asyncio.Future[ServerResponse] | None = None
        self._expected_id = b""
        self._is_head_request = False
        self._close_after_response = False
        self._closed = False
        self._response_started = False
        self._content_length = -1
        self._trailer_bytes = 0
        # Cost of the current response so far, see MAX_RESPONSE_COST.
        self._cost = 0
        # Responses to other requests since the current request was sent.
        self._foreign_responses = 0
        self._headers: Headers = []
        self._body: bytes | bytearray = b""
        self.expires_at = 0.0
        # Bytes received for the current request.
        self.received_bytes = 0
        self.transport: asyncio.Transport | None = None

    @property
    def reusable(self) -> bool:
        return not self._close_after_response and not self._closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self._fail(f"the server closed the connection: {exc!r}")
        self._pool.connection_closed(self)

    def eof_received(self) -> bool:
        # A response without a length ends when the connection closes.
        future = self._future
        if future is not None and self._response_started and self._content_length == -1:
            self._complete()
        return False

    def data_received(self, data: bytes) -> None:
        if self._future is None:
            # Unsolicited bytes.
            self.close()
            return
        self._count_received(len(data))
        self._count_cost(max(len(data), MIN_READ_COST))
        if self._closed:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the server sent an invalid response: {error!r}")
            self.close()
            return
        if not self._response_started and self.received_bytes > MAX_RESPONSE_HEAD_BYTES:
            self.abort_response(
                f"over {MAX_RESPONSE_HEAD_BYTES} bytes of response head"
            )

    def abort_response(self, cause: str) -> None:
        """Abort a response that must not be used and close the connection."""
        # The server is still sending, so it has not crashed.
        self._response_started = True
        self._fail(f"the server's response was aborted: {cause}")
        self.close()

    def _count_received(self, count: int) -> None:
        """Count received bytes; abort a response that is too long."""
        self.received_bytes += count
        self._pool.count_buffered(count)
        if self.received_bytes > MAX_RESPONSE_BYTES:
            self.abort_response(f"over {MAX_RESPONSE_BYTES} bytes")

    def _count_cost(self, cost: int) -> None:
        self._cost += cost
        if self._cost > MAX_RESPONSE_COST:
            self.abort_response("it came in too many small parts")

    def _discard_buffer(self) -> None:
        """Release the buffer of a complete or failed response."""
        self._pool.count_buffered(-self.received_bytes)
        self.received_bytes = 0
        self._body = b""

    def send(
        self, data: bytes, request_id: bytes, is_head: bool
    ) -> asyncio.Future[ServerResponse]:
        assert self.transport is not None
        self._future = self._loop.create_future()
        self._expected_id = request_id
        self._is_head_request = is_head
        self._response_started = False
        self._cost = 0
        self._foreign_responses = 0
        self.transport.write(data)
        return self._future

    def close(self) -> None:
        self._closed = True
        self._discard_buffer()
        if self.transport is not None:
            self.transport.abort()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        if self._closed:
            raise ConnectionAbortedError("the rest of the read is not parsed")
        if self._future is None:
            self._close_after_response = True
        self._headers = []
        self._body = b""
        self._content_length = -1
        self._response_started = False

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"content-length":
            self._content_length = int(value) if value.isdigit() else 0
        elif name == b"transfer-encoding":
            self._content_length = 0
        elif name == b"keep-alive":
            match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
            if match:
                idle_s = max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_S)
                self.expires_at = self._loop.time() + idle_s
        elif name == b"connection" and value.lower() == b"close":
            self._close_after_response = True
        if self._response_started:
            self._count_trailer(name, value)
        elif name not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def _count_trailer(self, name: bytes, value: bytes) -> None:
        """Count the bytes of a trailer; trailers are not forwarded."""
        self._trailer_bytes += len(name) + len(value) + 4
        if self._trailer_bytes > MAX_RESPONSE_HEAD_BYTES:
            self.abort_response(f"over {MAX_RESPONSE_HEAD_BYTES} bytes of trailers")

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        self._response_started = True
        self._trailer_bytes = 0
        if self._is_head_request:
            self._close_after_response = True
            self._complete()
        elif self._content_length > MAX_RESPONSE_BYTES:
            self.abort_response(f"{self._content_length} bytes in Content-Length")

    def on_body(self, body: bytes) -> None:
        if self._future is None:
            self._close_after_response = True
            if self._closed:
                raise ConnectionAbortedError("the rest of the read is not parsed")
            return
        self._count_cost(max(0, MIN_BODY_PART_COST - len(body)))
        if not self._body:
            self._body = body
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self._complete()

    def _complete(self) -> None:
        future = self._future
        if future is None:
            self._close_after_response = True
            return
        if self._expected_id:
            echoed = find_header(self._headers, self._id_header)
            if not echoed:
                # It may answer an earlier request, so that it proves nothing.
                self.abort_response("it names no request")
                return
            if echoed != self._expected_id:
                self._skip_foreign_response()
                return
        self._future = None
        body = bytes(self._body)
        self._discard_buffer()
        if self._content_length == -1:
            status = self._parser.get_status_code()
            self._close_after_response = (
                self._close_after_response or status not in BODILESS_STATUSES
            )
        if self.transport is not None and self.transport.get_write_buffer_size():
            # The server responded before it read the whole request.
            self._close_after_response = True
        if not self._parser.should_keep_alive():
            self._close_after_response = True
        if not future.done():
            future.set_result(
                ServerResponse(self._parser.get_status_code(), self._headers, body)
            )

    def _skip_foreign_response(self) -> None:
        """Skip a late response to an earlier request; the expected one follows."""
        logging.log_every_n_seconds(
            logging.INFO, "event=answer-mismatched request=%r", 1, self._expected_id
        )
        self._foreign_responses += 1
        if self._foreign_responses > MAX_FOREIGN_RESPONSES:
            self.abort_response(
                f"over {MAX_FOREIGN_RESPONSES} responses to other requests"
            )
            return
        self._close_after_response = True
        self._response_started = False
        self._discard_buffer()

    def _fail(self, cause: str) -> None:
        future, self._future = self._future, None
        self._discard_buffer()
        if future is not None and not future.done():
            future.set_exception(ResponseIncomplete(cause, self._response_started))
            future.exception()
