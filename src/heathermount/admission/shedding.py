"""Control of the threshold that a server reports to the entry nodes."""

from typing import Final

from heathermount.values import COHORT_COUNT, Importance, Threshold

__all__ = ["ThresholdController"]

POSITION_COUNT: Final = COHORT_COUNT * len(Importance)

# The threshold never falls below this cohort of the most important class, so
# that some requests always arrive and recovery is noticed.
MIN_POSITION: Final = 3

# Cut beyond the measured excess while the queue stands, so that it drains.
STANDING_QUEUE_EXTRA_CUT_RATIO: Final = 0.02

# One interval's evictions may include a burst, so a single cut is limited.
MAX_CUT_RATIO: Final = 0.5

# An interval with fewer offered requests than this is taken as a part of so
# many: at 4 slots, one shed request of three cut a third of all arrivals, which
# left a quarter of the server idle under 2x overload.
MIN_OFFERED_REQUESTS: Final = 20

# Below this share of the limit there is room for more than random variation,
# and steps up double; between it and the limit they stay at the first step.
# Doubling up to the limit itself overshot by a class within 0.6 s.
RAISE_BELOW_UTILISATION: Final = 0.95

# Below this share, the overload has ended; steps start larger. The share served
# between 0.5 s and 1 s after a twofold overload rose from 0.75 to 0.90.
FAST_RAISE_BELOW_UTILISATION: Final = 0.75
FAST_RAISE_STEP_COHORTS: Final = 16

# Mean queue to aim at, as a share of its bound: it keeps the server busy when
# arrivals vary, for a wait of an eighth of a service time.
TARGET_QUEUE_RATIO: Final = 0.125

# First step up after a cut and its largest value after doublings, in cohorts.
# The largest step passes all three classes within 1.6 s.
FIRST_STEP_COHORTS: Final = 2
MAX_STEP_COHORTS: Final = 64

# Weight of earlier intervals in the histogram of arrivals.
ARRIVALS_DECAY: Final = 0.5

NO_ADMISSION_FLOOR: Final = len(Importance)


class ThresholdController:
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
        "_excess_requests",
        "_initial_queue_length",
        "_interval_started_at",
        "_min_queue_length",
        "_occupancy_updated_at",
        "_offered_requests",
        "_request_seconds",
        "_step_cohorts",
        "_use_cohorts",
        "admission_floor",
        "position",
    )

    def __init__(self, now: float, use_cohorts: bool = True) -> None:
        self._use_cohorts = use_cohorts
        self._arrivals = [0.0] * POSITION_COUNT
        self._step_cohorts = FIRST_STEP_COHORTS
        self.position = POSITION_COUNT - 1
        self.admission_floor = NO_ADMISSION_FLOOR
        self._excess_requests = 0
        self._offered_requests = 0
        self._initial_queue_length = 0
        self._request_seconds = 0.0
        self._occupancy_updated_at = now
        self._interval_started_at = now
        self._min_queue_length = 0

    def threshold(self) -> Threshold:
        importance, cohort = divmod(self.position, COHORT_COUNT)
        return Threshold(importance, cohort)

    @property
    def rejects_any(self) -> bool:
        """Tell whether the threshold rejects anything."""
        return self.position < POSITION_COUNT - 1

    def record_arrival(self, importance: int, cohort: int) -> None:
        """Count a request that reached the server."""
        position = self._position_of(importance, cohort)
        self._arrivals[position] += 1.0
        if position <= self.position:
            self._offered_requests += 1

    def record_shed(self, importance: int, cohort: int) -> None:
        """Count a request that was shed."""
        self.admission_floor = min(self.admission_floor, importance)
        self.record_excess(importance, cohort)

    def record_excess(self, importance: int, cohort: int) -> None:
        """Count a request that could not be served in time."""
        if self._position_of(importance, cohort) <= self.position:
            self._excess_requests += 1

    def update_occupancy(self, occupancy: int, queued: int, now: float) -> None:
        """Note a departure: requests running and queued before it, queued after."""
        self._request_seconds += occupancy * (now - self._occupancy_updated_at)
        self._occupancy_updated_at = now
        if queued < self._min_queue_length:
            self._min_queue_length = queued

    def end_interval(
        self, running: int, queued: int, limit: int, capacity: int, now: float
    ) -> None:
        """End an interval."""
        self.update_occupancy(running + queued, queued, now)
        mean_occupancy = self._request_seconds / (now - self._interval_started_at)
        standing = self._min_queue_length * 2 > capacity
        if self._excess_requests or standing:
            growth = queued - self._initial_queue_length + self._excess_requests
            ratio = growth / max(MIN_OFFERED_REQUESTS, self._offered_requests) + (
                STANDING_QUEUE_EXTRA_CUT_RATIO if standing else 0.0
            )
            self._lower(ratio)
        elif mean_occupancy < RAISE_BELOW_UTILISATION * limit:
            if mean_occupancy < FAST_RAISE_BELOW_UTILISATION * limit:
                self._step_cohorts = max(self._step_cohorts, FAST_RAISE_STEP_COHORTS)
            self._raise()
        elif mean_occupancy < limit + TARGET_QUEUE_RATIO * capacity:
            self._step_cohorts = FIRST_STEP_COHORTS
            self._raise()
        self._arrivals = [count * ARRIVALS_DECAY for count in self._arrivals]
        self._start_interval(queued, now)

    def skip_idle_intervals(self, intervals: int) -> None:
        """Make up for intervals in which nothing happened."""
        for _ in range(min(intervals, POSITION_COUNT // MAX_STEP_COHORTS)):
            self._raise()
        self._set_admission_floor()

    def _position_of(self, importance: int, cohort: int) -> int:
        if not self._use_cohorts:
            cohort = COHORT_COUNT - 1
        return importance * COHORT_COUNT + cohort

    def _start_interval(self, queued: int, now: float) -> None:
        self._set_admission_floor()
        self._excess_requests = 0
        self._offered_requests = 0
        self._initial_queue_length = queued
        self._min_queue_length = queued
        self._request_seconds = 0.0
        self._occupancy_updated_at = now
        self._interval_started_at = now

    def _set_admission_floor(self) -> None:
        importance, cohort = divmod(self.position, COHORT_COUNT)
        self.admission_floor = (
            importance if cohort < COHORT_COUNT - 1 else NO_ADMISSION_FLOOR
        )

    def _lower(self, ratio: float) -> None:
        self._step_cohorts = FIRST_STEP_COHORTS
        position = self.position
        below = sum(self._arrivals[: position + 1])
        excess = min(ratio, MAX_CUT_RATIO) * below
        while position > MIN_POSITION and excess > 0.0:
            excess -= self._arrivals[position]
            position -= 1
        self._set_position(position)

    def _raise(self) -> None:
        step = self._step_cohorts if self._use_cohorts else COHORT_COUNT
        self._set_position(min(POSITION_COUNT - 1, self.position + step))
        self._step_cohorts = min(MAX_STEP_COHORTS, self._step_cohorts * 2)

    def _set_position(self, position: int) -> None:
        if not self._use_cohorts:
            # Whole classes only; the most important one is always admitted.
            position = max(1, (position + 1) // COHORT_COUNT) * COHORT_COUNT - 1
        self.position = position
