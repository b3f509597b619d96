"""Admission of requests to one backend server."""

from random import Random
from typing import Final, Self

import anyio

from heathermount.admission.limit import INTERVAL_S, AdaptiveLimit
from heathermount.admission.queue import Entry, EntryState, TicketQueue
from heathermount.admission.shedding import SheddingControl
from heathermount.admission.tickets import (
    AdmissionCounts,
    DeadlinePassed,
    Draining,
    Permit,
    RunResult,
    Shed,
    Ticket,
)
from heathermount.clocks import Clock
from heathermount.config.settings import PolicySettings
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.values import Load, Threshold

__all__ = ["AdmissionController"]

# Shortest queue bound, in requests; else the bound is the concurrency limit,
# so that a full queue waits about one service time.
MIN_CAPACITY: Final = 8

# The queue of a class stands when a request waits longer than this many
# service times, and at least this many seconds. A full queue is served oldest
# first within one service time, so that this happens when service slows down.
STANDING_TIMES: Final = 2.0
STANDING_S: Final = 0.05

# Queued requests are still served for this long during a drain, in seconds; a
# leaving server must get no new work after 3 s.
DRAIN_QUEUE_S: Final = 2.0

# Middle of the random Retry-After, in seconds: thresholds expire after 1 s.
RETRY_AFTER_S: Final = 1.0


class AdmissionController:
    """Admits, queues or sheds the requests for one backend server.

    Runs on one event loop. Invariants checked at run time:

    * `shed-order`: when a waiting or arriving request is shed because the
      queue is full, no request of a less important class waits.
    * `admitted-below-shed`: within one interval of 0.1 s, no request of a class
      is admitted after one of a more important class was shed here, nor while
      this server's threshold makes entry nodes refuse a part of a more
      important class. This is G6 for admissions that follow the refusal;
      requests that were admitted earlier in the interval keep running.
      Refusals because of a deadline or a drain are not sheds: they would have
      been made without any overload.
    * `limit-exceeded`: a queued request is granted only below the limit.
    * `released-twice`: a permit is released exactly once.
    """

    __slots__ = (
        "_clock",
        "_control",
        "_drained",
        "_draining",
        "_events",
        "_invariants",
        "_limit",
        "_policy",
        "_queue",
        "_random",
        "_rolled_at",
        "_running",
        "counts",
    )

    def __init__(
        self,
        policy: PolicySettings,
        clock: Clock,
        random: Random,
        limit: AdaptiveLimit,
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
        self._queue = TicketQueue(policy.fair_queueing, policy.cohorts)
        self._control = SheddingControl(clock.monotonic(), policy.cohorts)
        self._running = 0
        self._draining = False
        self._drained: anyio.Event | None = None
        self._rolled_at = clock.monotonic()

    @classmethod
    def from_config(
        cls,
        policy: PolicySettings,
        clock: Clock,
        random: Random,
        slots: int,
        events: EventLog,
        invariants: Invariants,
    ) -> Self:
        """Make a controller for a server with this many announced slots."""
        limit = AdaptiveLimit(slots, policy.adaptive_limit, clock.monotonic())
        return cls(policy, clock, random, limit, events, invariants)

    async def admit(self, ticket: Ticket) -> Permit:
        """Wait until the request may run.

        Raises Shed, DeadlinePassed or Draining; the request has not run then.
        A cancelled caller leaves the queue, and returns a permit that was
        granted at the same moment.
        """
        now = self._clock.monotonic()
        if self._draining:
            raise self._refusal(EntryState.DRAINED)
        if not self._policy.admission:
            return self._grant(ticket, now)
        self._advance(now)
        control = self._control
        control.arrived(ticket.importance, ticket.cohort)
        remaining_s = ticket.deadline - now
        if remaining_s <= 0.0:
            raise self._refusal(EntryState.EXPIRED)
        if ticket.importance > control.floor:
            control.missed(ticket.importance, ticket.cohort)
            raise self._refusal(EntryState.SHED)
        if self._running < self._limit.value and not len(self._queue):
            # An idle server always runs a request, so that a wrong estimate of
            # the service time corrects itself.
            if self._running and remaining_s < self._limit.times.shortest_s:
                raise self._refusal(EntryState.EXPIRED)
            return self._grant(ticket, now)
        return await self._wait(ticket, now)

    def release(self, permit: Permit, result: RunResult) -> None:
        """Return a permit when its request has ended."""
        if not self._invariants.check(not permit.released, "released-twice"):
            return
        permit.released = True
        now = self._clock.monotonic()
        busy = self._running + len(self._queue)
        self._running -= 1
        self._limit.finished(result, permit.own_time(now), now - permit.granted_at)
        self._advance(now)
        self._dispatch(now)
        self._control.changed(busy, len(self._queue), now)

    def threshold(self) -> Threshold:
        """Return the least important class and cohort that have a chance."""
        if not self._policy.admission:
            return Threshold()
        self._advance(self._clock.monotonic())
        return self._control.threshold()

    def load(self) -> Load:
        return Load(self._running, len(self._queue), self._limit.value)

    def resize(self, slots: int, cold_start_s: float = 0.0) -> None:
        """Take over a new announcement of the backend server."""
        now = self._clock.monotonic()
        self._limit.resize(slots, now, cold_start_s)
        self._dispatch(now)

    def report_server(self, queued: int) -> None:
        """Take the queue length from the backend server's own load report."""
        self._limit.report(queued, self._clock.monotonic())

    async def drain(self) -> None:
        """Refuse new requests; return when nothing runs or after `resume`.

        Requests already queued are served for up to 2 s, then refused.
        """
        if not self._draining:
            self._draining = True
            self._drained = anyio.Event()
            self._events.record("drain-started", running=self._running)
        drained = self._drained
        assert drained is not None
        self._check_drained()
        with anyio.move_on_after(DRAIN_QUEUE_S):
            await drained.wait()
            return
        if self._draining:
            self._queue.clear(EntryState.DRAINED)
            self._check_drained()
        await drained.wait()

    def resume(self) -> None:
        """Admit requests again after a drain."""
        self._draining = False
        if self._drained is not None:
            self._drained.set()
            self._drained = None

    async def _wait(self, ticket: Ticket, now: float) -> Permit:
        entry = self._enqueue(ticket, now)
        if entry.state is EntryState.WAITING:
            entry.event = anyio.Event()
            limit_s = ticket.deadline - now - self._limit.times.shortest_s
            try:
                with anyio.move_on_after(limit_s):
                    await entry.event.wait()
            except BaseException:
                self._abandon(entry)
                raise
        if entry.permit is not None:
            return entry.permit
        if entry.state is EntryState.WAITING:
            self._leave(entry, EntryState.EXPIRED)
            self._control.missed(ticket.importance, ticket.cohort)
        raise self._refusal(entry.state)

    def _enqueue(self, ticket: Ticket, now: float) -> Entry:
        times = self._limit.times
        wait_s = 0.0
        if not self._queue.stands(ticket.importance, self._standing_since(now)):
            ahead = self._queue.ahead(ticket.importance)
            wait_s = ahead * times.mean_s / self._limit.value
        if ticket.deadline - now < wait_s + times.shortest_s:
            self._control.missed(ticket.importance, ticket.cohort)
            raise self._refusal(EntryState.EXPIRED)
        entry = self._queue.push(ticket, now)
        self._trim()
        return entry

    def _trim(self) -> None:
        """Shed what exceeds the queue's bound or is below the interval's floor."""
        while (
            len(self._queue) > self._capacity()
            or self._queue.least_important() > self._control.floor
        ):
            worst = self._queue.worst()
            assert worst is not None
            self._queue.remove(worst, EntryState.SHED)
            ticket = worst.ticket
            self._invariants.check(
                self._queue.least_important() <= ticket.importance,
                "shed-order",
                root=ticket.root,
                importance=ticket.importance,
            )
            self._control.shed(ticket.importance, ticket.cohort)

    def _dispatch(self, now: float) -> None:
        """Grant free slots to waiting requests."""
        queue = self._queue
        if len(queue):
            self._drop_expired(now)
            standing_since = self._standing_since(now)
            while self._running < self._limit.value:
                entry = queue.pop(standing_since)
                if entry is None:
                    break
                entry.permit = self._grant(entry.ticket, now)
                entry.settle(EntryState.GRANTED)
        self._check_drained()

    def _drop_expired(self, now: float) -> None:
        self._queue.expire(now + self._limit.times.shortest_s)

    def _grant(self, ticket: Ticket, now: float) -> Permit:
        if self._policy.admission:
            self._invariants.check(
                ticket.importance <= self._control.floor,
                "admitted-below-shed",
                root=ticket.root,
                importance=ticket.importance,
            )
            self._invariants.check(
                self._running < self._limit.value, "limit-exceeded", root=ticket.root
            )
        self.counts.admitted += 1
        self._running += 1
        self._limit.started(self._running)
        return Permit(ticket, now)

    def _abandon(self, entry: Entry) -> None:
        """Clean up after a waiter that was cancelled."""
        if entry.permit is not None:
            self.release(entry.permit, RunResult.CANCELLED)
        elif entry.state is EntryState.WAITING:
            self.counts.cancelled += 1
            self._leave(entry, EntryState.CANCELLED)

    def _leave(self, entry: Entry, state: EntryState) -> None:
        self._queue.remove(entry, state)
        self._check_drained()

    def _check_drained(self) -> None:
        if self._drained is None or self._running or len(self._queue):
            return
        if not self._drained.is_set():
            self._events.record("drain-ended")
            self._drained.set()

    def _advance(self, now: float) -> None:
        """End the interval when its time has passed."""
        intervals = int((now - self._rolled_at) / INTERVAL_S)
        if intervals < 1:
            return
        self._rolled_at = now
        self._limit.advance(now)
        control = self._control
        shed_before = control.sheds
        queued = len(self._queue)
        limit = self._limit.value
        control.roll(self._running, queued, limit, self._capacity(), now)
        if intervals > 1 and self._running < self._limit.value:
            control.idle(intervals - 1)
        if control.sheds != shed_before:
            kind = "shedding-started" if control.sheds else "shedding-ended"
            self._events.record(kind, running=self._running, queued=queued)
        self._trim()
        self._dispatch(now)

    def _standing_since(self, now: float) -> float:
        """Return the time before which a waiting request makes a queue stand."""
        mean_s = self._limit.times.mean_s
        return now - max(STANDING_S, STANDING_TIMES * mean_s)

    def _capacity(self) -> int:
        return max(MIN_CAPACITY, self._limit.value)

    def _refusal(self, state: EntryState) -> Shed | DeadlinePassed | Draining:
        """Count a refusal and return its error."""
        if state is EntryState.DRAINED:
            self.counts.draining += 1
            return Draining()
        if state is EntryState.EXPIRED:
            self.counts.late += 1
            return DeadlinePassed()
        self.counts.shed += 1
        # Spread, so that refused callers do not come back together.
        return Shed(RETRY_AFTER_S * self._random.uniform(0.5, 1.5))
