"""Records of a group's members that another writer left in the store."""

import math
from random import Random
from typing import Any, Final

import anyio
import msgspec
import pytest

from heathermount.clocks import ManualClock
from heathermount.events import EventLog
from heathermount.membership import Directory, MemberRecord, Roster, RosterRecord
from heathermount.membership.records import roster_key
from heathermount.standins.store import FakeStore, StoreState

KEY: Final = roster_key("pantry")

# An array in an array, 100,000 deep, in MessagePack.
NESTED: Final = b"\x91" * 100_000 + b"\xc0"


def make_member(node: str = "pantry-1", **fields: Any) -> MemberRecord:
    member = MemberRecord(
        node=node,
        incarnation="1",
        peers="127.0.0.1:7000",
        control="127.0.0.1:7001",
        failure_domain="a",
    )
    return msgspec.structs.replace(member, **fields)


def make_store() -> FakeStore:
    return FakeStore(StoreState(ManualClock(), Random(1)))


async def fetch_nothing(address: str, service: str) -> RosterRecord | None:
    return None


@pytest.mark.parametrize(
    "fields",
    [
        {"peers": "127.0.0.1:99999"},
        {"peers": "abc"},
        {"control": "127.0.0.1:0"},
        {"slots": 0},
        {"slots": 2**63 - 1},
        {"cold_start_s": math.inf},
        {"joined_at": math.nan},
    ],
)
def test_odd_member_does_not_hide_the_others(fields: dict[str, Any]) -> None:
    """Guards against one odd member that nodes try to connect to or fail on."""
    sound = make_member("pantry-2")
    record = RosterRecord(
        service="pantry", revision=3, members=[make_member(**fields), sound]
    )
    assert RosterRecord.decode(record.encode()).members == [sound]


@pytest.mark.parametrize("value", [NESTED, b"\xff", b""], ids=["deep", "bad", "empty"])
def test_malformed_roster_is_replaced_when_a_member_joins(value: bytes) -> None:
    """Guards against a node that ends because the record of its group is malformed."""

    async def check() -> None:
        store = make_store()
        assert await store.commit({KEY: 0}, {KEY: value})
        events = EventLog("test", ManualClock(), quiet=True)
        await Roster("pantry", store, events, Random(1)).join(make_member())
        item = await store.get(KEY)
        assert item is not None
        assert RosterRecord.decode(item.value).members == [make_member()]

    anyio.run(check)


def test_members_that_a_replaced_roster_lacks_join_again() -> None:
    """Guards against a group that never accepts the roster that a newcomer has written.

    The newcomer has not seen the revisions of the others.
    """

    async def check() -> None:
        store = make_store()
        events = EventLog("test", ManualClock(), quiet=True)
        known, new = (Roster("pantry", store, events, Random(1)) for _ in range(2))
        for incarnation in ("1", "2", "3"):
            await known.join(make_member(incarnation=incarnation))
        item = await store.get(KEY)
        assert item is not None
        assert await store.commit({KEY: item.version}, {KEY: b"\xff"})
        await new.join(make_member("pantry-2"))
        assert known.accept(new.record)
        await known.join(make_member(incarnation="3"))
        assert new.accept(known.record)
        assert [member.node for member in new.record.members] == [
            "pantry-1",
            "pantry-2",
        ]

    anyio.run(check)


@pytest.mark.parametrize("value", [NESTED, b"\xff", b""], ids=["deep", "bad", "empty"])
def test_refresh_survives_a_malformed_roster(value: bytes) -> None:
    """Guards against a task of the node that ends its process with an exception."""

    async def check() -> None:
        store = make_store()
        assert await store.commit({KEY: 0}, {KEY: value})
        directory = Directory(store, ManualClock(), Random(1), fetch_nothing, list)
        known = RosterRecord(service="pantry", revision=1, members=[make_member()])
        directory.accept(known)
        assert await directory.refresh("pantry") == known
        assert await directory.read_store("pantry") == known

    anyio.run(check)
