"""Listeners of a gateway node and the connections that were made to them."""

import asyncio
from collections.abc import Callable
from typing import Final

from heathermount.gateway.http_server import Handler, HttpConnection, HttpLimits
from heathermount.gateway.links import PeerConnection, PeerHandler

__all__ = ["Listeners"]

BACKLOG: Final = 1024


class Listeners:
    """Accepts clients, observers and peers until it is told to stop."""

    __slots__ = (
        "_limits",
        "_observers",
        "_peers",
        "_servers",
        "_stopping",
        "clients",
    )

    def __init__(
        self, limits: Callable[[], HttpLimits], stopping: Callable[[], bool]
    ) -> None:
        self._limits = limits
        self._stopping = stopping
        self._servers: list[asyncio.Server] = []
        self._observers: set[HttpConnection] = set()
        self._peers: set[PeerConnection] = set()
        # Connections of clients, which a graceful stop waits for.
        self.clients: set[HttpConnection] = set()

    async def accept_clients(self, address: str, handler: Handler) -> None:
        await self._open(address, lambda: self._make(handler, self.clients))

    async def accept_observers(self, address: str, handler: Handler) -> None:
        await self._open(address, lambda: self._make(handler, self._observers))

    async def accept_peers(self, address: str, handler: PeerHandler) -> None:
        await self._open(address, lambda: PeerConnection(handler, self._peers))

    def stop_accepting(self) -> None:
        """Close the listeners; connections go on."""
        for server in self._servers:
            server.close()

    def close(self) -> None:
        """Close all listeners and connections at once."""
        self.stop_accepting()
        for connection in list(self.clients | self._observers):
            connection.abort()
        for peer in list(self._peers):
            peer.close()

    def _make(
        self, handler: Handler, connections: set[HttpConnection]
    ) -> HttpConnection:
        return HttpConnection(handler, self._limits, connections, self._stopping)

    async def _open(
        self, address: str, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        host, _, port = address.rpartition(":")
        server = await asyncio.get_running_loop().create_server(
            factory, host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)
