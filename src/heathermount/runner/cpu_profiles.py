"""CPU profiles of the nodes under the load of the latency measurement."""

import os
import pstats
import sys
from collections import defaultdict
from pathlib import Path
from random import Random
from typing import Any, Final

import msgspec

from heathermount.measurement.latency import LATENCY_FLEET, MeasuredPath, run_paths
from heathermount.runner.fleet import Fleet
from heathermount.runner.processes import ManagedProcess

__all__ = ["ProfileResult", "measure_profile"]

# Directories of source files and the component they belong to; first match wins.
COMPONENT_DIRECTORIES: Final = (
    ("/httpcore/", "HTTP client (httpcore, h11)"),
    ("/h11/", "HTTP client (httpcore, h11)"),
    ("/uvicorn/", "HTTP server (uvicorn)"),
    ("/anyio/", "anyio and asyncio"),
    ("/asyncio/", "anyio and asyncio"),
    ("/sniffio/", "anyio and asyncio"),
    ("/heathermount/wire/", "links between nodes"),
    ("/heathermount/", "heathermount"),
)
OTHER_COMPONENT: Final = "built-in functions and others"
# Startup work, which is not part of any call.
IGNORED_CODE: Final = ("importlib", "built-in method builtins.compile", "/prometheus")


class ProfileResult(msgspec.Struct, kw_only=True):
    """Shares of the profiled time of each node, excluding startup."""

    seed: int
    revision: str
    load_average: float
    calls: int
    # By node and component: share of the time in functions themselves, without callees.
    shares: dict[str, dict[str, float]]
    # By node: share of the execution time that the call to the backend server takes.
    server_call: dict[str, float]


class ProfiledFleet(Fleet):
    """Runs the nodes, not the stand-ins, under cProfile."""

    __slots__ = ()

    def _add_process(self, name: str, module: str, flag: str) -> None:
        super()._add_process(name, module, flag)
        if name in self.members:
            output = str(self.profile_path(name))
            options = ["-m", "cProfile", "-o", output, "-m", module, flag]
            command = [sys.executable, *options]
            self.processes[name] = ManagedProcess(name, command, self.directory)

    def profile_path(self, name: str) -> Path:
        return self.directory / f"{name}.profile"


async def measure_profile(seed: int, duration_s: float, revision: str) -> ProfileResult:
    """Profile the nodes of the one-node and two-node paths."""
    async with ProfiledFleet(LATENCY_FLEET, seed) as fleet:
        auth_headers = [(b"authorization", b"Bearer " + fleet.keys["shop-1"].encode())]
        entry = fleet.members["front-1"].callers
        paths = [
            MeasuredPath("one-node", entry, "/front/near", auth_headers),
            MeasuredPath("two-nodes", entry, "/back/far", auth_headers),
        ]
        await run_paths(paths, duration_s, Random(seed))
        shares: dict[str, dict[str, float]] = {}
        server_call: dict[str, float] = {}
        for name in fleet.members:
            await fleet.terminate(name)
            stats: Any = pstats.Stats(str(fleet.profile_path(name)))
            shares[name] = compute_component_shares(stats.stats)
            server_call[name] = compute_server_call_share(stats.stats)
    return ProfileResult(
        seed=seed,
        revision=revision,
        load_average=round(os.getloadavg()[0], 1),
        calls=sum(path.summarise().calls for path in paths),
        shares=shares,
        server_call=server_call,
    )


def compute_component_shares(
    stats: dict[tuple[str, int, str], Any],
) -> dict[str, float]:
    """Return each component's share of the time in functions, without callees."""
    own_times_s: defaultdict[str, float] = defaultdict(float)
    for (file, _, function), entry in stats.items():
        location = f"{file} {function}"
        if any(name in location for name in IGNORED_CODE):
            continue
        # The event loop's run method includes the wait for events.
        if "uvloop" in location or "run_until_complete" in location:
            continue
        own_times_s[find_component(file)] += entry[2]
    total = sum(own_times_s.values())
    return {
        component: round(own_time_s / total, 4)
        for component, own_time_s in sorted(own_times_s.items())
    }


def find_component(file: str) -> str:
    for directory, component in COMPONENT_DIRECTORIES:
        if directory in file:
            return component
    return OTHER_COMPONENT


def compute_server_call_share(stats: dict[tuple[str, int, str], Any]) -> float:
    """Return the share of the execution time that the call to the server takes."""
    server_call_s = sum_cumulative_time(stats, "node/server.py", "call")
    execution_s = sum_cumulative_time(stats, "node/executor.py", "execute")
    return round(server_call_s / execution_s, 4) if execution_s else 0.0


def sum_cumulative_time(
    stats: dict[tuple[str, int, str], Any], file: str, function: str
) -> float:
    return sum(
        float(entry[3])
        for (path, _, name), entry in stats.items()
        if path.endswith(file) and name == function
    )
