"""Latency and cost of nodes: one run against a direct call to the same server."""

import os
from pathlib import Path
from random import Random
from typing import Final

import anyio
import msgspec

from heathermount.measurement.latency import (
    LATENCY_FLEET,
    PathResult,
    open_paths,
    run_paths,
)
from heathermount.runner.fleet import Fleet
from heathermount.runner.topologies import KETTERING

__all__ = ["CostResult", "NodeCost", "measure_costs"]

IDLE_S: Final = 5.0
KIB: Final = 1024


class NodeCost(msgspec.Struct, kw_only=True):
    """Cost of one node; shares are of one core."""

    node: str
    cpu_share: float
    memory_mib: float
    control_messages_per_s: float
    control_bytes_per_s: float


class CostResult(msgspec.Struct, kw_only=True):
    """Figures of one run; latencies in ms."""

    seed: int
    revision: str
    load_average: float
    seconds: float
    paths: list[PathResult]
    # Nodes of the measured paths under load, and of an idle fleet of 14 servers.
    nodes: list[NodeCost]
    idle_nodes: list[NodeCost]
    # Calls a second that one core's CPU time of the nodes serves on two nodes.
    calls_per_core_s: float


class Sample(msgspec.Struct):
    """Counters of one node at one time."""

    at_s: float
    cpu_s: float
    messages: float
    transferred: float


async def measure_costs(seed: int, seconds: float, revision: str) -> CostResult:
    """Measure an idle fleet, then the paths of the latency stand-in."""
    async with Fleet(KETTERING, seed) as fleet:
        idle_before = await sample_nodes(fleet)
        await anyio.sleep(IDLE_S)
        idle_nodes = describe_nodes(fleet, idle_before, await sample_nodes(fleet))
    async with Fleet(LATENCY_FLEET, seed) as fleet:
        random = Random(seed)
        paths = await open_paths(fleet, random)
        before = await sample_nodes(fleet)
        await run_paths(paths, seconds, random)
        after = await sample_nodes(fleet)
        results = [path.result() for path in paths]
        nodes = describe_nodes(fleet, before, after)
    cpu_s = sum(after[name].cpu_s - before[name].cpu_s for name in after)
    passages = results[1].calls + results[2].calls
    return CostResult(
        seed=seed,
        revision=revision,
        load_average=round(os.getloadavg()[0], 1),
        seconds=seconds,
        paths=results,
        nodes=nodes,
        idle_nodes=idle_nodes,
        calls_per_core_s=round(passages / cpu_s, 1) if cpu_s > 0 else 0.0,
    )


async def sample_nodes(fleet: Fleet) -> dict[str, Sample]:
    samples = {}
    for name in fleet.members:
        metrics = await fleet.read_metrics(name)
        samples[name] = Sample(
            anyio.current_time(),
            read_cpu_s(fleet.processes[name].pid),
            sum_traffic(metrics, "messages"),
            sum_traffic(metrics, "bytes"),
        )
    return samples


def sum_traffic(metrics: dict[str, float], unit: str) -> float:
    """Sum the control traffic counters of one unit, sent and received."""
    return sum(
        value
        for name, value in metrics.items()
        if name.startswith(f"heathermount_peer_{unit}_total") and "use=control" in name
    )


def read_cpu_s(pid: int | None) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mib(pid: int | None) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / KIB / KIB


def describe_nodes(
    fleet: Fleet, before: dict[str, Sample], after: dict[str, Sample]
) -> list[NodeCost]:
    """Return the cost of each node between two samples."""
    nodes = []
    for name, first in before.items():
        last = after[name]
        seconds = last.at_s - first.at_s
        node = NodeCost(
            node=name,
            cpu_share=round((last.cpu_s - first.cpu_s) / seconds, 4),
            memory_mib=round(read_memory_mib(fleet.processes[name].pid), 1),
            control_messages_per_s=round((last.messages - first.messages) / seconds, 1),
            control_bytes_per_s=round(
                (last.transferred - first.transferred) / seconds, 1
            ),
        )
        nodes.append(node)
    return nodes
