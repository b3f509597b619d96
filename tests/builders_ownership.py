"""Simulated fleet for ownership tests, in which any message can be late or lost."""

import json
from collections.abc import Callable, Coroutine, Generator
from typing import Any, NamedTuple

from heathermount.clocks import ManualClock
from heathermount.errors import (
    PeerRefused,
    PeerTimeout,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership import (
    NodeIdentity,
    OwnerRecord,
    OwnershipManager,
    Partition,
)

PARTITION = "claims/pantry/0"
LEASE_DURATION_S = 120.0


class Versioned(NamedTuple):
    value: bytes
    version: int


class FakeStore:
    """A linearizable store; the version of a value is the number of its write."""

    def __init__(self) -> None:
        self.values: dict[str, Versioned] = {}
        self.write_count = 0

    def get(self, key: str) -> Versioned | None:
        return self.values.get(key)

    def commit(self, compares: dict[str, int], writes: dict[str, bytes | None]) -> bool:
        for key, version in compares.items():
            held = self.values.get(key)
            if (held.version if held else 0) != version:
                return False
        self.write_count += 1
        for key, value in writes.items():
            self.values.pop(key, None)
            if value is not None:
                self.values[key] = Versioned(value, self.write_count)
        return True


class Operation:
    """A call to another process, which executes it at most once.

    `lost_error` is raised in the caller if the answer is lost, `unsent_error` if
    the call was not sent. Without them the operation is a sleep and cannot fail.
    """

    def __init__(
        self,
        action: Callable[[], Any],
        lost_error: type[Exception] | None,
        unsent_error: type[Exception] | None,
        is_write: bool,
    ) -> None:
        self.action = action
        self.lost_error = lost_error
        self.unsent_error = unsent_error
        self.is_write = is_write
        self.executed = False
        self.result: Any = None

    def __await__(self) -> Generator[Any, Any, Any]:
        return (yield self)

    def execute(self) -> None:
        if not self.executed:
            self.executed = True
            try:
                self.result = self.action()
            except Exception as error:
                self.result = error


class RemoteStore:
    """Store client of one process; each call is an operation that can be lost."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store

    async def get(self, key: str) -> Versioned | None:
        return await Operation(
            lambda: self.store.get(key), StoreUnavailable, StoreUnavailable, False
        )

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        return await Operation(
            lambda: self.store.commit(compares, writes),
            StoreOutcomeUnknown,
            StoreUnavailable,
            True,
        )


class Task:
    """A coroutine of one process and the operation that it awaits."""

    def __init__(self, process: "Process", coroutine: Coroutine[Any, Any, Any]) -> None:
        self.process = process
        self.coroutine = coroutine
        self.operation: Operation | None = None


class Process:
    """One process of a node; its partition's state is a list of decisions."""

    def __init__(self, fleet: "SimulatedFleet", node: str, incarnation: str) -> None:
        self.fleet = fleet
        self.alive = True
        self.stopping = False
        self.clock = fleet.clocks[node]
        self.visible_nodes: list[str] = list(fleet.clocks)
        self.identity = NodeIdentity(node, incarnation, f"{node}:1", f"{node}:2")
        self.events = EventLog(node, self.clock, quiet=True)
        self.invariants = Invariants(self.events)
        self.partition: Partition | None = None
        # This process knows the fleet's decisions from index `known_from` on.
        self.known_from = 0
        self.known_decisions: list[int] = []
        self.manager = OwnershipManager(
            LEASE_DURATION_S,
            RemoteStore(fleet.store),
            self.clock,
            self.identity,
            self,
            self.events,
            self.invariants,
            self.sleep,
        )

    async def sleep(self, seconds: float) -> None:
        await Operation(lambda: None, None, None, False)

    def list_partitions(self) -> list[str]:
        return [PARTITION]

    def list_candidates(self, partition: str) -> list[str]:
        return sorted({*self.visible_nodes, self.identity.node})

    def find_identity(self, node: str) -> NodeIdentity | None:
        process = self.fleet.processes.get(node)
        return process.manager.identity if process and process.alive else None

    async def confirm_process_ended(self, address: str, incarnation: str) -> bool:
        node = address.partition(":")[0]
        result = await Operation(
            lambda: self.fleet.has_ended(node, incarnation),
            PeerTimeout,
            PeerTimeout,
            False,
        )
        return bool(result)

    async def fetch_record(self, partition: str) -> None:
        return None

    def start_partition(self, partition: Partition, state: bytes | None) -> None:
        self.partition = partition
        decisions = self.fleet.decisions
        if state is not None:
            self.known_from, self.known_decisions = json.loads(state)
        else:
            self.known_from, self.known_decisions = (
                0 if partition.has_complete_state else len(decisions),
                [],
            )
        assert self.known_decisions == decisions[self.known_from :], (
            "the state lacks a decision"
        )

    def stop_partition(self, name: str) -> None:
        self.partition = None

    def dump_state(self, name: str) -> bytes:
        return json.dumps([self.known_from, self.known_decisions]).encode()

    async def hand_over(
        self, successor: NodeIdentity, name: str, epoch: int, state: bytes
    ) -> bool:
        def deliver() -> bool:
            process = self.fleet.processes[successor.node]
            if not process.alive:
                raise PeerRefused("refused")
            return process.manager.accept_handover(name, epoch, state)

        return bool(await Operation(deliver, PeerTimeout, PeerRefused, True))

    def may_decide(self) -> bool:
        return self.alive and self.partition is not None and self.partition.may_decide()


class SimulatedFleet:
    """All processes and the store, and control over their clocks and messages."""

    def __init__(self, nodes: int = 3) -> None:
        names = [f"pantry-{i + 1}" for i in range(nodes)]
        self.clocks = {name: ManualClock() for name in names}
        # The clocks drift apart by less than the 1% that CLOCK_DRIFT_FACTOR allows.
        self.clock_rates = {name: 1 + 0.004 * (i - 1) for i, name in enumerate(names)}
        self.store = FakeStore()
        self.decisions: list[int] = []
        self.tasks: list[Task] = []
        # Writes whose sender has stopped waiting; they may still take effect.
        self.late_writes: list[Operation] = []
        self.incarnation_count = 0
        self.processes: dict[str, Process] = {}
        for name in names:
            self.start_process(name)

    def start_process(self, node: str) -> Process:
        self.incarnation_count += 1
        process = Process(self, node, f"i{self.incarnation_count}")
        self.processes[node] = process
        return process

    def has_ended(self, node: str, incarnation: str) -> bool:
        process = self.processes[node]
        return not process.alive or process.manager.identity.incarnation != incarnation

    def advance_clocks(self, seconds: float) -> None:
        for name, clock in self.clocks.items():
            clock.advance(seconds * self.clock_rates[name])

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> Task:
        task = Task(process, coroutine)
        self.tasks.append(task)
        self._resume(task, None)
        return task

    def start_due_work(self, process: Process) -> Task:
        return self.spawn(process, process.manager.run_due_work(PARTITION))

    def _resume(self, task: Task, result: Any) -> None:
        try:
            if isinstance(result, Exception):
                task.operation = task.coroutine.throw(result)
            else:
                task.operation = task.coroutine.send(result)
        except StopIteration:
            self.tasks.remove(task)

    def answer(self, task: Task) -> None:
        """Execute the operation that the task awaits and return its result to it."""
        operation = task.operation
        assert operation is not None
        operation.execute()
        self._resume(task, operation.result)

    def lose_answer(self, task: Task) -> None:
        """Lose the answer; a write not executed yet may still be executed later."""
        operation = task.operation
        assert operation is not None
        if operation.is_write and not operation.executed:
            self.late_writes.append(operation)
        self._resume(
            task, operation.lost_error("lost") if operation.lost_error else None
        )

    def refuse(self, task: Task) -> None:
        """Fail the operation as unsent, or as lost if it has been executed."""
        operation = task.operation
        assert operation is not None
        error = operation.lost_error if operation.executed else operation.unsent_error
        self._resume(task, error("refused") if error else None)

    def run_to_end(self, task: Task) -> None:
        while task in self.tasks:
            self.answer(task)

    def crash(self, process: Process) -> None:
        process.alive = False
        for task in [task for task in self.tasks if task.process is process]:
            self.tasks.remove(task)
            if (
                task.operation
                and task.operation.is_write
                and not task.operation.executed
            ):
                self.late_writes.append(task.operation)
            task.coroutine.close()

    def decide(self, process: Process) -> None:
        """Record a decision if the process may decide, as a claim table would."""
        if process.may_decide():
            self.decisions.append(len(self.decisions))
            process.known_decisions.append(self.decisions[-1])

    def list_owners(self) -> list[str]:
        return [
            name for name, process in self.processes.items() if process.may_decide()
        ]

    def run_without_faults(self, seconds: float = 2.0, step_s: float = 0.5) -> None:
        """Run all live processes for some time without losing messages."""
        for _ in range(int(seconds / step_s)):
            for process in list(self.processes.values()):
                if process.alive:
                    self.run_to_end(self.start_due_work(process))
            self.advance_clocks(step_s)


def make_partition(
    name: str,
    clock: ManualClock,
    has_complete_state: bool = True,
    lease_duration_s: float = 1e9,
) -> Partition:
    """Return a partition whose lease expires in `lease_duration_s` seconds."""
    record = OwnerRecord(
        name, "pantry-1", "i1", "pantry-1:1", "pantry-1:2", 1, lease_duration_s
    )
    return Partition(
        record, clock, clock.monotonic() + lease_duration_s, has_complete_state
    )


class FixedOwners:
    """An OwnerDirectory: pantry-1 owns all partitions but those in `missing`."""

    def __init__(self) -> None:
        self.missing: set[str] = set()
        self.refresh_count = 0

    def find_owner(self, partition: str) -> OwnerRecord | None:
        if partition in self.missing:
            return None
        return OwnerRecord(partition, "pantry-1", "i1", "1", "2", 1, 120.0)

    async def refresh(self, partition: str) -> OwnerRecord | None:
        self.refresh_count += 1
        return self.find_owner(partition)
