"""Measures calls over nodes and, for comparison, directly to the same server."""

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

# Calls/s of each node at the fleet size expected in two years.
NODE_CALLS_PER_S: Final = 105.0
WARM_UP_S: Final = 2.0

# Two services with one server each. All calls over nodes enter at the front server's
# node. A call to the front service passes that node only, a call to the back service
# passes both nodes.
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


class MeasuredPath:
    """One way to reach a server, with a histogram of its call latencies."""

    __slots__ = (
        "_headers",
        "_histogram",
        "_pool",
        "failed_calls",
        "name",
        "target",
    )

    def __init__(
        self, name: str, address: str, target: str, headers: list[tuple[bytes, bytes]]
    ) -> None:
        self.name = name
        self.target = target
        self.failed_calls = 0
        self._headers = headers
        self._pool = ConnectionPool(address)
        self.reset()

    def reset(self) -> None:
        histogram: Any = HdrHistogram
        self._histogram = histogram(1, 10_000_000, 3)
        self.failed_calls = 0

    async def call(self) -> None:
        started = time.perf_counter()
        answer = await self._pool.request("GET", self.target, self._headers)
        elapsed_us = (time.perf_counter() - started) * 1e6
        if answer.status != 200:
            self.failed_calls += 1
        self._histogram.record_value(max(1, int(elapsed_us)))

    def summarise(self) -> PathResult:
        return PathResult(
            path=self.name,
            calls=self._histogram.get_total_count(),
            failed=self.failed_calls,
            p50_ms=self._histogram.get_value_at_percentile(50) / 1000,
            p99_ms=self._histogram.get_value_at_percentile(99) / 1000,
        )


async def measure_latency(seed: int, seconds: float) -> list[PathResult]:
    """Measure direct, one-node and two-node calls, interleaved in one run."""
    async with Fleet(LATENCY_FLEET, seed) as fleet:
        random = Random(seed)
        paths = await open_paths(fleet, random)
        await run_paths(paths, seconds, random)
        return [path.summarise() for path in paths]


async def open_paths(fleet: Fleet, random: Random) -> list[MeasuredPath]:
    """Return the three paths of a latency fleet, warmed up, with empty histograms."""
    headers = [(b"authorization", b"Bearer " + fleet.keys["shop-1"].encode())]
    entry_address = fleet.members["front-1"].callers
    paths = [
        MeasuredPath("direct", fleet.members["back-1"].server, "/back/far", []),
        MeasuredPath("one-node", entry_address, "/front/near", headers),
        MeasuredPath("two-nodes", entry_address, "/back/far", headers),
    ]
    await run_paths(paths, WARM_UP_S, random)
    for path in paths:
        path.reset()
    return paths


async def run_paths(paths: list[MeasuredPath], seconds: float, random: Random) -> None:
    """Send calls in a Poisson process, spread evenly over the paths.

    With three paths, the two that enter at the front server's node together send
    NODE_CALLS_PER_S.
    """
    async with anyio.create_task_group() as tasks:
        ends_at = anyio.current_time() + seconds
        while anyio.current_time() < ends_at:
            await anyio.sleep(random.expovariate(NODE_CALLS_PER_S * 1.5))
            tasks.start_soon(random.choice(paths).call)
