"""Tests of the backend server stand-in, the callers and the fleet runner."""

import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec
import pytest
import tomli_w

from builders_standins import make_result, make_server_description
from heathermount.clocks import ManualClock, SystemClock
from heathermount.runner.backend_settings import (
    BackendSettings,
    DownstreamCall,
    RouteDescription,
    ServerDescription,
)
from heathermount.runner.caller import (
    Caller,
    CallerSettings,
    OrganisationLoad,
    RetrySettings,
    RouteShare,
    Surge,
    make_uuid7,
    schedule_calls,
)
from heathermount.runner.fleet import count_logged_violations, parse_metrics
from heathermount.runner.processes import ManagedProcess, PortReservation
from heathermount.runner.summaries import summarise
from heathermount.runner.topologies import (
    CANCELLI,
    KETTERING,
    SMALL_FLEET,
    make_declaration,
)
from heathermount.standins.asgi_messages import Request
from heathermount.standins.backend import ServerSupervisor
from heathermount.standins.backend_server import HEALTH_PATH, LOAD_PATH, BackendServer
from heathermount.standins.http_client import (
    ConnectionPool,
    HttpResponse,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.records import (
    ResponseBody,
    RunOutcome,
    RunRecord,
    decode_response_body,
    encode_response_body,
    read_run_records,
)

WAIT_TIMEOUT_S = 10.0
TEST_ID_HEADER = (b"x-test-id", b"run.cart-1.0")


@asynccontextmanager
async def serve(**fields: Any) -> AsyncIterator[tuple[BackendServer, ConnectionPool]]:
    """Run a backend server; yield it with a connection pool for its address."""
    supervisor = ServerSupervisor(
        make_server_description(**fields), SystemClock(), Random(1)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(supervisor.run)
        await supervisor.wait_listening()
        pool = ConnectionPool(supervisor.address)
        await wait_for(lambda: is_healthy(pool))
        yield supervisor.server, pool
        pool.close()
        group.cancel_scope.cancel()


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            if await condition():
                return
            await anyio.sleep(0.005)


async def is_healthy(pool: ConnectionPool) -> bool:
    try:
        return (await pool.request("GET", HEALTH_PATH)).status == 200
    except (RequestNotSent, RequestBroken):
        return False


async def send_get(pool: ConnectionPool, path: str, *headers: Any) -> HttpResponse:
    return await pool.request("GET", path, [TEST_ID_HEADER, *headers])


def run_async(function: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        with anyio.fail_after(2 * WAIT_TIMEOUT_S):
            await function()

    anyio.run(run_with_timeout)


def test_response_identifies_its_request_and_is_recorded() -> None:
    """Guards against a response or record that lacks the identifiers of its request."""

    async def scenario() -> None:
        async with serve() as (server, pool):
            headers = [
                TEST_ID_HEADER,
                (b"heathermount-organisation", b"cart-1"),
                (b"heathermount-request", b"root-1"),
                (b"idempotency-key", b"k"),
            ]
            response = await pool.request("POST", "/pantry/x", headers, b"body")
            content = decode_response_body(response.body)
            assert content is not None
            assert (content.test_id, content.organisation) == ("run.cart-1.0", "cart-1")
            records_response = await pool.request("GET", "/record")
            (record,) = msgspec.json.decode(records_response.body, type=list[RunRecord])
            assert record.outcome is RunOutcome.ANSWERED
            assert (record.root, record.idempotency_key) == ("root-1", "k")
            assert not record.key_visible
            assert record.arrived <= record.started <= record.finished
            await pool.request("DELETE", "/record")
            assert server.records == []

    run_async(scenario)


@pytest.mark.parametrize(
    "header",
    [(b"authorization", b"Bearer x"), (b"x-api-key", b"x"), (b"x-other", b"hm_a_b")],
)
def test_record_flags_an_api_key_in_the_headers(header: tuple[bytes, bytes]) -> None:
    """Guards against an API key that reaches a backend server unnoticed."""

    async def scenario() -> None:
        async with serve() as (server, pool):
            await send_get(pool, "/pantry/x", header)
            assert [record.key_visible for record in server.records] == [True]

    run_async(scenario)


def test_sheds_beyond_slots_and_backlog() -> None:
    """Guards against a server that accepts more requests than slots and backlog."""

    async def scenario() -> None:
        async with serve() as (server, pool):
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(send_get, pool, "/slow")
                await wait_for(make_async(lambda: server.waiting_count == 1))
                load = await pool.request("GET", LOAD_PATH)
                assert msgspec.json.decode(load.body) == {
                    "running": 2,
                    "queued": 1,
                    "slots": 2,
                }
                response = await send_get(pool, "/pantry/x")
                assert response.status == 503
                assert response.text_header(b"heathermount-not-run") == "1"
                group.cancel_scope.cancel()
            await server.wait_idle()
            outcomes = [record.outcome for record in server.records]
            assert sorted(outcomes) == ["cancelled", "cancelled", "shed", "shed"]

    run_async(scenario)


def make_async(condition: Callable[[], bool]) -> Callable[[], Awaitable[bool]]:
    async def check() -> bool:
        return condition()

    return check


def test_deadline_cancels_a_running_request() -> None:
    """Guards against a server that keeps working after the deadline of its caller."""

    async def scenario() -> None:
        async with serve() as (server, pool):
            deadline = (b"heathermount-deadline-ms", b"30")
            response = await send_get(pool, "/slow", deadline)
            assert response.status == 504
            assert server.records[0].outcome is RunOutcome.DEADLINE

    run_async(scenario)


def test_truncated_response_raises_request_broken() -> None:
    """Guards against a client that accepts a partial response as complete."""

    async def scenario() -> None:
        async with serve() as (_, pool):
            body = msgspec.json.encode({"truncate_share": 1.0})
            await pool.request("POST", "/behaviour", [], body)
            with pytest.raises(RequestBroken):
                await send_get(pool, "/pantry/x")

    run_async(scenario)


def test_crash_breaks_connections_and_the_server_restarts() -> None:
    """Guards against a simulated crash that sends responses or never ends."""

    async def scenario() -> None:
        async with serve() as (server, pool):
            async with anyio.create_task_group() as group:
                group.start_soon(expect_broken_connection, pool, "/slow")
                await wait_for(make_async(lambda: server.running_count == 1))
                await expect_broken_connection(pool, "/pantry/crash")
            await wait_for(make_async(lambda: not server.down))
            await wait_for(lambda: is_healthy(pool))
            assert (await send_get(pool, "/pantry/x")).status == 200
            outcomes = [record.outcome for record in server.records]
            assert outcomes == [
                RunOutcome.LOST,
                RunOutcome.CRASHED,
                RunOutcome.ANSWERED,
            ]

    run_async(scenario)


async def expect_broken_connection(pool: ConnectionPool, path: str) -> None:
    with pytest.raises(RequestBroken):
        await send_get(pool, path)


@pytest.mark.parametrize("parallel", [False, True])
def test_downstream_calls_carry_the_context_and_report_failures(parallel: bool) -> None:
    """Guards against downstream calls that lose the context or hide a failure.

    A failed downstream call must fail the request, in sequence and in parallel.
    """
    downstream_path = "/pantry/deep"

    async def scenario() -> None:
        async with serve(name="pantry-2") as (downstream, pool):
            calls = [
                DownstreamCall(path=downstream_path),
                DownstreamCall(path="/pantry/deep/2"),
            ]
            route = RouteDescription(path="/", calls=calls, parallel=parallel)
            fields = {"node": pool.address, "routes": [route]}
            async with serve(**fields, announce_s=60.0) as (_, caller_pool):
                context = (b"heathermount-context", b"opaque")
                response = decode_response_body(
                    (await send_get(caller_pool, "/x", context)).body
                )
                assert response is not None
                assert response.visited == ["pantry"] * 3
                ids = {record.test_id for record in downstream.records if record.depth}
                assert ids == {"run.cart-1.0/0", "run.cart-1.0/1"}
                downstream.behaviour.failing_share = 1.0
                failed = await send_get(caller_pool, "/x", context)
                assert failed.status == 502
                content = decode_response_body(failed.body)
                assert content is not None
                assert content.deeper[0].status == 500

    run_async(scenario)


def test_retries_the_announcement_and_drains_at_a_planned_stop() -> None:
    """Guards against a server that its node never learns of, or that leaves early.

    The node rejects the first announcements. At the stop, the server must drain
    before it withdraws its announcement.
    """
    calls: list[tuple[str, str]] = []

    async def scenario() -> None:
        async with serve(name="node") as (node, pool):
            node.behaviour.failing_share = 1.0
            description = make_server_description(node=pool.address)
            supervisor = ServerSupervisor(description, SystemClock(), Random(1))
            async with anyio.create_task_group() as group:
                group.start_soon(supervisor.run)
                await wait_for(make_async(lambda: len(node.records) >= 2))
                node.behaviour.failing_share = 0.0
                await supervisor.stop(1.0)
            calls.extend((r.method, r.path.rpartition("/")[2]) for r in node.records)

    run_async(scenario)
    assert calls[:2] == [("POST", "announce")] * 2
    assert [call for call in calls if call[1] == "drain"][0] == ("POST", "drain")
    assert calls[-1] == ("DELETE", "announce")


def test_health_report_lags_behind_the_state() -> None:
    """Guards against health reports without the configured delay."""
    clock = ManualClock()
    description = make_server_description(load_lag_s=2.0)
    server = BackendServer(description, clock, Random(1))
    clock.advance(10.0)
    server.change_behaviour(make_request(b'{"healthy":false}'))
    statuses = []
    for _ in range(3):
        statuses.append(server.report_health(make_request(b"")).status)
        clock.advance(1.0)
    assert statuses == [200, 200, 503]


def make_request(body: bytes) -> Request:
    return Request(method="POST", path="/", headers={}, body=body, key_visible=False)


def test_record_file_survives_a_crash_of_the_process(tmp_path: Path) -> None:
    """Guards against losing the record of the request that crashed the process."""
    ports = PortReservation()
    description = make_server_description(
        listen=ports.reserve(), crash="exit", routes=[]
    )
    settings = {
        "record_file": "records",
        "servers": [msgspec.to_builtins(description)],
    }
    write_settings(tmp_path / "backend.toml", settings)
    command = [sys.executable, "-m", "heathermount.standins.backend"]
    process = ManagedProcess("b", [*command, "--config=backend.toml"], tmp_path)

    async def scenario() -> None:
        pool = ConnectionPool(description.listen)
        process.start()
        await wait_for(lambda: is_healthy(pool))
        await expect_broken_connection(pool, "/crash")
        assert await process.wait(WAIT_TIMEOUT_S) == 70
        process.start()
        await wait_for(lambda: is_healthy(pool))
        process.terminate()
        assert await process.wait(WAIT_TIMEOUT_S) == 0

    try:
        run_async(scenario)
    finally:
        process.kill()
        ports.close()
    (record,) = read_run_records([tmp_path / "records"])
    assert record.path == "/crash"


def write_settings(path: Path, settings: dict[str, Any]) -> None:
    path.write_bytes(tomli_w.dumps(settings).encode())


def test_settings_report_all_problems() -> None:
    """Guards against settings errors that are reported one at a time."""
    server = msgspec.to_builtins(make_server_description(crash="melt"))
    server["routes"][0]["distribution"] = "uniform"
    with pytest.raises(ExceptionGroup) as caught:
        BackendSettings.from_config({"servers": [server]}, "backend.toml")
    assert len(caught.value.exceptions) == 2


def test_checksum_covers_every_field() -> None:
    """Guards against a modified or truncated body that is accepted as complete."""
    response = ResponseBody(
        test_id="t",
        organisation="o",
        server="s",
        service="s",
        root="r",
        depth=0,
        path="/",
        outcome="answered",
    )
    body = encode_response_body(response)
    assert decode_response_body(body) == response
    assert decode_response_body(body.replace(b'"root":"r"', b'"root":"q"')) is None
    assert decode_response_body(body[:-1]) is None


def make_caller(entries: list[str], **fields: Any) -> Caller:
    load = OrganisationLoad(
        name="cart-1",
        key="hm_k1_secret",
        rate=200.0,
        routes=[
            RouteShare(path="/pantry/x"),
            RouteShare(path="/pantry", method="POST"),
        ],
    )
    settings = CallerSettings(
        duration_s=0.3, entries=entries, organisations=[load], **fields
    )
    return Caller(settings, SystemClock())


def test_caller_detects_responses_to_another_organisation() -> None:
    """Guards against a caller that accepts a response to another organisation."""

    async def scenario() -> None:
        async with serve(slots=50) as (server, pool):
            # Without a node the server receives no organisation.
            results = await make_caller([pool.address]).run()
            assert results
            assert all(r.succeeded and r.whole and not r.own for r in results)
            assert all(record.key_visible for record in server.records)
            posts = [r for r in server.records if r.method == "POST"]
            assert posts
            assert len({r.idempotency_key for r in posts}) == len(posts)

    run_async(scenario)


def test_caller_retries_with_the_same_identifiers() -> None:
    """Guards against retries that the checks take for separate requests."""

    async def scenario() -> None:
        ports = PortReservation()
        retries = RetrySettings(limit=2, delay_s=0.0)
        results = await make_caller([ports.reserve()], retries=retries).run()
        ports.close()
        assert {r.error for r in results} == {"refused"}
        groups: dict[str, list[tuple[str, str]]] = {}
        for r in results:
            groups.setdefault(r.test_id, []).append((r.attempt, r.idempotency_key))
        for attempts in groups.values():
            assert [number for number, _ in attempts] == ["0", "1", "2"]
            assert len({key for _, key in attempts}) == 1

    run_async(scenario)


def test_call_schedule_repeats_with_its_seed_and_follows_surges() -> None:
    """Guards against schedules that differ between runs or ignore a surge."""
    surge = Surge(start_s=10.0, end_s=20.0, factor=5.0)
    load = OrganisationLoad(name="a", key="", rate=50.0, routes=[], surges=[surge])
    times = schedule_calls(load, 30.0, Random(7))
    assert times == schedule_calls(load, 30.0, Random(7))
    inside = sum(10.0 <= at_s < 20.0 for at_s in times)
    assert inside == pytest.approx(2500, rel=0.1)
    assert len(times) - inside == pytest.approx(1000, rel=0.15)


def test_uuid7_encodes_its_creation_time() -> None:
    """Guards against idempotency keys from which a wrong creation time is read."""
    key = make_uuid7(1_700_000_000.5, Random(1))
    assert int(key.replace("-", "")[:12], 16) == 1_700_000_000_500
    assert (key[14], key[19] in "89ab") == ("7", True)


def test_summary_counts_only_the_last_attempt_of_a_request() -> None:
    """Guards against a summary that counts a retried request twice."""
    refused = make_result(status=503, outcome="not-run", reason="shed")
    over = make_result(test_id="b", status=429, outcome="not-run", reason="over-rate")
    summary = summarise([refused, make_result(attempt="1"), over], 2.0)
    assert (summary.requests, summary.attempts, summary.succeeded) == (2, 3, 1)
    assert summary.outcomes == {"200": 1, "429 over-rate": 1}
    assert summary.organisations["cart-1"].over_rate == 1


@pytest.mark.parametrize(
    ("fleet", "servers"), [(KETTERING, 14), (CANCELLI, 13), (SMALL_FLEET, 5)]
)
def test_fleets_call_only_declared_routes(fleet: Any, servers: int) -> None:
    """Guards against a fleet description with a downstream call that has no route."""
    assert sum(service.servers for service in fleet.services) == servers
    declaration = make_declaration(fleet)
    declared = {
        (method, route["path"])
        for route in declaration["routes"]
        for method in route["methods"]
    }
    for route in fleet.routes():
        assert {(method, path) for method, path, _ in route.calls} <= declared
    names = {route["name"] for route in declaration["routes"]}
    assert all(e["reason"] for e in declaration["exceptions"])
    assert {e["route"] for e in declaration["exceptions"] if "route" in e} <= names


def test_counts_invariant_violations_in_metrics_and_logs(tmp_path: Path) -> None:
    """Guards against missing an invariant violation of a node that was killed.

    The metrics of such a node are gone, but its log remains.
    """
    text = '# TYPE v counter\nv_total{invariant="one-owner"} 2.0\n'
    assert parse_metrics(text) == {"v_total{invariant=one-owner}": 2.0}
    log = tmp_path / "node.log"
    log.write_text("I1 a:1] event=invariant-violated node=n invariant=one-owner\nx\n")
    assert count_logged_violations(log) == {"one-owner": 1}


def test_reserved_port_can_be_bound_and_refuses_until_then() -> None:
    """Guards against a restarted process whose port was taken in the meantime."""

    async def scenario() -> None:
        ports = PortReservation()
        address = ports.reserve()
        with pytest.raises(RequestNotSent):
            await ConnectionPool(address).request("GET", "/")
        for _ in range(2):
            async with serve(listen=address):
                pass
        ports.close()

    run_async(scenario)


def test_server_description_defaults_are_usable() -> None:
    """Guards against a field of the settings file that lost its default."""
    server = {"name": "a", "service": "a", "listen": "127.0.0.1:1"}
    settings = BackendSettings.from_config({"servers": [server]}, "backend.toml")
    assert settings.servers == [ServerDescription(**server)]
