"""Adaptive concurrency limit of one backend server.

Signals, from strong to weak:

* The server itself refuses requests (503 with the not-run header). This is
  certain evidence of its own overload and may lower the limit down to 1.
* Its own service time (without waits for deeper calls, see `Permit`) rises
  above twice its baseline while the server reports a queue of its own. The
  report may mislead, so this lowers the limit to an eighth of the slots only.
* Its own service time rises alone. It may have another cause, such as deeper
  calls the node cannot see, so this lowers the limit to half the slots only.

A slow deeper service therefore never collapses the limit of the services
above it: without sheds they keep at least half of their slots. When service
time does not fall after cuts, concurrency was not its cause; then the present
time becomes the baseline and the limit recovers.
"""

import math
from typing import Final

from heathermount.admission.requests import RunResult

__all__ = ["DECISION_INTERVAL_S", "AdaptiveLimit", "ServiceTimeEstimate"]

# Period of decisions, in seconds: longer than a round trip between nodes, so
# that the effect of one decision is seen before the next.
DECISION_INTERVAL_S: Final = 0.1

# Share of the slots regained per interval: 1 to full in 2 s, the recovery target.
GROWTH_RATIO_PER_INTERVAL: Final = 0.05

# Share regained per interval between these shares of the limit at which the
# server last shed. With fast growth up to that limit, a server that sheds at 30
# of 50 announced slots served 85% of its capacity.
SLOW_GROWTH_RATIO_PER_INTERVAL: Final = 0.01
SLOW_GROWTH_MIN_RATIO: Final = 0.9
SLOW_GROWTH_MAX_RATIO: Final = 1.1

# That limit is forgotten after this time without a shed, in seconds.
SHED_LIMIT_TTL_S: Final = 5.0

# A cut after the server shed requests is the mean number of slots that these
# requests held, at least one slot and at most this share. Their count would
# overstate the excess: one slot too many sheds again and again.
MAX_SHED_CUT_RATIO: Final = 0.3
MIN_SHED_DURATION_S: Final = 0.0001

# Cut per interval while service time is high.
SLOW_CUT_RATIO: Final = 0.1
SLOW_BASELINE_FACTOR: Final = 2.0
SLOW_MIN_SAMPLES: Final = 5

# Least rise that counts as slow, in seconds: scheduling delays of some
# milliseconds multiply a short service time without any overload.
SLOW_MIN_RISE_S: Final = 0.01

# After this many slow intervals, service time must have fallen to this share
# of its value at the first one, else concurrency was not the cause.
CUT_TRIAL_INTERVALS: Final = 5
CUT_EFFECTIVE_RATIO: Final = 0.9

# Floors of the weak signals, as shares of the slots.
SLOW_FLOOR_RATIO: Final = 0.5
QUEUED_FLOOR_RATIO: Final = 0.125

# Load reports of the backend server older than this are ignored, in seconds.
LOAD_REPORT_TTL_S: Final = 1.0

# A cold server starts with this share of its slots.
COLD_START_RATIO: Final = 0.1

# Weights with which the baseline follows lower and higher interval means. The
# upward weight gives a time constant of 50 s: a lasting change of the service
# becomes the new baseline, an overload of some seconds does not.
BASELINE_WEIGHT_DOWN: Final = 0.3
BASELINE_WEIGHT_UP: Final = 0.002
MEAN_TIME_WEIGHT: Final = 0.3

# Weight of the shortest service time of the last interval.
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
        # Usual service time without waits for deeper calls.
        self.baseline_s = 0.0
        # The same in the last interval.
        self.latest_own_s = 0.0
        # Recent mean time until a slot is free again.
        self.mean_total_s = 0.0
        # Usual shortest time of an interval: a request with less time left
        # cannot succeed, even on the fastest route.
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
        """End an interval; tell whether its own service time was high."""
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
    """How many requests may run at the backend server at the same time.

    `value` is between 1 and the announced slots. All times are monotonic.
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
        """Start over for a server that announced its slots."""
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
        """Take the queue length which the backend server reports itself."""
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
        """Decide anew when at least one interval has passed."""
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
            floor = (
                QUEUED_FLOOR_RATIO if self._server_has_queue(now) else SLOW_FLOOR_RATIO
            )
            self._decrease(SLOW_CUT_RATIO, max(1.0, floor * self.slots))
        else:
            self._increase(intervals, now)
        if not slow:
            self._slow_intervals = 0
        self._start_interval(now)
        self._set_value(now)

    def _may_be_caused_by_concurrency(self) -> bool:
        """Tell whether slow service may be an effect of the concurrency."""
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
        """Return the concurrency that the server really had."""
        return min(self._limit, float(max(1, self._peak_running)))

    def _decrease(self, ratio: float, floor: float) -> None:
        used = self._used_concurrency()
        target = used - max(1.0, used * ratio)
        self._limit = min(self._limit, max(floor, target))

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
                    # An unused limit says nothing about the server.
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
