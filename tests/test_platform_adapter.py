"""The platform adapter decodes valid messages and survives malformed ones."""

import asyncio
import json
from typing import Any
from unittest.mock import AsyncMock

import msgspec
import pytest
from hypothesis import given, strategies as st

from builders_gateway import (
    make_document,
    make_executor,
    make_organisation,
    make_route,
    make_tracker,
    run_async,
    serve_platform,
)
from heathermount.clocks import SystemClock
from heathermount.config.durations import parse_duration
from heathermount.errors import InvalidMessage, StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.configuration_document import GatewayPolicy
from heathermount.gateway.http_server import HttpRequest
from heathermount.platform.configuration import decode_configuration
from heathermount.platform.dialect import PlatformDialect
from heathermount.platform.heartbeats import HeartbeatHandler, decode_heartbeat
from heathermount.platform.store import PlatformStore
from heathermount.standins.platform_operator import encode_configuration
from heathermount.standins.platform_store import PlatformStoreStandIn
from heathermount.store.interface import HistoryLost
from heathermount.values import Importance, Load

HEARTBEAT: dict[str, Any] = {
    "Service": "pantry",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemaining": "1500ms",
    "Sequence": 4,
    "born": 1700000000000,
}


def test_reads_the_operators_configuration() -> None:
    """Guards against a field of the operators' configuration that is misread."""
    document = make_document(
        7,
        [make_route(services=("pantry", "orders"), idempotent=False, timeout_s=1.2)],
        [make_organisation(rate=88.0, burst=44.0, priority=0)],
    )
    decoded = decode_configuration(encode_configuration(document))
    assert decoded.version == 7
    assert decoded.routes == document.routes
    assert decoded.organisations == document.organisations
    assert decoded.limits.idle_timeout_s == 15.0


def test_classifies_requests_by_organisation_then_route() -> None:
    """Guards against an urgent organisation that is queued behind the others.

    A priority that differs from the most common one overrides the route's.
    """
    names = ["anna", "bert", "carl"]
    organisations = [make_organisation(name) for name in names]
    urgent_organisation = make_organisation("dora", priority=0)
    background_organisation = make_organisation("emil", priority=2)
    policy = GatewayPolicy(
        make_document(
            1,
            organisations=[
                *organisations,
                urgent_organisation,
                background_organisation,
            ],
        )
    )
    route = make_route(priority=1)
    assert policy.classify(route, organisations[0]) is Importance.NORMAL
    assert policy.classify(route, urgent_organisation) is Importance.CRITICAL
    assert policy.classify(route, background_organisation) is Importance.BACKGROUND
    assert policy.classify(make_route(priority=9), None) is Importance.BACKGROUND


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/stock/1", "stock"),
        ("/stock/", "stock"),
        ("/stock/rare/2", "rare"),
        ("/stock", None),
        ("/other/1", None),
    ],
)
def test_matches_the_longest_prefix(path: str, name: str | None) -> None:
    """Guards against a request that is sent to the service of another route."""
    routes = [make_route(), make_route("rare", "/stock/rare/", ("orders",))]
    route = GatewayPolicy(make_document(routes=routes)).match_route(
        "shop.example", path
    )
    assert (route.name if route else None) == name


@given(st.binary(max_size=300))
def test_malformed_configuration_raises_invalid_message(data: bytes) -> None:
    """Guards against malformed bytes in the store that crash the node."""
    with pytest.raises(InvalidMessage):
        decode_configuration(data)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES)
def test_malformed_heartbeat_raises_a_handled_error(field: str, value: object) -> None:
    """Guards against a heartbeat with wrong field values that crashes the node.

    Decoding may only raise errors that the handler turns into a 400 response.
    """
    data = json.dumps(HEARTBEAT | {field: value}).encode()
    try:
        announcement = decode_heartbeat("i-1", data)
    except (msgspec.MsgspecError, ValueError):
        return
    assert announcement.slots >= 1


@pytest.mark.parametrize(
    ("method", "target", "body", "status"),
    [
        (b"PUT", b"/heathermount/instances/i-1", json.dumps(HEARTBEAT).encode(), 200),
        (b"PUT", b"/heathermount/instances/i-1", b"\xff", 400),
        (b"PUT", b"/heathermount/instances/i-1", b"[" * 10000, 400),
        (
            b"PUT",
            b"/heathermount/instances/i-1",
            json.dumps(HEARTBEAT | {"Service": "orders"}).encode(),
            400,
        ),
        (b"DELETE", b"/heathermount/instances/i-9", b"", 200),
        (b"POST", b"/heathermount/instances/i-1", b"", 405),
        (b"PUT", b"/elsewhere", b"", 404),
    ],
)
def test_answers_heartbeats(
    method: bytes, target: bytes, body: bytes, status: int
) -> None:
    """Guards against acknowledging a malformed or foreign request.

    Only a valid heartbeat announces the server, and a departure is saved before
    it is acknowledged.
    """

    async def check() -> None:
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock))
        saved = AsyncMock(return_value=True)
        handler = HeartbeatHandler(executor, "pantry", saved)
        response = await handler.handle(HttpRequest(method, target, [], body))
        assert response.status == status
        assert saved.await_count == (method == b"DELETE")
        announcement = executor.announcement
        assert (announcement is not None) is (status == 200 and method == b"PUT")
        if announcement is not None:
            assert (
                announcement.slots,
                announcement.cold_start_s,
                announcement.sequence,
            ) == (8, 1.5, 4)

    run_async(check)


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", Load(3, 0, 8)),
        # Some servers add how long work takes at this moment.
        (b"3,0,8,130", Load(3, 0, 8)),
        (b"3,0", None),
        (b"a,b,c", None),
        (b"", None),
        (b"-1,0,8", None),
    ],
)
def test_reads_the_load_header(value: bytes, load: Load | None) -> None:
    """Guards against a malformed load header that fails a request."""
    assert PlatformDialect().parse_load(value) == load


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"17.7", 17.7),
        (b"3", 3.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
        (b"", None),
    ],
)
def test_reads_the_limit_of_a_server(value: bytes, rate: float | None) -> None:
    """Guards against a malformed limit that stops all requests to a server."""
    assert PlatformDialect().parse_server_limit(value) == rate


@pytest.mark.parametrize("text", ["1500", "ms", "1.5h", "-1s", "1e3ms", "٣s"])
def test_rejects_malformed_durations(text: str) -> None:
    """Guards against a duration that is read in the wrong unit."""
    with pytest.raises(ValueError, match="duration"):
        parse_duration(text)


def test_store_watches_and_leases() -> None:
    """Guards against changes that a watch misses and leases that outlive their end."""

    async def check() -> None:
        async with serve_platform(None) as store:
            _, revision = await store.read_prefix("nodes/")
            lease = await store.grant_lease(5.0)
            assert await store.commit({}, {"nodes/a": b"1"}, lease)
            changes = await store.watch("nodes/", revision, 5.0)
            assert [(one.key, one.value) for one in changes.events] == [
                ("nodes/a", b"1")
            ]
            assert not (await store.watch("nodes/", changes.revision, 0.05)).events
            assert await store.renew_lease(lease)
            await store.end_lease(lease)
            changes = await store.watch("nodes/", changes.revision, 5.0)
            assert [(one.key, one.value) for one in changes.events] == [
                ("nodes/a", None)
            ]
            assert not await store.renew_lease(lease)
            assert not await store.commit({}, {"nodes/b": b"1"}, lease)

    run_async(check)


def test_store_errors_tell_whether_a_write_may_be_done() -> None:
    """Guards against a write that may have been applied but is reported as failed.

    A refused call was not applied. After a lost answer or a timeout the outcome of
    a write is unknown.
    """

    async def check() -> None:
        standin = PlatformStoreStandIn()
        await standin.start()
        # Only the calls to the silent store need a short timeout.
        store = PlatformStore.from_config(standin.address, 10.0)
        short_timeout_store = PlatformStore.from_config(standin.address, 0.2)
        for fault in ("down", "limited"):
            setattr(standin, fault, True)
            with pytest.raises(StoreUnavailable):
                await store.commit({}, {"a": b"1"})
            setattr(standin, fault, False)
        standin.lose_answers = True
        with pytest.raises(StoreOutcomeUnknown):
            await store.commit({}, {"b": b"1"})
        standin.lose_answers = False
        standin.malformed = True
        with pytest.raises(StoreOutcomeUnknown):
            await store.commit({}, {"c": b"1"})
        with pytest.raises(StoreOutcomeUnknown):
            await store.grant_lease(5.0)
        with pytest.raises(StoreUnavailable):
            await store.get("c")
        standin.malformed = False
        assert await store.get("a") is None
        assert await store.get("b") is not None
        assert await store.get("c") is not None
        standin.silent = True
        with pytest.raises(StoreUnavailable):
            await short_timeout_store.get("a")
        with pytest.raises(StoreOutcomeUnknown):
            await short_timeout_store.grant_lease(5.0)
        standin.silent = False
        with pytest.raises(StoreUnavailable):
            await store.commit({}, {"op/config": b"1"})
        await standin.stop()

    run_async(check)


def test_watch_of_compacted_revisions_raises_history_lost() -> None:
    """Guards against a watch that silently skips compacted changes."""

    async def check() -> None:
        standin = PlatformStoreStandIn()
        await standin.start()
        store = PlatformStore.from_config(standin.address, 1.0)
        revision = standin.revision
        standin.put_as_operator("op/config", b"1")
        watch_task = asyncio.create_task(store.watch("nodes/", revision, 5.0))
        await asyncio.sleep(0.02)
        standin.compact()
        with pytest.raises(HistoryLost):
            await watch_task
        await standin.stop()

    run_async(check)


def test_store_reads_all_pages() -> None:
    """Guards against a read that returns only the first page of the entries."""

    async def check() -> None:
        standin = PlatformStoreStandIn()
        await standin.start()
        for i in range(1100):
            standin.put_as_operator(f"nodes/{i:05}", b"1")
        store = PlatformStore.from_config(standin.address, 2.0)
        items, _ = await store.read_prefix("nodes/")
        assert len(items) == 1100
        await standin.stop()

    run_async(check)
