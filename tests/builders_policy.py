"""Builders for the tests of admission and routing."""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from heathermount.admission import (
    AdmissionController,
    AdmissionRequest,
    FairCohortScaler,
    Permit,
    RunResult,
    ThresholdTable,
)
from heathermount.clocks import ManualClock
from heathermount.config.settings import PolicySettings
from heathermount.errors import Refusal
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.routing import Member
from heathermount.values import Load, ServiceThreshold

STEP_S = 0.005


def make_admission_request(
    clock: ManualClock,
    importance: int = 1,
    cohort: int = 0,
    organisation: str = "cart-1",
    deadline_s: float = 60.0,
    **fields: Any,
) -> AdmissionRequest:
    """Return an admission request whose deadline is relative to now."""
    deadline = clock.monotonic() + deadline_s
    weight = fields.pop("weight", 1)
    return AdmissionRequest(
        "r", organisation, weight, importance, cohort, deadline, **fields
    )


def make_controller(
    clock: ManualClock, slots: int = 2, **policy: bool
) -> tuple[AdmissionController, Invariants]:
    """Return a controller and the invariants it checks."""
    events = EventLog("pantry-1", clock, quiet=True)
    invariants = Invariants(events)
    settings = PolicySettings(**policy)
    controller = AdmissionController.from_config(
        settings, clock, Random(7), slots, events, invariants
    )
    return controller, invariants


def make_member(node: str, failure_domain: str = "a", **fields: Any) -> Member:
    """Return a member with ten slots."""
    fields = {"incarnation": "1", "peers": "127.0.0.1:1", "slots": 10} | fields
    return Member(node=node, failure_domain=failure_domain, **fields)


class Workload:
    """Open arrivals at one controller behind one entry node, in manual time.

    `offer` yields (organisation, importance) of an arrival. Served, shed and
    early-rejected requests are counted per (organisation, importance).
    """

    def __init__(
        self,
        slots: int = 50,
        service_s: float = 0.1,
        lag_s: float = 0.01,
        fair_cohorts: bool = False,
        **policy: bool,
    ) -> None:
        self.clock = ManualClock()
        self.random = Random(11)
        self.controller, self.invariants = make_controller(self.clock, slots, **policy)
        self.table = ThresholdTable.from_config(PolicySettings(**policy), self.clock)
        self.cohorts = FairCohortScaler(self.clock) if fair_cohorts else None
        self.service_s = service_s
        self.capacity = slots / service_s
        self.server: Callable[[Load], RunResult] = lambda load: RunResult.OK
        self.offered: Counter[tuple[str, int]] = Counter()
        self.served: Counter[tuple[str, int]] = Counter()
        self.refused: Counter[tuple[str, int]] = Counter()
        self.rejected: Counter[tuple[str, int]] = Counter()
        self.positions: list[int] = []
        self.limits: list[int] = []
        self._lag_s = lag_s
        self._answers: deque[tuple[float, ServiceThreshold]] = deque()
        self._running: list[tuple[float, int, Permit, RunResult]] = []
        self._count = 0

    def reset(self) -> None:
        """Forget the counts so far."""
        for counter in (self.offered, self.served, self.refused, self.rejected):
            counter.clear()
        self.positions.clear()
        self.limits.clear()

    async def run(
        self, seconds: float, rate: float, offer: Callable[[], tuple[str, int]]
    ) -> None:
        """Offer `rate` requests per second of manual time."""
        async with anyio.create_task_group() as group:
            due = self.clock.monotonic()
            end = due + seconds
            while self.clock.monotonic() < end:
                self.clock.advance(STEP_S)
                self._finish_due()
                while due < self.clock.monotonic():
                    due += self.random.expovariate(rate)
                    self._arrive(group, *offer())
                for _ in range(3):
                    await anyio.lowlevel.checkpoint()
                self._sample()
            group.cancel_scope.cancel()

    def _arrive(self, group: TaskGroup, organisation: str, importance: int) -> None:
        cohort = self.random.randrange(256)
        if self.cohorts is not None:
            cohort = self.cohorts.scale(organisation, 1, importance, cohort)
        kind = organisation, importance
        self.offered[kind] += 1
        now = self.clock.monotonic()
        while self._answers and self._answers[0][0] <= now:
            self.table.observe("stock", [self._answers.popleft()[1]])
        if self.table.find_rejection("stock", importance, cohort) is not None:
            self.rejected[kind] += 1
            return
        request = make_admission_request(
            self.clock, importance, cohort, organisation, 2.0
        )
        group.start_soon(self._request, request, kind)

    async def _request(self, request: AdmissionRequest, kind: tuple[str, int]) -> None:
        try:
            permit = await self.controller.admit(request)
        except Refusal:
            self.refused[kind] += 1
            self._answer()
            return
        result = self.server(self.controller.load())
        # Whole steps, so that rounding does not add to the service time.
        half = round(self.service_s / STEP_S / 2)
        service_s = STEP_S * self.random.randint(half, 3 * half)
        if result is RunResult.SHED_BY_SERVER:
            service_s = STEP_S
        self._count += 1
        ends = self.clock.monotonic() + service_s
        heapq.heappush(self._running, (ends, self._count, permit, result))

    def _finish_due(self) -> None:
        now = self.clock.monotonic() + STEP_S / 2
        while self._running and self._running[0][0] <= now:
            _, _, permit, result = heapq.heappop(self._running)
            self.controller.release(permit, result)
            if result is RunResult.OK:
                kind = permit.request.organisation, permit.request.importance
                self.served[kind] += 1
            self._answer()

    def _answer(self) -> None:
        report = ServiceThreshold("pantry", self.controller.threshold())
        self._answers.append((self.clock.monotonic() + self._lag_s, report))

    def _sample(self) -> None:
        threshold = self.controller.threshold()
        self.positions.append(threshold.importance * 256 + threshold.cohort)
        self.limits.append(self.controller.load().limit)
