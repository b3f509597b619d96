"""Injectable clocks, so that tests can control time."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time, in seconds."""

    def monotonic(self) -> float:
        """Return a time for measuring durations, unaffected by clock adjustments."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The operating system's clocks."""

    __slots__ = ()

    def monotonic(self) -> float:
        # Unlike time.monotonic(), CLOCK_BOOTTIME keeps running while the instance
        # is suspended. Lease terms must include that time.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock for tests that moves only when `advance` is called."""

    __slots__ = ("_now", "_wall_offset")

    def __init__(self, now: float = 1000.0, wall: float = 1_700_000_000.0) -> None:
        self._now = now
        self._wall_offset = wall - now

    def monotonic(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now + self._wall_offset

    def advance(self, seconds: float) -> None:
        self._now += seconds
