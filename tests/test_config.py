"""Keys, tracker and operators' functions."""

import anyio
import pytest

from builders_config import SECRET, make_declaration, make_document, make_tracker, run
from heathermount.clocks import ManualClock
from heathermount.config.documents import (
    Change,
    FleetDocument,
    decode_change,
    decode_document,
    decode_snapshot,
    diff_entries,
    encode_message,
    encode_snapshot,
)
from heathermount.config.merging import merge_documents
from heathermount.config.operator_changes import (
    add_key,
    apply_declaration,
    preview_declaration,
    read_document,
    withdraw_key,
)
from heathermount.config.policy import Policy
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    InvalidMessage,
    Refusal,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.standins.store import FakeStore, StoreFaults, StoreState
from heathermount.values import Outcome, Reason


def test_unusable_keys_are_refused_with_their_reason() -> None:
    """Guards against a caller entering without a usable key."""

    async def body() -> None:
        store = FakeStore(StoreState(ManualClock()))
        await apply_declaration(store, make_declaration(), "ann", "first")
        key, _ = await add_key(store, "cart-1", "ann", SECRET)
        tracker = make_tracker(store)
        await tracker.sync_with_store()
        policy = tracker.policy
        assert policy is not None
        for _ in range(2):
            owner = policy.authenticate(key)
            assert (owner.organisation, owner.key_id) == ("cart-1", key.split("_")[1])
        other_fleet_policy = Policy.from_config(tracker.document, SECRET + b"2")
        for invalid_key in (
            key + "x",
            "hm_zz_" + key.split("_", 2)[2],
            "hm_",
            "x",
            "é",
        ):
            check_refused(policy, invalid_key, Reason.KEY_UNKNOWN)
        check_refused(other_fleet_policy, key, Reason.KEY_UNKNOWN)
        check_refused(policy, "", Reason.KEY_MISSING)
        await withdraw_key(store, owner.key_id, "bob")
        await tracker.sync_with_store()
        assert tracker.policy is not None
        check_refused(tracker.policy, key, Reason.KEY_WITHDRAWN)
        check_refused(tracker.policy, key + "x", Reason.KEY_UNKNOWN)
        assert tracker.policy.find_key_organisation(owner.key_id) is None
        repeated = await withdraw_key(store, owner.key_id, "bob")
        assert (repeated.sets, repeated.revision) == ({}, 3)

    run(body)


def check_refused(policy: Policy, key: str, reason: Reason) -> None:
    with pytest.raises(Refusal) as caught:
        policy.authenticate(key)
    refusal = caught.value
    assert (refusal.status, refusal.reason) == (401, reason)
    assert refusal.outcome is Outcome.NOT_RUN


def test_conflicting_change_is_reported_to_second_operator() -> None:
    """Guards against one operator undoing another's change unseen."""

    async def body() -> None:
        store = FakeStore(StoreState(ManualClock()))
        first = await apply_declaration(store, make_declaration(), "ann", "", 0)
        lower_rate = make_declaration(defaults={"rate": 50.0})
        previewed = await preview_declaration(store, lower_rate)
        assert (previewed.revision, list(previewed.sets), previewed.removes) == (
            1,
            ["defaults"],
            [],
        )
        with pytest.raises(ConflictingChange) as caught:
            await apply_declaration(store, lower_rate, "bob", "", 0)
        assert caught.value.change_id == first.change_id
        assert caught.value.author == "ann"
        slow_clock = ManualClock(wall=first.made_at - 60.0)
        key, change = await add_key(store, "cart-2", "ann", SECRET, clock=slow_clock)
        assert change.made_at > first.made_at
        without_cart_2 = make_declaration(organisations=[{"name": "cart-1"}])
        with pytest.raises(ConfigurationProblem):
            await preview_declaration(store, without_cart_2)
        await withdraw_key(store, key.split("_")[1], "ann")
        assert (await preview_declaration(store, without_cart_2)).removes == [
            "organisations/cart-2"
        ]

    run(body)


def test_lost_write_responses_are_resolved_by_retries() -> None:
    """Guards against an operator being told the opposite of what happened."""

    async def body() -> None:
        state = StoreState(ManualClock())
        store = FakeStore(state)

        async def skip_sleep(seconds: float) -> None:
            await anyio.lowlevel.checkpoint()

        state.faults = StoreFaults(lose_next_answers=3)
        change = await apply_declaration(
            store, make_declaration(), "ann", "", sleep=skip_sleep
        )
        document = (await read_document(store)).document
        assert (document.revision, document.change_id) == (1, change.change_id)

        async def fail_store(seconds: float) -> None:
            state.faults = StoreFaults(down=True)
            clock.advance(6.0)

        clock = ManualClock()
        state.faults = StoreFaults(lose_next_answers=2)
        with pytest.raises(StoreOutcomeUnknown):
            await add_key(store, "cart-1", "ann", SECRET, clock=clock, sleep=fail_store)
        with pytest.raises(StoreUnavailable):
            await add_key(store, "cart-1", "ann", SECRET)

    run(body)


def test_outcome_stays_unknown_after_store_restore() -> None:
    """Guards against refusing a change that a node writes back later."""

    async def body() -> None:
        clock = ManualClock()
        state = StoreState(clock)
        store = FakeStore(state)
        await apply_declaration(store, make_declaration(), "ann", "")
        backup = state.snapshot()
        await add_key(store, "cart-1", "ann", SECRET)
        state.faults = StoreFaults(lose_next_answers=2)

        async def restore_backup(seconds: float) -> None:
            state.restore(backup)
            clock.advance(6.0)

        conflicting = make_declaration(defaults={"rate": 50.0})
        with pytest.raises(StoreOutcomeUnknown):
            await apply_declaration(
                store, conflicting, "bob", "", clock=clock, sleep=restore_backup
            )

    run(body)


@pytest.mark.parametrize("removed_last", [True, False])
def test_merge_keeps_the_later_change(removed_last: bool) -> None:
    """Guards against an entry that comes back after it was removed."""
    start = make_document(exceptions=[])
    path = "organisations/cart-2"
    time = 3.0 if removed_last else 2.0
    without = start.apply(Change(2, "x", "first", "ann", "", time, {}, [path]))
    sets = {path: {"name": "other"}}
    changed = start.apply(Change(2, "y", "first", "bob", "", 2.5, sets, []))
    for merged in (
        merge_documents(without, changed),
        merge_documents(changed, without),
    ):
        assert (path in merged.entries) is not removed_last
        assert merged.contains(2, "x") and merged.contains(2, "y")
        assert merge_documents(merged, without) is merged


class ConflictingStore(FakeStore):
    """A store in which another writer always comes first."""

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        return False


def test_unwritten_merge_is_not_adopted() -> None:
    """Guards against a node that confirms a revision the store does not have."""

    async def body() -> None:
        clock = ManualClock()
        state = StoreState(clock)
        await apply_declaration(FakeStore(state), make_declaration(), "ann", "")
        tracker = make_tracker(ConflictingStore(state), clock)
        tracker.offer_document(make_document())
        await tracker.sync_with_store()
        assert tracker.document == make_document()
        assert not tracker.is_fresh()

    run(body)


def test_encoded_documents_and_changes_round_trip() -> None:
    """Guards against a peer that decodes another document than was sent."""
    document = make_document()
    assert decode_document(encode_message(document)) == document
    assert decode_snapshot(encode_snapshot(document)) == document
    change = Change(
        2, "x", "first", "ann", "note", 1.5, {"keys/k": {"d": b"\0"}}, ["z"]
    )
    assert decode_change(encode_message(change)) == change
    for decode in (decode_document, decode_snapshot, decode_change):
        with pytest.raises(InvalidMessage):
            decode(b"\x01")
    assert diff_entries({"a": 1, "b": 2}, {"b": 3, "c": 4}) == ({"b": 3, "c": 4}, ["a"])


def make_changes(document: FleetDocument, count: int) -> list[Change]:
    """Return changes that follow a document one after another."""
    changes = []
    for i in range(count):
        revision, parent = document.revision + 1, document.change_id
        sets = {"note": i}
        change = Change(revision, f"c{revision}", parent, "ann", "", 2.0 + i, sets, [])
        document = document.apply(change)
        changes.append(change)
    return changes


def test_tracker_applies_only_consecutive_changes() -> None:
    """Guards against a revision that goes back or skips a change."""
    tracker = make_tracker(FakeStore(StoreState(ManualClock())))
    start = make_document()
    second, third, fourth = make_changes(start, 3)
    assert not tracker.offer_change(second)
    assert tracker.offer_document(start)
    assert tracker.revision == 2
    assert not tracker.offer_change(second)
    assert not tracker.offer_change(fourth)
    assert tracker.offer_change(third)
    assert tracker.revision == 4
    assert not tracker.offer_document(start)
    assert tracker.document.entries["note"] == 2
    assert not tracker.is_forked


def test_pushed_change_may_come_before_its_predecessors() -> None:
    """Guards against a pushed withdrawal that is dropped while a node lags."""
    tracker = make_tracker(FakeStore(StoreState(ManualClock())))
    start = make_document()
    second, third, fourth = make_changes(start, 3)
    tracker.offer_document(start)
    assert not tracker.offer_change(fourth)
    assert tracker.offer_document(start.apply(second).apply(third))
    assert tracker.revision == 4


def test_conflicting_peer_document_is_merged_through_store() -> None:
    """Guards against a node that keeps a document no reader knows."""

    async def body() -> None:
        clock = ManualClock()
        store = FakeStore(StoreState(clock))
        start = make_document()
        ours = start.apply(Change(2, "x", "first", "ann", "", 2.0, {"x": 1}, []))
        theirs = start.apply(Change(2, "y", "first", "bob", "", 3.0, {"y": 1}, []))
        reader, peer = make_tracker(store, clock), make_tracker(store, clock, "b")
        reader.offer_document(ours)
        await reader.sync_with_store()
        peer.offer_document(theirs)
        reader.accept_reply(peer.make_reply(0), clock.monotonic())
        assert reader.is_forked
        for node in (reader, peer):
            await node.sync_with_store()
            assert node.is_fresh() and node.revision == 3
            assert node.document.entries["x"] == node.document.entries["y"] == 1

    run(body)


def test_peers_exchange_deltas_or_documents() -> None:
    """Guards against a node that stays behind its peer."""
    clock = ManualClock()
    store = FakeStore(StoreState(clock))
    ahead, behind = make_tracker(store, clock), make_tracker(store, clock, "b")
    ahead.offer_document(make_document())
    ahead.record_confirmation(clock.monotonic())
    assert behind.accept_reply(ahead.make_reply(0), clock.monotonic())
    for change in make_changes(ahead.document, 300):
        ahead.offer_change(change)
    assert len(ahead.make_reply(299).changes) == 2
    assert ahead.make_reply(299).document == b""
    assert ahead.make_reply(1).document
    clock.advance(1.0)
    sent_at = clock.monotonic()
    reply = ahead.make_reply(behind.revision)
    clock.advance(1.0)
    assert behind.accept_reply(reply, sent_at)
    assert behind.document == ahead.document
    assert behind.confirmed_age_s() == 2.0


def test_freshness_needs_store_or_majority_of_domains() -> None:
    """Guards against serving a key whose withdrawal a node may have missed."""

    async def body() -> None:
        clock = ManualClock()
        state = StoreState(clock)
        store = FakeStore(state)
        tracker = make_tracker(store, clock)
        tracker.record_contact("b", clock.monotonic())
        assert not tracker.is_fresh()
        await apply_declaration(store, make_declaration(), "ann", "")
        await tracker.sync_with_store()
        assert tracker.is_fresh()
        clock.advance(4.0)
        assert not tracker.is_fresh()
        tracker.record_contact("b", clock.monotonic() - 3.0)
        tracker.record_contact("b", clock.monotonic() - 3.5)
        assert tracker.is_fresh()
        assert tracker.contact_ages_s() == {"a": 0.0, "b": 3.0}
        clock.advance(1.0)
        tracker.record_contact("elsewhere", clock.monotonic())
        assert not tracker.is_fresh()
        assert tracker.revision_age_s() == 5.0
        state.faults = StoreFaults(down=True)
        with pytest.raises(StoreUnavailable):
            await tracker.sync_with_store()
        assert not tracker.is_fresh()
        state.faults = StoreFaults()
        await tracker.sync_with_store()
        assert tracker.is_fresh()

    run(body)


def test_newer_document_is_written_back_to_restored_store() -> None:
    """Guards against a store restore that brings a withdrawn key back."""

    async def body() -> None:
        clock = ManualClock()
        state = StoreState(clock)
        store = FakeStore(state)
        await apply_declaration(store, make_declaration(), "ann", "")
        key, _ = await add_key(store, "cart-1", "ann", SECRET)
        backup = state.snapshot()
        await withdraw_key(store, key.split("_")[1], "ann")
        tracker, follower = make_tracker(store, clock), make_tracker(store, clock, "b")
        await tracker.sync_with_store()
        state.restore(backup)
        await apply_declaration(
            store, make_declaration(defaults={"rate": 50.0}), "bob", ""
        )
        await follower.sync_with_store()
        tracker.accept_reply(follower.make_reply(0), clock.monotonic())
        assert tracker.is_forked
        tracker.record_confirmation(clock.monotonic())
        await tracker.sync_with_store()
        assert not tracker.is_forked and tracker.revision == 4
        await follower.sync_with_store()
        for node in (tracker, follower):
            assert node.policy is not None
            check_refused(node.policy, key, Reason.KEY_WITHDRAWN)
            assert node.policy.get_limits("cart-1").rate == 50.0
        state.restore(backup)
        await follower.sync_with_store()
        assert (await read_document(store)).document == follower.document

    run(body)


def test_wait_for_revision_wakes_after_each_change() -> None:
    """Guards against a task that sleeps through a change."""

    async def body() -> None:
        tracker = make_tracker(FakeStore(StoreState(ManualClock())))
        seen: list[int] = []

        async def wait() -> None:
            seen.append(await tracker.wait_for_revision(0))
            seen.append(await tracker.wait_for_revision(1))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            tracker.offer_document(make_document())
            await anyio.wait_all_tasks_blocked()
            assert seen == [1]
            tracker.offer_change(make_changes(tracker.document, 1)[0])
        assert seen == [1, 2]

    run(body)
