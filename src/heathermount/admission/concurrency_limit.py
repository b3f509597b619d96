"""Adaptive concurrency limit of one backend server.

Signals of overload, from strong to weak:

* The server itself refuses requests (503 with the not-run header). This is
  certain evidence of its own overload and may lower the limit down to 1.
* Its own service time (without waits for downstream calls, see `Permit`) rises
  above twice its baseline while the server reports a queue of its own. The
  report may be wrong, so the limit stays at an eighth of the slots or above.
* Its own service time rises, but no queue is reported. This may have another
  cause, such as downstream calls that the node cannot see, so the limit stays
  at half of the slots or above.

A slow downstream service therefore never collapses the limits of its callers:
unless their servers shed, they keep at least half of their slots. If service
time does not fall after the limit was lowered, concurrency was not the cause.
The current service time then becomes the baseline and the limit recovers.
"""

import math
from typing import Final

from heathermount.admission.requests import RunResult

__all__ = ["DECISION_INTERVAL_S", "AdaptiveLimit", "ServiceTimeEstimate"]

# Period of adjustments. It is longer than a round trip between nodes, so that
# the effect of one adjustment shows before the next.
DECISION_INTERVAL_S: Final = 0.1

# Share of the slots regained per interval. The limit grows from 1 to all slots
# within 2 s, the recovery target.
GROWTH_RATIO_PER_INTERVAL: Final = 0.05

# Slower growth while the limit is between these multiples of the limit at which
# the server last shed. With fast growth there, a server that sheds at 30 of 50
# announced slots served only 85% of its capacity.
SLOW_GROWTH_RATIO_PER_INTERVAL: Final = 0.01
SLOW_GROWTH_MIN_RATIO: Final = 0.9
SLOW_GROWTH_MAX_RATIO: Final = 1.1

# The limit at the last shed is forgotten after this time without another one.
SHED_LIMIT_TTL_S: Final = 5.0

# After sheds by the server, the limit falls by the mean number of slots that the
# shed requests held, by at least one slot and at most this share. The number of
# shed requests would overstate the excess, because a single excess slot sheds
# many requests in a row.
MAX_SHED_CUT_RATIO: Final = 0.3
MIN_SHED_DURATION_S: Final = 0.0001

# Service time is slow above this multiple of its baseline, given enough samples.
# The limit then falls by this share per interval.
SLOW_CUT_RATIO: Final = 0.1
SLOW_BASELINE_FACTOR: Final = 2.0
SLOW_MIN_SAMPLES: Final = 5

# Smallest rise over the baseline that counts as slow. Scheduling delays of a few
# milliseconds can multiply a short service time without any overload.
SLOW_MIN_RISE_S: Final = 0.01

# After this many consecutive slow intervals, service time must have fallen below
# this share of its value in the first one, or concurrency is not the cause.
CUT_TRIAL_INTERVALS: Final = 5
CUT_EFFECTIVE_RATIO: Final = 0.9

# Lowest limits that slow service alone and slow service with a reported queue
# can cause, as shares of the slots.
SLOW_FLOOR_RATIO: Final = 0.5
QUEUED_FLOOR_RATIO: Final = 0.125

# Older load reports of the backend server are ignored.
LOAD_REPORT_TTL_S: Final = 1.0

# Share of its slots with which a cold server starts.
COLD_START_RATIO: Final = 0.1

# Smoothing weights of the baseline towards lower and higher interval means. The
# upward weight gives a time constant of 50 s: a lasting change of the service
# becomes the new baseline, an overload of a few seconds does not.
BASELINE_WEIGHT_DOWN: Final = 0.3
BASELINE_WEIGHT_UP: Final = 0.002

# Smoothing weights of the mean and of the shortest service time.
MEAN_TIME_WEIGHT: Final = 0.3
SHORTEST_TIME_WEIGHT: Final = 0.2


class ServiceTimeEstimate:
    """Estimates of the service time from successful requests, in seconds."""

    __slots__ = (
        "_count",
        "_minimum_s",
        "_own_sum_s",
        "_total_sum_s",
        "baseline_s",
        "latest_own_s",
        "mean_total_s",
        "shortest_total_s",
    )

    def __init__(self) -> None:
        # Usual service time without waits for downstream calls.
        self.baseline_s = 0.0
        # The same in the last interval.
        self.latest_own_s = 0.0
        # Recent mean time for which a request holds a slot.
        self.mean_total_s = 0.0
        # Smoothed minimum over the requests of an interval. A request with less
        # time left before its deadline cannot succeed, even on the fastest route.
        self.shortest_total_s = 0.0
        self._count = 0
        self._own_sum_s = 0.0
        self._total_sum_s = 0.0
        self._minimum_s = math.inf

    def record(self, own_s: float, total_s: float) -> None:
        self._count += 1
        self._own_sum_s += own_s
        self._total_sum_s += total_s
        if total_s < self._minimum_s:
            self._minimum_s = total_s

    def end_interval(self) -> bool:
        """Update the estimates; return whether the interval's own time was slow."""
        count = self._count
        if count == 0:
            return False
        own_s = self._own_sum_s / count
        total_s = self._total_sum_s / count
        minimum_s = self._minimum_s
        self._reset()
        self.latest_own_s = own_s
        if self.mean_total_s == 0.0:
            self.baseline_s, self.mean_total_s, self.shortest_total_s = (
                own_s,
                total_s,
                minimum_s,
            )
            return False
        high_s = max(
            SLOW_BASELINE_FACTOR * self.baseline_s, self.baseline_s + SLOW_MIN_RISE_S
        )
        slow = count >= SLOW_MIN_SAMPLES and own_s > high_s
        self.mean_total_s += MEAN_TIME_WEIGHT * (total_s - self.mean_total_s)
        self.shortest_total_s += SHORTEST_TIME_WEIGHT * (
            minimum_s - self.shortest_total_s
        )
        weight = BASELINE_WEIGHT_DOWN if own_s < self.baseline_s else BASELINE_WEIGHT_UP
        self.baseline_s += weight * (own_s - self.baseline_s)
        return slow

    def _reset(self) -> None:
        self._count = 0
        self._own_sum_s = 0.0
        self._total_sum_s = 0.0
        self._minimum_s = math.inf


class AdaptiveLimit:
    """Limit on the number of requests that run at the backend server at once.

    `slots` is the number of requests that the server announced it can run at
    once; `value` is between 1 and `slots`. All times are monotonic.
    """

    __slots__ = (
        "_adaptive",
        "_cold_start_s",
        "_first_slow_own_s",
        "_interval_started_at",
        "_last_shed_at",
        "_last_shed_limit",
        "_limit",
        "_peak_running",
        "_reported_at",
        "_reported_queue",
        "_shed_slot_seconds",
        "_slow_intervals",
        "_started_at",
        "service_time",
        "slots",
        "value",
    )

    def __init__(
        self, slots: int, adaptive: bool, now: float, cold_start_s: float = 0.0
    ) -> None:
        self._adaptive = adaptive
        self._reported_at = now - 2 * LOAD_REPORT_TTL_S
        self._reported_queue = 0
        self._interval_started_at = now
        self._shed_slot_seconds = 0.0
        self._peak_running = 0
        self.resize(slots, now, cold_start_s)

    def resize(self, slots: int, now: float, cold_start_s: float = 0.0) -> None:
        """Reset the limit and the estimates for newly announced slots."""
        self.slots = max(1, slots)
        self.service_time = ServiceTimeEstimate()
        self._limit = float(self.slots)
        self._last_shed_limit = math.inf
        self._last_shed_at = now
        self._slow_intervals = 0
        self._first_slow_own_s = 0.0
        self._started_at = now
        self._cold_start_s = cold_start_s
        self._set_value(now)

    def record_server_queue(self, queued: int, now: float) -> None:
        """Record the queue length that the backend server itself reported."""
        self._reported_queue = queued
        self._reported_at = now

    def record_start(self, running: int) -> None:
        self._peak_running = max(self._peak_running, running)

    def record_end(self, result: RunResult, own_s: float, total_s: float) -> None:
        if result is RunResult.OK:
            self.service_time.record(own_s, total_s)
        elif result is RunResult.SHED_BY_SERVER:
            self._shed_slot_seconds += max(total_s, MIN_SHED_DURATION_S)

    def end_elapsed_intervals(self, now: float) -> None:
        """Adjust the limit if at least one interval has passed."""
        intervals = int((now - self._interval_started_at) / DECISION_INTERVAL_S)
        if intervals < 1:
            return
        slow = self.service_time.end_interval()
        if self._shed_slot_seconds > 0.0:
            self._last_shed_limit = self._used_concurrency()
            self._last_shed_at = now
            excess = self._shed_slot_seconds / (now - self._interval_started_at)
            self._decrease(
                min(MAX_SHED_CUT_RATIO, excess / self._used_concurrency()), 1.0
            )
        elif slow and self._may_be_caused_by_concurrency():
            floor_ratio = (
                QUEUED_FLOOR_RATIO if self._server_has_queue(now) else SLOW_FLOOR_RATIO
            )
            self._decrease(SLOW_CUT_RATIO, max(1.0, floor_ratio * self.slots))
        else:
            self._increase(intervals, now)
        if not slow:
            self._slow_intervals = 0
        self._start_interval(now)
        self._set_value(now)

    def _may_be_caused_by_concurrency(self) -> bool:
        """Return whether slow service may be caused by the concurrency.

        Counts consecutive slow intervals. Once lowering the limit has not helped
        for too long, the current service time becomes the baseline.
        """
        service_time = self.service_time
        self._slow_intervals += 1
        if self._slow_intervals == 1:
            self._first_slow_own_s = service_time.latest_own_s
        if self._slow_intervals <= CUT_TRIAL_INTERVALS:
            return True
        if service_time.latest_own_s < CUT_EFFECTIVE_RATIO * self._first_slow_own_s:
            return True
        service_time.baseline_s = service_time.latest_own_s
        return False

    def _used_concurrency(self) -> float:
        """Return the highest concurrency of the interval, at most the limit."""
        return min(self._limit, float(max(1, self._peak_running)))

    def _decrease(self, ratio: float, min_limit: float) -> None:
        used = self._used_concurrency()
        target = used - max(1.0, used * ratio)
        self._limit = min(self._limit, max(min_limit, target))

    def _increase(self, intervals: int, now: float) -> None:
        if now - self._last_shed_at > SHED_LIMIT_TTL_S:
            self._last_shed_limit = math.inf
        for _ in range(min(intervals, self.slots)):
            ratio = GROWTH_RATIO_PER_INTERVAL
            if (
                SLOW_GROWTH_MIN_RATIO
                <= self._limit / self._last_shed_limit
                <= SLOW_GROWTH_MAX_RATIO
            ):
                if self._peak_running < int(self._limit):
                    # An unused limit does not show whether the server would shed.
                    break
                ratio = SLOW_GROWTH_RATIO_PER_INTERVAL
            self._limit += max(0.5, ratio * self.slots)
        self._limit = min(self._limit, float(self.slots))

    def _server_has_queue(self, now: float) -> bool:
        fresh = now - self._reported_at <= LOAD_REPORT_TTL_S
        return fresh and self._reported_queue > 0

    def _start_interval(self, now: float) -> None:
        self._interval_started_at = now
        self._shed_slot_seconds = 0.0
        self._peak_running = 0

    def _set_value(self, now: float) -> None:
        limit = self._limit if self._adaptive else float(self.slots)
        self.value = max(1, int(min(limit, self._cold_start_limit(now))))

    def _cold_start_limit(self, now: float) -> float:
        if self._cold_start_s <= 0.0:
            return float(self.slots)
        warm = min(1.0, (now - self._started_at) / self._cold_start_s)
        return self.slots * (COLD_START_RATIO + (1.0 - COLD_START_RATIO) * warm)
