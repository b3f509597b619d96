"""Fleet-wide bound on repeated sends, kept by every node for its own part."""

from typing import Final

import msgspec

from heathermount.clocks import Clock

__all__ = ["RepeatBudget", "RepeatLimits"]

# The window is counted in this many parts; one more is kept, so that the sum
# never misses a part of the window.
PARTS: Final = 10

# Share of the fleet's bound that is used, which leaves room for repeats that
# other nodes cannot see, such as calls made again by a repeated run.
USED_SHARE: Final = 0.8


class RepeatLimits(msgspec.Struct, frozen=True):
    """Repeats allowed per service in any window: ratio x requests + slack."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 48.0


class WindowCount:
    """Events of the last window, counted in parts."""

    __slots__ = ("_counts", "_part")

    def __init__(self) -> None:
        self._counts = [0] * (PARTS + 1)
        self._part = 0

    def add(self, part: int) -> None:
        self._advance(part)
        self._counts[part % len(self._counts)] += 1

    def total(self, part: int) -> int:
        self._advance(part)
        return sum(self._counts)

    def _advance(self, part: int) -> None:
        for passed in range(self._part + 1, min(part, self._part + PARTS + 1) + 1):
            self._counts[passed % len(self._counts)] = 0
        self._part = max(self._part, part)


class RepeatBudget:
    """Allows a node to repeat a share of its own requests per service.

    Answers which load repeats may add when servers fail or refuse: the sum over
    all nodes stays below the fleet's bound, because each node counts only its
    own first sends and takes its part of the slack.
    """

    __slots__ = ("_clock", "_part_s", "_repeats", "_requests", "limits", "nodes")

    def __init__(self, limits: RepeatLimits, clock: Clock) -> None:
        self.limits = limits
        self._clock = clock
        self._part_s = limits.window_s / PARTS
        self._requests: dict[str, WindowCount] = {}
        self._repeats: dict[str, WindowCount] = {}
        # Nodes among which the slack is divided.
        self.nodes = 1

    def sent(self, service: str) -> None:
        """Count the first send of a client's request."""
        self._requests.setdefault(service, WindowCount()).add(self._now())

    def take(self, service: str, reserve: float = 0.0) -> bool:
        """Spend one repeat; false when only the reserved share is left."""
        part = self._now()
        requests = self._requests.setdefault(service, WindowCount()).total(part)
        repeats = self._repeats.setdefault(service, WindowCount())
        allowed = self.limits.ratio * requests + self.limits.slack / self.nodes
        if repeats.total(part) + 1 > USED_SHARE * (1.0 - reserve) * allowed:
            return False
        repeats.add(part)
        return True

    def _now(self) -> int:
        return int(self._clock.monotonic() / self._part_s)
