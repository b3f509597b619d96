"""Runs fleets for the capacity measurements and reads their resource use."""

import sys
from collections.abc import Iterable
from typing import Any, Final

from heathermount.capacity.measurements import ProcessUsage, read_process_usage
from heathermount.runner.fleet import Fleet
from heathermount.runner.processes import ManagedProcess
from heathermount.runner.topologies import (
    FleetDescription,
    FleetRoute,
    OrganisationDescription,
    ServiceDescription,
)

__all__ = ["MeasuredFleet", "make_group_fleet", "make_profile_command"]

READY_TIMEOUT_S: Final = 120.0
FAILURE_DOMAINS: Final = ("a", "b", "c", "d")

# Profiles CPU time from SIGUSR1 to the end of the process, so that start-up is left
# out.
PROFILE_SCRIPT: Final = """
import cProfile, runpy, signal, sys, time
output, module = sys.argv[1:3]
sys.argv = [module, *sys.argv[3:]]
profile = cProfile.Profile(time.process_time)
signal.signal(signal.SIGUSR1, lambda *_: profile.enable())
try:
    runpy.run_module(module, run_name="__main__", alter_sys=True)
finally:
    profile.disable()
    profile.dump_stats(output)
"""


class MeasuredFleet(Fleet):
    """A fleet that reports the resource use of its processes.

    With `profile`, the nodes run under a CPU time profiler.
    """

    __slots__ = ("is_profiled",)

    def __init__(
        self,
        description: FleetDescription,
        seed: int,
        overrides: dict[str, dict[str, Any]] | None = None,
        profile: bool = False,
    ) -> None:
        super().__init__(description, seed, overrides)
        self.is_profiled = profile

    async def wait_ready(
        self, names: Iterable[str], timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait longer than in other runs, because up to 60 nodes start together."""
        await super().wait_ready(names, timeout_s)

    def read_usage(self, name: str) -> ProcessUsage:
        return read_process_usage(self.processes[name].pid)

    def _add_process(self, name: str, module: str, flag: str) -> None:
        super()._add_process(name, module, flag)
        if self.is_profiled and name in self.members:
            command = make_profile_command(self, name, module, flag)
            self.processes[name] = ManagedProcess(name, command, self.directory)


def make_profile_command(fleet: Fleet, name: str, module: str, flag: str) -> list[str]:
    output = str(fleet.directory / f"{name}.profile")
    return [sys.executable, "-c", PROFILE_SCRIPT, output, module, flag]


def make_group_fleet(sizes: Iterable[int]) -> FleetDescription:
    """Return an idle fleet with one service for each group size.

    With these names and 590 declared services, no node of these services may own a
    quota partition, like the nodes of most services of a large fleet.
    """
    services = tuple(
        ServiceDescription(
            name=f"unit{size}",
            servers=size,
            slots=50,
            connections=100,
            routes=(
                FleetRoute(name=f"read{size}", path=f"/unit{size}/read", open=True),
                FleetRoute(
                    name=f"write{size}", path=f"/unit{size}/write", methods=("POST",)
                ),
            ),
            cold_start_s=0.0,
        )
        for size in sizes
    )
    return FleetDescription(
        name="groups",
        failure_domains=FAILURE_DOMAINS,
        services=services,
        organisations=tuple(
            OrganisationDescription(name=f"shop-{n}", rate=100.0, burst=200.0)
            for n in range(8)
        ),
        servers_per_process=16,
    )
