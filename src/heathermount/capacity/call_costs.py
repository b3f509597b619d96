"""Measures and profiles the CPU time of a call at the entry and executing nodes."""

import os
import pstats
import signal
import time
from pathlib import Path
from random import Random
from typing import Any, Final

import anyio
from httpcore._synchronization import current_async_library

from heathermount.capacity.measured_fleet import MeasuredFleet
from heathermount.capacity.measurements import Recorder
from heathermount.measurement.latency import LATENCY_FLEET, measure_latency
from heathermount.standins.http_client import ConnectionPool

__all__ = [
    "CALL_RATES_PER_S",
    "measure_added_latency",
    "measure_calls",
    "measure_profile",
]

CALL_RATES_PER_S: Final = (50.0, 100.0, 200.0, 400.0)
WINDOW_S: Final = 8.0
LATENCY_RUN_S: Final = 20.0
PROFILE_CALLS_PER_S: Final = 150.0
PROFILE_RUN_S: Final = 10.0
LOOKUP_COUNT: Final = 300
WARM_UP_S: Final = 2.0
# Component of the profile and fragments of its functions' file paths or names. The
# first match counts.
PROFILE_COMPONENTS: Final = (
    ("uvicorn", ("uvicorn", "httptools")),
    ("httpcore", ("httpcore", "h11")),
    ("anyio", ("anyio", "sniffio")),
    ("asyncio", ("asyncio", "contextlib")),
    ("msgspec", ("msgspec",)),
    ("frames", ("heathermount/wire",)),
    ("admission", ("heathermount/admission",)),
    ("routing", ("heathermount/routing",)),
    ("quota", ("heathermount/quota",)),
    ("metrics", ("hdrh", "prometheus", "node/metrics")),
    ("node", ("heathermount/node", "heathermount/entry", "heathermount/execution")),
    ("config", ("heathermount/config",)),
    ("events and logs", ("heathermount/events", "absl", "logging")),
)


async def measure_calls(recorder: Recorder, seed: int) -> None:
    """Measure both nodes at several rates of calls from the front to the back."""
    random = Random(seed)
    async with MeasuredFleet(LATENCY_FLEET, seed) as fleet:
        await send_calls(fleet, CALL_RATES_PER_S[0], WARM_UP_S, random)
        for rate in CALL_RATES_PER_S:
            recorder.start_point()
            before = {name: fleet.read_usage(name) for name in fleet.members}
            started = time.monotonic()
            answered, failed = await send_calls(fleet, rate, WINDOW_S, random)
            seconds = time.monotonic() - started
            result = {"calls_per_s": answered / seconds, "failed": float(failed)}
            for role, name in (("entry", "front-1"), ("executing", "back-1")):
                usage = fleet.read_usage(name)
                cpu_s = usage.cpu_s - before[name].cpu_s
                result[f"{role}_cpu_share"] = cpu_s / seconds
                result[f"{role}_memory_bytes"] = usage.memory_bytes
                written_bytes = usage.written_bytes - before[name].written_bytes
                result[f"{role}_written_bytes_per_s"] = written_bytes / seconds
            recorder.add("calls", {"rate": rate}, result)


async def send_calls(
    fleet: MeasuredFleet, rate: float, seconds: float, random: Random
) -> tuple[int, int]:
    """Send calls in a Poisson process; return how many were answered and failed.

    The answered calls include the failed ones.
    """
    key = fleet.keys["shop-1"].encode()
    headers = [(b"authorization", b"Bearer " + key)]
    pool = ConnectionPool(fleet.members["front-1"].callers)
    answered = failed = 0

    async def call() -> None:
        nonlocal answered, failed
        answer = await pool.request("GET", "/back/far", headers)
        answered += 1
        failed += answer.status != 200

    async with anyio.create_task_group() as tasks:
        next_at = anyio.current_time()
        ends_at = next_at + seconds
        while next_at < ends_at:
            next_at += random.expovariate(rate)
            await anyio.sleep_until(next_at)
            tasks.start_soon(call)
    pool.close()
    return answered, failed


async def measure_added_latency(recorder: Recorder, seed: int) -> None:
    """Measure the latency that one and two nodes add to a call."""
    recorder.start_point()
    paths = await measure_latency(seed, LATENCY_RUN_S)
    direct = paths[0]
    for nodes, path in enumerate(paths):
        recorder.add(
            "latency",
            {"nodes": nodes},
            {
                "calls": path.calls,
                "failed": path.failed,
                "p50_ms": path.p50_ms,
                "p99_ms": path.p99_ms,
                "added_p50_ms": path.p50_ms - direct.p50_ms,
                "added_p99_ms": path.p99_ms - direct.p99_ms,
            },
        )


def measure_library_lookup(recorder: Recorder) -> None:
    """Measure how long httpcore takes to detect the asynchronous library in use.

    It does so for each new lock and shield, and each time tries to import a module
    that is not installed.
    """
    recorder.start_point()
    started = time.process_time()
    for _ in range(LOOKUP_COUNT):
        current_async_library()
    cpu_s = time.process_time() - started
    recorder.add(
        "library-lookup",
        {"calls": LOOKUP_COUNT},
        {"lookup_us": 1e6 * cpu_s / LOOKUP_COUNT},
    )


async def measure_profile(recorder: Recorder, seed: int) -> None:
    """Profile both nodes under load; times include the profiler's overhead."""
    measure_library_lookup(recorder)
    random = Random(seed)
    recorder.start_point()
    roles = (("entry", "front-1"), ("executing", "back-1"))
    async with MeasuredFleet(LATENCY_FLEET, seed, profile=True) as fleet:
        await send_calls(fleet, PROFILE_CALLS_PER_S, WARM_UP_S, random)
        for _, name in roles:
            os.kill(fleet.processes[name].pid, signal.SIGUSR1)
        calls, _ = await send_calls(fleet, PROFILE_CALLS_PER_S, PROFILE_RUN_S, random)
        for role, name in roles:
            await fleet.terminate(name)
            path = fleet.directory / f"{name}.profile"
            recorder.add(
                f"profile-{role}", {"calls": calls}, summarise_profile(path, calls)
            )


def summarise_profile(profile_file: Path, calls: int) -> dict[str, float]:
    """Return each component's CPU time per call, in microseconds."""
    stats: Any = pstats.Stats(str(profile_file))
    seconds_by_component: dict[str, float] = {}
    for function, (_, _, own_s, _, callers) in stats.stats.items():
        for component, seconds in attribute_own_time(function, own_s, callers):
            seconds_by_component[component] = (
                seconds_by_component.get(component, 0.0) + seconds
            )
    return {
        f"{component}_us": 1e6 * s / calls
        for component, s in sorted(seconds_by_component.items())
    }


def attribute_own_time(
    function: Any, own_s: float, callers: Any
) -> list[tuple[str, float]]:
    """Attribute a function's own time to its component.

    The time of built-in and other unknown functions goes to the components that call
    them.
    """
    component = find_component(function)
    if component or not callers:
        return [(component or "other", own_s)]
    return [
        (find_component(caller) or "other", timing[2])
        for caller, timing in callers.items()
    ]


def find_component(function: tuple[str, int, str]) -> str:
    file, _, name = function
    for component, fragments in PROFILE_COMPONENTS:
        if any(word in file or word in name for word in fragments):
            return component
    return ""
