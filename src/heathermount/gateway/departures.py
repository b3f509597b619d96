"""Starts of backend servers that have left for good."""

import asyncio
from typing import Final

from heathermount.gateway.announcements import Announcement

__all__ = ["Departures"]

# Departures that are remembered beside one node; the oldest are dropped.
MAX_KEPT: Final = 16


class Departures:
    """The latest start of each server that has left.

    A departure is final for all starts up to that one: only a later start of the
    server may get requests.
    """

    __slots__ = ("_latest", "changed")

    def __init__(self) -> None:
        # Start that left last by server, in milliseconds since the Unix epoch.
        self._latest: dict[str, int] = {}
        self.changed = asyncio.Event()

    def add(self, server_id: str, born_ms: int) -> None:
        """Note that all starts of a server up to one have left."""
        if born_ms <= self._latest.get(server_id, -1):
            return
        self._latest.pop(server_id, None)
        self._latest[server_id] = born_ms
        while len(self._latest) > MAX_KEPT:
            del self._latest[next(iter(self._latest))]
        self.changed.set()

    def include(self, announcement: Announcement) -> bool:
        """Tell whether the announced start of a server has left."""
        return announcement.born_ms <= self._latest.get(announcement.server_id, -1)

    def merge(self, latest: dict[str, int]) -> None:
        for server_id, born_ms in latest.items():
            self.add(server_id, born_ms)

    def snapshot(self) -> dict[str, int]:
        return dict(self._latest)
