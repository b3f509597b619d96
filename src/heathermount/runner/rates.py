"""Exact check of a rate and burst over all time windows."""

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Spending", "worst_excess"]


class Spending(NamedTuple):
    """One token spent at an unknown time between two known ones, in seconds."""

    earliest: float
    latest: float


class PrefixMaximum:
    """Values at positions, raised by 1 for all positions up to a given one.

    A position takes part once an addition ended at it. A complete binary tree
    holds, for each range, the number of additions that ended in it and its
    highest value counting only those; an addition updates it in O(log n).
    """

    __slots__ = ("_added", "_best", "_size", "_values")

    def __init__(self, values: Sequence[float]) -> None:
        self._values = values
        self._size = 1
        while self._size < len(values):
            self._size *= 2
        self._added = [0] * (2 * self._size)
        self._best = [float("-inf")] * (2 * self._size)

    def add_up_to(self, position: int) -> None:
        """Raise the values at 0, 1, ... `position` by 1."""
        node = position + self._size
        self._added[node] += 1
        self._best[node] = self._values[position] + self._added[node]
        node //= 2
        while node:
            left, right = 2 * node, 2 * node + 1
            # An addition that ended in the right half covers the whole left half.
            self._added[node] = self._added[left] + self._added[right]
            self._best[node] = max(
                self._best[right], self._best[left] + self._added[right]
            )
            node //= 2

    def highest(self) -> float:
        return self._best[1]


def worst_excess(spendings: Sequence[Spending], rate: float) -> float:
    """Return the largest of (calls surely spent in a window) - rate x window.

    The window [a, b] surely holds a call that was spent at a or later and at b
    or earlier, and the worst window starts at the earliest time of a call that
    it holds. With ends b in rising order, the tree holds for every such start a
    the count so far + rate x a; O(n log n) for all windows together.
    """
    if not spendings:
        return 0.0
    origin = min(spending.earliest for spending in spendings)
    starts = sorted({spending.earliest - origin for spending in spendings})
    tree = PrefixMaximum([rate * start for start in starts])
    worst = 0.0
    for spending in sorted(spendings, key=lambda spending: spending.latest):
        # Windows that start at or before the earliest time hold the call.
        tree.add_up_to(bisect_right(starts, spending.earliest - origin) - 1)
        worst = max(worst, tree.highest() - rate * (spending.latest - origin))
    return worst
