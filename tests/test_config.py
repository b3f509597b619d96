"""Tests of API keys, document merges, the tracker and operator functions."""

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
    """Guards against admitting a caller without a usable key.

    Keys may be missing, malformed, unknown, from another fleet, or withdrawn.
    """

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
    """Guards against an operator overwriting another's change unnoticed.

    The second operator applies a declaration based on an outdated revision, or has a
    clock that runs behind. An organisation with a usable key cannot be removed.
    """

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
    """Guards against reporting the wrong outcome of a change to an operator.

    The store applies a write but its response is lost. Retries find out the outcome,
    unless the store stays down until the timeout.
    """

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
    """Guards against reporting a change as rejected that a node writes back later.

    The response to the write is lost, and the store is then restored from a backup
    that lacks the change, while a node may have read it.
    """

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
    """Guards against an entry that reappears after it was removed.

    Diverged documents remove and change the same entry; the later change wins,
    whatever the order of the arguments.
    """
    start = make_document(exceptions=[])
    path = "organisations/cart-2"
    time = 3.0 if removed_last else 2.0
    removed = start.apply(Change(2, "x", "first", "ann", "", time, {}, [path]))
    sets = {path: {"name": "other"}}
    changed = start.apply(Change(2, "y", "first", "bob", "", 2.5, sets, []))
    for merged in (
        merge_documents(removed, changed),
        merge_documents(changed, removed),
    ):
        assert (path in merged.entries) is not removed_last
        assert merged.contains(2, "x") and merged.contains(2, "y")
        assert merge_documents(merged, removed) is merged


class ConflictingStore(FakeStore):
    """A store in which each commit fails because of a concurrent write."""

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        return False


def test_unwritten_merge_is_not_adopted() -> None:
    """Guards against confirming a merged revision that the store does not have.

    The write of the merged document fails because of a concurrent write.
    """

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
    """Guards against a peer decoding a document other than the one sent."""
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
    """Return consecutive changes to a document."""
    changes = []
    for i in range(count):
        revision, parent = document.revision + 1, document.change_id
        sets = {"note": i}
        change = Change(revision, f"c{revision}", parent, "ann", "", 2.0 + i, sets, [])
        document = document.apply(change)
        changes.append(change)
    return changes


def test_tracker_applies_only_consecutive_changes() -> None:
    """Guards against a node that goes back to an older revision or skips a change.

    Pushed changes and documents arrive repeatedly and out of order.
    """
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
    """Guards against losing a pushed withdrawal while a node is behind.

    The change arrives before its predecessors and is applied after them.
    """
    tracker = make_tracker(FakeStore(StoreState(ManualClock())))
    start = make_document()
    second, third, fourth = make_changes(start, 3)
    tracker.offer_document(start)
    assert not tracker.offer_change(fourth)
    assert tracker.offer_document(start.apply(second).apply(third))
    assert tracker.revision == 4


def test_conflicting_peer_document_is_merged_through_store() -> None:
    """Guards against a node keeping changes that the store does not have.

    Two nodes hold diverged documents of the same revision. The one that reads the
    store merges them, and both end up with the changes of both.
    """

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
    """Guards against a node staying behind its peer.

    The peer sends changes while it still has them all, otherwise the document.
    """
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
    """Guards against accepting a key whose withdrawal the node may have missed."""

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
    """Guards against a restored store making a withdrawn key usable again.

    The backup is older than the withdrawal, and an operator changes the restored
    document before a node has written the newer one back.
    """

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
    """Guards against a waiting task that misses a change."""

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
