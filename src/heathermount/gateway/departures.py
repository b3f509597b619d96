"""Record of backend servers that have left."""

import asyncio
from typing import Final

from heathermount.gateway.announcements import Announcement

__all__ = ["Departures"]

# The oldest departures beyond this number are dropped.
MAX_SERVERS: Final = 16


class Departures:
    """Maps each server that has left to the time of its latest departed start.

    A departure is final for that start and all earlier ones. Only a later start of
    the server may get requests.
    """

    __slots__ = ("_latest_departed_ms", "changed")

    def __init__(self) -> None:
        # Latest departed start by server ID, in milliseconds since the Unix epoch.
        self._latest_departed_ms: dict[str, int] = {}
        self.changed = asyncio.Event()

    def add(self, server_id: str, born_ms: int) -> None:
        """Record that a server's starts up to `born_ms` have left."""
        if born_ms <= self._latest_departed_ms.get(server_id, -1):
            return
        self._latest_departed_ms.pop(server_id, None)
        self._latest_departed_ms[server_id] = born_ms
        while len(self._latest_departed_ms) > MAX_SERVERS:
            del self._latest_departed_ms[next(iter(self._latest_departed_ms))]
        self.changed.set()

    def includes(self, announcement: Announcement) -> bool:
        """Return whether the announced server start has left."""
        return announcement.born_ms <= self._latest_departed_ms.get(
            announcement.server_id, -1
        )

    def merge(self, latest_departed_ms: dict[str, int]) -> None:
        for server_id, born_ms in latest_departed_ms.items():
            self.add(server_id, born_ms)

    def copy_latest(self) -> dict[str, int]:
        return dict(self._latest_departed_ms)
