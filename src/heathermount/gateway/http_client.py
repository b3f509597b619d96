"""Connection pool for a backend server or the store."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from heathermount.gateway.server_connection import (
    ResponseIncomplete,
    ServerConnection,
    ServerResponse,
)

__all__ = [
    "ResponseIncomplete",
    "ServerConnectionPool",
    "ServerResponse",
    "ServerUnreachable",
]

CONNECT_TIMEOUT_S: Final = 1.0

# Idle connections are reused for this time if the server states no keep-alive timeout.
DEFAULT_KEEP_ALIVE_S: Final = 2.0

# Longest wait for a connection when all of the pool are in use.
ACQUIRE_TIMEOUT_S: Final = 1.0

# Bytes of incomplete responses that a pool buffers at most: a quarter of the memory
# for a node on the smallest instances. The longest response is aborted first.
MAX_BUFFERED_BYTES: Final = 64 * 1024 * 1024


class ServerUnreachable(Exception):
    """There is no connection to the backend server; the request was not sent."""


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
