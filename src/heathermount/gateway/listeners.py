"""Listeners of a gateway node and their open connections."""

import asyncio
from collections.abc import Callable
from typing import Final

from heathermount.gateway.http_server import Handler, HttpConnection, HttpLimits
from heathermount.gateway.peer_connections import PeerConnection, PeerHandler

__all__ = ["Listeners"]

LISTEN_BACKLOG: Final = 1024


class Listeners:
    """Accepts connections of clients, management clients and peers.

    Management clients read readiness and metrics or send heartbeats.
    """

    __slots__ = (
        "_get_limits",
        "_is_stopping",
        "_management_connections",
        "_peer_connections",
        "_servers",
        "clients",
    )

    def __init__(
        self, get_limits: Callable[[], HttpLimits], is_stopping: Callable[[], bool]
    ) -> None:
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._servers: list[asyncio.Server] = []
        self._management_connections: set[HttpConnection] = set()
        self._peer_connections: set[PeerConnection] = set()
        # Client connections; a graceful stop waits for their requests.
        self.clients: set[HttpConnection] = set()

    async def accept_clients(self, address: str, handler: Handler) -> None:
        await self._listen(
            address, lambda: self._make_http_connection(handler, self.clients)
        )

    async def accept_management_clients(self, address: str, handler: Handler) -> None:
        await self._listen(
            address,
            lambda: self._make_http_connection(handler, self._management_connections),
        )

    async def accept_peers(self, address: str, handler: PeerHandler) -> None:
        await self._listen(
            address, lambda: PeerConnection(handler, self._peer_connections)
        )

    def has_pending_responses(self) -> bool:
        """Whether a client or peer waits for a response, or is still reading one."""
        return any(
            client.busy or client.has_unsent_response for client in self.clients
        ) or any(peer.has_unsent_frames for peer in self._peer_connections)

    def stop_accepting(self) -> None:
        """Close the listeners; open connections continue."""
        for server in self._servers:
            server.close()

    def close(self) -> None:
        """Close all listeners and connections at once."""
        self.stop_accepting()
        for connection in list(self.clients | self._management_connections):
            connection.abort()
        for peer in list(self._peer_connections):
            peer.close()

    def _make_http_connection(
        self, handler: Handler, connections: set[HttpConnection]
    ) -> HttpConnection:
        return HttpConnection(handler, self._get_limits, connections, self._is_stopping)

    async def _listen(
        self, address: str, protocol_factory: Callable[[], asyncio.Protocol]
    ) -> None:
        host, _, port = address.rpartition(":")
        server = await asyncio.get_running_loop().create_server(
            protocol_factory,
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._servers.append(server)
