"""HTTP/1.1 client and connection pool for a backend server or the store."""

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import Final, cast

import httptools
from absl import logging

from heathermount.framing import MAX_BODY_BYTES
from heathermount.gateway.http_server import HOP_BY_HOP_HEADERS, find_header
from heathermount.values import Headers

__all__ = [
    "ServerResponse",
    "ResponseIncomplete",
    "ServerConnectionPool",
    "ServerUnreachable",
]

CONNECT_TIMEOUT_S: Final = 1.0

# Idle connections are reused until the server's keep-alive timeout less the margin,
# or for the default time if the server states none.
DEFAULT_KEEP_ALIVE_S: Final = 2.0
KEEP_ALIVE_MARGIN_S: Final = 1.0

# Longest wait for a connection when all of the pool are in use.
ACQUIRE_TIMEOUT_S: Final = 1.0

KEEP_ALIVE_TIMEOUT_PATTERN: Final = re.compile(rb"timeout=(\d+)")

# Servers' response heads have a few hundred bytes. Informational responses before
# the final one count as well.
MAX_RESPONSE_HEAD_BYTES: Final = 64 * 1024

# A response must fit into one frame between nodes.
MAX_RESPONSE_BYTES: Final = MAX_BODY_BYTES

# Bytes of incomplete responses that a pool buffers at most: a quarter of the memory
# for a node on the smallest instances. The longest response is aborted first.
MAX_BUFFERED_BYTES: Final = 64 * 1024 * 1024

# Responses with lower statuses are informational; the final response follows.
FIRST_FINAL_STATUS: Final = 200

BODILESS_STATUSES: Final = frozenset({204, 304})


class ServerUnreachable(Exception):
    """There is no connection to the backend server; the request was not sent."""


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


class ServerConnection(asyncio.Protocol):
    """A connection in the pool, for one request at a time."""

    __slots__ = (
        "_body",
        "_close_after_response",
        "_closed",
        "_content_length",
        "_expected_id",
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

    def __init__(self, pool: "ServerConnectionPool") -> None:
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
        self.transport.write(data)
        return self._future

    def close(self) -> None:
        self._closed = True
        self._discard_buffer()
        if self.transport is not None:
            self.transport.abort()

    # Parser callbacks.

    def on_message_begin(self) -> None:
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
            return
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
                # A late response to an earlier request; the expected one follows.
                logging.info("event=answer-mismatched request=%r", self._expected_id)
                self._close_after_response = True
                self._response_started = False
                self._discard_buffer()
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

    def _fail(self, cause: str) -> None:
        future, self._future = self._future, None
        self._discard_buffer()
        if future is not None and not future.done():
            future.set_exception(ResponseIncomplete(cause, self._response_started))
            future.exception()


class ServerConnectionPool:
    """Keep-alive connections to one backend server, up to its connection limit."""

    __slots__ = (
        "_buffered_bytes",
        "_connecting",
        "_connections",
        "_host",
        "_idle",
        "_loop",
        "_port",
        "_waiters",
        "address",
        "id_header",
        "max_connections",
        "opened",
    )

    def __init__(self, address: str, id_header: bytes, max_connections: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        # Header in which the server echoes the request ID.
        self.id_header = id_header
        self.max_connections = max_connections
        self._loop = asyncio.get_running_loop()
        self._connections: set[ServerConnection] = set()
        self._connecting = 0
        # Bytes of all incomplete responses.
        self._buffered_bytes = 0
        self._idle: deque[ServerConnection] = deque()
        self._waiters: deque[asyncio.Future[None]] = deque()

    async def exchange(
        self, data: bytes, request_id: bytes, is_head: bool = False
    ) -> ServerResponse:
        """Send a request and return its response; see `exchange_lazily`."""
        return await self.exchange_lazily(lambda: data, request_id, is_head)

    async def exchange_lazily(
        self,
        build_request: Callable[[], bytes],
        request_id: bytes,
        is_head: bool = False,
    ) -> ServerResponse:
        """Send the request that `build_request` returns, and return its response.

        `build_request` is called once a connection is available, which can take
        seconds. If it raises, nothing is sent.

        Raises ServerUnreachable if the request was not sent, ResponseIncomplete if
        no complete response was received. Cancelling the caller closes the
        connection, which makes the server stop its work.
        """
        connection = self._pop_idle() or await self._connect()
        if connection.transport is None or connection.transport.is_closing():
            raise ServerUnreachable(f"{self.address} closed the connection")
        connection.expires_at = self._loop.time() + DEFAULT_KEEP_ALIVE_S
        try:
            data = build_request()
        except BaseException:
            self._return_idle(connection)
            raise
        try:
            response = await connection.send(data, request_id, is_head)
        except BaseException:
            connection.close()
            raise
        if connection.reusable:
            self._return_idle(connection)
        else:
            connection.close()
        return response

    async def probe(self) -> bool:
        """Return whether the backend server accepts connections."""
        try:
            connection = await self._connect()
        except ServerUnreachable:
            return False
        connection.expires_at = self._loop.time() + DEFAULT_KEEP_ALIVE_S
        self._return_idle(connection)
        return True

    def connection_closed(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self._wake_waiter()

    def count_buffered(self, count: int) -> None:
        """Count buffered bytes; over the limit, abort the longest response."""
        self._buffered_bytes += count
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            longest = max(self._connections, key=lambda one: one.received_bytes)
            longest.abort_response(
                f"the longest of {self._buffered_bytes} buffered bytes"
            )

    def close(self) -> None:
        """Close idle connections; those in use close after their requests."""
        while self._idle:
            self._idle.pop().close()

    def _return_idle(self, connection: ServerConnection) -> None:
        self._idle.append(connection)
        self._wake_waiter()

    def _pop_idle(self) -> ServerConnection | None:
        now = self._loop.time()
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and connection.expires_at > now:
                return connection
            connection.close()
        return None

    async def _connect(self) -> ServerConnection:
        while len(self._connections) + self._connecting >= self.max_connections:
            await self._wait_for_connection()
            idle = self._pop_idle()
            if idle is not None:
                return idle
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: ServerConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            self._wake_waiter()
            raise ServerUnreachable(f"{self.address}: {error!r}") from error
        finally:
            self._connecting -= 1
        self._connections.add(connection)
        return connection

    async def _wait_for_connection(self) -> None:
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(ACQUIRE_TIMEOUT_S):
                await waiter
        except TimeoutError:
            raise ServerUnreachable(
                f"{self.address} has {self.max_connections} connections in use"
            ) from None

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
