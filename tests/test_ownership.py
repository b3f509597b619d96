"""Partition ownership: leases, takeovers and handovers."""

import anyio
import anyio.lowlevel
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from builders_ownership import (
    LEASE_DURATION_S,
    PARTITION,
    FakeStore,
    Process,
    SimulatedFleet,
    Task,
    Versioned,
)
from heathermount.clocks import SystemClock
from heathermount.config.settings import TimingSettings
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership import (
    NodeIdentity,
    OwnerRecord,
    OwnershipManager,
    Partition,
    compute_partition_index,
    decode_record,
    make_record_key,
    rank_candidates,
)

# Long enough for the first owner to acquire and all candidates to read its record.
STARTUP_S = 4.0
NODE_NAMES = ["pantry-1", "pantry-2", "pantry-3"]
NODES = st.sampled_from(NODE_NAMES)


class OwnershipMachine(RuleBasedStateMachine):
    """Any order of messages, losses, pauses, crashes, stops and partial visibility."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(nodes=len(NODE_NAMES))

    def process(self, node: str) -> Process:
        return self.fleet.processes[node]

    def answer_calls(self, task: Task, answers: int, execute: bool) -> None:
        """Answer some calls of a task and leave it waiting for the next one.

        With `execute`, that call takes effect, but its answer is outstanding.
        """
        while task in self.fleet.tasks and answers:
            self.fleet.answer(task)
            answers -= 1
        if task in self.fleet.tasks and task.operation is not None and execute:
            task.operation.execute()

    @rule(node=NODES, answers=st.integers(0, 4), execute=st.booleans())
    def start_work(self, node: str, answers: int, execute: bool) -> None:
        self.answer_calls(
            self.fleet.start_due_work(self.process(node)), answers, execute
        )

    @precondition(lambda self: self.fleet.tasks)
    @rule(
        data=st.data(),
        how=st.sampled_from(["answer", "answer", "lose_answer", "refuse"]),
    )
    def resume_task(self, data: st.DataObject, how: str) -> None:
        tasks = self.fleet.tasks
        task = tasks[data.draw(st.integers(0, len(tasks) - 1))]
        getattr(self.fleet, how)(task)

    @precondition(lambda self: self.fleet.tasks)
    @rule(data=st.data())
    def finish_task(self, data: st.DataObject) -> None:
        tasks = self.fleet.tasks
        self.fleet.run_to_end(tasks[data.draw(st.integers(0, len(tasks) - 1))])

    @precondition(lambda self: self.fleet.late_writes)
    @rule(data=st.data())
    def apply_late_write(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.fleet.late_writes) - 1))
        self.fleet.late_writes.pop(index).execute()

    @rule(
        active=st.sets(NODES, min_size=1),
        seconds=st.sampled_from([0.1, 1.0, 41.0, 80.0, 119.5, 125.0]),
    )
    def run_processes(self, active: set[str], seconds: float) -> None:
        """Run some processes for a while; the others are paused or partitioned."""
        for node in active:
            self.process(node).visible_nodes = sorted(active)
        for part_s in (0.5, seconds - 0.5, 0.5, 0.5) if seconds > 1 else (seconds,):
            for node in active:
                self.fleet.run_to_end(self.fleet.start_due_work(self.process(node)))
            self.fleet.advance_clocks(part_s)
        for node in active:
            self.fleet.run_to_end(self.fleet.start_due_work(self.process(node)))

    @rule(node=NODES)
    def crash(self, node: str) -> None:
        self.fleet.crash(self.process(node))
        self.fleet.start_process(node)

    @rule(node=NODES)
    def change_incarnation(self, node: str) -> None:
        manager = self.process(node).manager
        self.fleet.incarnation_count += 1
        own, incarnation = manager.identity, f"i{self.fleet.incarnation_count}"
        manager.change_identity(
            NodeIdentity(node, incarnation, own.address, own.control)
        )

    @rule(node=NODES, answers=st.integers(0, 5), execute=st.booleans())
    def drain(self, node: str, answers: int, execute: bool) -> None:
        process = self.process(node)
        process.manager.set_draining(True)
        for partition in process.manager.list_owned():
            release = process.manager.release(partition, process.hand_over)
            self.answer_calls(self.fleet.spawn(process, release), answers, execute)

    @rule(node=NODES)
    def end_drain(self, node: str) -> None:
        self.process(node).manager.set_draining(False)

    @invariant()
    def at_most_one_owner(self) -> None:
        assert len(self.fleet.list_owners()) <= 1, self.fleet.list_owners()

    @invariant()
    def decide(self) -> None:
        for process in self.fleet.processes.values():
            self.fleet.decide(process)
            assert process.invariants.violations == {}

    def teardown(self) -> None:
        for process in self.fleet.processes.values():
            self.fleet.crash(process)


def test_never_two_owners() -> None:
    """Guards against two simultaneous owners, or a handover that loses a decision."""
    run_state_machine_as_test(
        OwnershipMachine, settings=settings(max_examples=400, stateful_step_count=50)
    )


def start_fleet() -> tuple[SimulatedFleet, Process, list[Process]]:
    """Return a fleet, the owner of the partition and the other processes."""
    fleet = SimulatedFleet()
    fleet.run_without_faults(seconds=STARTUP_S)
    (owner,) = fleet.list_owners()
    others = [p for name, p in fleet.processes.items() if name != owner]
    return fleet, fleet.processes[owner], others


def test_preferred_candidate_acquires_once() -> None:
    """Guards against several candidates writing the owner record at startup."""
    fleet, owner, _ = start_fleet()
    assert owner.identity.node == rank_candidates(PARTITION, NODE_NAMES)[0]
    assert owner.partition is not None
    assert owner.partition.has_complete_state
    assert fleet.store.write_count == 1


def test_dead_owner_is_replaced_within_seconds() -> None:
    """Guards against waiting for lease expiry when the owner's end is proven."""
    fleet, owner, others = start_fleet()
    fleet.crash(owner)
    for process in others:
        process.visible_nodes = [p.identity.node for p in others]
    fleet.run_without_faults(seconds=2.0)
    (name,) = fleet.list_owners()
    partition = fleet.processes[name].partition
    assert partition is not None
    assert not partition.has_complete_state
    assert partition.epoch == 2


def test_live_owner_is_kept_when_candidates_cannot_see_it() -> None:
    """Guards against taking over from an owner that candidates wrongly deem dead."""
    fleet, owner, others = start_fleet()
    for process in others:
        process.visible_nodes = []
    fleet.run_without_faults(seconds=300.0, step_s=5.0)
    assert fleet.list_owners() == [owner.identity.node]
    assert owner.partition is not None
    assert owner.partition.epoch == 1


def test_unreachable_owner_is_replaced_after_its_lease() -> None:
    """Guards against a partition without owner after its instance disappears.

    Such an owner neither renews nor refuses connections, so there is no proof of
    its end and the candidates must wait for its lease to expire.
    """
    fleet, owner, others = start_fleet()
    for process in others:
        process.visible_nodes = [p.identity.node for p in others]
    # The owner is paused: it does not run, but its listener refuses no connection.
    elapsed_s = STARTUP_S
    while fleet.list_owners() in ([], [owner.identity.node]) and elapsed_s < 300.0:
        for process in others:
            fleet.run_to_end(fleet.start_due_work(process))
        fleet.advance_clocks(0.5)
        elapsed_s += 0.5
    assert LEASE_DURATION_S < elapsed_s < LEASE_DURATION_S * 1.05
    assert not owner.may_decide()


def test_owner_decides_through_an_outage_and_returns_after_a_longer_one() -> None:
    """Guards against refusals during a store outage shorter than the lease.

    After a longer outage, the owner must resume with its state if no other process
    has taken over.
    """
    fleet, owner, others = start_fleet()
    fleet.advance_clocks(40.0)
    for _ in range(8):
        task = fleet.start_due_work(owner)
        while task in fleet.tasks:
            fleet.refuse(task)
        fleet.decide(owner)
        fleet.advance_clocks(9.0)
    assert owner.may_decide()
    fleet.advance_clocks(20.0)
    assert not owner.may_decide()
    fleet.run_to_end(fleet.start_due_work(owner))
    assert owner.may_decide()
    assert owner.known_decisions == fleet.decisions


def test_handover_transfers_state_within_a_second() -> None:
    """Guards against a planned stop that loses decisions or leaves no owner."""
    fleet, owner, others = start_fleet()
    fleet.decide(owner)
    assert owner.partition is not None
    release = owner.manager.release(owner.partition, owner.hand_over)
    owner.manager.set_draining(True)
    fleet.run_to_end(fleet.spawn(owner, release))
    assert owner.partition is None
    fleet.run_without_faults(seconds=0.5, step_s=0.1)
    (name,) = fleet.list_owners()
    successor = fleet.processes[name]
    assert name != owner.identity.node
    assert successor.known_decisions == [0]
    assert successor.partition is not None
    assert successor.partition.has_complete_state
    found = successor.manager.find_owner(PARTITION)
    assert found is not None
    assert found.epoch == 2


def run_candidates(
    fleet: SimulatedFleet, candidates: list[Process], seconds: int
) -> None:
    """Run candidates that cannot see the owner; check that there is at most one."""
    for process in candidates:
        process.visible_nodes = [p.identity.node for p in candidates]
    for _ in range(seconds):
        for process in candidates:
            fleet.run_to_end(fleet.start_due_work(process))
        assert len(fleet.list_owners()) <= 1
        fleet.advance_clocks(1.0)


def test_lease_starts_when_the_renewal_is_sent() -> None:
    """Guards against two owners when the answer to a renewal is late.

    The owner is paused for almost a whole lease between sending the renewal and
    reading its answer. A lease counted from the answer would outlive a takeover.
    """
    fleet, owner, others = start_fleet()
    fleet.advance_clocks(41.0)
    renewal = fleet.start_due_work(owner)
    fleet.answer(renewal)
    assert renewal.operation is not None
    renewal.operation.execute()
    run_candidates(fleet, others, 118)
    fleet.run_to_end(renewal)
    run_candidates(fleet, others, 10)
    assert fleet.list_owners() not in ([], [owner.identity.node])


def test_lease_starts_at_the_read_when_an_earlier_write_took_effect() -> None:
    """Guards against counting a lease from a later attempt than the one that worked.

    The answer to the first renewal is lost and its write takes effect after the
    second attempt's read. The second write then fails its comparison and its answer
    is lost too, so reading back cannot tell which of the two took effect.
    """
    fleet, owner, others = start_fleet()
    fleet.advance_clocks(41.0)
    first = fleet.start_due_work(owner)
    fleet.answer(first)
    fleet.lose_answer(first)
    fleet.refuse(first)
    fleet.advance_clocks(1.1)
    second = fleet.start_due_work(owner)
    assert second.operation is not None
    second.operation.execute()
    fleet.late_writes.pop().execute()
    run_candidates(fleet, others, 100)
    fleet.answer(second)
    assert second.operation is not None
    second.operation.execute()
    fleet.lose_answer(second)
    fleet.run_to_end(second)
    run_candidates(fleet, others, 30)
    assert fleet.list_owners() not in ([], [owner.identity.node])


def test_acquisition_answered_after_lease_expiry_is_discarded() -> None:
    """Guards against starting with an empty state after another node has decided.

    The answer to the first acquisition arrives after its lease has expired and
    another node has taken over.
    """
    fleet = SimulatedFleet()
    late = fleet.processes[rank_candidates(PARTITION, NODE_NAMES)[0]]
    others = [p for p in fleet.processes.values() if p is not late]
    task = fleet.start_due_work(late)
    fleet.answer(task)
    fleet.answer(task)
    assert task.operation is not None
    task.operation.execute()
    run_candidates(fleet, others, 126)
    (name,) = fleet.list_owners()
    fleet.decide(fleet.processes[name])
    fleet.run_to_end(task)
    assert late.partition is None
    assert fleet.list_owners() == [name]


def test_candidate_measures_the_lease_from_the_end_of_its_read() -> None:
    """Guards against taking over from an owner that has just renewed.

    A candidate's read takes long and returns a record that was renewed just before
    its end. A lease measured from when the read was sent would expire too early.
    """
    fleet, owner, others = start_fleet()
    candidate = others[0]
    fleet.advance_clocks(125.0)
    candidate.visible_nodes = [candidate.identity.node]
    reading = fleet.start_due_work(candidate)
    fleet.advance_clocks(100.0)
    fleet.run_to_end(fleet.start_due_work(owner))
    fleet.run_to_end(reading)
    run_candidates(fleet, [candidate], 30)
    assert fleet.list_owners() == [owner.identity.node]


def test_writes_compare_the_version_that_was_read() -> None:
    """Guards against two owners when all candidates read the empty store at once."""
    fleet = SimulatedFleet()
    tasks = []
    for process in fleet.processes.values():
        process.visible_nodes = []
        tasks.append(fleet.start_due_work(process))
    for _ in range(2):
        for task in tasks:
            fleet.answer(task)
    for task in tasks:
        fleet.run_to_end(task)
    assert len(fleet.list_owners()) == 1


def test_owner_never_resumes_when_its_state_may_have_arrived() -> None:
    """Guards against a successor that takes over with an outdated state.

    The state reaches a successor, but the answer is lost. If the old owner decided
    again, the successor would lack that decision.
    """
    fleet, owner, others = start_fleet()
    fleet.decide(owner)
    assert owner.partition is not None
    release = owner.manager.release(owner.partition, owner.hand_over)
    owner.manager.set_draining(True)
    task = fleet.spawn(owner, release)
    assert task.operation is not None
    task.operation.execute()
    while task in fleet.tasks:
        fleet.lose_answer(task)
    fleet.decide(owner)
    assert not owner.may_decide()
    fleet.crash(owner)
    for process in others:
        process.visible_nodes = [p.identity.node for p in others]
    fleet.run_without_faults(seconds=3.0)
    (name,) = fleet.list_owners()
    assert fleet.processes[name].known_decisions == [0]


def test_unreachable_successors_leave_the_partition_owned() -> None:
    """Guards against an owner that stops deciding before anyone has taken over."""
    fleet, owner, others = start_fleet()
    for process in others:
        fleet.crash(process)
    assert owner.partition is not None
    release = owner.manager.release(owner.partition, owner.hand_over)
    fleet.run_to_end(fleet.spawn(owner, release))
    assert owner.may_decide()
    owner.manager.stop()
    assert not owner.may_decide()


def test_draining_node_acquires_no_partition() -> None:
    """Guards against a node that acquires a partition while it is being drained."""
    fleet = SimulatedFleet()
    for process in fleet.processes.values():
        process.manager.set_draining(True)
    fleet.run_without_faults()
    assert fleet.list_owners() == []
    process = fleet.processes["pantry-1"]
    assert not process.manager.accept_handover(PARTITION, 1, b"")


def test_older_data_in_the_store_is_overwritten() -> None:
    """Guards against a second owner after the store is restored from a backup.

    The restored record names the previous owner; the current one must replace it.
    """
    fleet, owner, others = start_fleet()
    backup = dict(fleet.store.values)
    fleet.crash(owner)
    for process in others:
        process.visible_nodes = [p.identity.node for p in others]
    fleet.run_without_faults(seconds=2.0)
    (name,) = fleet.list_owners()
    fleet.store.values = backup
    fleet.run_without_faults(seconds=60.0, step_s=5.0)
    assert fleet.list_owners() == [name]
    stored = decode_record(fleet.store.values[make_record_key(PARTITION)].value)
    assert stored.node == name


class LocalHost(Process):
    """A host on the real event loop and clock, with its store in the same process."""

    def __init__(self) -> None:
        self.store = LocalStore()
        self.clock = SystemClock()
        self.identity = NodeIdentity("pantry-1", "i1", "1", "2")
        self.visible_nodes = ["pantry-1"]
        self.acquired = anyio.Event()
        self.fetch_count = 0
        self.record: OwnerRecord | None = None
        events = EventLog("pantry-1", self.clock, quiet=True)
        self.manager = OwnershipManager.from_config(
            TimingSettings(owner_term_s=0.6),
            self.store,
            self.clock,
            self.identity,
            self,
            events,
            Invariants(events),
        )

    async def fetch_record(self, partition: str) -> OwnerRecord | None:
        self.fetch_count += 1
        await anyio.lowlevel.checkpoint()
        return self.record

    def start_partition(self, partition: Partition, state: bytes | None) -> None:
        self.partition = partition
        self.acquired.set()


class LocalStore(FakeStore):
    """A store that is called directly, without simulated messages."""

    async def get(self, key: str) -> Versioned | None:
        return super().get(key)

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        return super().commit(compares, writes)


def test_run_acquires_and_renews() -> None:
    """Guards against a manager loop that lets the lease expire between renewals."""

    async def scenario() -> None:
        host = LocalHost()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.manager.run)
            with anyio.fail_after(5.0):
                await host.acquired.wait()
            await anyio.sleep(1.0)
            assert host.partition is not None
            assert host.partition.may_decide()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_lookups_are_shared_and_ask_a_peer_first() -> None:
    """Guards against one store read per request when an owner changes."""

    async def scenario() -> None:
        host = LocalHost()
        host.record = OwnerRecord(
            PARTITION, "pantry-2", "i2", "3", "4", 7, LEASE_DURATION_S
        )
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(host.manager.refresh, PARTITION)
        assert host.fetch_count == 1
        assert host.manager.find_owner(PARTITION) == host.record
        host.manager.cache_record(
            OwnerRecord(PARTITION, "pantry-1", "i1", "1", "2", 6, LEASE_DURATION_S)
        )
        assert host.manager.find_owner(PARTITION) == host.record

    anyio.run(scenario)


@pytest.mark.parametrize("partition_count", [1, 2, 8])
def test_partition_index_is_stable_and_in_range(partition_count: int) -> None:
    """Guards against nodes of different releases disagreeing on a key's partition."""
    assert all(
        0 <= compute_partition_index(bytes([i]), partition_count) < partition_count
        for i in range(64)
    )
    assert compute_partition_index(b"cart-1", 8) == 0
