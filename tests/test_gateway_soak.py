"""Tests of the gateway soak: its checks, its proxy, and a short seeded run."""

import asyncio
import signal
from pathlib import Path
from random import Random
from typing import Any

import pytest

from builders_gateway import run_async, wait_for
from heathermount.soak.gateway import GatewaySoakSettings, run_gateway_soak
from heathermount.soak.gateway_checks import (
    ClientResult,
    check_gateway_run,
    find_runs_over_limit,
)
from heathermount.soak.instances import Instance, RequestRun, StatedLimit
from heathermount.soak.proxy import LoopbackProxy, NetworkFault
from heathermount.standins.platform_store import PlatformStoreStandIn


def make_result(**fields: Any) -> ClientResult:
    values: dict[str, Any] = {
        "request_id": "r-1",
        "key": "k-1",
        "idempotent": False,
        "node": "n-1",
        "sent_at": 10.0,
        "ended_at": 10.1,
        "status": 200,
    } | fields
    return ClientResult(**values)


@pytest.mark.parametrize(
    ("fields", "runs", "check"),
    [
        ({}, 1, None),
        ({}, 2, "ran-twice"),
        ({"idempotent": True}, 2, None),
        ({"status": 503}, 1, "false-refusal"),
        ({"status": 429}, 0, None),
        ({"status": 502}, 1, None),
        ({"whole": False}, 1, "mixed-answer"),
        ({"status": 401}, 0, "denied"),
        ({"status": 401, "entitled": False}, 0, None),
        ({"key": "k-old", "sent_at": 6.9}, 1, None),
        ({"key": "k-old"}, 1, "withdrawn-key-used"),
        ({"ended_at": 14.0, "status": None}, 0, "no-answer"),
        ({"ended_at": 14.0, "status": None, "undisturbed": False}, 0, None),
    ],
)
def test_finds_violations_of_one_request(
    fields: dict[str, Any], runs: int, check: str | None
) -> None:
    """Guards against a soak that misses violations or reports correct behaviour."""
    request_runs = [RequestRun("r-1", "o-1", "i-1", 10.05) for _ in range(runs)]
    found = check_gateway_run(
        [make_result(**fields)], request_runs, {"k-old": 2.0}, [], [], 3.5
    )
    assert [violation.check for violation in found] == ([check] if check else [])


def test_finds_runs_without_request_and_after_a_drain() -> None:
    """Guards against missing runs at drained servers and runs that nobody requested."""
    request_runs = [
        RequestRun("r-1", "o-1", "i-1", 10.05),
        RequestRun("r-2", "o-1", "i-2", 10.0),
    ]
    found = check_gateway_run(
        [make_result()], request_runs, {}, [("i-1", 8.0)], [], 3.5
    )
    assert {(violation.check, violation.subject) for violation in found} == {
        ("unasked", "r-2"),
        ("late-at-leaving-server", "i-1"),
    }


@pytest.mark.parametrize(
    ("rate", "started_at", "violations"),
    [(1.0, 0.0, ["over-stated-limit"]), (2.5, 0.0, []), (1.0, 8.0, [])],
    ids=["over", "within", "before the limit binds"],
)
def test_finds_runs_over_a_stated_limit(
    rate: float, started_at: float, violations: list[str]
) -> None:
    """Guards against a soak that misses servers that get more than they state."""
    runs = {
        str(i): [RequestRun(str(i), "o-1", "i-1", 10.0 + i / 10)] for i in range(20)
    }
    limits = [StatedLimit("i-1", rate, started_at, 20.0)]
    found = find_runs_over_limit(runs, limits)
    assert [violation.check for violation in found] == violations


def test_proxy_withholds_bytes_and_resets_connections() -> None:
    """Guards against network faults that the soak counts but does not inject."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def check() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = LoopbackProxy(f"{host}:{port}")
        await proxy.start()
        host, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for fault in (NetworkFault.SILENT, NetworkFault.ONE_WAY):
            proxy.set_fault(fault)
            writer.write(b"ping")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await reader.read(100)
            proxy.set_fault(NetworkFault.NONE)
            assert await reader.read(100) == b"ping"
        proxy.set_fault(NetworkFault.RESET)
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        writer.close()
        await proxy.stop()
        server.close()

    run_async(check)


def ignores_sighup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "SigIgn":
            return bool(int(value, 16) & 1 << (signal.SIGHUP - 1))
    return False


def test_sighup_does_not_end_a_starting_node(tmp_path: Path) -> None:
    """Guards against a SIGHUP that kills a node before its handler is installed.

    Found by the soak with seed 102, in a node that had been killed and restarted.
    """

    async def check() -> None:
        store = PlatformStoreStandIn()
        await store.start()
        instance = Instance("n-0", "pantry", store, tmp_path, Random(1))
        await instance.store_proxy.start()
        instance.start_node()
        log = tmp_path / "n-0.log"
        await wait_for(lambda: ignores_sighup(instance.pid))
        while b"event=node-started" not in log.read_bytes():
            instance.reload_settings()
            await asyncio.sleep(0.01)
        instance.check_unexpected_exit()
        assert instance.problems == []
        await instance.close()
        await store.stop()

    run_async(check)


def test_short_soak_reports_no_violations() -> None:
    """Guards against violated guarantees under overlapping faults."""
    report = run_gateway_soak(GatewaySoakSettings(seed=1, seconds=8.0, nodes=4))
    assert report.violations == []
    assert report.requests > 100 and sum(report.faults.values()) >= 3
