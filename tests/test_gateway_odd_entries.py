"""Entries that another writer left in the store harm nobody but their own server."""

import math
import time
from typing import Any, Final

import msgspec
import pytest

from builders_gateway import (
    RunningNode,
    make_announcement,
    run_async,
    run_fleet,
    wait_for,
)
from heathermount.gateway.departure_store import DEPARTURES_PREFIX
from heathermount.gateway.messages import Pong
from heathermount.gateway.node_records import NodeChange, NodeRecord, ServerRecord
from heathermount.gateway.registration import NODE_KEY_PREFIX
from heathermount.gateway.registry import decode_change
from heathermount.platform.heartbeats import decode_heartbeat
from heathermount.platform.store import PlatformStore
from heathermount.standins.platform_store import PlatformStoreStandIn

ODD_ADDRESSES: Final = [
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:",
    "example.invalid:80",
    "abc",
    "",
]

ODD_SERVERS: Final[list[dict[str, Any]]] = [
    {"slots": 0},
    {"slots": -1},
    {"slots": 2**63 - 1},
    {"cold_start_s": math.inf},
    {"cold_start_s": math.nan},
    {"cold_start_s": -1.0},
    {"joined_at": math.nan},
    {"joined_at": math.inf},
    {"born_ms": -1},
    {"born_ms": 2**63 - 1},
]

# An array in an array, 100,000 deep, in MessagePack.
NESTED: Final = b"\x91" * 100_000 + b"\xc0"


def make_record(address: str = "127.0.0.1:7000", **fields: Any) -> NodeRecord:
    server = msgspec.structs.replace(ServerRecord("i-1", 8, 0.0, time.time()), **fields)
    return NodeRecord("odd", "1", address, "pantry", "a", server)


def make_odd_values() -> list[bytes]:
    records = [make_record(address) for address in ODD_ADDRESSES]
    records += [make_record(**fields) for fields in ODD_SERVERS]
    too_large = msgspec.msgpack.encode(make_record()).replace(b"\x08", b"\xcf" * 9, 1)
    return [
        *map(msgspec.msgpack.encode, records),
        NESTED,
        too_large,
        b"",
        b"\xff",
        b"{",
    ]


def test_odd_entry_names_no_server() -> None:
    """Guards against an entry of another writer that is taken for a node."""
    for value in make_odd_values():
        change = decode_change(NODE_KEY_PREFIX + "odd", 5, value)
        assert change == NodeChange("odd", 5, None), value[:100]


def test_sound_entry_is_taken() -> None:
    """Guards against a check of entries that refuses a sound one."""
    record = make_record(cold_start_s=30.0, born_ms=int(time.time() * 1000))
    value = msgspec.msgpack.encode(record)
    change = decode_change(NODE_KEY_PREFIX + "odd", 5, value)
    assert change == NodeChange("odd", 5, record)


async def expect_still_following(
    store: PlatformStoreStandIn, node: RunningNode
) -> None:
    """Add a sound entry and wait until a node has learnt of it."""
    record = msgspec.structs.replace(make_record(), node="sound", server=None)
    store.put_as_operator(NODE_KEY_PREFIX + "sound", msgspec.msgpack.encode(record))
    await wait_for(lambda: "sound" in node.node.registry.nodes)
    assert "odd" not in node.node.registry.nodes


@pytest.mark.parametrize("watched", [True, False])
def test_odd_entries_do_not_stop_a_node_from_following(watched: bool) -> None:
    """Guards against one entry that ends the following of all others.

    It comes through a watch, or is there when a node reads all entries.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (store, nodes):
            if not watched:
                await nodes[0].kill()
            for value in make_odd_values():
                store.put_as_operator(NODE_KEY_PREFIX + "odd", value)
            # Not base64.
            store.put_unencoded(NODE_KEY_PREFIX + "odd-2", "%%%")
            if not watched:
                await nodes[0].start()
            await expect_still_following(store, nodes[0])
            assert (await nodes[0].request("/stock/1"))[0] == 200

    run_async(check)


def test_node_writes_its_own_entry_again_if_it_was_replaced() -> None:
    """Guards against a node that nobody finds after another writer replaced it."""

    async def check() -> None:
        async with run_fleet(("pantry", "pantry")) as (store, nodes):
            key = NODE_KEY_PREFIX + "n-1"
            sound = store.items[key].value
            store.put_unencoded(key, "%%%")
            await wait_for(lambda: store.items[key].value == sound)
            await wait_for(
                lambda: nodes[0].node.registry.nodes["n-1"].server is not None
            )

    run_async(check)


def test_odd_entry_of_a_peer_is_not_taken() -> None:
    """Guards against a node of another build that passes an odd entry on."""

    async def check() -> None:
        async with run_fleet(("pantry",)) as (_, nodes):
            registry = nodes[0].node.registry
            changes = [
                NodeChange(f"odd-{i}", 900 + i, record)
                for i, record in enumerate(map(make_record, ODD_ADDRESSES))
            ]
            pong = Pong(1, 0.0, None, True, revision=999, changes=changes)
            registry.update_from_peer(pong)
            assert set(registry.nodes) == {"n-0"}

    run_async(check)


def test_odd_value_among_others_is_read_as_empty() -> None:
    """Guards against a value that makes the whole read of a prefix fail."""

    async def check() -> None:
        store = PlatformStoreStandIn()
        await store.start()
        client = PlatformStore.from_config(store.address, 1.0)
        _, revision = await client.read_prefix("odd/")
        store.put_as_operator("odd/1", b"1")
        store.put_unencoded("odd/2", "%%%")
        items, _ = await client.read_prefix("odd/")
        values = {key: item.value for key, item in items.items()}
        assert values == {"odd/1": b"1", "odd/2": b""}
        batch = await client.watch("odd/", revision, 1.0)
        assert [one.value for one in batch.events] == [b"1", b""]
        await store.stop()

    run_async(check)


@pytest.mark.parametrize(
    "value",
    [NESTED, b"\xff", msgspec.msgpack.encode({"i-0": 2**63 - 1, "i-9": -1})],
)
def test_odd_departures_record_does_not_stop_a_server(value: bytes) -> None:
    """Guards against a record that keeps every start of a server out of service."""

    async def check() -> None:
        async with run_fleet(("pantry",)) as (store, nodes):
            await nodes[0].kill()
            store.put_as_operator(DEPARTURES_PREFIX + "n-0", value)
            await nodes[0].start()
            assert (await nodes[0].request("/stock/1"))[0] == 200

    run_async(check)


@pytest.mark.parametrize(
    "fields",
    [
        *({"Address": address} for address in ODD_ADDRESSES),
        {"Slots": 2**63 - 1},
        {"Slots": 0},
        {"ColdRemaining": "9" * 400 + "s"},
        {"born": 2**63},
        {"born": 10**30},
        {"born": -1},
        {"Sequence": 2**63},
    ],
)
def test_odd_heartbeat_is_refused(fields: dict[str, Any]) -> None:
    """Guards against a heartbeat whose values end a loop of the node or its links."""
    heartbeat = {
        "Service": "pantry",
        "Address": "127.0.0.1:80",
        "Zone": "a",
        "Slots": 8,
        "State": "ready",
        "Sequence": 1,
        "born": 1,
    }
    data = msgspec.json.encode(heartbeat | {"Sequence": 1})
    assert decode_heartbeat("i-1", data) == make_announcement(
        "127.0.0.1:80", born_ms=1, sequence=1
    )
    odd = heartbeat | fields
    data = "{" + ",".join(f'"{key}":{encode_json(odd[key])}' for key in odd) + "}"
    with pytest.raises((msgspec.MsgspecError, ValueError, RecursionError)):
        decode_heartbeat("i-1", data.encode())


def encode_json(value: str | int) -> str:
    return str(value) if isinstance(value, int) else f'"{value}"'
