"""Racing operators and a failing store never undo an accepted change."""

from collections.abc import Coroutine
from typing import Any

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from builders_config import (
    SECRET,
    SteppedStore,
    advance,
    make_declaration,
    make_tracker,
)
from heathermount.clocks import ManualClock
from heathermount.config.documents import HEAD_KEY, Change, FleetDocument, decode_head
from heathermount.config.operations import add_key, apply_declaration, withdraw_key
from heathermount.config.records import read_document
from heathermount.config.tracker import ConfigTracker
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    Refusal,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.standins.store import FakeStore, StoreFaults, StoreState

NODES = 3
NODE = st.integers(0, NODES - 1)
# Store calls that an operation makes before something else happens.
STEPS = st.sampled_from([0, 1, 2, 3, 4, 8, 20])
Work = Coroutine[Any, Any, Any]


class RecordingStore(SteppedStore):
    """Keeps every change that was ever written, whatever the outcome."""

    def __init__(self, state: StoreState) -> None:
        super().__init__(state)
        self.written: dict[str, Change] = {}
        # Changes that the operation under way was the first to write.
        self.new: list[str] = []

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        for change in decode_head(writes[HEAD_KEY] or b"").recent:
            if change.change_id not in self.written:
                self.written[change.change_id] = change
                self.new.append(change.change_id)
        return await super().commit(compares, writes)


class ConfigurationRaces(RuleBasedStateMachine):
    """Three nodes, any number of operators, one store."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.state = StoreState(self.clock)
        self.store = RecordingStore(self.state)
        self.nodes = [self.make_node(i) for i in range(NODES)]
        self.seen = [FleetDocument()] * NODES
        self.reads: dict[int, Work] = {}
        self.operators: list[Work] = []
        self.accepted: list[Change] = []
        self.keys: dict[str, str] = {}
        self.refused: set[str] = set()
        # Changes proposed by running operations, by the operation's identity.
        self.proposed: dict[int, list[str]] = {}
        self.withdrawn: set[str] = set()
        # Keys that running operations withdraw, by the operation's identity.
        self.withdrawals: dict[int, str] = {}
        self.snapshot = self.state.snapshot()
        self.restored = False
        self.drive(self.declare_work(100.0, []))

    def make_node(self, index: int) -> ConfigTracker:
        return make_tracker(self.store, self.clock, "abc"[index])

    def declare_work(self, rate: float, exceptions: list[str]) -> Work:
        declaration = make_declaration(
            defaults={"rate": rate},
            exceptions=[
                {"id": e, "reason": "test", "route": "stock", "deadline_ms": 5}
                for e in exceptions
            ],
        )
        return apply_declaration(
            self.store, declaration, "ann", "", clock=self.clock, pause=self.store.pause
        )

    def drive(self, work: Work) -> None:
        self.advance(work, 10_000)

    def advance(self, work: Work, steps: int) -> bool:
        """Run an operation for some store calls; return whether it ended."""
        for _ in range(steps):
            self.clock.advance(0.01)
            ended, result = advance(work)
            proposed = self.proposed.setdefault(id(work), [])
            proposed += self.store.new
            self.store.new.clear()
            if ended:
                self.note_refused(result, self.proposed.pop(id(work)))
                self.note(result, self.withdrawals.pop(id(work), None))
                return True
        return False

    def note_refused(self, result: Any, proposed: list[str]) -> None:
        """Note the changes that the operator must take for not accepted."""
        change = result[1] if isinstance(result, tuple) else result
        if isinstance(change, Change) and change.change_id in proposed:
            proposed.remove(change.change_id)
        if isinstance(change, StoreOutcomeUnknown):
            del proposed[-1:]
        self.refused |= set(proposed)

    def note(self, result: Any, withdrawn_key: str | None) -> None:
        """Note what an operator was told."""
        if isinstance(result, tuple):
            key, result = result
            self.keys[key.split("_")[1]] = key
        if isinstance(result, Change):
            if withdrawn_key:
                self.withdrawn.add(withdrawn_key)
            if result.sets or result.removes:
                self.accepted.append(result)
        elif isinstance(result, Exception):
            expected = (ConflictingChange, StoreOutcomeUnknown, StoreUnavailable)
            # A store with older data does not know what was added since.
            lost = self.restored and isinstance(result, ConfigurationProblem)
            assert lost or isinstance(result, expected), result

    def start(self, work: Work, steps: int) -> None:
        if not self.advance(work, steps):
            self.operators.append(work)

    @rule(
        rate=st.sampled_from([100.0, 50.0]),
        exceptions=st.lists(st.sampled_from("pq"), unique=True),
        steps=STEPS,
    )
    def declare(self, rate: float, exceptions: list[str], steps: int) -> None:
        self.start(self.declare_work(rate, exceptions), steps)

    @rule(organisation=st.sampled_from(["cart-1", "cart-2"]), steps=STEPS)
    def issue(self, organisation: str, steps: int) -> None:
        work = add_key(
            self.store,
            organisation,
            "bob",
            SECRET,
            clock=self.clock,
            pause=self.store.pause,
        )
        self.start(work, steps)

    @precondition(lambda self: self.keys)
    @rule(choice=st.integers(0, 7), steps=STEPS)
    def withdraw(self, choice: int, steps: int) -> None:
        key_id = list(self.keys)[choice % len(self.keys)]
        work = withdraw_key(
            self.store, key_id, "eve", clock=self.clock, pause=self.store.pause
        )
        self.withdrawals[id(work)] = key_id
        self.start(work, steps)

    @precondition(lambda self: self.operators)
    @rule(choice=st.integers(0, 7), steps=STEPS)
    def run_operator(self, choice: int, steps: int) -> None:
        self.start(self.operators.pop(choice % len(self.operators)), steps)

    @rule(index=NODE, steps=STEPS)
    def run_read(self, index: int, steps: int) -> None:
        work = self.reads.pop(index, None) or self.nodes[index].read_head()
        if not self.advance(work, steps):
            self.reads[index] = work

    @precondition(lambda self: self.accepted)
    @rule(index=NODE, choice=st.integers(0, 3))
    def push(self, index: int, choice: int) -> None:
        recent = self.accepted[-4:]
        self.nodes[index].offer_change(recent[choice % len(recent)])

    @rule(asking=NODE, asked=NODE)
    def fetch(self, asking: int, asked: int) -> None:
        node, peer = self.nodes[asking], self.nodes[asked]
        now = self.clock.monotonic()
        if not node.accept_reply(peer.changes_since(node.revision), now):
            node.accept_reply(peer.changes_since(0), now)

    @rule(count=st.integers(1, 2))
    def lose_answers(self, count: int) -> None:
        self.state.faults.lose_next_answers = count

    @rule(down=st.booleans())
    def change_outage(self, down: bool) -> None:
        self.state.faults.down = down

    @rule()
    def take_snapshot(self) -> None:
        self.snapshot = self.state.snapshot()

    def held(self, without: int | None = None) -> set[str]:
        """Return the changes that the nodes hold."""
        return {
            change_id
            for index, node in enumerate(self.nodes)
            if index != without
            for _, change_id in node.document.history
        }

    @rule(index=NODE)
    def restore(self, index: int) -> None:
        """Put older data back after one node has read the newest."""
        faults, self.state.faults = self.state.faults, StoreFaults()
        for _ in range(2):
            self.drive(self.nodes[index].read_head())
        self.state.faults = faults
        # A change that neither the data nor any node holds is gone for good.
        assert {c.change_id for c in self.accepted} <= self.held()
        self.state.restore(self.snapshot)
        self.restored = True

    @rule(index=NODE)
    def restart(self, index: int) -> None:
        kept = self.held(without=index)
        if self.restored and not {c.change_id for c in self.accepted} <= kept:
            return
        if index in self.reads:
            self.reads.pop(index).close()
        self.nodes[index] = self.make_node(index)
        self.seen[index] = FleetDocument()

    @invariant()
    def documents_only_grow(self) -> None:
        for index, node in enumerate(self.nodes):
            before, after = self.seen[index], node.document
            assert after.revision >= before.revision
            assert set(before.history) <= set(after.history)
            withdrawn = [p for p, e in before.entries.items() if is_withdrawn(p, e)]
            assert all(is_withdrawn(p, after.entries[p]) for p in withdrawn)
            assert not node.invariants.violations
            self.seen[index] = after

    def teardown(self) -> None:
        self.state.faults = StoreFaults()
        for work in [*self.operators, *self.reads.values()]:
            self.drive(work)
        self.operators.clear()
        self.reads.clear()
        for _ in range(3):
            for node in self.nodes:
                self.drive(node.read_head())
                self.documents_only_grow()
        self.check_converged()
        self.check_keys()

    def check_converged(self) -> None:
        final = self.nodes[0].document
        assert all(node.document == final for node in self.nodes)
        assert all(node.fresh() and not node.forked for node in self.nodes)
        contained = {change_id for _, change_id in final.history}
        assert {change.change_id for change in self.accepted} <= contained
        # A node may hold what a restored store forgot before it was resolved.
        assert self.restored or not self.refused & contained
        changes = [c for c in self.store.written.values() if c.change_id in contained]
        assert replay(changes) == final.entries
        ended, stored = advance(read_document(FakeStore(self.state)))
        assert ended and stored.document == final

    def check_keys(self) -> None:
        policy = self.nodes[0].policy
        assert policy is not None
        entries = self.nodes[0].document.entries
        for key_id, key in self.keys.items():
            path = f"keys/{key_id}"
            if key_id in self.withdrawn or is_withdrawn(path, entries[path]):
                assert policy.key_organisation(key_id) is None
                assert is_refused(policy, key)
            else:
                assert policy.authenticate(key).key_id == key_id


def replay(changes: list[Change]) -> dict[str, Any]:
    """Return the entries after all changes in the order of their times."""
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
