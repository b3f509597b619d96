"""Tests of admission control: order of shedding, thresholds and limits."""

import asyncio
from collections import Counter
from random import Random
from statistics import fmean, pstdev

import anyio
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from builders_policy import Workload, make_admission_request, make_controller
from heathermount.admission import (
    AdaptiveLimit,
    AdmissionController,
    AdmissionRequest,
    DeadlinePassed,
    Draining,
    FairCohortScaler,
    Permit,
    RequestQueue,
    RunResult,
    Shed,
    ThresholdTable,
)
from heathermount.admission.queue import HEAP_SLACK_ENTRIES, QueuedRequest, QueuedState
from heathermount.clocks import ManualClock
from heathermount.errors import Refusal
from heathermount.values import Load, ServiceThreshold, Threshold

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def shed_order(entry: QueuedRequest) -> tuple[int, int, bool, int]:
    request = entry.request
    return request.importance, request.cohort, request.resend, entry.sequence


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a list of the waiting requests.

    Guards against a wrong order of service or shedding, lost or duplicated
    entries, and heaps that keep growing with removed entries.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.queue = RequestQueue()
        self.waiting: list[QueuedRequest] = []
        self.bound = 0

    @rule(
        importance=st.integers(0, 2),
        cohort=st.integers(0, 255),
        organisation=st.sampled_from("abc"),
        resend=st.booleans(),
        deadline_s=st.floats(0.0, 3.0),
    )
    def push(self, **fields: object) -> None:
        request = make_admission_request(self.clock, **fields)
        self.waiting.append(self.queue.push(request, self.clock.monotonic()))
        self.bound = 2 * len(self.waiting) + HEAP_SLACK_ENTRIES

    @precondition(lambda self: self.waiting)
    @rule(standing=st.booleans())
    def pop(self, standing: bool) -> None:
        standing_cutoff = self.clock.monotonic() + 1.0 if standing else 0.0
        entry = self.queue.pop(standing_cutoff)
        assert entry is not None
        request = entry.request
        assert request.importance == min(e.request.importance for e in self.waiting)
        kind = request.importance, request.organisation
        rivals = [
            e
            for e in self.waiting
            if (e.request.importance, e.request.organisation) == kind
        ]
        order = -1 if standing else 1
        rivals.sort(key=lambda e: (e.request.resend, order * e.sequence))
        assert entry is rivals[0]
        self.waiting.remove(entry)

    @precondition(lambda self: self.waiting)
    @rule()
    def shed(self) -> None:
        entry = self.queue.peek_first_to_shed()
        assert entry is max(self.waiting, key=shed_order)
        self.queue.remove(entry, QueuedState.SHED)
        self.waiting.remove(entry)

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 1000))
    def cancel(self, index: int) -> None:
        entry = self.waiting.pop(index % len(self.waiting))
        self.queue.remove(entry, QueuedState.CANCELLED)

    @rule(seconds=st.floats(0.0, 2.0))
    def expire(self, seconds: float) -> None:
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        self.queue.drop_expired(now)
        expired = [e for e in self.waiting if e.request.deadline < now]
        assert all(e.state is QueuedState.EXPIRED for e in expired)
        self.waiting = [e for e in self.waiting if e not in expired]

    @invariant()
    def matches_model(self) -> None:
        assert len(self.queue) == len(self.waiting)
        assert all(e.state is QueuedState.WAITING for e in self.waiting)
        classes = [e.request.importance for e in self.waiting]
        assert self.queue.least_important_class() == max(classes, default=-1)
        assert len(self.queue._by_shed_order) <= self.bound
        assert len(self.queue._by_deadline) <= self.bound


TestQueue = QueueMachine.TestCase


@pytest.mark.parametrize(("fair_queueing", "expected"), [(True, 30), (False, 1)])
def test_serves_organisations_by_weight(fair_queueing: bool, expected: int) -> None:
    """Guards against one organisation's many queued requests delaying the others.

    In a queue without fairness, all 200 earlier requests are served first.
    """
    clock = ManualClock()
    queue = RequestQueue(fair_queueing=fair_queueing)
    for _ in range(200):
        queue.push(make_admission_request(clock, organisation="large"))
    for _ in range(40):
        queue.push(make_admission_request(clock, organisation="small", weight=3))
    served: Counter[str] = Counter()
    for _ in range(40):
        entry = queue.pop()
        assert entry is not None
        served[entry.request.organisation] += 1
    assert (served["small"] == expected) is fair_queueing


async def start_waiting(
    group: anyio.abc.TaskGroup,
    controller: AdmissionController,
    request: AdmissionRequest,
) -> list[Permit | Refusal]:
    """Start to admit a request; return a list that will hold its outcome."""
    outcome: list[Permit | Refusal] = []

    async def wait() -> None:
        try:
            outcome.append(await controller.admit(request))
        except Refusal as refusal:
            outcome.append(refusal)

    group.start_soon(wait)
    await anyio.wait_all_tasks_blocked()
    return outcome


async def test_sheds_least_important_first_and_keeps_the_admission_floor() -> None:
    """Guards against background requests admitted after normal ones were shed.

    After sheds from a full queue the server becomes idle in the same interval.
    Background requests must still be refused until the threshold has recovered.
    """
    clock = ManualClock()
    controller, invariants = make_controller(clock, slots=1)
    running = await controller.admit(make_admission_request(clock))
    async with anyio.create_task_group() as group:
        background = await start_waiting(
            group, controller, make_admission_request(clock, 2)
        )
        high = await start_waiting(
            group, controller, make_admission_request(clock, 1, 200)
        )
        again = make_admission_request(clock, 1, 100, resend=True)
        resend = await start_waiting(group, controller, again)
        for _ in range(6):
            await start_waiting(
                group, controller, make_admission_request(clock, 1, 100)
            )
        assert [bool(o) for o in (background, high, resend)] == [True, False, False]
        await start_waiting(group, controller, make_admission_request(clock, 0))
        assert [bool(o) for o in (background, high, resend)] == [True, True, False]
        await start_waiting(group, controller, make_admission_request(clock, 0))
        assert [bool(o) for o in (background, high, resend)] == [True, True, True]
        assert isinstance(high[0], Shed)
        assert (high[0].status, high[0].outcome) == (503, "not-run")
        assert high[0].retry_after_s is not None
        group.cancel_scope.cancel()
    controller.release(running, RunResult.OK)
    assert controller.load() == Load(0, 0, 1)
    with pytest.raises(Shed):
        await controller.admit(make_admission_request(clock, 2))
    clock.advance(0.1)
    # The threshold still rejects a part of the normal class.
    assert controller.threshold().importance == 1
    with pytest.raises(Shed):
        await controller.admit(make_admission_request(clock, 2))
    clock.advance(1.5)
    assert controller.threshold() == Threshold()
    permit = await controller.admit(make_admission_request(clock, 2))
    controller.release(permit, RunResult.OK)
    assert not invariants.violations


@pytest.mark.parametrize("granted", [False, True])
async def test_cancelled_waiter_leaves_nothing_behind(granted: bool) -> None:
    """Guards against slots that stay taken after their caller disconnected.

    With `granted`, the permit is granted in the same step as the cancellation,
    so that nobody else could release it.
    """
    clock = ManualClock()
    controller, _ = make_controller(clock, slots=1)
    running = await controller.admit(make_admission_request(clock))
    waiter = asyncio.create_task(controller.admit(make_admission_request(clock)))
    await anyio.wait_all_tasks_blocked()
    assert controller.load().queued == 1
    if granted:
        # The permit and the cancellation reach the waiter in the same step.
        controller.release(running, RunResult.OK)
        assert controller.load() == Load(1, 0, 1)
    waiter.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiter
    assert controller.load() == Load(0 if granted else 1, 0, 1)


async def test_drops_requests_past_their_deadline() -> None:
    """Guards against running requests whose caller no longer waits.

    A deadline can pass before arrival, while the request is queued, or within
    the expected service time.
    """
    clock = ManualClock()
    controller, _ = make_controller(clock, slots=1)
    with pytest.raises(DeadlinePassed) as caught:
        await controller.admit(make_admission_request(clock, deadline_s=0.0))
    assert (caught.value.status, caught.value.outcome) == (504, "not-run")
    running = await controller.admit(make_admission_request(clock))
    async with anyio.create_task_group() as group:
        late = await start_waiting(
            group, controller, make_admission_request(clock, deadline_s=5)
        )
        clock.advance(6.0)
        controller.release(running, RunResult.OK)
        await anyio.wait_all_tasks_blocked()
        assert isinstance(late[0], DeadlinePassed)
    with anyio.fail_after(5):
        await controller.admit(make_admission_request(clock))
        with pytest.raises(DeadlinePassed):
            await controller.admit(make_admission_request(clock, deadline_s=0.01))
    assert controller.load().queued == 0


async def test_drain_waits_for_running_and_queued_requests() -> None:
    """Guards against a planned stop that interrupts accepted requests."""
    clock = ManualClock()
    controller, _ = make_controller(clock, slots=1)
    running = await controller.admit(make_admission_request(clock))
    drained: list[bool] = []

    async def drain() -> None:
        await controller.drain()
        drained.append(True)

    async with anyio.create_task_group() as group:
        queued = await start_waiting(group, controller, make_admission_request(clock))
        group.start_soon(drain)
        await anyio.wait_all_tasks_blocked()
        with pytest.raises(Draining):
            await controller.admit(make_admission_request(clock))
        controller.release(running, RunResult.OK)
        await anyio.wait_all_tasks_blocked()
        assert isinstance(queued[0], Permit)
        assert not drained
        controller.release(queued[0], RunResult.OK)
    assert drained
    controller.resume()
    await controller.admit(make_admission_request(clock))
    assert (controller.counts.admitted, controller.counts.draining) == (3, 1)


async def test_without_admission_everything_runs_at_once() -> None:
    """Guards against limits that still apply when admission is switched off.

    Measurements without admission control need this. Also checks that a permit
    that is released twice does not free a second slot.
    """
    clock = ManualClock()
    controller, invariants = make_controller(clock, slots=1, admission=False)
    permits = [await controller.admit(make_admission_request(clock)) for _ in range(50)]
    assert controller.load().running == 50
    for permit in permits:
        controller.release(permit, RunResult.OK)
    assert controller.threshold() == Threshold()
    assert not invariants.violations
    controller.release(permits[0], RunResult.OK)
    assert invariants.violations == {"released-twice": 1}
    assert controller.load().running == 0


async def test_twofold_overload_is_stable_and_recovers() -> None:
    """Guards against an oscillating threshold, lost goodput and slow recovery.

    A threshold that moves too far per interval alternates between rejecting too
    much and too little.
    """
    workload = Workload()
    await workload.run(2.0, 2 * workload.capacity_per_s, lambda: ("cart-1", 1))
    workload.reset()
    await workload.run(8.0, 2 * workload.capacity_per_s, lambda: ("cart-1", 1))
    assert workload.served.total() / 8.0 >= 0.95 * workload.capacity_per_s
    assert pstdev(workload.positions) < 25
    assert abs(fmean(workload.positions) - (256 + 128)) < 15
    assert workload.refused.total() < 0.02 * workload.offered.total()
    await workload.run(1.5, 0.8 * workload.capacity_per_s, lambda: ("cart-1", 1))
    workload.reset()
    await workload.run(1.0, 0.8 * workload.capacity_per_s, lambda: ("cart-1", 1))
    assert workload.served.total() >= 0.95 * workload.offered.total()
    assert not workload.invariants.violations


@pytest.mark.parametrize("early_rejection", [True, False])
async def test_overload_sheds_by_class(early_rejection: bool) -> None:
    """Guards against shedding critical requests while less important ones run."""
    workload = Workload(early_rejection=early_rejection)
    random = Random(3)
    await workload.run(
        6.0,
        2 * workload.capacity_per_s,
        lambda: ("cart-1", random.choices([0, 1, 2], [0.3, 0.4, 0.3])[0]),
    )
    shares = [
        workload.served["cart-1", i] / workload.offered["cart-1", i] for i in range(3)
    ]
    assert workload.refused["cart-1", 0] + workload.rejected["cart-1", 0] == 0
    assert shares[0] > 0.95 > shares[1] > 0.3
    assert shares[2] < 0.05
    assert not workload.invariants.violations


@pytest.mark.parametrize("fair_cohorts", [True, False])
async def test_scaled_cohorts_shed_fairly(fair_cohorts: bool) -> None:
    """Guards against small organisations losing requests to a large one's excess.

    A threshold on unscaled cohorts sheds the same share of every organisation.
    """
    workload = Workload(fair_cohorts=fair_cohorts)
    random = Random(5)
    names = ["large", *(f"small-{i}" for i in range(7))]
    # Each small one offers 90% of its eighth of the capacity.
    weights = [2 - 7 * 0.9 / 8, *[0.9 / 8] * 7]
    draw_request_class = lambda: (random.choices(names, weights)[0], 1)  # noqa: E731
    await workload.run(3.0, 2 * workload.capacity_per_s, draw_request_class)
    workload.reset()
    await workload.run(6.0, 2 * workload.capacity_per_s, draw_request_class)
    worst = min(workload.served[n, 1] / workload.offered[n, 1] for n in names[1:])
    assert worst >= 0.9 if fair_cohorts else worst < 0.6


def test_single_organisation_keeps_its_cohorts() -> None:
    """Guards against scaled cohorts although no other organisation competes."""
    scaler = FairCohortScaler(ManualClock())
    assert [scaler.scale("a", 1, 1, c) for c in (0, 255)] == [0, 255]


async def test_limit_follows_a_server_that_sheds() -> None:
    """Guards against sending a server as many requests as it announced slots.

    The server announces 50 slots but refuses requests above 30. The limit must
    settle there, and recover when the server stops refusing.
    """
    workload = Workload(slots=50)
    results = RunResult.OK, RunResult.SHED_BY_SERVER
    workload.simulate_server = lambda load: results[load.running > 30]
    await workload.run(2.0, 600.0, lambda: ("cart-1", 1))
    workload.reset()
    await workload.run(4.0, 600.0, lambda: ("cart-1", 1))
    assert 27 <= fmean(workload.limits) <= 32
    workload.simulate_server = lambda load: RunResult.OK
    await workload.run(2.0, 600.0, lambda: ("cart-1", 1))
    assert workload.limits[-1] >= 45


async def test_slow_downstream_service_keeps_the_limit() -> None:
    """Guards against a slow downstream service collapsing its callers' limits.

    The service time rises fourfold while the server neither sheds nor queues.
    """
    workload = Workload(slots=50)
    await workload.run(2.0, 0.8 * workload.capacity_per_s, lambda: ("cart-1", 1))
    workload.service_s = 0.4
    workload.reset()
    await workload.run(4.0, 0.8 * workload.capacity_per_s, lambda: ("cart-1", 1))
    assert min(workload.limits) >= 25
    assert workload.limits[-1] == 50


@pytest.mark.parametrize(
    ("result", "queued", "lowest"),
    [
        (RunResult.OK, 0, 25),
        (RunResult.OK, 9, 6),
        (RunResult.SHED_BY_SERVER, 0, 1),
        (RunResult.FAILED, 9, 50),
    ],
)
def test_each_signal_has_its_floor(result: RunResult, queued: int, lowest: int) -> None:
    """Guards against a weak overload signal that lowers the limit too far.

    Slow service alone stops at half of the slots, with a reported queue at an
    eighth, and sheds by the server at 1. Failures do not lower the limit.
    """
    limit = AdaptiveLimit(50, True, 0.0)
    for interval in range(60):
        # Slow, then less slow: lowering the limit seems to help.
        service_s = 0.1 if interval < 5 else 0.6 if interval < 6 else 0.3
        limit.record_server_queue(queued, interval / 10)
        limit.record_start(limit.value)
        ended = RunResult.OK if interval < 5 else result
        for _ in range(limit.value + 5):
            limit.record_end(ended, service_s, service_s)
        limit.end_elapsed_intervals((interval + 1) / 10 + 0.001)
    assert limit.value == lowest


def test_waits_for_downstream_calls_are_not_service_time() -> None:
    """Guards against counting downstream calls as service time.

    Two downstream calls overlap; their common time must be subtracted only once.
    """
    clock = ManualClock()
    permit = Permit(make_admission_request(clock), 10.0)
    permit.start_downstream_call(11.0)
    permit.start_downstream_call(12.0)
    permit.end_downstream_call(13.0)
    permit.end_downstream_call(15.0)
    assert permit.compute_own_time_s(16.0) == pytest.approx(2.0)


def test_cold_server_ramps_up() -> None:
    """Guards against full load on a server that has just started."""
    limit = AdaptiveLimit(100, True, 0.0, cold_start_s=10.0)
    values = []
    for now in (0.0, 5.0, 10.0, 20.0):
        limit.end_elapsed_intervals(now)
        values.append(limit.value)
    assert values == [10, 55, 100, 100]


def report_thresholds(
    table: ThresholdTable, *cohorts: int, service: str = "pantry", route: str = "stock"
) -> None:
    for cohort in cohorts:
        table.observe(route, [ServiceThreshold(service, Threshold(1, cohort))])


def test_rejects_early_until_reports_expire_with_probes() -> None:
    """Guards against sending requests that would be shed, and against a lock-in.

    If every request were rejected, no answer would report that the service has
    recovered. Some requests next to the threshold are sent as probes, and reports
    expire after one second.
    """
    clock = ManualClock()
    table = ThresholdTable(clock)
    report_thresholds(table, 100, 100)
    rejection = ServiceThreshold("pantry", Threshold(1, 100))
    assert table.find_rejection("stock", 1, 100) is None
    assert table.find_rejection("stock", 0, 255) is None
    assert table.find_rejection("orders", 1, 101) is None
    assert all(table.find_rejection("stock", 2, 0) == rejection for _ in range(64))
    results = [table.find_rejection("stock", 1, 101) for _ in range(64)]
    assert (results.count(None), results.count(rejection)) == (2, 62)
    clock.advance(1.01)
    assert table.find_rejection("stock", 1, 101) is None


def test_one_bad_server_does_not_reject_for_its_service() -> None:
    """Guards against a single server's threshold rejecting a route's requests.

    One of three servers reports a low threshold; only a majority may reject.
    """
    clock = ManualClock()
    table = ThresholdTable(clock)
    report_thresholds(table, *[0, 255, 255] * 8)
    assert table.find_rejection("stock", 1, 200) is None
    report_thresholds(table, *[100, 100, 255] * 8)
    clock.advance(0.02)
    assert table.find_rejection("stock", 1, 200) is not None


def test_rarely_visited_service_does_not_reject() -> None:
    """Guards against rejecting a whole route for a service that few calls reach."""
    clock = ManualClock()
    table = ThresholdTable(clock)
    report_thresholds(table, 0, service="preventivi")
    assert table.find_rejection("stock", 1, 200) is not None
    report_thresholds(table, *[255] * 32)
    assert table.find_rejection("stock", 1, 200) is None
