"""Measures CPU time and memory of idle nodes, by number of declared services."""

import time
from typing import Any, Final

import anyio

from heathermount.capacity.measured_fleet import MeasuredFleet, make_group_fleet
from heathermount.capacity.measurements import Recorder

__all__ = ["DECLARED_SERVICE_COUNTS", "add_declared_services", "measure_services"]

DECLARED_SERVICE_COUNTS: Final = (30, 150, 300, 590)
ROUTES_PER_SERVICE: Final = 3
NODE_COUNT: Final = 4
SETTLING_S: Final = 4.0
WINDOW_S: Final = 8.0


async def measure_services(recorder: Recorder, seed: int) -> None:
    """Declare increasing numbers of services that the four idle nodes do not serve."""
    async with MeasuredFleet(make_group_fleet([NODE_COUNT]), seed) as fleet:
        assert fleet.operator is not None
        for service_count in DECLARED_SERVICE_COUNTS:
            recorder.start_point()
            declaration = add_declared_services(fleet.declaration, service_count - 1)
            await fleet.operator.apply(
                declaration, "capacity", f"{service_count} services"
            )
            await anyio.sleep(SETTLING_S)
            result = await measure_idle_nodes(fleet)
            recorder.add("declared-services", {"services": service_count}, result)


def add_declared_services(
    declaration: dict[str, Any], service_count: int
) -> dict[str, Any]:
    """Return the declaration with routes of services that no node serves."""
    added = [
        {
            "name": f"route-{number}-{route}",
            "service": f"service-{number}",
            "path": f"/service-{number}/route-{route}",
            "methods": ["GET"],
            "open": True,
        }
        for number in range(service_count)
        for route in range(ROUTES_PER_SERVICE)
    ]
    return declaration | {"routes": [*declaration["routes"], *added]}


async def measure_idle_nodes(fleet: MeasuredFleet) -> dict[str, float]:
    before = {name: fleet.read_usage(name) for name in fleet.members}
    started = time.monotonic()
    await anyio.sleep(WINDOW_S)
    seconds = time.monotonic() - started
    after = {name: fleet.read_usage(name) for name in fleet.members}
    cpu_shares = [(after[n].cpu_s - before[n].cpu_s) / seconds for n in after]
    memory_bytes = [usage.memory_bytes for usage in after.values()]
    return {
        "cpu_share": sum(cpu_shares) / len(cpu_shares),
        "cpu_share_max": max(cpu_shares),
        "memory_bytes": sum(memory_bytes) / len(memory_bytes),
    }
