"""The store clients and the stand-in implement the contract of Store."""

import socket

import anyio
import httpcore
import msgspec
import pytest

from builders_config import open_fake_store, run, serve_gateway
from builders_gateway import serve_platform
from heathermount.clocks import ManualClock, SystemClock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.standins.store import FakeStore, StoreFaults, StoreState
from heathermount.store import EtcdStore, Versioned

CLIENTS = pytest.mark.parametrize("connect", [open_fake_store, serve_gateway])
ALL_CLIENTS = pytest.mark.parametrize(
    "connect", [open_fake_store, serve_gateway, serve_platform]
)


@ALL_CLIENTS
def test_commit_compares_every_key(connect) -> None:
    """Guards against a lost update when two writers race."""

    async def body() -> None:
        async with connect(StoreState(ManualClock())) as store:
            assert await store.get("own/a") is None
            assert await store.commit({"own/a": 0}, {"own/a": b"1", "own/b": b"\xff"})
            first = await store.get("own/a")
            assert first is not None and first.value == b"1"
            assert not await store.commit({"own/a": 0}, {"own/a": b"2"})
            wrong = {"own/a": first.version, "own/b": 99}
            assert not await store.commit(wrong, {"own/a": b"2"})
            assert await store.commit({"own/a": first.version}, {"own/a": b""})
            found = await store.get_prefix("own/")
            assert list(found) == ["own/a", "own/b"]
            assert found["own/a"].value == b""
            assert found["own/a"].version > found["own/b"].version == first.version
            latest = found["own/a"].version
            assert await store.commit({"own/a": latest}, {"own/a": None})
            assert await store.get("own/a") is None
            assert await store.get_prefix("owner") == {}

    run(body)


@CLIENTS
def test_lost_answer_reports_unknown_outcome_of_a_write_that_took_effect(
    connect,
) -> None:
    """Guards against reporting a write as failed although it took effect."""

    async def body() -> None:
        state = StoreState(ManualClock())
        async with connect(state) as store:
            state.faults = StoreFaults(lose_next_answers=1)
            with pytest.raises(StoreOutcomeUnknown):
                await store.commit({}, {"x": b"1"})
            assert await store.get("x") == Versioned(b"1", state.revision)

    run(body)


@CLIENTS
def test_calls_over_the_limit_are_refused_without_effect(connect) -> None:
    """Guards against an unknown outcome being reported for a rate-limited write."""

    async def body() -> None:
        state = StoreState(ManualClock())
        async with connect(state) as store:
            state.faults = StoreFaults(write_limit=2)
            assert await store.commit({}, {"x": b"1"})
            assert await store.commit({}, {"x": b"2"})
            with pytest.raises(StoreUnavailable):
                await store.commit({}, {"x": b"3"})
            found = await store.get("x")
            assert found is not None and found.value == b"2"
            assert state.counters["refused_over_limit"] == 1
            assert state.counters["peak_writes_per_s"] == 3

    run(body)


@CLIENTS
def test_store_that_is_down_fails_calls(connect) -> None:
    """Guards against reads that hang or invent an answer during an outage."""

    async def body() -> None:
        state = StoreState(ManualClock())
        async with connect(state) as store:
            state.faults = StoreFaults(down=True)
            with pytest.raises(StoreUnavailable):
                await store.get("x")
            with pytest.raises((StoreUnavailable, StoreOutcomeUnknown)):
                await store.commit({}, {"x": b"1"})
            state.faults = StoreFaults()
            assert await store.get("x") is None

    run(body)


def test_slow_answer_counts_as_lost() -> None:
    """Guards against reporting a write as failed if it takes effect after a timeout."""

    async def body() -> None:
        state = StoreState(SystemClock())
        fake = FakeStore(state, timeout_s=0.05)
        state.faults = StoreFaults(delay_s=0.1)
        with pytest.raises(StoreUnavailable):
            await fake.get("x")
        with pytest.raises(StoreOutcomeUnknown):
            await fake.commit({}, {"x": b"1"})
        async with serve_gateway(state) as store:
            slow = EtcdStore(store._url.removeprefix("http://"), "/heathermount", 0.05)
            with pytest.raises(StoreUnavailable):
                await slow.get("x")
            with pytest.raises(StoreOutcomeUnknown):
                await slow.commit({}, {"x": b"2"})
            await slow.close()

    run(body)


def test_refused_connection_reports_store_unavailable() -> None:
    """Guards against reporting an unknown outcome when nothing was sent."""

    async def body() -> None:
        # A socket that is bound but not listening refuses connections.
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            port = closed.getsockname()[1]
            store = EtcdStore(f"127.0.0.1:{port}", "/heathermount", 1.0)
            with pytest.raises(StoreUnavailable):
                await store.commit({}, {"x": b"1"})

    run(body)


def test_leases_end_and_are_renewed() -> None:
    """Guards against a key that outlives its lease or expires despite renewals."""

    async def body() -> None:
        clock = ManualClock()
        state = StoreState(clock)
        async with serve_gateway(state) as store:
            lease = await store.grant_lease(10)
            assert await store.commit({}, {"held": b"1"}, lease_id=lease)
            clock.advance(8)
            assert await store.renew_lease(lease) == 10
            clock.advance(8)
            assert await store.get("held") is not None
            clock.advance(3)
            assert await store.get("held") is None
            assert await store.renew_lease(lease) == 0

    run(body)


def test_watch_reports_changes_and_its_end() -> None:
    """Guards against missed changes and a watch that ends without an error."""

    async def body() -> None:
        state = StoreState(ManualClock())
        async with serve_gateway(state) as store:
            await store.commit({}, {"own/a": b"0"})
            first = state.revision
            await store.commit({}, {"other": b"1"})
            await store.commit({}, {"own/a": b"1"})
            await store.commit({}, {"own/a": None})
            watch = store.watch("own/", start_version=first)
            found = [await anext(watch) for _ in range(3)]
            values = [event.item and event.item.value for event in found]
            assert [event.key for event in found] == ["own/a"] * 3
            assert values == [b"0", b"1", None]
            state.faults = StoreFaults(down=True)
            state.restore(state.snapshot())
            state.transact([], {b"/heathermount/own/a": b"2"})
            with pytest.raises(StoreUnavailable):
                await anext(watch)
            assert state.counters["watch"] == 1

    run(body)


def test_faults_and_counters_over_http() -> None:
    """Guards against a fleet test whose fault injection was silently ignored."""

    async def body() -> None:
        state = StoreState(ManualClock())
        async with (
            serve_gateway(state) as store,
            httpcore.AsyncConnectionPool() as pool,
        ):

            async def post(**faults: object) -> int:
                content = msgspec.json.encode(faults)
                url = store._url + "/faults"
                return (await pool.request("POST", url, content=content)).status

            await store.commit({}, {"x": b"1"})
            assert await post(snapshot=True, read_limit=100) == 200
            await store.commit({}, {"x": b"2"})
            assert await post(restore=True, colour="red") == 400
            assert await post(restore=True) == 200
            found = await store.get("x")
            assert found is not None and found.value == b"1"
            reply = await pool.request("GET", store._url + "/counters")
            assert msgspec.json.decode(reply.content)["txn"] == 2
            assert state.faults.read_limit == 100

    run(body)


def test_restored_store_does_not_repeat_versions() -> None:
    """Guards against a commit that succeeds against other data after a restore.

    That happens if versions written after the restore repeat earlier ones.
    """
    state = StoreState(ManualClock())
    store = FakeStore(state)

    async def body() -> None:
        await store.commit({}, {"x": b"1"})
        snapshot = state.snapshot()
        await store.commit({}, {"x": b"2"})
        newer = await store.get("x")
        assert newer is not None
        state.restore(snapshot)
        await store.commit({}, {"x": b"3"})
        assert not await store.commit({"x": newer.version}, {"x": b"4"})

    anyio.run(body)
