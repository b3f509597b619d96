"""Keep-alive HTTP/1.1 connections of the stand-ins.

The load tool shares the machine with the fleet it measures. httpcore's direct
connections took about 1.1 ms of processor time for each call in a trial; this
client leaves the parsing to httptools and takes a fraction of that.
"""

import asyncio
from collections.abc import Sequence
from typing import Any, Final, cast

import httptools
import msgspec

__all__ = ["ConnectionPool", "HttpResponse", "RequestBroken", "RequestNotSent"]

# An idle connection is closed before the other side's keep-alive limit (5 s in
# uvicorn), so that a request rarely meets a connection that is being closed.
MAX_IDLE_S: Final = 3.0

Headers = Sequence[tuple[bytes, bytes]]


class RequestNotSent(Exception):
    """No connection could be made; start the other side or check its address."""


class RequestBroken(Exception):
    """The connection ended before a complete answer; the request may have run."""


class HttpResponse(msgspec.Struct):
    """An HTTP response that was received completely."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    def text_header(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")


class HttpConnection(asyncio.Protocol):
    """One connection that carries one request at a time."""

    __slots__ = (
        "_body_parts",
        "_headers",
        "_parser",
        "_response",
        "_transport",
        "closed",
        "idle_since_s",
    )

    def __init__(self) -> None:
        self.closed = False
        self.idle_since_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body_parts: list[bytes] = []
        self._parser: Any = None

    async def send_request(self, request_bytes: bytes) -> HttpResponse:
        """Send a request and return its answer; raise RequestNotSent or RequestBroken.

        A cancelled exchange closes the connection.
        """
        if self.closed or self._transport is None:
            raise RequestNotSent("the connection ended before the request was sent")
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body_parts = []
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request_bytes)
        try:
            return await self._response
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._response = None

    def close(self) -> None:
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, request_bytes: bytes) -> None:
        if self._response is None:
            # Nothing was asked: the other side is out of step.
            self.close()
            return
        try:
            self._parser.feed_data(request_bytes)
        except httptools.HttpParserError as error:
            self._fail(f"malformed answer: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(f"connection ended: {error}")

    def _fail(self, reason: str) -> None:
        self.close()
        if self._response is not None and not self._response.done():
            self._response.set_exception(RequestBroken(reason))

    # httptools' callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.close()
        if self._response is not None and not self._response.done():
            status = self._parser.get_status_code()
            body = b"".join(self._body_parts)
            self._response.set_result(HttpResponse(status, self._headers, body))


class ConnectionPool:
    """Connections to one address, most recently used first."""

    __slots__ = ("_host", "_idle_connections", "_port", "address")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._idle_connections: list[HttpConnection] = []

    async def request(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> HttpResponse:
        """Send a request; raise RequestNotSent or RequestBroken.

        A cancelled request closes its connection.
        """
        connection = await self._acquire()
        request_bytes = self._encode(method, target, headers, body)
        response = await connection.send_request(request_bytes)
        if not connection.closed:
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle_connections.append(connection)
        return response

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _acquire(self) -> HttpConnection:
        loop = asyncio.get_running_loop()
        oldest_usable_s = loop.time() - MAX_IDLE_S
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.closed and connection.idle_since_s > oldest_usable_s:
                return connection
            connection.close()
        try:
            _, connection = await loop.create_connection(
                HttpConnection, self._host, self._port
            )
        except OSError as error:
            raise RequestNotSent(f"{self.address}: {error}") from error
        return connection

    def _encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        lines = [
            f"{method} {target} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-length: {len(body)}".encode(),
            *(name + b": " + value for name, value in headers),
            b"\r\n",
        ]
        return b"\r\n".join(lines) + body
