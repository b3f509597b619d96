"""Limits of the request rate that backend servers state: admission and routing."""

from collections import Counter
from itertools import pairwise
from random import Random

import anyio
import pytest
from hypothesis import given, strategies as st

from builders_policy import (
    Workload,
    make_admission_request,
    make_controller,
    make_member,
)
from heathermount.admission import ServerRateLimit, Shed
from heathermount.admission.rate_limit import (
    FIRST_ANSWER_TIMEOUT_S,
    MAX_UNANSWERED_REQUESTS,
)
from heathermount.clocks import ManualClock
from heathermount.routing import Balancer
from heathermount.values import Importance, Load

# What the platform allows a server in any window of this length, beyond its limit.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA_REQUESTS = 5


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def count_in_busiest_window(times: list[float]) -> int:
    return max(
        (sum(start <= time < start + WINDOW_S for time in times) for start in times),
        default=0,
    )


@given(
    rates=st.lists(st.sampled_from([0.0, 0.4, 1.0, 6.7, 35.0]), min_size=1, max_size=4),
    pauses_s=st.lists(st.sampled_from([0.001, 0.05, 0.4, 3.0]), max_size=60),
)
def test_bucket_keeps_the_stated_rate(
    rates: list[float], pauses_s: list[float]
) -> None:
    """Guards against a window in which a server gets more than its limit allows."""
    limit = ServerRateLimit()
    now = 0.0
    for rate in rates:
        limit.update(rate, now)
        taken_at: list[float] = []
        for pause_s in pauses_s:
            now += pause_s
            while limit.try_take(0, now):
                taken_at.append(now)
        allowed = ALLOWED_RATIO * rate * WINDOW_S + ALLOWED_EXTRA_REQUESTS
        assert count_in_busiest_window(taken_at) <= allowed


def test_bucket_is_open_only_after_the_first_answer() -> None:
    """Guards against a flood from a new process, which does not know of a limit.

    A server that does not answer must not stay limited.
    """
    limit = ServerRateLimit(awaits_answer=True)
    assert all(limit.try_take(i, 0.0) for i in range(MAX_UNANSWERED_REQUESTS))
    assert not limit.try_take(MAX_UNANSWERED_REQUESTS, 0.1)
    assert limit.try_take(MAX_UNANSWERED_REQUESTS, FIRST_ANSWER_TIMEOUT_S)
    limit = ServerRateLimit(awaits_answer=True)
    assert limit.update(None, 0.0)
    assert limit.try_take(100, 0.0)


def test_limit_ends_with_the_first_answer_that_states_none() -> None:
    """Guards against a limit that outlives the need of its server."""
    limit = ServerRateLimit()
    limit.update(1.0, 0.0)
    assert not limit.try_take(0, 0.1)
    assert limit.update(None, 0.2)
    assert limit.try_take(0, 0.2)


@pytest.mark.anyio
async def test_limited_server_serves_the_most_important_requests() -> None:
    """Guards against a limited rate that is spent on less important requests.

    The load is three times the stated rate, a third of it in each class. Nearly all
    of the rest is refused at the entry node.
    """
    load = Workload(slots=50, service_s=0.1)
    load.controller.update_rate_limit(60.0)
    classes = Random(3)
    await load.run(2.0, 180.0, lambda: ("cart-1", classes.randrange(3)))
    load.reset()
    await load.run(6.0, 180.0, lambda: ("cart-1", classes.randrange(3)))
    served = {one: load.served["cart-1", one] for one in Importance}
    offered = load.offered["cart-1", Importance.CRITICAL]
    assert sum(served.values()) <= 1.05 * 60.0 * 6.0
    assert sum(served.values()) >= 0.85 * 60.0 * 6.0
    assert served[Importance.CRITICAL] >= 0.8 * offered
    assert served[Importance.BACKGROUND] <= 0.02 * offered
    assert load.rejected.total() >= 2 * load.refused.total()
    assert not load.invariants.violations


@pytest.mark.anyio
async def test_requests_that_need_not_wait_are_refused_at_once() -> None:
    """Guards against requests that wait for a limited server although others are free.

    Such a refusal is no overload of the service, so the threshold stays.
    """
    clock = ManualClock()
    controller, _ = make_controller(clock, slots=8)
    threshold = controller.threshold()
    controller.update_rate_limit(2.0)
    for _ in range(20):
        clock.advance(0.01)
        with pytest.raises(Shed):
            await controller.admit(make_admission_request(clock, may_wait=False))
    clock.advance(0.1)
    assert controller.threshold() == threshold
    assert controller.load().rate == 2.0
    clock.advance(1.0)
    await controller.admit(make_admission_request(clock, may_wait=False))


@pytest.mark.anyio
async def test_refusals_of_a_limited_server_tell_when_it_has_room() -> None:
    """Guards against clients that return before the rate allows their requests."""
    clock = ManualClock()
    controller, _ = make_controller(clock, slots=8)
    controller.update_rate_limit(0.25)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.admit, make_admission_request(clock, 0))
        await anyio.lowlevel.checkpoint()
        with pytest.raises(Shed) as caught:
            await controller.admit(make_admission_request(clock, 1))
        assert caught.value.retry_after_s is not None
        assert caught.value.retry_after_s >= 0.5 * 4.0
        group.cancel_scope.cancel()


def make_limited_balancer(clock: ManualClock, limited: int, count: int) -> Balancer:
    """Return a balancer of servers, some of which have reported a full rate limit."""
    balancer = Balancer(clock, Random(7), "a")
    members = [make_member(f"p-{i}") for i in range(count)]
    balancer.update("pantry", members)
    for member in members[:limited]:
        balancer.record_start(member)
        balancer.record_end(member, True, Load(1, 0, 10, 5.0, 0.4), over_rate=True)
    return balancer


def test_requests_go_to_servers_whose_rates_allow_them() -> None:
    """Guards against requests that are sent to be refused one hop further."""
    clock = ManualClock()
    balancer = make_limited_balancer(clock, limited=3, count=4)
    assert {balancer.choose("pantry").node for _ in range(50)} == {"p-3"}
    assert balancer.has_room("pantry", {"p-0"})
    # Later, the limited servers get requests again.
    clock.advance(0.7)
    chosen = Counter(balancer.choose("pantry").node for _ in range(400))
    assert len(chosen) == 4
    # After a failed attempt, only servers without a limit are tried.
    assert {balancer.choose("pantry", {"p-0"}).node for _ in range(50)} == {"p-3"}


def test_requests_wait_when_all_servers_limit_their_rates() -> None:
    """Guards against requests that are refused although they could wait in order."""
    clock = ManualClock()
    balancer = make_limited_balancer(clock, limited=3, count=3)
    assert not balancer.has_room("pantry", set())
    assert balancer.choose("pantry").node in {"p-0", "p-1", "p-2"}


def test_no_request_waits_less_because_no_server_is_limited() -> None:
    """Guards against refusals by full servers of a fleet without stated limits."""
    balancer = make_limited_balancer(ManualClock(), limited=0, count=3)
    assert not balancer.has_room("pantry", set())


def test_repeated_refusals_make_a_node_try_less_often() -> None:
    """Guards against many nodes that all try a limited server with each token."""
    clock = ManualClock()
    balancer = make_limited_balancer(clock, limited=0, count=2)
    limited = balancer.members("pantry")[0]
    pauses = []
    for _ in range(4):
        balancer.record_start(limited)
        balancer.record_end(limited, True, Load(1, 0, 10, 5.0, 0.4), over_rate=True)
        pause_s = 0.0
        while {balancer.choose("pantry").node for _ in range(20)} == {"p-1"}:
            clock.advance(0.1)
            pause_s += 0.1
        pauses.append(pause_s)
    # Jitter makes a single pause up to three times as long as another.
    assert all(later > earlier / 2 for earlier, later in pairwise(pauses))
    assert pauses[-1] > 2 * pauses[0]
