"""Admission of requests to one backend server."""

import asyncio
from random import Random
from typing import Final, Self

import anyio

from heathermount.admission.concurrency_limit import DECISION_INTERVAL_S, AdaptiveLimit
from heathermount.admission.queue import QueuedRequest, QueuedState, RequestQueue
from heathermount.admission.rate_limit import ServerRateLimit
from heathermount.admission.requests import (
    AdmissionCounts,
    AdmissionRequest,
    DeadlinePassed,
    Draining,
    Permit,
    RunResult,
    Shed,
)
from heathermount.admission.shedding import ThresholdController
from heathermount.clocks import Clock
from heathermount.config.settings import PolicySettings
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.values import Load, Threshold

__all__ = ["AdmissionController"]

# The queue holds as many requests as the concurrency limit, so that a full queue
# waits about one service time, but at least this many.
MIN_QUEUE_CAPACITY: Final = 8

# Longest wait in the queue of a server that limits its rate, if the rate allows more
# than one request to wait. Such a queue only orders requests by importance.
RATE_QUEUE_S: Final = 0.25

# Shortest delay of the timer that dispatches the next request of a limited server.
MIN_DISPATCH_DELAY_S: Final = 0.001

# The queue of a class is standing when a request has waited for this many mean
# service times and at least this many seconds. A full queue is served within one
# service time, so this happens only when service slows down.
STANDING_SERVICE_TIMES: Final = 2.0
MIN_STANDING_WAIT_S: Final = 0.05

# Time for which queued requests are still served during a drain. A leaving server
# must get no new work after 3 s.
DRAIN_QUEUE_TIMEOUT_S: Final = 2.0

# Mean of the random Retry-After delay. Thresholds expire after 1 s.
MEAN_RETRY_AFTER_S: Final = 1.0


class AdmissionController:
    """Admits, queues or sheds the requests for one backend server.

    All methods run on one event loop. Invariants checked at run time:

    * `shed-order`: when a request is shed because the queue is full, no request
      of a less important class is waiting.
    * `admitted-below-shed`: within an interval of 0.1 s, no request of a class is
      admitted after one of a more important class was shed here, or while this
      server's threshold makes entry nodes refuse a part of a more important
      class. Requests that were admitted earlier in the interval keep running.
      Refusals because of a deadline or a drain are not sheds, because they do
      not depend on overload.
    * `limit-exceeded`: a request is admitted only below the concurrency limit.
    * `released-twice`: a permit is released exactly once.
    """

    __slots__ = (
        "_clock",
        "_dispatch_timer",
        "_drained_event",
        "_draining",
        "_events",
        "_interval_started_at",
        "_invariants",
        "_limit",
        "_policy",
        "_queue",
        "_random",
        "_rate_limit",
        "_running",
        "_threshold_controller",
        "counts",
    )

    def __init__(
        self,
        policy: PolicySettings,
        clock: Clock,
        random: Random,
        limit: AdaptiveLimit,
        rate_limit: ServerRateLimit,
        events: EventLog,
        invariants: Invariants,
    ) -> None:
        self.counts = AdmissionCounts()
        self._policy = policy
        self._clock = clock
        self._random = random
        self._events = events
        self._invariants = invariants
        self._limit = limit
        # Rate that the server itself states.
        self._rate_limit = rate_limit
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._queue = RequestQueue(policy.fair_queueing, policy.cohorts)
        self._threshold_controller = ThresholdController(
            clock.monotonic(), policy.cohorts
        )
        self._running = 0
        self._draining = False
        self._drained_event: anyio.Event | None = None
        self._interval_started_at = clock.monotonic()

    @classmethod
    def from_config(
        cls,
        policy: PolicySettings,
        clock: Clock,
        random: Random,
        slots: int,
        events: EventLog,
        invariants: Invariants,
        rate_limit: ServerRateLimit | None = None,
    ) -> Self:
        """Create a controller for a server that announced this many slots.

        `rate_limit` is for servers that may state a limit in their answers.
        """
        limit = AdaptiveLimit(slots, policy.adaptive_limit, clock.monotonic())
        if rate_limit is None:
            rate_limit = ServerRateLimit()
        return cls(policy, clock, random, limit, rate_limit, events, invariants)

    async def admit(self, request: AdmissionRequest) -> Permit:
        """Wait until the request may run.

        Raises Shed, DeadlinePassed or Draining if the request must not run. If
        the waiting task is cancelled, its request is removed from the queue, and
        a permit that was granted at the same moment is released.
        """
        now = self._clock.monotonic()
        if self._draining:
            raise self._make_refusal(QueuedState.DRAINED)
        if not self._policy.admission:
            return self._grant(request, now)
        self._end_elapsed_intervals(now)
        if not request.may_wait and self._rate_wait_s(now) > 0.0:
            # Another server takes it, so that it is no excess of the service.
            raise self._make_refusal(QueuedState.SHED)
        threshold_controller = self._threshold_controller
        threshold_controller.record_arrival(request.importance, request.cohort)
        remaining_s = request.deadline - now
        if remaining_s <= 0.0:
            raise self._make_refusal(QueuedState.EXPIRED)
        if request.importance > threshold_controller.admission_floor:
            threshold_controller.record_excess(request.importance, request.cohort)
            raise self._make_refusal(QueuedState.SHED)
        if self._running < self._limit.value and not len(self._queue):
            # An idle server runs any request, so that a wrong estimate of the
            # service time corrects itself.
            if (
                self._running
                and remaining_s < self._limit.service_time.shortest_total_s
            ):
                raise self._make_refusal(QueuedState.EXPIRED)
            if self._rate_limit.try_take(self._running, now):
                return self._grant(request, now)
        return await self._wait_in_queue(request, now)

    def release(self, permit: Permit, result: RunResult) -> None:
        """Release a permit after its request has ended."""
        if not self._invariants.check(not permit.released, "released-twice"):
            return
        permit.released = True
        now = self._clock.monotonic()
        occupancy = self._running + len(self._queue)
        self._running -= 1
        self._limit.record_end(
            result, permit.compute_own_time_s(now), now - permit.granted_at
        )
        self._end_elapsed_intervals(now)
        self._dispatch(now)
        self._threshold_controller.update_occupancy(occupancy, len(self._queue), now)

    def threshold(self) -> Threshold:
        """Return the admission threshold for entry nodes."""
        if not self._policy.admission:
            return Threshold()
        self._end_elapsed_intervals(self._clock.monotonic())
        return self._threshold_controller.threshold()

    def load(self) -> Load:
        rate = self._rate_limit.rate
        if rate is None:
            return Load(self._running, len(self._queue), self._limit.value)
        wait_s = self._rate_wait_s(self._clock.monotonic())
        return Load(self._running, len(self._queue), self._limit.value, rate, wait_s)

    def resize(self, slots: int, cold_start_s: float = 0.0) -> None:
        """Apply the slots of a new announcement by the backend server."""
        now = self._clock.monotonic()
        self._limit.resize(slots, now, cold_start_s)
        self._dispatch(now)

    def update_server_queue(self, queued: int) -> None:
        """Record the queue length from the backend server's own load report."""
        self._limit.record_server_queue(queued, self._clock.monotonic())

    def update_rate_limit(self, stated_rate: float | None) -> None:
        """Apply the rate that the backend server states in an answer, if any."""
        now = self._clock.monotonic()
        if self._rate_limit.update(stated_rate, now):
            self._cancel_dispatch_timer()
            self._shed_excess()
            self._dispatch(now)

    async def drain(self) -> None:
        """Refuse new requests; return when none is running or after `resume`.

        Requests that are already queued are served for up to 2 s, then refused.
        """
        if not self._draining:
            self._draining = True
            self._drained_event = anyio.Event()
            self._events.record("drain-started", running=self._running)
        drained_event = self._drained_event
        assert drained_event is not None
        self._signal_if_drained()
        with anyio.move_on_after(DRAIN_QUEUE_TIMEOUT_S):
            await drained_event.wait()
            return
        if self._draining:
            self._queue.settle_all(QueuedState.DRAINED)
            self._signal_if_drained()
        await drained_event.wait()

    def resume(self) -> None:
        """Admit requests again after a drain."""
        self._draining = False
        if self._drained_event is not None:
            self._drained_event.set()
            self._drained_event = None

    async def _wait_in_queue(self, request: AdmissionRequest, now: float) -> Permit:
        entry = self._enqueue(request, now)
        self._schedule_dispatch(now)
        if entry.state is QueuedState.WAITING:
            entry.settled_event = anyio.Event()
            timeout_s = (
                request.deadline - now - self._limit.service_time.shortest_total_s
            )
            try:
                with anyio.move_on_after(timeout_s):
                    await entry.settled_event.wait()
            except BaseException:
                self._clean_up_cancelled(entry)
                raise
        if entry.permit is not None:
            return entry.permit
        if entry.state is QueuedState.WAITING:
            self._remove_waiting(entry, QueuedState.EXPIRED)
            self._threshold_controller.record_excess(request.importance, request.cohort)
        raise self._make_refusal(entry.state)

    def _enqueue(self, request: AdmissionRequest, now: float) -> QueuedRequest:
        service_time = self._limit.service_time
        wait_s = 0.0
        if not self._queue.is_standing(request.importance, self._standing_cutoff(now)):
            ahead = self._queue.count_ahead(request.importance)
            wait_s = ahead * service_time.mean_total_s / self._limit.value
            if self._rate_limit.rate is not None:
                wait_s = max(wait_s, ahead / self._rate_limit.rate)
        if request.deadline - now < wait_s + service_time.shortest_total_s:
            self._threshold_controller.record_excess(request.importance, request.cohort)
            raise self._make_refusal(QueuedState.EXPIRED)
        entry = self._queue.push(request, now)
        self._shed_excess()
        return entry

    def _shed_excess(self) -> None:
        """Shed requests beyond the queue's capacity or below the admission floor."""
        while (
            len(self._queue) > self._queue_capacity()
            or self._queue.least_important_class()
            > self._threshold_controller.admission_floor
        ):
            first_to_shed = self._queue.peek_first_to_shed()
            assert first_to_shed is not None
            self._queue.remove(first_to_shed, QueuedState.SHED)
            request = first_to_shed.request
            self._invariants.check(
                self._queue.least_important_class() <= request.importance,
                "shed-order",
                root=request.root,
                importance=request.importance,
            )
            self._threshold_controller.record_shed(request.importance, request.cohort)

    def _dispatch(self, now: float) -> None:
        """Grant free slots to waiting requests."""
        queue = self._queue
        if len(queue):
            self._drop_expired(now)
            standing_cutoff = self._standing_cutoff(now)
            while (
                len(queue)
                and self._running < self._limit.value
                and self._rate_limit.try_take(self._running, now)
            ):
                entry = queue.pop(standing_cutoff)
                assert entry is not None
                entry.permit = self._grant(entry.request, now)
                entry.settle(QueuedState.GRANTED)
            self._schedule_dispatch(now)
        self._signal_if_drained()

    def _schedule_dispatch(self, now: float) -> None:
        """Dispatch again when the server's rate allows the next request."""
        if not len(self._queue) or self._running >= self._limit.value:
            # A release dispatches the next one.
            return
        if self._dispatch_timer is not None:
            return
        delay_s = self._rate_limit.compute_wait_s(self._running, now)
        self._dispatch_timer = asyncio.get_running_loop().call_later(
            max(MIN_DISPATCH_DELAY_S, delay_s), self._dispatch_scheduled
        )

    def _cancel_dispatch_timer(self) -> None:
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None

    def _dispatch_scheduled(self) -> None:
        self._dispatch_timer = None
        now = self._clock.monotonic()
        self._end_elapsed_intervals(now)
        self._dispatch(now)

    def _rate_wait_s(self, now: float) -> float:
        """Return the wait of one more request because of the server's stated rate."""
        if self._rate_limit.rate is None:
            return 0.0
        return self._rate_limit.compute_wait_s(self._running, now, len(self._queue))

    def _drop_expired(self, now: float) -> None:
        self._queue.drop_expired(now + self._limit.service_time.shortest_total_s)

    def _grant(self, request: AdmissionRequest, now: float) -> Permit:
        if self._policy.admission:
            self._invariants.check(
                request.importance <= self._threshold_controller.admission_floor,
                "admitted-below-shed",
                root=request.root,
                importance=request.importance,
            )
            self._invariants.check(
                self._running < self._limit.value, "limit-exceeded", root=request.root
            )
        self.counts.admitted += 1
        self._running += 1
        self._limit.record_start(self._running)
        return Permit(request, now)

    def _clean_up_cancelled(self, entry: QueuedRequest) -> None:
        """Release the permit or remove the entry of a task that was cancelled."""
        if entry.permit is not None:
            self.release(entry.permit, RunResult.CANCELLED)
        elif entry.state is QueuedState.WAITING:
            self.counts.cancelled += 1
            self._remove_waiting(entry, QueuedState.CANCELLED)

    def _remove_waiting(self, entry: QueuedRequest, state: QueuedState) -> None:
        self._queue.remove(entry, state)
        self._signal_if_drained()

    def _signal_if_drained(self) -> None:
        if self._drained_event is None or self._running or len(self._queue):
            return
        if not self._drained_event.is_set():
            self._events.record("drain-ended")
            self._drained_event.set()

    def _end_elapsed_intervals(self, now: float) -> None:
        """Adjust limit and threshold if at least one interval has passed."""
        intervals = int((now - self._interval_started_at) / DECISION_INTERVAL_S)
        if intervals < 1:
            return
        self._interval_started_at = now
        self._limit.end_elapsed_intervals(now)
        threshold_controller = self._threshold_controller
        rejected_any_before = threshold_controller.rejects_any
        queued = len(self._queue)
        threshold_controller.end_interval(
            self._running,
            queued,
            self._sustainable_concurrency(),
            self._queue_capacity(),
            now,
        )
        if intervals > 1 and self._running < self._limit.value:
            threshold_controller.skip_idle_intervals(intervals - 1)
        if threshold_controller.rejects_any != rejected_any_before:
            kind = (
                "shedding-started"
                if threshold_controller.rejects_any
                else "shedding-ended"
            )
            self._events.record(kind, running=self._running, queued=queued)
        self._shed_excess()
        self._dispatch(now)

    def _standing_cutoff(self, now: float) -> float:
        """Return the time such that a request queued before it has waited too long."""
        mean_total_s = self._limit.service_time.mean_total_s
        return now - max(MIN_STANDING_WAIT_S, STANDING_SERVICE_TIMES * mean_total_s)

    def _sustainable_concurrency(self) -> float:
        """Return how many requests run at once when the server is fully used."""
        limit = float(self._limit.value)
        if self._rate_limit.rate is None:
            return limit
        return min(limit, self._rate_limit.rate * self._limit.service_time.mean_total_s)

    def _queue_capacity(self) -> int:
        capacity = max(MIN_QUEUE_CAPACITY, self._limit.value)
        if self._rate_limit.rate is None:
            return capacity
        return min(capacity, max(1, int(RATE_QUEUE_S * self._rate_limit.rate)))

    def _make_refusal(self, state: QueuedState) -> Shed | DeadlinePassed | Draining:
        """Count a refusal and return the exception to raise."""
        if state is QueuedState.DRAINED:
            self.counts.draining += 1
            return Draining()
        if state is QueuedState.EXPIRED:
            self.counts.deadline_passed += 1
            return DeadlinePassed()
        self.counts.shed += 1
        mean_s = max(MEAN_RETRY_AFTER_S, self._rate_wait_s(self._clock.monotonic()))
        # Jitter, so that refused callers do not all retry at the same time.
        return Shed(mean_s * self._random.uniform(0.5, 1.5))
