"""Exact check of a rate and burst over all time windows."""

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["TokenSpend", "find_worst_excess"]


class TokenSpend(NamedTuple):
    """One token spent at an unknown time between two known ones, in seconds."""

    earliest: float
    latest: float


class PrefixMaximum:
    """Values at positions, raised by 1 for all positions up to a given one.

    A position takes part once an addition ended at it. A complete binary tree
    holds, for each range, the number of additions that ended in it and its
    highest value counting only those; an addition updates it in O(log n).
    """

    __slots__ = ("_additions", "_maxima", "_size", "_values")

    def __init__(self, values: Sequence[float]) -> None:
        self._values = values
        self._size = 1
        while self._size < len(values):
            self._size *= 2
        self._additions = [0] * (2 * self._size)
        self._maxima = [float("-inf")] * (2 * self._size)

    def add_up_to(self, position: int) -> None:
        """Raise the values at 0, 1, ... `position` by 1."""
        node = position + self._size
        self._additions[node] += 1
        self._maxima[node] = self._values[position] + self._additions[node]
        node //= 2
        while node:
            left, right = 2 * node, 2 * node + 1
            # An addition that ended in the right half covers the whole left half.
            self._additions[node] = self._additions[left] + self._additions[right]
            self._maxima[node] = max(
                self._maxima[right], self._maxima[left] + self._additions[right]
            )
            node //= 2

    def maximum(self) -> float:
        return self._maxima[1]


def find_worst_excess(spends: Sequence[TokenSpend], rate: float) -> float:
    """Return the largest of (calls surely spent in a window) - rate x window.

    The window [a, b] surely holds a call that was spent at a or later and at b
    or earlier, and the worst window starts at the earliest time of a call that
    it holds. With ends b in rising order, the tree holds for every such start a
    the count so far + rate x a; O(n log n) for all windows together.
    """
    if not spends:
        return 0.0
    origin = min(spend.earliest for spend in spends)
    starts = sorted({spend.earliest - origin for spend in spends})
    tree = PrefixMaximum([rate * start for start in starts])
    worst_excess = 0.0
    for spend in sorted(spends, key=lambda spend: spend.latest):
        # Windows that start at or before the earliest time hold the call.
        tree.add_up_to(bisect_right(starts, spend.earliest - origin) - 1)
        worst_excess = max(
            worst_excess, tree.maximum() - rate * (spend.latest - origin)
        )
    return worst_excess
