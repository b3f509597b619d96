"""Measures control overhead of idle nodes by group size, and the operators' tool."""

import time
from collections.abc import Sequence
from typing import Any, Final

import anyio
import msgspec

from heathermount.capacity.declared_service_costs import add_declared_services
from heathermount.capacity.measured_fleet import MeasuredFleet, make_group_fleet
from heathermount.capacity.measurements import ProcessUsage, Recorder
from heathermount.cli.actions import FleetAccess, Node, find_nodes, read_states
from heathermount.runner.fleet import SECRET, Member
from heathermount.standins.http_client import ConnectionPool
from heathermount.store.etcd import EtcdStore

__all__ = [
    "GROUP_SIZES",
    "SHORT_LEASE_DURATION_S",
    "measure_control",
    "measure_ownership",
]

# 60 nodes in total, all running at the same time.
GROUP_SIZES: Final = (4, 8, 16, 32)
ADDED_SERVICE_COUNT: Final = 590
# Store calls are counted with a short ownership lease, so that the measurement window
# covers several renewals. The page converts the counts to leases of 120 s.
OWNERSHIP_GROUP_SIZES: Final = (4, 8, 16)
SHORT_LEASE_DURATION_S: Final = 12.0
SETTLING_S: Final = 6.0
WINDOW_S: Final = 24.0
CHANGE_COUNT: Final = 3
TOOL_NODE_COUNTS: Final = (8, 16, 32, 60)
STORE_KEY_PREFIX: Final = "/heathermount"

NodeReading = tuple[ProcessUsage, dict[str, float]]


async def measure_control(recorder: Recorder, seed: int) -> None:
    """Measure idle nodes, the tool, changes and a store outage, in turn, on one fleet.

    The declaration has all services of the two-year size. Its document is therefore as
    large as at that size, and these nodes own no quota partition, like most nodes then.
    """
    fleet = MeasuredFleet(make_group_fleet(GROUP_SIZES), seed)
    fleet.declaration = add_declared_services(fleet.declaration, ADDED_SERVICE_COUNT)
    async with fleet:
        await anyio.sleep(SETTLING_S)
        await measure_idle_groups(recorder, fleet, "control-group", GROUP_SIZES)
        access = FleetAccess(
            EtcdStore(fleet.store_address, STORE_KEY_PREFIX, 2.0), SECRET.encode()
        )
        await measure_tool_calls(recorder, access)
        await measure_change_spread(recorder, fleet, access)
        await measure_store_outage(recorder, fleet)


async def measure_ownership(recorder: Recorder, seed: int) -> None:
    """Measure the store calls of groups with a short ownership lease."""
    overrides: dict[str, dict[str, Any]] = {
        "timings": {"owner_term_s": SHORT_LEASE_DURATION_S}
    }
    recorder.start_point()
    started = time.monotonic()
    fleet = MeasuredFleet(make_group_fleet(OWNERSHIP_GROUP_SIZES), seed, overrides)
    async with fleet:
        recorder.add(
            "fleet-start",
            {"nodes": len(fleet.members)},
            {"ready_s": time.monotonic() - started} | await read_store_counters(fleet),
        )
        await anyio.sleep(SETTLING_S)
        await measure_idle_groups(
            recorder, fleet, "ownership-group", OWNERSHIP_GROUP_SIZES
        )


async def read_nodes(fleet: MeasuredFleet) -> dict[str, NodeReading]:
    return {
        name: (fleet.read_usage(name), await fleet.read_metrics(name))
        for name in fleet.members
    }


async def read_store_counters(fleet: MeasuredFleet) -> dict[str, float]:
    """Return the calls that the store stand-in has counted, by kind."""
    pool = ConnectionPool(fleet.store_address)
    try:
        answer = await pool.request("GET", "/counters", [], b"")
    finally:
        pool.close()
    return parse_store_counters(answer.body)


def parse_store_counters(body: bytes) -> dict[str, float]:
    counters = msgspec.json.decode(body, type=dict[str, float])
    return {f"store_{kind}": count for kind, count in counters.items()}


async def measure_idle_groups(
    recorder: Recorder, fleet: MeasuredFleet, experiment: str, sizes: Sequence[int]
) -> None:
    recorder.start_point()
    before = await read_nodes(fleet)
    started = time.monotonic()
    await anyio.sleep(WINDOW_S)
    # Reading the metrics costs the nodes CPU time, which is counted as overhead.
    after = await read_nodes(fleet)
    seconds = time.monotonic() - started
    for size in sizes:
        members = [m for m in fleet.members.values() if m.service == f"unit{size}"]
        result = summarise_group(members, before, after, seconds)
        recorder.add(experiment, {"members": size}, result)


def summarise_group(
    members: list[Member],
    before: dict[str, NodeReading],
    after: dict[str, NodeReading],
    seconds: float,
) -> dict[str, float]:
    """Return rates per node, store calls per group, and memory per node."""
    count = len(members)

    def increase(metric: str) -> float:
        return sum(
            after[m.name][1].get(metric, 0.0) - before[m.name][1].get(metric, 0.0)
            for m in members
        )

    def usage_increase(field: str) -> float:
        sum_before, sum_after = (
            sum(float(getattr(readings[m.name][0], field)) for m in members)
            for readings in (before, after)
        )
        return sum_after - sum_before

    sent_metric = "heathermount_peer_{}_total{{direction=sent,use=control}}"
    store_calls = "heathermount_store_calls_total{{kind={}}}"
    memory = [after[m.name][0].memory_bytes for m in members]
    return {
        "cpu_share": usage_increase("cpu_s") / seconds / count,
        "messages_sent_per_s": increase(sent_metric.format("messages"))
        / seconds
        / count,
        "frame_bytes_sent_per_s": increase(sent_metric.format("bytes"))
        / seconds
        / count,
        "written_bytes_per_s": usage_increase("written_bytes") / seconds / count,
        "read_bytes_per_s": usage_increase("read_bytes") / seconds / count,
        "memory_bytes": sum(memory) / count,
        "memory_bytes_max": max(memory),
        "group_store_reads_per_s": increase(store_calls.format("get")) / seconds,
        "group_store_writes_per_s": increase(store_calls.format("commit")) / seconds,
        "owned_partitions": sum(
            after[m.name][1].get("heathermount_owned_partitions", 0.0) for m in members
        ),
        "seconds": seconds,
    }


async def measure_tool_calls(recorder: Recorder, access: FleetAccess) -> None:
    """Measure the tool's control calls, one status request to each node."""
    nodes = await find_nodes(access)
    for node_count in TOOL_NODE_COUNTS:
        chosen_nodes = nodes[:node_count]
        recorder.start_point()
        cpu_before, started = time.process_time(), time.monotonic()
        await read_states(access, chosen_nodes)
        recorder.add(
            "tool-calls",
            {"nodes": len(chosen_nodes)},
            {
                "cpu_s": time.process_time() - cpu_before,
                "elapsed_s": time.monotonic() - started,
            },
        )


async def measure_change_spread(
    recorder: Recorder, fleet: MeasuredFleet, access: FleetAccess
) -> None:
    """Measure how long a pushed change takes to reach all nodes."""
    assert fleet.operator is not None
    nodes = await find_nodes(access)
    for _ in range(CHANGE_COUNT):
        recorder.start_point()
        started = time.monotonic()
        accepted = await fleet.operator.apply(
            raise_first_burst(fleet), "capacity", "change"
        )
        await wait_for_revision(access, nodes, accepted.revision)
        recorder.add(
            "change-spread",
            {"nodes": len(nodes)},
            {
                "accepted_s": accepted.accepted_at - started,
                "everywhere_s": time.monotonic() - accepted.accepted_at,
            },
        )


def raise_first_burst(fleet: MeasuredFleet) -> dict[str, Any]:
    """Raise the burst of the first exception and return the declaration."""
    fleet.declaration["exceptions"][0]["burst"] += 1.0
    return fleet.declaration


async def wait_for_revision(
    access: FleetAccess, nodes: list[Node], revision: int, timeout_s: float = 20.0
) -> None:
    with anyio.move_on_after(timeout_s):
        pending_nodes = nodes
        while pending_nodes:
            states = await read_states(access, pending_nodes)
            pending_nodes = [
                state.node
                for state in states
                if state.status is None or state.status.revision < revision
            ]


async def measure_store_outage(recorder: Recorder, fleet: MeasuredFleet) -> None:
    """Measure the rate of requested store reads, with the store up and then down."""
    for is_down in (False, True):
        recorder.start_point()
        await fleet.set_store_faults(down=is_down)
        await anyio.sleep(5.0)
        reads_before, started = await count_requested_reads(fleet), time.monotonic()
        await anyio.sleep(6.0)
        reads = await count_requested_reads(fleet) - reads_before
        recorder.add(
            "store-outage",
            {"nodes": len(fleet.members), "down": float(is_down)},
            {"reads_per_s": reads / (time.monotonic() - started)},
        )
    await fleet.set_store_faults(down=False)


async def count_requested_reads(fleet: MeasuredFleet) -> float:
    """Return how many store reads all nodes have requested, answered or not."""
    total = 0.0
    for name in fleet.members:
        metrics = await fleet.read_metrics(name)
        total += metrics.get("heathermount_store_calls_total{kind=get}", 0.0)
    return total
