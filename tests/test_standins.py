"""The stand-ins behave as the backend servers and callers that they stand for."""

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
from heathermount.standins.backend import ServerHost
from heathermount.standins.connections import (
    Connections,
    HttpAnswer,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.exchange import Request
from heathermount.standins.records import (
    RunOutcome,
    RunRecord,
    ServerAnswer,
    decode_answer,
    encode_answer,
    read_run_records,
)
from heathermount.standins.serving import HEALTH_PATH, LOAD_PATH, BackendServer

DEADLINE_S = 10.0
TEST_ID = (b"x-test-id", b"run.cart-1.0")


@asynccontextmanager
async def serve(**fields: Any) -> AsyncIterator[tuple[BackendServer, Connections]]:
    """Run a backend server and connect to it."""
    host = ServerHost(make_server_description(**fields), SystemClock(), Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(host.run)
        await host.wait_listening()
        connections = Connections(host.address)
        await wait_for(lambda: is_healthy(connections))
        yield host.server, connections
        connections.close()
        group.cancel_scope.cancel()


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    with anyio.fail_after(DEADLINE_S):
        while True:
            if await condition():
                return
            await anyio.sleep(0.005)


async def is_healthy(connections: Connections) -> bool:
    try:
        return (await connections.request("GET", HEALTH_PATH)).status == 200
    except (RequestNotSent, RequestBroken):
        return False


async def get(connections: Connections, path: str, *headers: Any) -> HttpAnswer:
    return await connections.request("GET", path, [TEST_ID, *headers])


def run_async(function: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        with anyio.fail_after(2 * DEADLINE_S):
            await function()

    anyio.run(limited)


def test_answer_echoes_the_request_and_is_recorded() -> None:
    """Guards against answers that a caller cannot tell from another's."""

    async def scenario() -> None:
        async with serve() as (server, connections):
            headers = [
                TEST_ID,
                (b"heathermount-organisation", b"cart-1"),
                (b"heathermount-request", b"root-1"),
                (b"idempotency-key", b"k"),
            ]
            answer = await connections.request("POST", "/pantry/x", headers, b"body")
            content = decode_answer(answer.body)
            assert content is not None
            assert (content.test_id, content.organisation) == ("run.cart-1.0", "cart-1")
            received = await connections.request("GET", "/record")
            (record,) = msgspec.json.decode(received.body, type=list[RunRecord])
            assert record.outcome is RunOutcome.ANSWERED
            assert (record.root, record.idempotency_key) == ("root-1", "k")
            assert not record.key_visible
            assert record.arrived <= record.started <= record.finished
            await connections.request("DELETE", "/record")
            assert server.records == []

    run_async(scenario)


@pytest.mark.parametrize(
    "header",
    [(b"authorization", b"Bearer x"), (b"x-api-key", b"x"), (b"x-other", b"hm_a_b")],
)
def test_record_shows_a_visible_key(header: tuple[bytes, bytes]) -> None:
    """Guards against a leaked key that no record shows."""

    async def scenario() -> None:
        async with serve() as (server, connections):
            await get(connections, "/pantry/x", header)
            assert [record.key_visible for record in server.records] == [True]

    run_async(scenario)


def test_sheds_beyond_slots_and_backlog() -> None:
    """Guards against a server that takes more work than it has room for."""

    async def scenario() -> None:
        async with serve() as (server, connections):
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(get, connections, "/slow")
                await wait_for(async_check(lambda: server.waiting == 1))
                load = await connections.request("GET", LOAD_PATH)
                assert msgspec.json.decode(load.body) == {
                    "running": 2,
                    "queued": 1,
                    "slots": 2,
                }
                answer = await get(connections, "/pantry/x")
                assert answer.status == 503
                assert answer.text_header(b"heathermount-not-run") == "1"
                group.cancel_scope.cancel()
            await server.wait_idle()
            outcomes = [record.outcome for record in server.records]
            assert sorted(outcomes) == ["cancelled", "cancelled", "shed", "shed"]

    run_async(scenario)


def async_check(condition: Callable[[], bool]) -> Callable[[], Awaitable[bool]]:
    async def check() -> bool:
        return condition()

    return check


def test_deadline_ends_the_work() -> None:
    """Guards against a server that works on past its caller's deadline."""

    async def scenario() -> None:
        async with serve() as (server, connections):
            deadline = (b"heathermount-deadline-ms", b"30")
            answer = await get(connections, "/slow", deadline)
            assert answer.status == 504
            assert server.records[0].outcome is RunOutcome.DEADLINE

    run_async(scenario)


def test_truncated_answer_is_noticed() -> None:
    """Guards against taking a partial answer for a whole one."""

    async def scenario() -> None:
        async with serve() as (_, connections):
            body = msgspec.json.encode({"truncate_share": 1.0})
            await connections.request("POST", "/behaviour", [], body)
            with pytest.raises(RequestBroken):
                await get(connections, "/pantry/x")

    run_async(scenario)


def test_crash_breaks_connections_and_the_server_returns() -> None:
    """Guards against a crash that callers see as an ordinary answer."""

    async def scenario() -> None:
        async with serve() as (server, connections):
            async with anyio.create_task_group() as group:
                group.start_soon(expect_broken, connections, "/slow")
                await wait_for(async_check(lambda: server.running == 1))
                await expect_broken(connections, "/pantry/crash")
            await wait_for(async_check(lambda: not server.down))
            await wait_for(lambda: is_healthy(connections))
            assert (await get(connections, "/pantry/x")).status == 200
            outcomes = [record.outcome for record in server.records]
            assert outcomes == [
                RunOutcome.LOST,
                RunOutcome.CRASHED,
                RunOutcome.ANSWERED,
            ]

    run_async(scenario)


async def expect_broken(connections: Connections, path: str) -> None:
    with pytest.raises(RequestBroken):
        await get(connections, path)


@pytest.mark.parametrize("parallel", [False, True])
def test_deeper_calls_carry_context_and_fold_results(parallel: bool) -> None:
    """Guards against call graphs that lose the context or a deeper failure."""
    deeper_path = "/pantry/deep"

    async def scenario() -> None:
        async with serve(name="pantry-2") as (deeper, connections):
            calls = [
                DownstreamCall(path=deeper_path),
                DownstreamCall(path="/pantry/deep/2"),
            ]
            route = RouteDescription(path="/", calls=calls, parallel=parallel)
            fields = {"node": connections.address, "routes": [route]}
            async with serve(**fields, announce_s=60.0) as (_, front):
                context = (b"heathermount-context", b"opaque")
                answer = decode_answer((await get(front, "/x", context)).body)
                assert answer is not None
                assert answer.visited == ["pantry"] * 3
                ids = {record.test_id for record in deeper.records if record.depth}
                assert ids == {"run.cart-1.0/0", "run.cart-1.0/1"}
                deeper.behaviour.failing_share = 1.0
                failed = await get(front, "/x", context)
                assert failed.status == 502
                content = decode_answer(failed.body)
                assert content is not None
                assert content.deeper[0].status == 500

    run_async(scenario)


def test_announces_until_accepted_and_drains_at_a_planned_stop() -> None:
    """Guards against a server that its node never learns of, or loses too early."""
    calls: list[tuple[str, str]] = []

    async def scenario() -> None:
        async with serve(name="node") as (node, connections):
            node.behaviour.failing_share = 1.0
            description = make_server_description(node=connections.address)
            host = ServerHost(description, SystemClock(), Random(1))
            async with anyio.create_task_group() as group:
                group.start_soon(host.run)
                await wait_for(async_check(lambda: len(node.records) >= 2))
                node.behaviour.failing_share = 0.0
                await host.stop(1.0)
            calls.extend((r.method, r.path.rpartition("/")[2]) for r in node.records)

    run_async(scenario)
    assert calls[:2] == [("POST", "announce")] * 2
    assert [call for call in calls if call[1] == "drain"][0] == ("POST", "drain")
    assert calls[-1] == ("DELETE", "announce")


def test_reports_lag() -> None:
    """Guards against reports that are more current than a real server's."""
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


def test_records_outlive_a_crash_that_ends_the_process(tmp_path: Path) -> None:
    """Guards against checks that miss the run that killed a server's process."""
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
        connections = Connections(description.listen)
        process.start()
        await wait_for(lambda: is_healthy(connections))
        await expect_broken(connections, "/crash")
        assert await process.wait(DEADLINE_S) == 70
        process.start()
        await wait_for(lambda: is_healthy(connections))
        process.terminate()
        assert await process.wait(DEADLINE_S) == 0

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
    """Guards against a wrong stand-in setting that is found only later in a run."""
    server = msgspec.to_builtins(make_server_description(crash="melt"))
    server["routes"][0]["distribution"] = "uniform"
    with pytest.raises(ExceptionGroup) as caught:
        BackendSettings.from_config({"servers": [server]}, "backend.toml")
    assert len(caught.value.exceptions) == 2


def test_checksum_covers_every_field() -> None:
    """Guards against a changed answer that passes as whole."""
    answer = ServerAnswer(
        test_id="t",
        organisation="o",
        server="s",
        service="s",
        root="r",
        depth=0,
        path="/",
        outcome="answered",
    )
    body = encode_answer(answer)
    assert decode_answer(body) == answer
    assert decode_answer(body.replace(b'"root":"r"', b'"root":"q"')) is None
    assert decode_answer(body[:-1]) is None


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


def test_caller_verifies_that_answers_are_its_own() -> None:
    """Guards against a load tool that counts any answer as a success."""

    async def scenario() -> None:
        async with serve(slots=50) as (server, connections):
            # Without a node the server sees no organisation.
            results = await make_caller([connections.address]).run()
            assert results
            assert all(r.succeeded and r.whole and not r.own for r in results)
            assert all(record.key_visible for record in server.records)
            posts = [r for r in server.records if r.method == "POST"]
            assert posts
            assert len({r.idempotency_key for r in posts}) == len(posts)

    run_async(scenario)


def test_caller_resends_with_the_same_identity() -> None:
    """Guards against resends that the checks take for other requests."""

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


def test_schedule_is_seeded_and_surges() -> None:
    """Guards against loads that differ between runs or ignore a surge."""
    surge = Surge(start_s=10.0, end_s=20.0, factor=5.0)
    load = OrganisationLoad(name="a", key="", rate=50.0, routes=[], surges=[surge])
    times = schedule_calls(load, 30.0, Random(7))
    assert times == schedule_calls(load, 30.0, Random(7))
    inside = sum(10.0 <= at_s < 20.0 for at_s in times)
    assert inside == pytest.approx(2500, rel=0.1)
    assert len(times) - inside == pytest.approx(1000, rel=0.15)


def test_uuid7_carries_its_time() -> None:
    """Guards against keys whose time a claim owner reads wrongly."""
    key = make_uuid7(1_700_000_000.5, Random(1))
    assert int(key.replace("-", "")[:12], 16) == 1_700_000_000_500
    assert (key[14], key[19] in "89ab") == ("7", True)


def test_summary_takes_the_last_attempt() -> None:
    """Guards against counting a resent request twice."""
    refused = make_result(status=503, outcome="not-run", reason="shed")
    over = make_result(test_id="b", status=429, outcome="not-run", reason="over-rate")
    summary = summarise([refused, make_result(attempt="1"), over], 2.0)
    assert (summary.requests, summary.attempts, summary.succeeded) == (2, 3, 1)
    assert summary.outcomes == {"200": 1, "429 over-rate": 1}
    assert summary.organisations["cart-1"].over_rate == 1


@pytest.mark.parametrize(
    ("fleet", "servers"), [(KETTERING, 14), (CANCELLI, 13), (SMALL_FLEET, 5)]
)
def test_fleets_call_only_routes_they_declare(fleet: Any, servers: int) -> None:
    """Guards against a described fleet whose deeper calls have no route."""
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


def test_reads_violations_from_metrics_and_logs(tmp_path: Path) -> None:
    """Guards against a violated invariant that a killed node takes along."""
    text = '# TYPE v counter\nv_total{invariant="one-owner"} 2.0\n'
    assert parse_metrics(text) == {"v_total{invariant=one-owner}": 2.0}
    log = tmp_path / "node.log"
    log.write_text("I1 a:1] event=invariant-violated node=n invariant=one-owner\nx\n")
    assert count_logged_violations(log) == {"one-owner": 1}


def test_reserved_port_can_be_bound_and_refuses_until_then() -> None:
    """Guards against a restarted process that finds its address taken."""

    async def scenario() -> None:
        ports = PortReservation()
        address = ports.reserve()
        with pytest.raises(RequestNotSent):
            await Connections(address).request("GET", "/")
        for _ in range(2):
            async with serve(listen=address):
                pass
        ports.close()

    run_async(scenario)


def test_server_description_defaults_are_usable() -> None:
    """Guards against settings files that must spell out every field."""
    server = {"name": "a", "service": "a", "listen": "127.0.0.1:1"}
    settings = BackendSettings.from_config({"servers": [server]}, "backend.toml")
    assert settings.servers == [ServerDescription(**server)]
