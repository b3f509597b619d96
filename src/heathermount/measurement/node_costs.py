"""Measures the latency and the resources that nodes add to a direct call."""

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

IDLE_WINDOW_S: Final = 5.0
BYTES_PER_KIB: Final = 1024


class NodeCost(msgspec.Struct, kw_only=True):
    """Resource use of one node; CPU shares are of one core."""

    node: str
    cpu_share: float
    memory_mib: float
    control_messages_per_s: float
    control_bytes_per_s: float


class CostResult(msgspec.Struct, kw_only=True):
    """Results of one run."""

    seed: int
    revision: str
    load_average: float
    seconds: float
    paths: list[PathResult]
    # Nodes under the load of the measured paths, and of an idle fleet of 14 servers.
    nodes: list[NodeCost]
    idle_nodes: list[NodeCost]
    # Calls over one or two nodes per second of both nodes' CPU time.
    calls_per_core_s: float


class NodeSample(msgspec.Struct):
    """Counters of one node at one point in time."""

    sampled_at_s: float
    total_cpu_s: float
    control_messages: float
    control_bytes: float


async def measure_costs(seed: int, seconds: float, revision: str) -> CostResult:
    """Measure an idle fleet, then the latency fleet under load."""
    async with Fleet(KETTERING, seed) as fleet:
        idle_before = await sample_nodes(fleet)
        await anyio.sleep(IDLE_WINDOW_S)
        idle_nodes = compute_node_costs(fleet, idle_before, await sample_nodes(fleet))
    async with Fleet(LATENCY_FLEET, seed) as fleet:
        random = Random(seed)
        paths = await open_paths(fleet, random)
        samples_before = await sample_nodes(fleet)
        await run_paths(paths, seconds, random)
        samples_after = await sample_nodes(fleet)
        path_results = [path.summarise() for path in paths]
        loaded_nodes = compute_node_costs(fleet, samples_before, samples_after)
    cpu_s = sum(
        samples_after[name].total_cpu_s - samples_before[name].total_cpu_s
        for name in samples_after
    )
    node_calls = path_results[1].calls + path_results[2].calls
    return CostResult(
        seed=seed,
        revision=revision,
        load_average=round(os.getloadavg()[0], 1),
        seconds=seconds,
        paths=path_results,
        nodes=loaded_nodes,
        idle_nodes=idle_nodes,
        calls_per_core_s=round(node_calls / cpu_s, 1) if cpu_s > 0 else 0.0,
    )


async def sample_nodes(fleet: Fleet) -> dict[str, NodeSample]:
    samples = {}
    for name in fleet.members:
        metrics = await fleet.read_metrics(name)
        samples[name] = NodeSample(
            anyio.current_time(),
            read_cpu_s(fleet.processes[name].pid),
            sum_control_traffic(metrics, "messages"),
            sum_control_traffic(metrics, "bytes"),
        )
    return samples


def sum_control_traffic(metrics: dict[str, float], unit: str) -> float:
    """Sum control traffic, sent and received, in "messages" or "bytes"."""
    return sum(
        value
        for name, value in metrics.items()
        if name.startswith(f"heathermount_peer_{unit}_total") and "use=control" in name
    )


def read_cpu_s(pid: int | None) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mib(pid: int | None) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_KIB / BYTES_PER_KIB


def compute_node_costs(
    fleet: Fleet,
    samples_before: dict[str, NodeSample],
    samples_after: dict[str, NodeSample],
) -> list[NodeCost]:
    """Return the cost of each node between two samples."""
    costs = []
    for name, earlier in samples_before.items():
        later = samples_after[name]
        elapsed_s = later.sampled_at_s - earlier.sampled_at_s
        cost = NodeCost(
            node=name,
            cpu_share=round((later.total_cpu_s - earlier.total_cpu_s) / elapsed_s, 4),
            memory_mib=round(read_memory_mib(fleet.processes[name].pid), 1),
            control_messages_per_s=round(
                (later.control_messages - earlier.control_messages) / elapsed_s, 1
            ),
            control_bytes_per_s=round(
                (later.control_bytes - earlier.control_bytes) / elapsed_s, 1
            ),
        )
        costs.append(cost)
    return costs
