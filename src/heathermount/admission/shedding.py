"""Control of the admission threshold that a server reports to the entry nodes."""

from typing import Final

from heathermount.values import COHORT_COUNT, Importance, Threshold

__all__ = ["ThresholdController"]

# Positions number the cohorts of all classes, the most important class first.
POSITION_COUNT: Final = COHORT_COUNT * len(Importance)

# Lowest position of the threshold, a cohort of the most important class. Some
# requests always arrive, so that recovery is noticed.
MIN_POSITION: Final = 3

# Share of the arrivals rejected in addition to the measured excess while there is
# a standing queue, so that the queue drains.
STANDING_QUEUE_EXTRA_CUT_RATIO: Final = 0.02

# Largest share of the arrivals rejected by one cut, because the sheds of one
# interval may stem from a burst.
MAX_CUT_RATIO: Final = 0.5

# The excess is divided by at least this many offered requests. Without this bound,
# one shed request out of three at a server with 4 slots rejected a third of all
# arrivals, which left a quarter of the server idle under twofold overload.
MIN_OFFERED_REQUESTS: Final = 20

# While the mean occupancy is below this share of the concurrency limit, the spare
# capacity exceeds random variation, and each step up is twice the one before. Above
# it, every step has the size of the first one. Doubling up to the limit itself
# overshot by a whole class within 0.6 s.
RAISE_BELOW_UTILISATION: Final = 0.95

# While the mean occupancy is below this share of the concurrency limit, the overload
# has ended and steps up start larger. This raised the share of requests served
# between 0.5 s and 1 s after a twofold overload from 0.75 to 0.90.
FAST_RAISE_BELOW_UTILISATION: Final = 0.75
FAST_RAISE_STEP_COHORTS: Final = 16

# Target for the mean queue length, as a share of the queue's capacity. It keeps
# the server busy when arrivals vary, at a wait of an eighth of a service time.
TARGET_QUEUE_RATIO: Final = 0.125

# First step up after a cut, and the largest step after doublings. Steps of this
# size pass all three classes within 1.6 s.
FIRST_STEP_COHORTS: Final = 2
MAX_STEP_COHORTS: Final = 64

# Factor per interval by which earlier arrivals lose weight in the histogram.
ARRIVALS_DECAY: Final = 0.5

# A number above all classes: every class is admitted.
NO_ADMISSION_FLOOR: Final = len(Importance)


class ThresholdController:
    """Adjusts the threshold at the end of each interval.

    The threshold falls when requests were shed or the queue stayed above half of
    its capacity throughout the interval. The cut is the share of arrivals that
    exceeded the departures (queue growth and sheds). It is turned into cohorts
    with a histogram of the arrivals, from the least important class upwards.
    The threshold rises by steps of cohorts while the server has spare capacity,
    and otherwise stays (hysteresis). Sheds above the threshold do not count,
    because entry nodes already reject such requests.

    `admission_floor` is the least important class that the server admits during
    the interval: the most important class that was shed in it or is partly
    rejected by the threshold. Requests of less important classes are refused
    until the interval ends, because entry nodes are refusing requests of this
    class.
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
        """Whether the threshold rejects any cohort."""
        return self.position < POSITION_COUNT - 1

    def record_arrival(self, importance: int, cohort: int) -> None:
        """Count a request that reached the server."""
        position = self._position_of(importance, cohort)
        self._arrivals[position] += 1.0
        if position <= self.position:
            self._offered_requests += 1

    def record_shed(self, importance: int, cohort: int) -> None:
        """Count a shed request; no less important class is admitted from now on."""
        self.admission_floor = min(self.admission_floor, importance)
        self.record_excess(importance, cohort)

    def record_excess(self, importance: int, cohort: int) -> None:
        """Count a request that exceeded the server's capacity."""
        if self._position_of(importance, cohort) <= self.position:
            self._excess_requests += 1

    def update_occupancy(self, occupancy: int, queued: int, now: float) -> None:
        """Record a change of the number of requests at the server.

        `occupancy` is the number running and queued until now, `queued` the
        length of the queue from now on.
        """
        self._request_seconds += occupancy * (now - self._occupancy_updated_at)
        self._occupancy_updated_at = now
        if queued < self._min_queue_length:
            self._min_queue_length = queued

    def end_interval(
        self, running: int, queued: int, limit: float, queue_capacity: int, now: float
    ) -> None:
        """Adjust the threshold and start the next interval.

        `limit` is the number of requests that run at once when the server is fully
        used.
        """
        self.update_occupancy(running + queued, queued, now)
        mean_occupancy = self._request_seconds / (now - self._interval_started_at)
        standing = self._min_queue_length * 2 > queue_capacity
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
        elif mean_occupancy < limit + TARGET_QUEUE_RATIO * queue_capacity:
            self._step_cohorts = FIRST_STEP_COHORTS
            self._raise()
        self._arrivals = [count * ARRIVALS_DECAY for count in self._arrivals]
        self._start_interval(queued, now)

    def skip_idle_intervals(self, intervals: int) -> None:
        """Raise the threshold for further intervals without any request."""
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
            # Only whole classes are rejected, the most important one never.
            position = max(1, (position + 1) // COHORT_COUNT) * COHORT_COUNT - 1
        self.position = position
