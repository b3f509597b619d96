"""Latency that nodes add to a call, against a direct call to the same server."""

import time
from random import Random
from typing import Any, Final

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from heathermount.runner.fleet import Fleet
from heathermount.runner.topologies import (
    FleetDescription,
    FleetRoute,
    OrganisationDescription,
    ServiceDescription,
)
from heathermount.standins.http_client import ConnectionPool

__all__ = ["LATENCY_FLEET", "PathResult", "measure_latency"]

# Each node carries this many calls a second at the two-year size.
CALLS_PER_S: Final = 105.0
WARM_UP_S: Final = 2.0

# Two services of one server each: a call that enters at the front's node and
# goes to the front passes one node, one that goes to the back passes two.
LATENCY_FLEET: Final = FleetDescription(
    name="latency",
    failure_domains=("a",),
    services=(
        ServiceDescription(
            name="front",
            servers=1,
            slots=100,
            connections=200,
            routes=(
                FleetRoute(name="near", path="/front/near", open=True, mean_ms=0.0),
            ),
            cold_start_s=0.0,
        ),
        ServiceDescription(
            name="back",
            servers=1,
            slots=100,
            connections=200,
            routes=(FleetRoute(name="far", path="/back/far", open=True, mean_ms=0.0),),
            cold_start_s=0.0,
        ),
    ),
    organisations=(
        OrganisationDescription(name="shop-1", rate=50_000.0, burst=100_000.0),
    ),
    servers_per_process=1,
)


class PathResult(msgspec.Struct, kw_only=True):
    """Latency of one path, in milliseconds."""

    path: str
    calls: int
    failed: int
    p50_ms: float
    p99_ms: float


class Path:
    """One way to reach a server, and the latencies measured on it."""

    __slots__ = ("_connections", "_headers", "_histogram", "failed", "name", "target")

    def __init__(
        self, name: str, address: str, target: str, headers: list[tuple[bytes, bytes]]
    ) -> None:
        self.name = name
        self.target = target
        self.failed = 0
        self._headers = headers
        self._connections = ConnectionPool(address)
        self.reset()

    def reset(self) -> None:
        histogram: Any = HdrHistogram
        self._histogram = histogram(1, 10_000_000, 3)
        self.failed = 0

    async def call(self) -> None:
        started = time.perf_counter()
        answer = await self._connections.request("GET", self.target, self._headers)
        elapsed_us = (time.perf_counter() - started) * 1e6
        if answer.status != 200:
            self.failed += 1
        self._histogram.record_value(max(1, int(elapsed_us)))

    def result(self) -> PathResult:
        return PathResult(
            path=self.name,
            calls=self._histogram.get_total_count(),
            failed=self.failed,
            p50_ms=self._histogram.get_value_at_percentile(50) / 1000,
            p99_ms=self._histogram.get_value_at_percentile(99) / 1000,
        )


async def measure_latency(seed: int, seconds: float) -> list[PathResult]:
    """Measure the direct path, one node and two nodes, interleaved in one run."""
    async with Fleet(LATENCY_FLEET, seed) as fleet:
        random = Random(seed)
        paths = await open_paths(fleet, random)
        await run_paths(paths, seconds, random)
        return [path.result() for path in paths]


async def open_paths(fleet: Fleet, random: Random) -> list[Path]:
    """Return the three paths of a latency fleet, warmed up and with no results."""
    key = [(b"authorization", b"Bearer " + fleet.keys["shop-1"].encode())]
    entry = fleet.members["front-1"].callers
    paths = [
        Path("direct", fleet.members["back-1"].server, "/back/far", []),
        Path("one-node", entry, "/front/near", key),
        Path("two-nodes", entry, "/back/far", key),
    ]
    await run_paths(paths, WARM_UP_S, random)
    for path in paths:
        path.reset()
    return paths


async def run_paths(paths: list[Path], seconds: float, random: Random) -> None:
    """Call each path in a Poisson process; half of the rate for each node's path."""
    async with anyio.create_task_group() as tasks:
        ends_at = anyio.current_time() + seconds
        while anyio.current_time() < ends_at:
            await anyio.sleep(random.expovariate(CALLS_PER_S * 1.5))
            tasks.start_soon(random.choice(paths).call)
