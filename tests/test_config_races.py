"""Tests that concurrent operators and store faults undo no accepted change."""

from collections.abc import Coroutine
from typing import Any

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from builders_config import (
    SECRET,
    SuspendingStore,
    make_declaration,
    make_tracker,
    run_to_next_call,
)
from heathermount.clocks import ManualClock
from heathermount.config.documents import HEAD_KEY, Change, FleetDocument, decode_head
from heathermount.config.operator_changes import (
    add_key,
    apply_declaration,
    withdraw_key,
)
from heathermount.config.store_records import read_document
from heathermount.config.tracker import ConfigTracker
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    Refusal,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.standins.store import FakeStore, StoreFaults, StoreState

NODE_COUNT = 3
NODE_INDEXES = st.integers(0, NODE_COUNT - 1)
# Number of store calls that an operation makes before another rule runs.
STEP_COUNTS = st.sampled_from([0, 1, 2, 3, 4, 8, 20])
Operation = Coroutine[Any, Any, Any]


class RecordingStore(SuspendingStore):
    """Records every change that was sent in a write, whatever its outcome."""

    def __init__(self, state: StoreState) -> None:
        super().__init__(state)
        self.written_changes: dict[str, Change] = {}
        # Changes that were first sent by the operation being run.
        self.new_change_ids: list[str] = []

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        for change in decode_head(writes[HEAD_KEY] or b"").recent_changes:
            if change.change_id not in self.written_changes:
                self.written_changes[change.change_id] = change
                self.new_change_ids.append(change.change_id)
        return await super().commit(compares, writes)


class ConfigurationRaces(RuleBasedStateMachine):
    """Guards against losing or reverting an accepted change.

    Three nodes and any number of operators use one store. Their operations are
    suspended at each store call and interleaved with outages, lost responses, restores
    of the store from a backup, and restarts of nodes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.state = StoreState(self.clock)
        self.store = RecordingStore(self.state)
        self.nodes = [self.make_node(i) for i in range(NODE_COUNT)]
        self.last_documents = [FleetDocument()] * NODE_COUNT
        self.suspended_syncs: dict[int, Operation] = {}
        self.suspended_operations: list[Operation] = []
        self.accepted_changes: list[Change] = []
        self.issued_keys: dict[str, str] = {}
        self.rejected_change_ids: set[str] = set()
        # Changes proposed by running operations, by the id() of the operation.
        self.proposed_change_ids: dict[int, list[str]] = {}
        self.withdrawn_key_ids: set[str] = set()
        # Keys that running operations withdraw, by the id() of the operation.
        self.withdrawing_key_ids: dict[int, str] = {}
        self.store_backup = self.state.snapshot()
        self.restored = False
        self.run_to_end(self.make_declare_operation(100.0, []))

    def make_node(self, index: int) -> ConfigTracker:
        return make_tracker(self.store, self.clock, "abc"[index])

    def make_declare_operation(self, rate: float, exceptions: list[str]) -> Operation:
        declaration = make_declaration(
            defaults={"rate": rate},
            exceptions=[
                {
                    "id": exception_id,
                    "reason": "test",
                    "route": "stock",
                    "deadline_ms": 5,
                }
                for exception_id in exceptions
            ],
        )
        return apply_declaration(
            self.store, declaration, "ann", "", clock=self.clock, sleep=self.store.sleep
        )

    def run_to_end(self, operation: Operation) -> None:
        self.run_steps(operation, 10_000)

    def run_steps(self, operation: Operation, steps: int) -> bool:
        """Run an operation for up to `steps` store calls; return whether it ended."""
        for _ in range(steps):
            self.clock.advance(0.01)
            ended, result = run_to_next_call(operation)
            proposed_change_ids = self.proposed_change_ids.setdefault(id(operation), [])
            proposed_change_ids += self.store.new_change_ids
            self.store.new_change_ids.clear()
            if ended:
                self.record_rejected_changes(
                    result, self.proposed_change_ids.pop(id(operation))
                )
                self.record_result(
                    result, self.withdrawing_key_ids.pop(id(operation), None)
                )
                return True
        return False

    def record_rejected_changes(
        self, result: Any, proposed_change_ids: list[str]
    ) -> None:
        """Record the changes that were reported to the operator as rejected."""
        change = result[1] if isinstance(result, tuple) else result
        if isinstance(change, Change) and change.change_id in proposed_change_ids:
            proposed_change_ids.remove(change.change_id)
        if isinstance(change, StoreOutcomeUnknown):
            del proposed_change_ids[-1:]
        self.rejected_change_ids |= set(proposed_change_ids)

    def record_result(self, result: Any, withdrawn_key: str | None) -> None:
        """Record the outcome reported to an operator."""
        if isinstance(result, tuple):
            key, result = result
            self.issued_keys[key.split("_")[1]] = key
        if isinstance(result, Change):
            if withdrawn_key:
                self.withdrawn_key_ids.add(withdrawn_key)
            if result.sets or result.removes:
                self.accepted_changes.append(result)
        elif isinstance(result, Exception):
            expected = (ConflictingChange, StoreOutcomeUnknown, StoreUnavailable)
            # A restored store lacks entries that were added after the backup.
            missing_key = self.restored and isinstance(result, ConfigurationProblem)
            assert missing_key or isinstance(result, expected), result

    def start_operation(self, operation: Operation, steps: int) -> None:
        if not self.run_steps(operation, steps):
            self.suspended_operations.append(operation)

    @rule(
        rate=st.sampled_from([100.0, 50.0]),
        exceptions=st.lists(st.sampled_from("pq"), unique=True),
        steps=STEP_COUNTS,
    )
    def declare(self, rate: float, exceptions: list[str], steps: int) -> None:
        self.start_operation(self.make_declare_operation(rate, exceptions), steps)

    @rule(organisation=st.sampled_from(["cart-1", "cart-2"]), steps=STEP_COUNTS)
    def issue_key(self, organisation: str, steps: int) -> None:
        operation = add_key(
            self.store,
            organisation,
            "bob",
            SECRET,
            clock=self.clock,
            sleep=self.store.sleep,
        )
        self.start_operation(operation, steps)

    @precondition(lambda self: self.issued_keys)
    @rule(choice=st.integers(0, 7), steps=STEP_COUNTS)
    def revoke_key(self, choice: int, steps: int) -> None:
        key_id = list(self.issued_keys)[choice % len(self.issued_keys)]
        operation = withdraw_key(
            self.store, key_id, "eve", clock=self.clock, sleep=self.store.sleep
        )
        self.withdrawing_key_ids[id(operation)] = key_id
        self.start_operation(operation, steps)

    @precondition(lambda self: self.suspended_operations)
    @rule(choice=st.integers(0, 7), steps=STEP_COUNTS)
    def resume_operation(self, choice: int, steps: int) -> None:
        self.start_operation(
            self.suspended_operations.pop(choice % len(self.suspended_operations)),
            steps,
        )

    @rule(index=NODE_INDEXES, steps=STEP_COUNTS)
    def sync_node(self, index: int, steps: int) -> None:
        operation = (
            self.suspended_syncs.pop(index, None) or self.nodes[index].sync_with_store()
        )
        if not self.run_steps(operation, steps):
            self.suspended_syncs[index] = operation

    @precondition(lambda self: self.accepted_changes)
    @rule(index=NODE_INDEXES, choice=st.integers(0, 3))
    def push_change(self, index: int, choice: int) -> None:
        recent_changes = self.accepted_changes[-4:]
        self.nodes[index].offer_change(recent_changes[choice % len(recent_changes)])

    @rule(asking=NODE_INDEXES, asked=NODE_INDEXES)
    def fetch_from_peer(self, asking: int, asked: int) -> None:
        node, peer = self.nodes[asking], self.nodes[asked]
        now = self.clock.monotonic()
        if not node.accept_reply(peer.make_reply(node.revision), now):
            node.accept_reply(peer.make_reply(0), now)

    @rule(count=st.integers(1, 2))
    def lose_answers(self, count: int) -> None:
        self.state.faults.lose_next_answers = count

    @rule(down=st.booleans())
    def set_store_outage(self, down: bool) -> None:
        self.state.faults.down = down

    @rule()
    def take_snapshot(self) -> None:
        self.store_backup = self.state.snapshot()

    def collect_held_change_ids(self, without: int | None = None) -> set[str]:
        """Return the changes that the nodes hold, optionally except one node."""
        return {
            change_id
            for index, node in enumerate(self.nodes)
            if index != without
            for _, change_id in node.document.history
        }

    @rule(index=NODE_INDEXES)
    def restore_store(self, index: int) -> None:
        """Restore the store from a backup after one node has read the latest data."""
        faults, self.state.faults = self.state.faults, StoreFaults()
        for _ in range(2):
            self.run_to_end(self.nodes[index].sync_with_store())
        self.state.faults = faults
        # A change held by neither the backup nor a node would be lost permanently.
        assert {
            c.change_id for c in self.accepted_changes
        } <= self.collect_held_change_ids()
        self.state.restore(self.store_backup)
        self.restored = True

    @rule(index=NODE_INDEXES)
    def restart_node(self, index: int) -> None:
        kept = self.collect_held_change_ids(without=index)
        if self.restored and not {c.change_id for c in self.accepted_changes} <= kept:
            return
        if index in self.suspended_syncs:
            self.suspended_syncs.pop(index).close()
        self.nodes[index] = self.make_node(index)
        self.last_documents[index] = FleetDocument()

    @invariant()
    def documents_only_grow(self) -> None:
        for index, node in enumerate(self.nodes):
            before, after = self.last_documents[index], node.document
            assert after.revision >= before.revision
            assert set(before.history) <= set(after.history)
            withdrawn_paths = [
                path
                for path, entry in before.entries.items()
                if is_withdrawn(path, entry)
            ]
            assert all(
                is_withdrawn(path, after.entries[path]) for path in withdrawn_paths
            )
            assert not node.invariants.violations
            self.last_documents[index] = after

    def teardown(self) -> None:
        self.state.faults = StoreFaults()
        for operation in [*self.suspended_operations, *self.suspended_syncs.values()]:
            self.run_to_end(operation)
        self.suspended_operations.clear()
        self.suspended_syncs.clear()
        for _ in range(3):
            for node in self.nodes:
                self.run_to_end(node.sync_with_store())
                self.documents_only_grow()
        self.check_converged()
        self.check_keys()

    def check_converged(self) -> None:
        final = self.nodes[0].document
        assert all(node.document == final for node in self.nodes)
        assert all(node.is_fresh() and not node.is_forked for node in self.nodes)
        contained = {change_id for _, change_id in final.history}
        assert {change.change_id for change in self.accepted_changes} <= contained
        # After a restore, a node may hold a change that was reported as rejected
        # because the restored store lacked it.
        assert self.restored or not self.rejected_change_ids & contained
        changes = [
            c for c in self.store.written_changes.values() if c.change_id in contained
        ]
        assert replay(changes) == final.entries
        ended, stored = run_to_next_call(read_document(FakeStore(self.state)))
        assert ended and stored.document == final

    def check_keys(self) -> None:
        policy = self.nodes[0].policy
        assert policy is not None
        entries = self.nodes[0].document.entries
        for key_id, key in self.issued_keys.items():
            path = f"keys/{key_id}"
            if key_id in self.withdrawn_key_ids or is_withdrawn(path, entries[path]):
                assert policy.find_key_organisation(key_id) is None
                assert is_refused(policy, key)
            else:
                assert policy.authenticate(key).key_id == key_id


def replay(changes: list[Change]) -> dict[str, Any]:
    """Return the entries after applying all changes in the order of their times."""
    entries: dict[str, Any] = {}
    for change in sorted(changes, key=lambda c: (c.made_at, c.change_id)):
        entries |= change.sets
        for path in change.removes:
            entries.pop(path, None)
    return entries


def is_withdrawn(path: str, entry: Any) -> bool:
    return path.startswith("keys/") and entry.get("withdrawn", False)


def is_refused(policy: Any, key: str) -> bool:
    try:
        policy.authenticate(key)
    except Refusal:
        return True
    return False


ConfigurationRaces.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
TestConfigurationRaces = ConfigurationRaces.TestCase
