"""Two processes never decide for one partition at the same time."""

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
    NAME,
    TERM_S,
    FakeStore,
    Process,
    Task,
    Versioned,
    World,
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
    decode_record,
    make_key,
    rank_candidates,
    slot_of,
)

# Time in which the first owner acquires and all candidates read its record.
START_S = 4.0
NAMES = ["pantry-1", "pantry-2", "pantry-3"]
NODES = st.sampled_from(NAMES)


class OwnershipMachine(RuleBasedStateMachine):
    """Any order of messages, losses, pauses, crashes, stops and wrong views."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(nodes=len(NAMES))

    def process(self, node: str) -> Process:
        return self.world.processes[node]

    def hold(self, task: Task, answers: int, serve: bool) -> None:
        """Let a task make some calls, then leave it waiting for the next one."""
        while task in self.world.tasks and answers:
            self.world.answer(task)
            answers -= 1
        if task in self.world.tasks and task.operation is not None and serve:
            task.operation.serve()

    @rule(node=NODES, answers=st.integers(0, 4), serve=st.booleans())
    def begin(self, node: str, answers: int, serve: bool) -> None:
        self.hold(self.world.tick(self.process(node)), answers, serve)

    @precondition(lambda self: self.world.tasks)
    @rule(data=st.data(), how=st.sampled_from(["answer", "answer", "fail", "refuse"]))
    def progress(self, data: st.DataObject, how: str) -> None:
        tasks = self.world.tasks
        task = tasks[data.draw(st.integers(0, len(tasks) - 1))]
        getattr(self.world, how)(task)

    @precondition(lambda self: self.world.tasks)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        tasks = self.world.tasks
        self.world.run(tasks[data.draw(st.integers(0, len(tasks) - 1))])

    @precondition(lambda self: self.world.late)
    @rule(data=st.data())
    def take_late_effect(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.world.late) - 1))
        self.world.late.pop(index).serve()

    @rule(
        active=st.sets(NODES, min_size=1),
        seconds=st.sampled_from([0.1, 1.0, 41.0, 80.0, 119.5, 125.0]),
    )
    def act(self, active: set[str], seconds: float) -> None:
        """Let some processes act for a while; the others are paused or cut off."""
        for node in active:
            self.process(node).view = sorted(active)
        for part_s in (0.5, seconds - 0.5, 0.5, 0.5) if seconds > 1 else (seconds,):
            for node in active:
                self.world.run(self.world.tick(self.process(node)))
            self.world.pass_time(part_s)
        for node in active:
            self.world.run(self.world.tick(self.process(node)))

    @rule(node=NODES)
    def crash(self, node: str) -> None:
        self.world.crash(self.process(node))
        self.world.boot(node)

    @rule(node=NODES)
    def change_incarnation(self, node: str) -> None:
        manager = self.process(node).manager
        self.world.incarnations += 1
        own, incarnation = manager.identity, f"i{self.world.incarnations}"
        manager.change_identity(
            NodeIdentity(node, incarnation, own.address, own.control)
        )

    @rule(node=NODES, answers=st.integers(0, 5), serve=st.booleans())
    def stop(self, node: str, answers: int, serve: bool) -> None:
        process = self.process(node)
        process.manager.set_draining(True)
        for partition in process.manager.owned():
            release = process.manager.release(partition, process.hand_over)
            self.hold(self.world.spawn(process, release), answers, serve)

    @rule(node=NODES)
    def end_drain(self, node: str) -> None:
        self.process(node).manager.set_draining(False)

    @invariant()
    def one_owner(self) -> None:
        assert len(self.world.owners()) <= 1, self.world.owners()

    @invariant()
    def decide(self) -> None:
        for process in self.world.processes.values():
            self.world.decide(process)
            assert process.invariants.violations == {}

    def teardown(self) -> None:
        for process in self.world.processes.values():
            self.world.crash(process)


def test_never_two_owners() -> None:
    """Guards against two owners, or a handover that forgets a decision."""
    run_state_machine_as_test(
        OwnershipMachine, settings=settings(max_examples=400, stateful_step_count=50)
    )


def start_world() -> tuple[World, Process, list[Process]]:
    """Return a world, the owner of the partition and the other processes."""
    world = World()
    world.settle(seconds=START_S)
    (owner,) = world.owners()
    others = [p for name, p in world.processes.items() if name != owner]
    return world, world.processes[owner], others


def test_preferred_candidate_acquires_once() -> None:
    """Guards against every candidate writing the record at the start."""
    world, owner, _ = start_world()
    assert owner.identity.node == rank_candidates(NAME, NAMES)[0]
    assert owner.partition is not None
    assert owner.partition.fresh_start
    assert world.store.writes == 1


def test_dead_owner_is_replaced_within_seconds() -> None:
    """Guards against waiting for the term although the owner's death is proven."""
    world, owner, others = start_world()
    world.crash(owner)
    for process in others:
        process.view = [p.identity.node for p in others]
    world.settle(seconds=2.0)
    (name,) = world.owners()
    partition = world.processes[name].partition
    assert partition is not None
    assert not partition.fresh_start
    assert partition.epoch == 2


def test_live_owner_is_kept_when_views_change() -> None:
    """Guards against taking a partition from an owner that only looks dead."""
    world, owner, others = start_world()
    for process in others:
        process.view = []
    world.settle(seconds=300.0, step_s=5.0)
    assert world.owners() == [owner.identity.node]
    assert owner.partition is not None
    assert owner.partition.epoch == 1


def test_vanished_owner_is_replaced_after_its_term() -> None:
    """Guards against a partition that stays without owner when its host vanishes."""
    world, owner, others = start_world()
    for process in others:
        process.view = [p.identity.node for p in others]
    # The owner is paused: it neither acts nor refuses connections.
    elapsed_s = START_S
    while world.owners() in ([], [owner.identity.node]) and elapsed_s < 300.0:
        for process in others:
            world.run(world.tick(process))
        world.pass_time(0.5)
        elapsed_s += 0.5
    assert TERM_S < elapsed_s < TERM_S * 1.05
    assert not owner.owns()


def test_owner_decides_through_an_outage_and_returns_after_a_longer_one() -> None:
    """Guards against refusals during a store outage and lost state after it."""
    world, owner, others = start_world()
    world.pass_time(40.0)
    for _ in range(8):
        task = world.tick(owner)
        while task in world.tasks:
            world.refuse(task)
        world.decide(owner)
        world.pass_time(9.0)
    assert owner.owns()
    world.pass_time(20.0)
    assert not owner.owns()
    world.run(world.tick(owner))
    assert owner.owns()
    assert owner.known == world.log


def test_handover_transfers_state_within_a_second() -> None:
    """Guards against a planned stop that loses decisions or leaves a gap."""
    world, owner, others = start_world()
    world.decide(owner)
    assert owner.partition is not None
    release = owner.manager.release(owner.partition, owner.hand_over)
    owner.manager.set_draining(True)
    world.run(world.spawn(owner, release))
    assert owner.partition is None
    world.settle(seconds=0.5, step_s=0.1)
    (name,) = world.owners()
    successor = world.processes[name]
    assert name != owner.identity.node
    assert successor.known == [0]
    assert successor.partition is not None
    assert successor.partition.fresh_start
    found = successor.manager.find_owner(NAME)
    assert found is not None
    assert found.epoch == 2


def watch_takeover(world: World, watchers: list[Process], seconds: int) -> None:
    """Let candidates that cannot see the owner act; there is never a second one."""
    for process in watchers:
        process.view = [p.identity.node for p in watchers]
    for _ in range(seconds):
        for process in watchers:
            world.run(world.tick(process))
        assert len(world.owners()) <= 1
        world.pass_time(1.0)


def test_term_counts_from_the_sending_of_a_renewal() -> None:
    """Guards against an owner paused between a renewal and its answer."""
    world, owner, others = start_world()
    world.pass_time(41.0)
    renewal = world.tick(owner)
    world.answer(renewal)
    assert renewal.operation is not None
    renewal.operation.serve()
    watch_takeover(world, others, 118)
    world.run(renewal)
    watch_takeover(world, others, 10)
    assert world.owners() not in ([], [owner.identity.node])


def test_term_counts_from_the_read_when_an_earlier_write_landed() -> None:
    """Guards against crediting a late write to the attempt that was sent last."""
    world, owner, others = start_world()
    world.pass_time(41.0)
    first = world.tick(owner)
    world.answer(first)
    world.fail(first)
    world.refuse(first)
    world.pass_time(1.1)
    second = world.tick(owner)
    assert second.operation is not None
    second.operation.serve()
    world.late.pop().serve()
    watch_takeover(world, others, 100)
    world.answer(second)
    assert second.operation is not None
    second.operation.serve()
    world.fail(second)
    world.run(second)
    watch_takeover(world, others, 30)
    assert world.owners() not in ([], [owner.identity.node])


def test_acquisition_answered_after_its_term_is_not_used() -> None:
    """Guards against a complete start although another node decided since."""
    world = World()
    late = world.processes[rank_candidates(NAME, NAMES)[0]]
    others = [p for p in world.processes.values() if p is not late]
    task = world.tick(late)
    world.answer(task)
    world.answer(task)
    assert task.operation is not None
    task.operation.serve()
    watch_takeover(world, others, 126)
    (name,) = world.owners()
    world.decide(world.processes[name])
    world.run(task)
    assert late.partition is None
    assert world.owners() == [name]


def test_candidate_counts_the_term_from_after_its_read() -> None:
    """Guards against a read that was sent long before the renewal it returns."""
    world, owner, others = start_world()
    candidate = others[0]
    world.pass_time(125.0)
    candidate.view = [candidate.identity.node]
    reading = world.tick(candidate)
    world.pass_time(100.0)
    world.run(world.tick(owner))
    world.run(reading)
    watch_takeover(world, [candidate], 30)
    assert world.owners() == [owner.identity.node]


def test_writes_compare_the_version_that_was_read() -> None:
    """Guards against two candidates that read the empty store together."""
    world = World()
    tasks = []
    for process in world.processes.values():
        process.view = []
        tasks.append(world.tick(process))
    for _ in range(2):
        for task in tasks:
            world.answer(task)
    for task in tasks:
        world.run(task)
    assert len(world.owners()) == 1


def test_owner_never_resumes_when_its_state_may_have_arrived() -> None:
    """Guards against a successor that takes over with an outdated state."""
    world, owner, others = start_world()
    world.decide(owner)
    assert owner.partition is not None
    release = owner.manager.release(owner.partition, owner.hand_over)
    owner.manager.set_draining(True)
    task = world.spawn(owner, release)
    assert task.operation is not None
    task.operation.serve()
    while task in world.tasks:
        world.fail(task)
    world.decide(owner)
    assert not owner.owns()
    world.crash(owner)
    for process in others:
        process.view = [p.identity.node for p in others]
    world.settle(seconds=3.0)
    (name,) = world.owners()
    assert world.processes[name].known == [0]


def test_unreachable_successors_leave_the_partition_owned() -> None:
    """Guards against a node that stops deciding although nobody took over."""
    world, owner, others = start_world()
    for process in others:
        world.crash(process)
    assert owner.partition is not None
    release = owner.manager.release(owner.partition, owner.hand_over)
    world.run(world.spawn(owner, release))
    assert owner.owns()
    owner.manager.stop()
    assert not owner.owns()


def test_draining_node_takes_nothing() -> None:
    """Guards against a leaving node that acquires a partition."""
    world = World()
    for process in world.processes.values():
        process.manager.set_draining(True)
    world.settle()
    assert world.owners() == []
    process = world.processes["pantry-1"]
    assert not process.manager.accept_handover(NAME, 1, b"")


def test_older_data_in_the_store_is_overwritten() -> None:
    """Guards against a second owner after the store was restored from a backup."""
    world, owner, others = start_world()
    backup = dict(world.store.values)
    world.crash(owner)
    for process in others:
        process.view = [p.identity.node for p in others]
    world.settle(seconds=2.0)
    (name,) = world.owners()
    world.store.values = backup
    world.settle(seconds=60.0, step_s=5.0)
    assert world.owners() == [name]
    stored = decode_record(world.store.values[make_key(NAME)].value)
    assert stored.node == name


class LocalHost(Process):
    """A node in one process with its store, on the event loop."""

    def __init__(self) -> None:
        self.store = LocalStore()
        self.clock = SystemClock()
        self.identity = NodeIdentity("pantry-1", "i1", "1", "2")
        self.view = ["pantry-1"]
        self.acquired = anyio.Event()
        self.fetched = 0
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

    async def fetch(self, partition: str) -> OwnerRecord | None:
        self.fetched += 1
        await anyio.lowlevel.checkpoint()
        return self.record

    def started(self, partition: Partition, state: bytes | None) -> None:
        self.partition = partition
        self.acquired.set()


class LocalStore(FakeStore):
    """A store that answers in the same process."""

    async def get(self, key: str) -> Versioned | None:
        return super().get(key)

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        return super().commit(compares, writes)


def test_run_acquires_and_renews() -> None:
    """Guards against a loop that does not renew in time."""

    async def scenario() -> None:
        host = LocalHost()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.manager.run)
            with anyio.fail_after(5.0):
                await host.acquired.wait()
            await anyio.sleep(1.0)
            assert host.partition is not None
            assert host.partition.owns()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_lookups_are_shared_and_ask_a_peer_first() -> None:
    """Guards against a store read for each request when an owner changes."""

    async def scenario() -> None:
        host = LocalHost()
        host.record = OwnerRecord(NAME, "pantry-2", "i2", "3", "4", 7, TERM_S)
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(host.manager.refresh, NAME)
        assert host.fetched == 1
        assert host.manager.find_owner(NAME) == host.record
        host.manager.note(OwnerRecord(NAME, "pantry-1", "i1", "1", "2", 6, TERM_S))
        assert host.manager.find_owner(NAME) == host.record

    anyio.run(scenario)


@pytest.mark.parametrize("slots", [1, 2, 8])
def test_slots_are_stable_and_in_range(slots: int) -> None:
    """Guards against nodes of different versions disagreeing on a partition."""
    assert all(0 <= slot_of(bytes([i]), slots) < slots for i in range(64))
    assert slot_of(b"cart-1", 8) == 0
