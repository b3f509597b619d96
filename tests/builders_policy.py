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

TIME_STEP_S = 0.005


def make_admission_request(
    clock: ManualClock,
    importance: int = 1,
    cohort: int = 0,
    organisation: str = "cart-1",
    deadline_s: float = 60.0,
    **fields: Any,
) -> AdmissionRequest:
    """Return an admission request with its deadline `deadline_s` seconds from now."""
    deadline = clock.monotonic() + deadline_s
    weight = fields.pop("weight", 1)
    return AdmissionRequest(
        "r", organisation, weight, importance, cohort, deadline, **fields
    )


def make_controller(
    clock: ManualClock, slots: int = 2, **policy: bool
) -> tuple[AdmissionController, Invariants]:
    """Return a controller and the invariants that it checks."""
    events = EventLog("pantry-1", clock, quiet=True)
    invariants = Invariants(events)
    settings = PolicySettings(**policy)
    controller = AdmissionController.from_config(
        settings, clock, Random(7), slots, events, invariants
    )
    return controller, invariants


def make_member(node: str, failure_domain: str = "a", **fields: Any) -> Member:
    """Return a member with ten slots."""
    fields = {"incarnation": "1", "peer_address": "127.0.0.1:1", "slots": 10} | fields
    return Member(node=node, failure_domain=failure_domain, **fields)


class Workload:
    """Open-loop load on one controller behind one entry node, in manual time.

    `simulate_server` returns how the server ends a request at the given load, and
    `capacity_per_s` is the number of requests that it can serve per second.

    Requests are counted per (organisation, importance): `offered` arrivals, `served`
    ones, `refused` ones shed by the controller and `rejected` ones that the entry
    node rejects early. Threshold reports reach the entry node `report_delay_s` late.
    """

    def __init__(
        self,
        slots: int = 50,
        service_s: float = 0.1,
        report_delay_s: float = 0.01,
        fair_cohorts: bool = False,
        **policy: bool,
    ) -> None:
        self.clock = ManualClock()
        self.random = Random(11)
        self.controller, self.invariants = make_controller(self.clock, slots, **policy)
        self.threshold_table = ThresholdTable.from_config(
            PolicySettings(**policy), self.clock
        )
        self.cohort_scaler = FairCohortScaler(self.clock) if fair_cohorts else None
        self.service_s = service_s
        self.capacity_per_s = slots / service_s
        self.simulate_server: Callable[[Load], RunResult] = lambda load: RunResult.OK
        self.offered: Counter[tuple[str, int]] = Counter()
        self.served: Counter[tuple[str, int]] = Counter()
        self.refused: Counter[tuple[str, int]] = Counter()
        self.rejected: Counter[tuple[str, int]] = Counter()
        self.positions: list[int] = []
        self.limits: list[int] = []
        self._report_delay_s = report_delay_s
        self._delayed_reports: deque[tuple[float, ServiceThreshold]] = deque()
        self._running: list[tuple[float, int, Permit, RunResult]] = []
        self._request_count = 0

    def reset(self) -> None:
        """Clear the counts and samples collected so far."""
        for counter in (self.offered, self.served, self.refused, self.rejected):
            counter.clear()
        self.positions.clear()
        self.limits.clear()

    async def run(
        self,
        seconds: float,
        rate: float,
        draw_request_class: Callable[[], tuple[str, int]],
    ) -> None:
        """Offer `rate` requests per second of manual time.

        `draw_request_class` returns the (organisation, importance) of each arrival.
        """
        async with anyio.create_task_group() as group:
            next_arrival = self.clock.monotonic()
            end = next_arrival + seconds
            while self.clock.monotonic() < end:
                self.clock.advance(TIME_STEP_S)
                self._finish_due()
                while next_arrival < self.clock.monotonic():
                    next_arrival += self.random.expovariate(rate)
                    self._arrive(group, *draw_request_class())
                for _ in range(3):
                    await anyio.lowlevel.checkpoint()
                self._record_sample()
            group.cancel_scope.cancel()

    def _arrive(self, group: TaskGroup, organisation: str, importance: int) -> None:
        cohort = self.random.randrange(256)
        if self.cohort_scaler is not None:
            cohort = self.cohort_scaler.scale(organisation, 1, importance, cohort)
        request_class = organisation, importance
        self.offered[request_class] += 1
        now = self.clock.monotonic()
        while self._delayed_reports and self._delayed_reports[0][0] <= now:
            self.threshold_table.observe("stock", [self._delayed_reports.popleft()[1]])
        if self.threshold_table.find_rejection("stock", importance, cohort) is not None:
            self.rejected[request_class] += 1
            return
        request = make_admission_request(
            self.clock, importance, cohort, organisation, 2.0
        )
        group.start_soon(self._run_request, request, request_class)

    async def _run_request(
        self, request: AdmissionRequest, request_class: tuple[str, int]
    ) -> None:
        try:
            permit = await self.controller.admit(request)
        except Refusal:
            self.refused[request_class] += 1
            self._send_report()
            return
        result = self.simulate_server(self.controller.load())
        # Whole time steps, so that rounding does not lengthen the service time.
        half_steps = round(self.service_s / TIME_STEP_S / 2)
        service_s = TIME_STEP_S * self.random.randint(half_steps, 3 * half_steps)
        if result is RunResult.SHED_BY_SERVER:
            service_s = TIME_STEP_S
        self._request_count += 1
        ends_at = self.clock.monotonic() + service_s
        heapq.heappush(self._running, (ends_at, self._request_count, permit, result))

    def _finish_due(self) -> None:
        now = self.clock.monotonic() + TIME_STEP_S / 2
        while self._running and self._running[0][0] <= now:
            _, _, permit, result = heapq.heappop(self._running)
            self.controller.release(permit, result)
            if result is RunResult.OK:
                request_class = permit.request.organisation, permit.request.importance
                self.served[request_class] += 1
            self._send_report()

    def _send_report(self) -> None:
        report = ServiceThreshold("pantry", self.controller.threshold())
        self._delayed_reports.append(
            (self.clock.monotonic() + self._report_delay_s, report)
        )

    def _record_sample(self) -> None:
        threshold = self.controller.threshold()
        self.positions.append(threshold.importance * 256 + threshold.cohort)
        self.limits.append(self.controller.load().limit)
