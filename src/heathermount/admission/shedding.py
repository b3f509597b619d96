"""Control of the threshold that a server reports to the entry nodes."""

from typing import Final

from heathermount.values import COHORT_COUNT, Importance, Threshold

__all__ = ["SheddingControl"]

POSITIONS: Final = COHORT_COUNT * len(Importance)

# The threshold never falls below this cohort of the most important class, so
# that some requests always arrive and recovery is noticed.
LOWEST_POSITION: Final = 3

# Cut beyond the measured excess while the queue stands, so that it drains.
EXTRA_CUT: Final = 0.02

# One interval's evictions may include a burst, so a single cut is limited.
MAX_CUT: Final = 0.5

# An interval with fewer offered requests than this is taken as a part of so
# many: at 4 slots, one shed request of three cut a third of all arrivals, which
# left a quarter of the server idle under 2x overload.
MIN_OFFERED: Final = 20

# Below this share of the limit there is room for more than random variation,
# and steps up double; between it and the limit they stay at the first step.
# Doubling up to the limit itself overshot by a class within 0.6 s.
ROOM: Final = 0.95

# Below this share, the overload has ended; steps start larger. The share served
# between 0.5 s and 1 s after a twofold overload rose from 0.75 to 0.90.
AMPLE_ROOM: Final = 0.75
AMPLE_STEP: Final = 16

# Mean queue to aim at, as a share of its bound: it keeps the server busy when
# arrivals vary, for a wait of an eighth of a service time.
TARGET_QUEUE: Final = 0.125

# First step up after a cut and its largest value after doublings, in cohorts.
# The largest step passes all three classes within 1.6 s.
FIRST_STEP: Final = 2
MAX_STEP: Final = 64

# Weight of earlier intervals in the histogram of arrivals.
MEMORY: Final = 0.5

NO_FLOOR: Final = len(Importance)


class SheddingControl:
    """Moves the threshold at the end of each interval.

    It falls when requests were shed or the queue stood above half of its
    bound, by the share of arrivals that exceeded the departures (queue growth
    and sheds), walking down the histogram of arrivals from the least important
    class. It rises by steps of cohorts while the server has room, and holds in
    between (hysteresis). Sheds above the threshold do not count: entry nodes
    already reject those.

    `floor` is the most important class that was shed in the current interval,
    or of which the threshold rejects a part: entry nodes then refuse requests
    of this class. Less important classes are not admitted before the interval
    ends.
    """

    __slots__ = (
        "_arrivals",
        "_busy_s",
        "_changed_at",
        "_cohorts",
        "_excess",
        "_lowest_queue",
        "_offered",
        "_queue_at_start",
        "_started_at",
        "_step",
        "floor",
        "position",
    )

    def __init__(self, now: float, cohorts: bool = True) -> None:
        self._cohorts = cohorts
        self._arrivals = [0.0] * POSITIONS
        self._step = FIRST_STEP
        self.position = POSITIONS - 1
        self.floor = NO_FLOOR
        self._excess = 0
        self._offered = 0
        self._queue_at_start = 0
        self._busy_s = 0.0
        self._changed_at = now
        self._started_at = now
        self._lowest_queue = 0

    def threshold(self) -> Threshold:
        importance, cohort = divmod(self.position, COHORT_COUNT)
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

    def changed(self, busy: int, queued: int, now: float) -> None:
        """Note a departure: requests running and queued before it, queued after."""
        self._busy_s += busy * (now - self._changed_at)
        self._changed_at = now
        if queued < self._lowest_queue:
            self._lowest_queue = queued

    def roll(
        self, running: int, queued: int, limit: int, capacity: int, now: float
    ) -> None:
        """End an interval."""
        self.changed(running + queued, queued, now)
        busy = self._busy_s / (now - self._started_at)
        stands = self._lowest_queue * 2 > capacity
        if self._excess or stands:
            growth = queued - self._queue_at_start + self._excess
            share = growth / max(MIN_OFFERED, self._offered) + (
                EXTRA_CUT if stands else 0.0
            )
            self._fall(share)
        elif busy < ROOM * limit:
            if busy < AMPLE_ROOM * limit:
                self._step = max(self._step, AMPLE_STEP)
            self._rise()
        elif busy < limit + TARGET_QUEUE * capacity:
            self._step = FIRST_STEP
            self._rise()
        self._arrivals = [count * MEMORY for count in self._arrivals]
        self._start_interval(queued, now)

    def idle(self, intervals: int) -> None:
        """Make up for intervals in which nothing happened."""
        for _ in range(min(intervals, POSITIONS // MAX_STEP)):
            self._rise()
        self._set_floor()

    def _position(self, importance: int, cohort: int) -> int:
        if not self._cohorts:
            cohort = COHORT_COUNT - 1
        return importance * COHORT_COUNT + cohort

    def _start_interval(self, queued: int, now: float) -> None:
        self._set_floor()
        self._excess = 0
        self._offered = 0
        self._queue_at_start = queued
        self._lowest_queue = queued
        self._busy_s = 0.0
        self._changed_at = now
        self._started_at = now

    def _set_floor(self) -> None:
        importance, cohort = divmod(self.position, COHORT_COUNT)
        self.floor = importance if cohort < COHORT_COUNT - 1 else NO_FLOOR

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
        step = self._step if self._cohorts else COHORT_COUNT
        self._move(min(POSITIONS - 1, self.position + step))
        self._step = min(MAX_STEP, self._step * 2)

    def _move(self, position: int) -> None:
        if not self._cohorts:
            # Whole classes only; the most important one is always admitted.
            position = max(1, (position + 1) // COHORT_COUNT) * COHORT_COUNT - 1
        self.position = position
