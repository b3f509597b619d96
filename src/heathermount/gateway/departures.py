"""Record of backend servers that have left."""

import asyncio
from typing import Final

__all__ = ["Departures"]

# The oldest departures beyond this number are dropped.
MAX_SERVERS: Final = 16


class Departures:
    """Records, for each server that has left, when its departed process started.

    A departure is final for that start and all earlier ones. Only a later start of
    the server may get requests.
    """

    __slots__ = ("_departed_born_ms", "_max_servers", "changed")

    def __init__(self, max_servers: int = MAX_SERVERS) -> None:
        self._max_servers = max_servers
        # Start time of the latest process that left, by server ID, in milliseconds
        # since the Unix epoch.
        self._departed_born_ms: dict[str, int] = {}
        self.changed = asyncio.Event()

    def add(self, server_id: str, born_ms: int) -> bool:
        """Record that a server's starts up to `born_ms` have left.

        Returns whether that is news.
        """
        if self.includes(server_id, born_ms):
            return False
        self._departed_born_ms.pop(server_id, None)
        self._departed_born_ms[server_id] = born_ms
        while len(self._departed_born_ms) > self._max_servers:
            del self._departed_born_ms[next(iter(self._departed_born_ms))]
        self.changed.set()
        return True

    def includes(self, server_id: str, born_ms: int) -> bool:
        """Return whether a start of a server has left."""
        return born_ms <= self._departed_born_ms.get(server_id, -1)

    def merge(self, departed_born_ms: dict[str, int]) -> None:
        for server_id, born_ms in departed_born_ms.items():
            self.add(server_id, born_ms)

    def copy_latest(self) -> dict[str, int]:
        return dict(self._departed_born_ms)
