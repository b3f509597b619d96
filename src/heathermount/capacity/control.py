"""Control overhead of idle nodes by group size, and the operators' tool."""

import time
from collections.abc import Sequence
from typing import Any, Final

import anyio
import msgspec

from heathermount.capacity.fleets import MeasuredFleet, describe_groups
from heathermount.capacity.records import ProcessUsage, Recorder
from heathermount.capacity.services import add_services
from heathermount.cli.actions import FleetAccess, Node, find_nodes, read_states
from heathermount.runner.fleet import SECRET, Member
from heathermount.standins.http_client import ConnectionPool
from heathermount.store.etcd import EtcdStore

__all__ = ["GROUP_SIZES", "OWNER_TERM_S", "measure_control", "measure_ownership"]

# 60 nodes at the same time.
GROUP_SIZES: Final = (4, 8, 16, 32)
SERVICES: Final = 590
# Store calls are counted with a short term, which lets the window hold several
# renewals; the page converts them to the term of 120 s.
OWNERSHIP_SIZES: Final = (4, 8, 16)
OWNER_TERM_S: Final = 12.0
SETTLE_S: Final = 6.0
WINDOW_S: Final = 24.0
CHANGES: Final = 3
TOOL_SIZES: Final = (8, 16, 32, 60)
PREFIX: Final = "/heathermount"

Reading = tuple[ProcessUsage, dict[str, float]]


async def measure_control(recorder: Recorder, seed: int) -> None:
    """Measure idle nodes, then the tool, changes and an outage, on one fleet.

    The declaration has all services of the two-year size, so that its document is
    as large and these nodes own, as most nodes then, no quota partition.
    """
    fleet = MeasuredFleet(describe_groups(GROUP_SIZES), seed)
    fleet.declaration = add_services(fleet.declaration, SERVICES)
    async with fleet:
        await anyio.sleep(SETTLE_S)
        await measure_idle(recorder, fleet, "control-group", GROUP_SIZES)
        access = FleetAccess(
            EtcdStore(fleet.store_address, PREFIX, 2.0), SECRET.encode()
        )
        await measure_tool(recorder, access)
        await measure_changes(recorder, fleet, access)
        await measure_outage(recorder, fleet)


async def measure_ownership(recorder: Recorder, seed: int) -> None:
    """Measure the store calls of groups with a short term of ownership."""
    overrides: dict[str, dict[str, Any]] = {"timings": {"owner_term_s": OWNER_TERM_S}}
    recorder.begin()
    started = time.monotonic()
    fleet = MeasuredFleet(describe_groups(OWNERSHIP_SIZES), seed, overrides)
    async with fleet:
        recorder.add(
            "fleet-start",
            {"nodes": len(fleet.members)},
            {"ready_s": time.monotonic() - started} | await read_store(fleet),
        )
        await anyio.sleep(SETTLE_S)
        await measure_idle(recorder, fleet, "ownership-group", OWNERSHIP_SIZES)


async def read_all(fleet: MeasuredFleet) -> dict[str, Reading]:
    return {
        name: (fleet.usage(name), await fleet.read_metrics(name))
        for name in fleet.members
    }


async def read_store(fleet: MeasuredFleet) -> dict[str, float]:
    """Return the calls that the store stand-in has counted, by kind."""
    connections = ConnectionPool(fleet.store_address)
    try:
        answer = await connections.request("GET", "/counters", [], b"")
    finally:
        connections.close()
    return parse_counters(answer.body)


def parse_counters(body: bytes) -> dict[str, float]:
    counters = msgspec.json.decode(body, type=dict[str, float])
    return {f"store_{kind}": count for kind, count in counters.items()}


async def measure_idle(
    recorder: Recorder, fleet: MeasuredFleet, experiment: str, sizes: Sequence[int]
) -> None:
    recorder.begin()
    before = await read_all(fleet)
    started = time.monotonic()
    await anyio.sleep(WINDOW_S)
    # The reading itself costs processor time, which is counted as overhead.
    after = await read_all(fleet)
    seconds = time.monotonic() - started
    for size in sizes:
        members = [m for m in fleet.members.values() if m.service == f"unit{size}"]
        result = summarise_group(members, before, after, seconds)
        recorder.add(experiment, {"members": size}, result)


def summarise_group(
    members: list[Member],
    before: dict[str, Reading],
    after: dict[str, Reading],
    seconds: float,
) -> dict[str, float]:
    """Return rates per node, store calls per group, and memory per node."""
    count = len(members)

    def total(sample: str) -> float:
        return sum(
            after[m.name][1].get(sample, 0.0) - before[m.name][1].get(sample, 0.0)
            for m in members
        )

    def usage(field: str) -> float:
        total_before, total_after = (
            sum(float(getattr(readings[m.name][0], field)) for m in members)
            for readings in (before, after)
        )
        return total_after - total_before

    sent = "heathermount_peer_{}_total{{direction=sent,use=control}}"
    calls = "heathermount_store_calls_total{{kind={}}}"
    memory = [after[m.name][0].memory_bytes for m in members]
    return {
        "cpu_share": usage("cpu_s") / seconds / count,
        "messages_sent_per_s": total(sent.format("messages")) / seconds / count,
        "frame_bytes_sent_per_s": total(sent.format("bytes")) / seconds / count,
        "written_bytes_per_s": usage("written_bytes") / seconds / count,
        "read_bytes_per_s": usage("read_bytes") / seconds / count,
        "memory_bytes": sum(memory) / count,
        "memory_bytes_max": max(memory),
        "group_store_reads_per_s": total(calls.format("get")) / seconds,
        "group_store_writes_per_s": total(calls.format("commit")) / seconds,
        "owned_partitions": sum(
            after[m.name][1].get("heathermount_owned_partitions", 0.0) for m in members
        ),
        "seconds": seconds,
    }


async def measure_tool(recorder: Recorder, access: FleetAccess) -> None:
    """Measure the tool's control calls: one status of each node."""
    nodes = await find_nodes(access)
    for size in TOOL_SIZES:
        chosen = nodes[:size]
        recorder.begin()
        cpu, wall = time.process_time(), time.monotonic()
        await read_states(access, chosen)
        recorder.add(
            "tool-calls",
            {"nodes": len(chosen)},
            {
                "cpu_s": time.process_time() - cpu,
                "elapsed_s": time.monotonic() - wall,
            },
        )


async def measure_changes(
    recorder: Recorder, fleet: MeasuredFleet, access: FleetAccess
) -> None:
    """Measure how long a pushed change takes to reach all nodes."""
    assert fleet.operator is not None
    nodes = await find_nodes(access)
    for _ in range(CHANGES):
        recorder.begin()
        started = time.monotonic()
        accepted = await fleet.operator.apply(
            change_declaration(fleet), "capacity", "change"
        )
        await wait_revision(access, nodes, accepted.revision)
        recorder.add(
            "change-spread",
            {"nodes": len(nodes)},
            {
                "accepted_s": accepted.accepted_at - started,
                "everywhere_s": time.monotonic() - accepted.accepted_at,
            },
        )


def change_declaration(fleet: MeasuredFleet) -> dict[str, Any]:
    """Raise the burst of the first organisation, and return the declaration."""
    fleet.declaration["exceptions"][0]["burst"] += 1.0
    return fleet.declaration


async def wait_revision(
    access: FleetAccess, nodes: list[Node], revision: int, timeout_s: float = 20.0
) -> None:
    with anyio.move_on_after(timeout_s):
        waiting = nodes
        while waiting:
            states = await read_states(access, waiting)
            waiting = [
                state.node
                for state in states
                if state.status is None or state.status.revision < revision
            ]


async def measure_outage(recorder: Recorder, fleet: MeasuredFleet) -> None:
    """Count the store's calls for each second while it refuses all of them."""
    for refuses in (False, True):
        recorder.begin()
        await fleet.set_store_faults(down=refuses)
        await anyio.sleep(5.0)
        before, started = await read_asked(fleet), time.monotonic()
        await anyio.sleep(6.0)
        asked = await read_asked(fleet) - before
        recorder.add(
            "store-outage",
            {"nodes": len(fleet.members), "down": float(refuses)},
            {"reads_per_s": asked / (time.monotonic() - started)},
        )
    await fleet.set_store_faults(down=False)


async def read_asked(fleet: MeasuredFleet) -> float:
    """Return the reads that all nodes have asked for, answered or not."""
    total = 0.0
    for name in fleet.members:
        metrics = await fleet.read_metrics(name)
        total += metrics.get("heathermount_store_calls_total{kind=get}", 0.0)
    return total
