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

from heathermount.admission.tickets import RunResult

__all__ = ["INTERVAL_S", "AdaptiveLimit", "ServiceTime"]

# Period of decisions, in seconds: longer than a round trip between nodes, so
# that the effect of one decision is seen before the next.
INTERVAL_S: Final = 0.1

# Share of the slots regained per interval: 1 to full in 2 s, the recovery target.
GROWTH: Final = 0.05

# Share regained per interval between these shares of the limit at which the
# server last shed. With fast growth up to that limit, a server that sheds at 30
# of 50 announced slots served 85% of its capacity.
SLOW_GROWTH: Final = 0.01
NEAR_CEILING: Final = 0.9
ABOVE_CEILING: Final = 1.1

# That limit is forgotten after this time without a shed, in seconds.
CEILING_VALIDITY_S: Final = 5.0

# A cut after the server shed requests is the mean number of slots that these
# requests held, at least one slot and at most this share. Their count would
# overstate the excess: one slot too many sheds again and again.
MAX_CUT: Final = 0.3
SHORTEST_SHED_S: Final = 0.0001

# Cut per interval while service time is high.
SLOW_CUT: Final = 0.1
SLOW_FACTOR: Final = 2.0
SLOW_SAMPLES: Final = 5

# Least rise that counts as slow, in seconds: scheduling delays of some
# milliseconds multiply a short service time without any overload.
SLOW_MARGIN_S: Final = 0.01

# After this many slow intervals, service time must have fallen to this share
# of its value at the first one, else concurrency was not the cause.
TRIAL_INTERVALS: Final = 5
TRIAL_SHARE: Final = 0.9

# Floors of the weak signals, as shares of the slots.
SLOW_FLOOR: Final = 0.5
QUEUED_FLOOR: Final = 0.125

# Load reports of the backend server older than this are ignored, in seconds.
REPORT_VALIDITY_S: Final = 1.0

# A cold server starts with this share of its slots.
COLD_SHARE: Final = 0.1

# Weights with which the baseline follows lower and higher interval means. The
# upward weight gives a time constant of 50 s: a lasting change of the service
# becomes the new baseline, an overload of some seconds does not.
BASELINE_DOWN: Final = 0.3
BASELINE_UP: Final = 0.002
MEAN_WEIGHT: Final = 0.3

# Weight of the shortest service time of the last interval.
SHORTEST_WEIGHT: Final = 0.2


class ServiceTime:
    """Estimates of the service time from successful requests, in seconds."""

    __slots__ = (
        "_count",
        "_minimum_s",
        "_own_s",
        "_total_s",
        "baseline_s",
        "latest_s",
        "mean_s",
        "shortest_s",
    )

    def __init__(self) -> None:
        # Usual service time without waits for deeper calls.
        self.baseline_s = 0.0
        # The same in the last interval.
        self.latest_s = 0.0
        # Recent mean time until a slot is free again.
        self.mean_s = 0.0
        # Usual shortest time of an interval: a request with less time left
        # cannot succeed, even on the fastest route.
        self.shortest_s = 0.0
        self._count = 0
        self._own_s = 0.0
        self._total_s = 0.0
        self._minimum_s = math.inf

    def add(self, own_s: float, total_s: float) -> None:
        self._count += 1
        self._own_s += own_s
        self._total_s += total_s
        if total_s < self._minimum_s:
            self._minimum_s = total_s

    def roll(self) -> bool:
        """End an interval; tell whether its own service time was high."""
        count = self._count
        if count == 0:
            return False
        own_s = self._own_s / count
        total_s = self._total_s / count
        minimum_s = self._minimum_s
        self._reset()
        self.latest_s = own_s
        if self.mean_s == 0.0:
            self.baseline_s, self.mean_s, self.shortest_s = own_s, total_s, minimum_s
            return False
        high_s = max(SLOW_FACTOR * self.baseline_s, self.baseline_s + SLOW_MARGIN_S)
        slow = count >= SLOW_SAMPLES and own_s > high_s
        self.mean_s += MEAN_WEIGHT * (total_s - self.mean_s)
        self.shortest_s += SHORTEST_WEIGHT * (minimum_s - self.shortest_s)
        weight = BASELINE_DOWN if own_s < self.baseline_s else BASELINE_UP
        self.baseline_s += weight * (own_s - self.baseline_s)
        return slow

    def _reset(self) -> None:
        self._count = 0
        self._own_s = 0.0
        self._total_s = 0.0
        self._minimum_s = math.inf


class AdaptiveLimit:
    """How many requests may run at the backend server at the same time.

    `value` is between 1 and the announced slots. All times are monotonic.
    """

    __slots__ = (
        "_adaptive",
        "_ceiling",
        "_ceiling_at",
        "_cold_start_s",
        "_limit",
        "_peak",
        "_reported_at",
        "_reported_queue",
        "_rolled_at",
        "_shed_s",
        "_slow_intervals",
        "_slow_s",
        "_started_at",
        "slots",
        "times",
        "value",
    )

    def __init__(
        self, slots: int, adaptive: bool, now: float, cold_start_s: float = 0.0
    ) -> None:
        self._adaptive = adaptive
        self._reported_at = now - 2 * REPORT_VALIDITY_S
        self._reported_queue = 0
        self._rolled_at = now
        self._shed_s = 0.0
        self._peak = 0
        self.resize(slots, now, cold_start_s)

    def resize(self, slots: int, now: float, cold_start_s: float = 0.0) -> None:
        """Start over for a server that announced its slots."""
        self.slots = max(1, slots)
        self.times = ServiceTime()
        self._limit = float(self.slots)
        self._ceiling = math.inf
        self._ceiling_at = now
        self._slow_intervals = 0
        self._slow_s = 0.0
        self._started_at = now
        self._cold_start_s = cold_start_s
        self._update(now)

    def report(self, queued: int, now: float) -> None:
        """Take the queue length which the backend server reports itself."""
        self._reported_queue = queued
        self._reported_at = now

    def started(self, running: int) -> None:
        self._peak = max(self._peak, running)

    def finished(self, result: RunResult, own_s: float, total_s: float) -> None:
        if result is RunResult.OK:
            self.times.add(own_s, total_s)
        elif result is RunResult.SHED_BY_SERVER:
            self._shed_s += max(total_s, SHORTEST_SHED_S)

    def advance(self, now: float) -> None:
        """Decide anew when at least one interval has passed."""
        intervals = int((now - self._rolled_at) / INTERVAL_S)
        if intervals < 1:
            return
        slow = self.times.roll()
        if self._shed_s > 0.0:
            self._ceiling = self._base()
            self._ceiling_at = now
            excess = self._shed_s / (now - self._rolled_at)
            self._cut(min(MAX_CUT, excess / self._base()), 1.0)
        elif slow and self._concurrency_matters():
            floor = QUEUED_FLOOR if self._queues(now) else SLOW_FLOOR
            self._cut(SLOW_CUT, max(1.0, floor * self.slots))
        else:
            self._grow(intervals, now)
        if not slow:
            self._slow_intervals = 0
        self._start_interval(now)
        self._update(now)

    def _concurrency_matters(self) -> bool:
        """Tell whether slow service may be an effect of the concurrency."""
        times = self.times
        self._slow_intervals += 1
        if self._slow_intervals == 1:
            self._slow_s = times.latest_s
        if self._slow_intervals <= TRIAL_INTERVALS:
            return True
        if times.latest_s < TRIAL_SHARE * self._slow_s:
            return True
        times.baseline_s = times.latest_s
        return False

    def _base(self) -> float:
        """Return the concurrency that the server really had."""
        return min(self._limit, float(max(1, self._peak)))

    def _cut(self, share: float, floor: float) -> None:
        base = self._base()
        target = base - max(1.0, base * share)
        self._limit = min(self._limit, max(floor, target))

    def _grow(self, intervals: int, now: float) -> None:
        if now - self._ceiling_at > CEILING_VALIDITY_S:
            self._ceiling = math.inf
        for _ in range(min(intervals, self.slots)):
            share = GROWTH
            if NEAR_CEILING <= self._limit / self._ceiling <= ABOVE_CEILING:
                if self._peak < int(self._limit):
                    # An unused limit says nothing about the server.
                    break
                share = SLOW_GROWTH
            self._limit += max(0.5, share * self.slots)
        self._limit = min(self._limit, float(self.slots))

    def _queues(self, now: float) -> bool:
        fresh = now - self._reported_at <= REPORT_VALIDITY_S
        return fresh and self._reported_queue > 0

    def _start_interval(self, now: float) -> None:
        self._rolled_at = now
        self._shed_s = 0.0
        self._peak = 0

    def _update(self, now: float) -> None:
        limit = self._limit if self._adaptive else float(self.slots)
        self.value = max(1, int(min(limit, self._ramp(now))))

    def _ramp(self, now: float) -> float:
        if self._cold_start_s <= 0.0:
            return float(self.slots)
        warm = min(1.0, (now - self._started_at) / self._cold_start_s)
        return self.slots * (COLD_SHARE + (1.0 - COLD_SHARE) * warm)
