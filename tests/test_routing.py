"""Tests of routing: load balancing, retry limits, quarantine and resends."""

from collections import Counter
from random import Random

import anyio
import pytest
from hypothesis import given, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from builders_policy import make_member
from heathermount.clocks import ManualClock
from heathermount.routing import (
    AttemptBudget,
    Balancer,
    Member,
    NoServer,
    Quarantine,
    ResendTracker,
    RetryBudget,
    choose_trial_member,
    compute_fingerprint,
)
from heathermount.routing.quarantine import MAX_FINGERPRINTS
from heathermount.routing.retries import MAX_SAVED_RETRIES
from heathermount.values import Load
from heathermount.wire.messages import Suspicion


def make_balancer(clock: ManualClock, *members: Member) -> Balancer:
    balancer = Balancer(clock, Random(7), "a")
    balancer.update("pantry", members)
    return balancer


def count_choices(balancer: Balancer, calls: int = 400) -> Counter[str]:
    return Counter(balancer.choose("pantry").node for _ in range(calls))


def record_failures(balancer: Balancer, member: Member, times: int = 5) -> None:
    for _ in range(times):
        balancer.record_start(member)
        balancer.record_end(member, False)


def test_skips_tried_and_draining_servers() -> None:
    """Guards against retries on the same server and calls to a draining one."""
    members = [make_member("p-1"), make_member("p-2", draining=True)]
    balancer = make_balancer(ManualClock(), *members)
    assert count_choices(balancer).keys() == {"p-1"}
    with pytest.raises(NoServer) as caught:
        balancer.choose("pantry", {"p-1"})
    assert (caught.value.status, caught.value.outcome) == (503, "not-run")
    with pytest.raises(NoServer):
        balancer.choose("unknown")


def test_prefers_own_domain_while_it_has_room() -> None:
    """Guards against needless calls to other failure domains.

    Above `CROWDING_LOAD_RATIO`, calls must go to the other failure domains.
    """
    clock = ManualClock()
    members = [make_member("p-1"), make_member("p-2", "b"), make_member("p-3", "c")]
    balancer = make_balancer(clock, *members)
    assert count_choices(balancer).keys() == {"p-1"}
    for _ in range(8):
        balancer.record_start(members[0])
    assert count_choices(balancer).keys() == {"p-2", "p-3"}


def test_compares_outstanding_and_reported_load_by_limit() -> None:
    """Guards against comparing servers by this node's outstanding calls alone.

    Servers can differ in their limit, and can be busy with calls of other nodes,
    which only their load reports show. Reports lose weight with age.
    """
    clock = ManualClock()
    members = [make_member("p-1"), make_member("p-2", slots=100)]
    balancer = make_balancer(clock, *members)
    for _ in range(110):
        balancer.record_start(balancer.choose("pantry"))
    assert 95 <= balancer.outstanding("pantry")["p-2"] <= 105
    balancer = make_balancer(clock, make_member("p-1"), make_member("p-2"))
    balancer.record_load(members[0], Load(10, 10, 10))
    assert count_choices(balancer).keys() == {"p-2"}
    clock.advance(3.0)
    assert count_choices(balancer).keys() == {"p-1", "p-2"}


def record_answer(
    balancer: Balancer, clock: ManualClock, member: Member, time_s: float
) -> None:
    started_at = balancer.record_start(member)
    clock.advance(time_s)
    balancer.record_end(member, True, None, started_at)


def test_a_slow_local_server_does_not_keep_its_domains_requests() -> None:
    """Guards against missed deadlines at a slow local server.

    The preference for the own failure domain must end when the other servers
    answer faster and are idle.
    """
    clock = ManualClock()
    members = [make_member("p-1"), make_member("p-2", "b"), make_member("p-3", "c")]
    balancer = make_balancer(clock, *members)
    for _ in range(10):
        for member, time_s in zip(members, (0.4, 0.1, 0.1), strict=True):
            record_answer(balancer, clock, member, time_s)
    assert count_choices(balancer)["p-1"] == 0
    # The response times are now too old to count, so the server is tried again.
    clock.advance(11.0)
    assert count_choices(balancer).keys() == {"p-1"}


def test_slow_servers_still_use_their_slots_in_an_overload() -> None:
    """Guards against idle slots at a slow server while requests are refused.

    The slow server gets fewer calls at low load, but its slots near saturation.
    """
    clock = ManualClock()
    members = [make_member(f"p-{i}", "b", slots=10) for i in range(3)]
    balancer = make_balancer(clock, *members)
    for _ in range(10):
        for member, time_s in zip(members, (0.2, 0.1, 0.1), strict=True):
            record_answer(balancer, clock, member, time_s)
    for _ in range(12):
        balancer.record_start(balancer.choose("pantry"))
    assert balancer.outstanding("pantry")["p-0"] <= 3
    for _ in range(18):
        balancer.record_start(balancer.choose("pantry"))
    assert balancer.outstanding("pantry")["p-0"] >= 7


def test_ejects_failing_servers_with_backoff() -> None:
    """Guards against calls to a dead server, and against ejecting it forever.

    Also checks that a success resets the count of failures, that a repeated
    ejection lasts longer, and that a new incarnation starts without failures.
    """
    clock = ManualClock()
    members = [make_member(f"p-{i}") for i in range(4)]
    balancer = make_balancer(clock, *members)
    record_failures(balancer, members[0], 4)
    balancer.record_start(members[0])
    balancer.record_end(members[0], True)
    record_failures(balancer, members[0], 4)
    assert balancer.ejected("pantry") == []
    record_failures(balancer, members[0], 1)
    assert balancer.ejected("pantry") == ["p-0"]
    assert "p-0" not in count_choices(balancer)
    clock.advance(1.3)
    assert "p-0" in count_choices(balancer)
    record_failures(balancer, members[0], 1)
    clock.advance(1.3)
    assert "p-0" not in count_choices(balancer)
    balancer.update("pantry", [make_member("p-0", incarnation="2"), *members[1:]])
    assert "p-0" in count_choices(balancer)
    balancer.record_end(members[0], False)


@pytest.mark.parametrize(("size", "most"), [(1, 0), (2, 1), (3, 1), (5, 2)])
def test_ejects_at_most_half_of_a_group(size: int, most: int) -> None:
    """Guards against ejecting a whole group after a network fault.

    If calls to all servers fail, the cause is probably not the servers.
    """
    members = [make_member(f"p-{i}") for i in range(size)]
    balancer = make_balancer(ManualClock(), *members)
    for member in members:
        record_failures(balancer, member, 6)
    assert len(balancer.ejected("pantry")) == most
    assert len(count_choices(balancer)) == size - most


def test_cold_server_gets_a_growing_share() -> None:
    """Guards against full load on a server that has just joined."""
    clock = ManualClock()
    joined_at = clock.wall()
    cold = make_member("p-1", slots=100, cold_start_s=10.0, joined_at=joined_at)
    shares = []
    for _ in range(3):
        balancer = make_balancer(clock, cold, make_member("p-2", slots=100))
        for _ in range(100):
            balancer.record_start(balancer.choose("pantry"))
        shares.append(balancer.outstanding("pantry")["p-1"])
        clock.advance(5.0)
    assert shares[0] < 20 < shares[1] < 45 < shares[2] <= 55


class BudgetMachine(RuleBasedStateMachine):
    """Guards against more retries than 10% of the successes plus one per second."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.budget = RetryBudget(self.clock)
        self.started_at = self.clock.monotonic()
        self.successes = self.spent = 0

    @rule(count=st.integers(1, 300))
    def succeed(self, count: int) -> None:
        self.successes += count
        for _ in range(count):
            self.budget.record_success("pantry")

    @rule(count=st.integers(1, 200))
    def spend(self, count: int) -> None:
        self.spent += sum(self.budget.try_spend("pantry") for _ in range(count))

    @rule(seconds=st.floats(0.0, 30.0))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule()
    def always_one_per_second(self) -> None:
        self.clock.advance(1.001)
        assert self.budget.try_spend("pantry")
        self.spent += 1

    @invariant()
    def stays_within_bound(self) -> None:
        elapsed_s = self.clock.monotonic() - self.started_at
        assert self.spent <= 0.1 * self.successes + elapsed_s + 10.001
        assert self.budget._get_budget("pantry").available <= MAX_SAVED_RETRIES


TestBudget = BudgetMachine.TestCase


class TreeCall:
    """A call that makes downstream calls, fails and is retried at random."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.extra_attempts = 0

    async def run(self, allowance: int, depth: int) -> int | None:
        """Return the extra attempts spent, or None if the answer is lost."""
        budget = AttemptBudget(allowance)
        async with anyio.create_task_group() as group:
            for _ in range(self.random.randint(0, 2) if depth else 0):
                group.start_soon(self.child, budget, depth - 1)
        assert 0 <= budget.remaining <= allowance
        return None if self.random.random() < 0.2 else budget.spent

    async def child(self, budget: AttemptBudget, depth: int) -> None:
        while True:
            reserved = budget.reserve()
            for _ in range(self.random.randint(0, 3)):
                await anyio.lowlevel.checkpoint()
            budget.end_reservation(reserved, await self.run(reserved, depth))
            if self.random.random() < 0.3 or not budget.try_spend():
                return
            self.extra_attempts += 1


@given(allowance=st.integers(0, 8), seed=st.integers(0, 10_000))
def test_extra_attempts_of_a_tree_stay_in_its_allowance(
    allowance: int, seed: int
) -> None:
    """Guards against retries that multiply along a chain of calls."""
    call = TreeCall(Random(seed))
    anyio.run(call.run, allowance, 5)
    assert call.extra_attempts <= allowance


def test_unspent_attempts_of_a_child_are_returned() -> None:
    """Guards against an allowance used up by child calls that did not retry."""
    budget = AttemptBudget(2)
    reserved = budget.reserve()
    assert (reserved, budget.remaining, budget.spent) == (1, 1, 1)
    budget.end_reservation(reserved, 0)
    assert (budget.remaining, budget.spent) == (2, 0)
    budget.record_spent(5)
    assert (budget.remaining, budget.spent, budget.try_spend()) == (0, 2, False)


class QuarantineMachine(RuleBasedStateMachine):
    """Compares two nodes that share suspicions with a model of all losses.

    Guards against a dangerous request that still runs after two losses, and
    against blocks that end too early or never.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.nodes = [Quarantine(self.clock), Quarantine(self.clock)]
        # The model: time of each loss by fingerprint and server.
        self.losses: dict[bytes, dict[str, float]] = {}
        self.running: Counter[tuple[int, bytes]] = Counter()

    fingerprints = st.sampled_from([b"one", b"two"])

    def count_known_losses(self, fingerprint: bytes) -> int:
        losses = self.losses.get(fingerprint, {})
        if losses and max(losses.values()) < self.clock.monotonic() - 300.0:
            losses.clear()
        return len(losses)

    @rule(
        node=st.integers(0, 1), fingerprint=fingerprints, server=st.sampled_from("xyz")
    )
    def lose(self, node: int, fingerprint: bytes, server: str) -> None:
        self.count_known_losses(fingerprint)
        losses = self.losses.setdefault(fingerprint, {})
        losses.setdefault(server, self.clock.monotonic())
        assert self.nodes[node].record_loss(fingerprint, server) == len(losses)
        for other in self.nodes:
            other.merge(self.nodes[node].select_suspicions_to_share())

    @rule(seconds=st.floats(1.0, 200.0))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule()
    def share_suspicions(self) -> None:
        for node in self.nodes:
            for other in self.nodes:
                node.merge(other.select_suspicions_to_share())

    @rule(node=st.integers(0, 1), fingerprint=fingerprints)
    def try_start(self, node: int, fingerprint: bytes) -> None:
        known, running = (
            self.count_known_losses(fingerprint),
            self.running[node, fingerprint],
        )
        allowed = known == 0 or (known == 1 and running == 0)
        assert self.nodes[node].try_start(fingerprint) is allowed
        self.running[node, fingerprint] += allowed

    @rule(node=st.integers(0, 1), fingerprint=fingerprints)
    def finish(self, node: int, fingerprint: bytes) -> None:
        if self.running[node, fingerprint]:
            self.running[node, fingerprint] -= 1
            self.nodes[node].finish(fingerprint)

    @invariant()
    def matches_model(self) -> None:
        for node in self.nodes:
            for fingerprint in (b"one", b"two"):
                assert node.count_suspicions(fingerprint) == self.count_known_losses(
                    fingerprint
                )
                assert node.is_blocked(fingerprint) is (
                    self.count_known_losses(fingerprint) >= 2
                )


TestQuarantine = QuarantineMachine.TestCase


def test_suspected_request_runs_alone() -> None:
    """Guards against losing two more servers at once to a suspected request.

    After the first loss, requests with the same fingerprint must run one at a
    time, and only after those that already run have ended.
    """
    quarantine = Quarantine(ManualClock())
    assert quarantine.try_start(b"one") and quarantine.try_start(b"one")
    quarantine.record_loss(b"one", "x")
    quarantine.finish(b"one")
    assert not quarantine.try_start(b"one")
    quarantine.finish(b"one")
    assert quarantine.try_start(b"one")
    assert not quarantine.try_start(b"one")


def test_completed_request_is_cleared_of_earlier_losses() -> None:
    """Guards against blocking harmless requests after the failure of a rack.

    Unlike requests that crash servers, such requests complete. A completion must
    clear the earlier losses, also when other nodes still share them, and raise
    the number of later losses that block the fingerprint.
    """
    clock = ManualClock()
    quarantine = Quarantine(clock)
    assert quarantine.record_loss(b"new", "server-1") == 1
    assert quarantine.record_completion(b"new")
    assert quarantine.count_suspicions(b"new") == 0
    quarantine.merge([Suspicion(b"new", "server-1", 0.0)])
    assert quarantine.count_suspicions(b"new") == 0, "an old suspicion came back"
    for number in range(2, 6):
        assert not quarantine.is_blocked(b"new")
        clock.advance(2.0)
        quarantine.record_loss(b"new", f"server-{number}")
    assert quarantine.is_blocked(b"new"), "four losses after the completion"


def test_quarantine_memory_is_bounded_and_keeps_blocks() -> None:
    """Guards against memory growth, and against suspicions that evict blocks.

    A crash suspects all requests at the server, so that suspicions are many.
    Heartbeats must still share every loss of a blocked fingerprint in turn.
    """
    quarantine = Quarantine(ManualClock())
    quarantine.merge([Suspicion(b"bad", s, 1.0) for s in "xy"])
    for i in range(MAX_FINGERPRINTS + 10):
        quarantine.record_loss(i.to_bytes(4, "big"), "x")
    assert len(quarantine._suspected) == MAX_FINGERPRINTS
    assert quarantine.is_blocked(b"bad")
    shared = {s for _ in range(520) for s in quarantine.select_suspicions_to_share()}
    assert len(quarantine.select_suspicions_to_share()) == 16
    assert {s.server for s in shared if s.fingerprint == b"bad"} == {"x", "y"}


def test_all_nodes_choose_the_same_trial_member() -> None:
    """Guards against a suspected request that runs on two servers at once.

    Each node chooses the member on its own, from a list in any order.
    """
    members = [make_member(f"p-{i}") for i in range(5)]
    chosen = choose_trial_member(b"one", members)
    assert chosen is not None
    assert choose_trial_member(b"one", members[::-1]) == chosen
    assert {choose_trial_member(bytes([i]), members) for i in range(64)} == set(members)
    assert choose_trial_member(b"one", []) is None


def test_resends_attach_and_share_the_result() -> None:
    """Guards against executing a resent request while the first one still runs."""
    clock = ManualClock()
    tracker: ResendTracker[str] = ResendTracker(clock)
    first = tracker.arrive(b"one", True)
    second = tracker.arrive(b"one", True)
    third = tracker.arrive(b"one", True)
    flags = [(a.is_leader, a.resend) for a in (first, second, third)]
    assert flags == [(True, False), (False, False), (False, True)]
    tracker.finish(first, "answer")
    assert [anyio.run(a.result) for a in (second, third)] == ["answer", "answer"]
    again = tracker.arrive(b"one", True)
    assert (again.is_leader, again.resend) == (True, True)
    tracker.finish(again, None)
    clock.advance(5.01)
    later = tracker.arrive(b"one", True)
    assert (later.is_leader, later.resend) == (True, False)


def test_attached_resend_takes_over_a_cancelled_request() -> None:
    """Guards against failing attached callers when the leading one disconnects.

    One of the attached requests must run instead; the others attach to it.
    """
    tracker: ResendTracker[str] = ResendTracker(ManualClock())
    first = tracker.arrive(b"one", True)
    attached = [tracker.arrive(b"one", True) for _ in range(2)]
    tracker.finish(first, None)
    assert [anyio.run(arrival.result) for arrival in attached] == [None, None]
    rejoined = [tracker.rejoin(arrival) for arrival in attached]
    assert [arrival.is_leader for arrival in rejoined] == [True, False]


def test_attached_resend_waits_for_the_result() -> None:
    """Guards against answering a resend before the running request has ended."""
    tracker: ResendTracker[str] = ResendTracker(ManualClock())
    first, second = (tracker.arrive(b"one", True) for _ in range(2))

    async def finish_later() -> str | None:
        async with anyio.create_task_group() as group:
            group.start_soon(finish)
            return await second.result()

    async def finish() -> None:
        tracker.finish(first, "answer")

    assert anyio.run(finish_later) == "answer"


def test_non_repeatable_requests_never_attach() -> None:
    """Guards against one answer for two requests that must both run, e.g. orders."""
    tracker: ResendTracker[str] = ResendTracker(ManualClock())
    arrivals = [tracker.arrive(b"one", False) for _ in range(2)]
    flags = [(arrival.is_leader, arrival.resend) for arrival in arrivals]
    assert flags == [(True, False), (True, True)]


def test_resend_memory_is_bounded() -> None:
    """Guards against memory that grows with the number of distinct requests."""
    clock = ManualClock()
    tracker: ResendTracker[str] = ResendTracker(clock)
    for i in range(40_000):
        tracker.finish(tracker.arrive(i.to_bytes(4, "big"), True), "")
    assert len(tracker._arrivals) <= 16_384
    assert not tracker._running_requests


def test_fingerprint_separates_its_parts() -> None:
    """Guards against different requests with the same fingerprint.

    Without length prefixes, parts that are split differently have one digest.
    """
    parts = [("a", "GET", "/x", b""), ("a", "GET", "/", b"x"), ("aG", "ET", "/x", b"")]
    assert len({compute_fingerprint(*p) for p in parts}) == 3
    assert len(compute_fingerprint(*parts[0])) == 16
