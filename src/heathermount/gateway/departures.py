"""Record of backend servers that have left."""

import asyncio
from typing import Final

from heathermount.gateway.announcements import Announcement

__all__ = ["Departures"]

# The oldest departures beyond this number are dropped.
MAX_SERVERS: Final = 16


class Departures:
    """Records, for each server that has left, when its departed process started.

    A departure is final for that start and all earlier ones. Only a later start of
    the server may get requests.
    """

    __slots__ = ("_departed_born_ms", "changed")

    def __init__(self) -> None:
        # Start time of the latest process that left, by server ID, in milliseconds
        # since the Unix epoch.
        self._departed_born_ms: dict[str, int] = {}
        self.changed = asyncio.Event()

    def add(self, server_id: str, born_ms: int) -> None:
        """Record that a server's starts up to `born_ms` have left."""
        if born_ms <= self._departed_born_ms.get(server_id, -1):
            return
        self._departed_born_ms.pop(server_id, None)
        self._departed_born_ms[server_id] = born_ms
        while len(self._departed_born_ms) > MAX_SERVERS:
            del self._departed_born_ms[next(iter(self._departed_born_ms))]
        self.changed.set()

    def includes(self, announcement: Announcement) -> bool:
        """Return whether the announced server start has left."""
        return announcement.born_ms <= self._departed_born_ms.get(
            announcement.server_id, -1
        )

    def merge(self, departed_born_ms: dict[str, int]) -> None:
        for server_id, born_ms in departed_born_ms.items():
            self.add(server_id, born_ms)

    def copy_latest(self) -> dict[str, int]:
        return dict(self._departed_born_ms)
