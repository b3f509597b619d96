"""Keep-alive HTTP/1.1 connections of the stand-ins, without a pool's bookkeeping."""

from collections.abc import Sequence
from typing import Final

import anyio
import httpcore
import msgspec

__all__ = ["Connections", "HttpAnswer", "RequestBroken", "RequestNotSent"]

# An idle connection is closed before the other side's keep-alive limit (5 s in
# uvicorn), so that a request rarely meets a connection that is being closed.
IDLE_S: Final = 3.0

Headers = Sequence[tuple[bytes, bytes]]


class RequestNotSent(Exception):
    """No connection could be made; start the other side or check its address."""


class RequestBroken(Exception):
    """The connection ended before a complete answer; the request may have run."""


class HttpAnswer(msgspec.Struct):
    """An HTTP response that was received completely."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    def text_header(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")


class Connections:
    """Connections to one address, most recently used first."""

    __slots__ = ("_host_header", "_idle", "_origin", "address")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._host_header = (b"host", address.encode())
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    async def request(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> HttpAnswer:
        """Send a request; raise RequestNotSent or RequestBroken.

        A cancelled request closes its connection.
        """
        connection = await self._take()
        request = self._make_request(method, target, headers, body)
        try:
            response = await connection.handle_async_request(request)
            content = await response.aread()
            await response.aclose()
        except httpcore.ConnectError as error:
            await connection.aclose()
            raise RequestNotSent(f"{self.address}: {error}") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.ConnectionNotAvailable,
        ) as error:
            await connection.aclose()
            raise RequestBroken(f"{self.address}: {error!r}") from error
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.aclose()
            raise
        if connection.is_idle():
            self._idle.append(connection)
        names = {name.lower(): value for name, value in response.headers}
        return HttpAnswer(response.status, names, content)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(self._origin, keepalive_expiry=IDLE_S)

    def _make_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> httpcore.Request:
        origin = self._origin
        url = httpcore.URL(
            scheme=origin.scheme,
            host=origin.host,
            port=origin.port,
            target=target.encode(),
        )
        length = (b"content-length", b"%d" % len(body))
        return httpcore.Request(
            method, url, headers=[self._host_header, *headers, length], content=body
        )
