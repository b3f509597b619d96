"""Control of the threshold that a server reports to the entry nodes."""

from typing import Final

from heathermount.values import COHORTS, Importance, Threshold

__all__ = ["SheddingControl"]

POSITIONS: Final = COHORTS * len(Importance)

# The threshold never falls below this cohort of the most important class, so
# that some requests always arrive and recovery is noticed.
LOWEST_POSITION: Final = 3

# Cut beyond the measured excess, so that a full queue drains.
EXTRA_CUT: Final = 0.02

# One interval's evictions may include a burst, so a single cut is limited.
MAX_CUT: Final = 0.5

# First step up after a cut and its largest value after doublings, in cohorts.
# The largest step passes all three classes within 1.6 s.
FIRST_STEP: Final = 2
MAX_STEP: Final = 64

# Weight of earlier intervals in the histogram of arrivals.
MEMORY: Final = 0.5

NO_FLOOR: Final = len(Importance)


class SheddingControl:
    """Moves the threshold at the end of each interval.

    It falls by the share of requests at or below it that were shed, walking
    down the histogram of arrivals from the least important class, or slightly
    when the queue stands and grows. It rises in doubling steps of cohorts
    while there is room, and holds in between (hysteresis). Sheds above the
    threshold do not count: entry nodes already reject those.

    `floor` is the most important class shed in the current interval; classes
    less important than that are not admitted before the interval ends.
    """

    __slots__ = (
        "_arrivals",
        "_cohorts",
        "_excess",
        "_lowest_busy",
        "_lowest_queue",
        "_offered",
        "_queue_at_start",
        "_step",
        "floor",
        "position",
    )

    def __init__(self, cohorts: bool = True) -> None:
        self._cohorts = cohorts
        self._arrivals = [0.0] * POSITIONS
        self._step = FIRST_STEP
        self.position = POSITIONS - 1
        self.floor = NO_FLOOR
        self._excess = 0
        self._offered = 0
        self._queue_at_start = 0
        self._lowest_busy = 0
        self._lowest_queue = 0

    def threshold(self) -> Threshold:
        importance, cohort = divmod(self.position, COHORTS)
        return Threshold(importance, cohort)

    @property
    def sheds(self) -> bool:
        """Tell whether the threshold rejects anything."""
        return self.position < POSITIONS - 1

    def arrived(self, importance: int, cohort: int) -> None:
        """Count a request that reached the server."""
        position = self._position(importance, cohort)
        self._arrivals[position] += 1.0
        if position <= self.position:
            self._offered += 1

    def shed(self, importance: int, cohort: int) -> None:
        """Count a request that was shed."""
        self.floor = min(self.floor, importance)
        self.missed(importance, cohort)

    def missed(self, importance: int, cohort: int) -> None:
        """Count a request that could not be served in time."""
        if self._position(importance, cohort) <= self.position:
            self._excess += 1

    def changed(self, running: int, queued: int) -> None:
        """Note the state after a request left."""
        self._lowest_busy = min(self._lowest_busy, running + queued)
        self._lowest_queue = min(self._lowest_queue, queued)

    def roll(self, running: int, queued: int, limit: int, capacity: int) -> None:
        """End an interval."""
        self.changed(running, queued)
        stands = self._lowest_queue * 2 > capacity and queued >= self._queue_at_start
        if self._excess:
            self._fall(self._excess / max(self._offered, self._excess) + EXTRA_CUT)
        elif stands:
            self._fall(EXTRA_CUT)
        elif self._lowest_busy < limit:
            self._rise()
        self._arrivals = [count * MEMORY for count in self._arrivals]
        self._start_interval(running, queued)

    def idle(self, intervals: int) -> None:
        """Make up for intervals in which nothing happened."""
        for _ in range(min(intervals, POSITIONS // MAX_STEP)):
            self._rise()

    def _position(self, importance: int, cohort: int) -> int:
        if not self._cohorts:
            cohort = COHORTS - 1
        return importance * COHORTS + cohort

    def _start_interval(self, running: int, queued: int) -> None:
        self.floor = NO_FLOOR
        self._excess = 0
        self._offered = 0
        self._queue_at_start = queued
        self._lowest_busy = running + queued
        self._lowest_queue = queued

    def _fall(self, share: float) -> None:
        self._step = FIRST_STEP
        position = self.position
        below = sum(self._arrivals[: position + 1])
        excess = min(share, MAX_CUT) * below
        while position > LOWEST_POSITION and excess > 0.0:
            excess -= self._arrivals[position]
            position -= 1
        self._move(position)

    def _rise(self) -> None:
        step = self._step if self._cohorts else COHORTS
        self._move(min(POSITIONS - 1, self.position + step))
        self._step = min(MAX_STEP, self._step * 2)

    def _move(self, position: int) -> None:
        if not self._cohorts:
            # Whole classes only; the most important one is always admitted.
            position = max(1, (position + 1) // COHORTS) * COHORTS - 1
        self.position = position
