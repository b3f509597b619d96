"""gRPC clients for calls to other nodes, one for each address."""

from typing import Any, TypeVar

from heathermount.clocks import Clock
from heathermount.errors import PeerError
from heathermount.wire.control import ControlClient
from heathermount.wire.tls import TlsContexts

__all__ = ["ControlClientPool"]

Reply = TypeVar("Reply")


class ControlClientPool:
    """Keeps one control connection for each address; connects on first use."""

    __slots__ = ("_clients", "_clock", "_secret", "_tls")

    def __init__(self, secret: bytes, clock: Clock, tls: TlsContexts | None) -> None:
        self._secret = secret
        self._clock = clock
        self._tls = tls
        self._clients: dict[str, ControlClient] = {}

    async def call(
        self,
        address: str,
        request: Any,
        reply_type: type[Reply],
        timeout_s: float = 1.0,
    ) -> Reply:
        """Call the node at `address`; see ControlClient.call for the errors."""
        client = self._clients.get(address)
        if client is None:
            tls = self._tls.control_client if self._tls is not None else None
            client = ControlClient(address, self._secret, self._clock, tls)
            self._clients[address] = client
        try:
            return await client.call(request, reply_type, timeout_s)
        except PeerError:
            # Reconnect for the next call: another process may use the address.
            if self._clients.get(address) is client:
                del self._clients[address]
                client.close()
            raise

    def close(self) -> None:
        for client in self._clients.values():
            client.close()
        self._clients.clear()
