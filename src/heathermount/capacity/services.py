"""Idle processor time and memory of nodes, by the services in the declaration."""

import time
from typing import Any, Final

import anyio

from heathermount.capacity.fleets import MeasuredFleet, describe_groups
from heathermount.capacity.records import Recorder

__all__ = ["DECLARED_SERVICES", "add_services", "measure_services"]

DECLARED_SERVICES: Final = (30, 150, 300, 590)
ROUTES_PER_SERVICE: Final = 3
NODES: Final = 4
SETTLE_S: Final = 4.0
WINDOW_S: Final = 8.0


async def measure_services(recorder: Recorder, seed: int) -> None:
    """Declare more and more services that four idle nodes do not serve."""
    async with MeasuredFleet(describe_groups([NODES]), seed) as fleet:
        assert fleet.operator is not None
        for services in DECLARED_SERVICES:
            recorder.begin()
            declaration = add_services(fleet.declaration, services - 1)
            await fleet.operator.apply(declaration, "capacity", f"{services} services")
            await anyio.sleep(SETTLE_S)
            result = await measure_window(fleet)
            recorder.add("declared-services", {"services": services}, result)


def add_services(declaration: dict[str, Any], services: int) -> dict[str, Any]:
    """Return the declaration with routes of services that no node serves."""
    added = [
        {
            "name": f"route-{number}-{route}",
            "service": f"service-{number}",
            "path": f"/service-{number}/route-{route}",
            "methods": ["GET"],
            "open": True,
        }
        for number in range(services)
        for route in range(ROUTES_PER_SERVICE)
    ]
    return declaration | {"routes": [*declaration["routes"], *added]}


async def measure_window(fleet: MeasuredFleet) -> dict[str, float]:
    before = {name: fleet.usage(name) for name in fleet.members}
    started = time.monotonic()
    await anyio.sleep(WINDOW_S)
    seconds = time.monotonic() - started
    after = {name: fleet.usage(name) for name in fleet.members}
    shares = [(after[n].cpu_s - before[n].cpu_s) / seconds for n in after]
    memory = [usage.memory_bytes for usage in after.values()]
    return {
        "cpu_share": sum(shares) / len(shares),
        "cpu_share_max": max(shares),
        "memory_bytes": sum(memory) / len(memory),
    }
