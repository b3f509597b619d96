"""Exact check of a rate limit with burst over all time windows."""

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["TokenSpend", "find_worst_excess"]


class TokenSpend(NamedTuple):
    """One token, spent at an unknown time between two times in seconds."""

    earliest: float
    latest: float


class PrefixMaximum:
    """Segment tree for increments of a prefix and the maximum of all values.

    An addition raises the values at all positions up to a given one by 1. A
    position counts for the maximum once an addition has ended at it. Each tree
    node holds the number of additions that ended in its range, and the maximum
    of the range with only those additions; an addition takes O(log n).
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
            # An addition that ended in the right half raises the whole left half.
            self._additions[node] = self._additions[left] + self._additions[right]
            self._maxima[node] = max(
                self._maxima[right], self._maxima[left] + self._additions[right]
            )
            node //= 2

    def maximum(self) -> float:
        return self._maxima[1]


def find_worst_excess(spends: Sequence[TokenSpend], rate: float) -> float:
    """Return the maximum over all windows of (tokens spent - rate x length).

    A window [a, b] counts a token whose earliest time is a or later and whose
    latest time is b or earlier, so that it was spent in the window for certain.
    The worst window starts at the earliest time of a token that it counts. The
    ends b are visited in increasing order; for each start a, the tree holds the
    count so far + rate x a. All windows together take O(n log n).
    """
    if not spends:
        return 0.0
    origin = min(spend.earliest for spend in spends)
    starts = sorted({spend.earliest - origin for spend in spends})
    tree = PrefixMaximum([rate * start for start in starts])
    worst_excess = 0.0
    for spend in sorted(spends, key=lambda spend: spend.latest):
        # Windows that start at or before the earliest time count the token.
        tree.add_up_to(bisect_right(starts, spend.earliest - origin) - 1)
        worst_excess = max(
            worst_excess, tree.maximum() - rate * (spend.latest - origin)
        )
    return worst_excess
