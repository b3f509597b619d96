"""Fleet soak: sends calls under random faults, then runs all checks.

Run as `python -m heathermount.soak.soak --seed=N --seconds=N`; prints one
JSON line and exits with 1 on any violation.
"""

import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import Final

import anyio
import msgspec
import uvloop
from absl import flags

from heathermount.clocks import SystemClock
from heathermount.events import format_event
from heathermount.runner.caller import Caller, CallerSettings, RetrySettings
from heathermount.runner.fleet import Fleet
from heathermount.runner.summaries import Summary, summarise
from heathermount.runner.topologies import CANCELLI, KETTERING, SMALL_FLEET
from heathermount.runner.workloads import make_loads, make_rate_limits
from heathermount.soak.checks import RunData, Violation, check_all, pick_first
from heathermount.soak.faults import FAULTS, OLDER_STORE_FAULT, SoakState, recover_fleet
from heathermount.standins.commandline import end_on_termination, make_flag_values
from heathermount.standins.records import CallResult, write_lines

__all__ = ["SoakReport", "SoakSettings", "main", "run", "run_soak"]

FLEETS: Final = {fleet.name: fleet for fleet in (KETTERING, CANCELLI, SMALL_FLEET)}

# Pause between the starts of two faults, so that several overlap at most times.
MIN_FAULT_PAUSE_S: Final = 0.5
MAX_FAULT_PAUSE_S: Final = 3.0

# Duration of the calls after the last fault, the pause before them, and the share
# of them that must succeed.
CALM_LOAD_S: Final = 4.0
SETTLE_S: Final = 6.0
MIN_RECOVERED_SHARE: Final = 0.9

REVISION_POLL_S: Final = 1.0


class SoakSettings(msgspec.Struct, kw_only=True):
    """Settings of a run; the load is `scale` times the rate of each organisation."""

    seed: int = 1
    seconds: float = 60.0
    fleet: str = "kettering"
    scale: float = 0.2
    # Whether faults include restoring older data of the store.
    older_store: bool = False
    # Directory for the timeline, results and records; empty: they are discarded.
    output: str = ""


class SoakReport(msgspec.Struct, kw_only=True):
    """Result of a run, with the first violations of each check."""

    seed: int
    seconds: float
    fleet: str
    faults: dict[str, int]
    summary: Summary
    runs: int
    recovered_share: float
    violation_counts: dict[str, int]
    violations: list[Violation]


async def run_soak(settings: SoakSettings) -> SoakReport:
    """Run the soak and return its report."""
    description = msgspec.structs.replace(FLEETS[settings.fleet], servers_per_process=1)
    clock = SystemClock()
    async with Fleet(description, settings.seed) as fleet:
        random = Random(settings.seed)
        state = SoakState(fleet, clock, random, settings.scale)
        faults: Counter[str] = Counter()
        revisions: dict[str, float] = {}
        main_load = Caller(make_main_load(fleet, settings), clock)
        async with anyio.create_task_group() as watchers:
            watchers.start_soon(watch_revisions, state, revisions)
            async with anyio.create_task_group() as group:
                group.start_soon(main_load.run)
                await inject_faults(state, settings, faults)
            await recover_fleet(state)
            await anyio.sleep(SETTLE_S)
            calm = await run_calm_calls(fleet, settings)
            watchers.cancel_scope.cancel()
        results = [*main_load.results, *state.results, *calm]
        report = await make_report(state, settings, results, calm, faults)
        if settings.output:
            await write_output(fleet, results, settings)
    return report


def make_main_load(fleet: Fleet, settings: SoakSettings) -> CallerSettings:
    return CallerSettings(
        seed=settings.seed,
        run_name="main",
        duration_s=settings.seconds,
        timeout_s=4.0,
        entries=fleet.entry_addresses(),
        organisations=make_loads(fleet.description, fleet.keys, settings.scale),
        retries=RetrySettings(limit=2, delay_s=0.2),
    )


async def inject_faults(
    state: SoakState, settings: SoakSettings, counts: Counter[str]
) -> None:
    """Start random faults for the set duration, then wait until they have ended."""
    names = [
        name for name in FAULTS if name != OLDER_STORE_FAULT or settings.older_store
    ]
    ends_at = state.clock.monotonic() + settings.seconds
    async with anyio.create_task_group() as group:
        while state.clock.monotonic() < ends_at:
            await anyio.sleep(
                state.random.uniform(MIN_FAULT_PAUSE_S, MAX_FAULT_PAUSE_S)
            )
            name = state.random.choice(names)
            counts[name] += 1
            group.start_soon(FAULTS[name], state)


async def watch_revisions(state: SoakState, highest: dict[str, float]) -> None:
    """Record a violation if the configuration revision of a ready node decreases."""
    fleet = state.fleet
    while True:
        await anyio.sleep(REVISION_POLL_S)
        for name, process in fleet.processes.items():
            if name not in fleet.members or process.paused or not process.running:
                continue
            metrics = await fleet.read_metrics(name)
            revision = metrics.get("heathermount_configuration_revision")
            if revision is None or not metrics.get("heathermount_ready"):
                continue
            if revision < highest.get(name, 0.0):
                detail = f"from {highest[name]:g} to {revision:g}"
                state.violations.append(Violation("revision-reverted", name, detail))
            highest[name] = revision


async def run_calm_calls(fleet: Fleet, settings: SoakSettings) -> list[CallResult]:
    """Send calls to the fleet after all faults have ended."""
    loads = make_loads(fleet.description, fleet.keys, settings.scale)
    calm = CallerSettings(
        seed=settings.seed,
        run_name="calm",
        duration_s=CALM_LOAD_S,
        entries=fleet.entry_addresses(),
        organisations=loads,
    )
    return await Caller(calm, SystemClock()).run()


async def make_report(
    state: SoakState,
    settings: SoakSettings,
    results: list[CallResult],
    calm: list[CallResult],
    faults: Counter[str],
) -> SoakReport:
    fleet = state.fleet
    records = fleet.run_records()
    data = RunData(
        results=results,
        records=records,
        rate_limits=make_rate_limits(fleet.description),
        drains=state.drains,
        withdrawals=state.withdrawals,
        extra_attempts=fleet.description.extra_attempts,
    )
    violations = [*state.violations, *check_all(data)]
    for subject, count in (await fleet.violations()).items():
        violations.append(Violation("invariant", subject, f"violated {count} times"))
    recovered_share = sum(result.succeeded for result in calm) / max(1, len(calm))
    if recovered_share < MIN_RECOVERED_SHARE:
        detail = f"{recovered_share:.3f} of the calls after the faults succeeded"
        violations.append(Violation("not-recovered", "fleet", detail))
    return SoakReport(
        seed=settings.seed,
        seconds=settings.seconds,
        fleet=settings.fleet,
        faults=dict(sorted(faults.items())),
        summary=summarise(results, settings.seconds),
        runs=len(records),
        recovered_share=round(recovered_share, 4),
        violation_counts=Counter(violation.check for violation in violations),
        violations=pick_first(violations),
    )


async def write_output(
    fleet: Fleet, results: list[CallResult], settings: SoakSettings
) -> None:
    """Write the timeline, results, records and logs for the analysis of violations."""
    directory = anyio.Path(settings.output)
    await directory.mkdir(parents=True, exist_ok=True)
    lines = [
        f"{event.wall_us / 1_000_000:.6f} {format_event(event)}"
        for event in await fleet.timeline()
    ]
    await (directory / "timeline.log").write_text("\n".join(lines) + "\n")
    write_lines(Path(settings.output) / "results.jsonl", results)
    write_lines(Path(settings.output) / "records.jsonl", fleet.run_records())
    for process in fleet.processes.values():
        if process.log_path.exists():
            log = await anyio.Path(process.log_path).read_bytes()
            await (directory / process.log_path.name).write_bytes(log)


def main(arguments: list[str]) -> int:
    """Run the soak and print its report; return the exit code."""
    values = make_flag_values()
    defaults = SoakSettings()
    flags.DEFINE_integer("seed", defaults.seed, "Random seed.", flag_values=values)
    flags.DEFINE_float(
        "seconds",
        defaults.seconds,
        "Duration of the faults, in seconds.",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "fleet", defaults.fleet, sorted(FLEETS), "Fleet to run.", flag_values=values
    )
    flags.DEFINE_float(
        "scale",
        defaults.scale,
        "Load relative to the rates of the organisations.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "older_store",
        defaults.older_store,
        "Also restore older data of the store.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "output", "", "Directory for logs and records.", flag_values=values
    )
    values(arguments)
    end_on_termination()
    settings = SoakSettings(
        seed=values.seed,
        seconds=values.seconds,
        fleet=values.fleet,
        scale=values.scale,
        older_store=values.older_store,
        output=values.output,
    )
    report = uvloop.run(run_soak(settings))
    print(msgspec.json.encode(report).decode())
    return 1 if report.violations else 0


def run() -> None:
    """Entry point of the command."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
