"""Measures latency, cost and policy, and writes docs/measurements.md.

Run as `python -m heathermount.measurement.measure`; a full run takes about an hour.
`--only=page` renders the page from the existing data files.
"""

import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import msgspec
import uvloop
from absl import flags

from heathermount.measurement.node_costs import CostResult, measure_costs
from heathermount.measurement.page import write_page
from heathermount.measurement.policy_runs import append_record, run_policy
from heathermount.runner.cpu_profiles import ProfileResult, measure_profile
from heathermount.runner.fleet import FleetNotReady
from heathermount.runner.scenarios import SCENARIOS, VARIANTS, Scenario
from heathermount.runner.topologies import CANCELLI, KETTERING, FleetDescription
from heathermount.standins.commandline import end_on_termination, make_flag_values

__all__ = ["MeasureSettings", "main", "run", "run_measurements"]

# This file is src/heathermount/measurement/measure.py.
REPOSITORY_ROOT: Final = Path(__file__).resolve().parents[3]
LATENCY_RUN_S: Final = 20.0
QUICK_LATENCY_RUN_S: Final = 5.0
PROFILE_RUN_S: Final = 10.0
MEASUREMENT_PARTS: Final = ("latency", "profile", "policy", "page")
MEASURED_FLEETS: Final = (KETTERING, CANCELLI)
QUICK_SCENARIOS: Final = ("overload", "slow")
QUICK_VARIANTS: Final = ("none", "fixed", "all", "less fair_queueing")


class MeasureSettings(msgspec.Struct, kw_only=True):
    """What to measure; an empty tuple of names selects all."""

    seeds: int = 3
    quick: bool = False
    parts: tuple[str, ...] = MEASUREMENT_PARTS
    fleets: tuple[str, ...] = ()
    scenarios: tuple[str, ...] = ()
    variants: tuple[str, ...] = ()
    docs_directory: Path = REPOSITORY_ROOT / "docs"


def run_measurements(settings: MeasureSettings) -> None:
    """Run the selected measurements, append their results and render the page."""
    data_directory = settings.docs_directory / "measurements"
    revision = read_revision()
    seeds = range(1, 2 if settings.quick else settings.seeds + 1)
    if "latency" in settings.parts:
        for seed in seeds:
            seconds = QUICK_LATENCY_RUN_S if settings.quick else LATENCY_RUN_S
            result: CostResult = uvloop.run(measure_costs(seed, seconds, revision))
            append_record(data_directory / "latency.jsonl", result)
            print(msgspec.json.encode(result).decode(), flush=True)
    if "profile" in settings.parts:
        profile: ProfileResult = uvloop.run(measure_profile(1, PROFILE_RUN_S, revision))
        append_record(data_directory / "profile.jsonl", profile)
        print(msgspec.json.encode(profile).decode(), flush=True)
    if "policy" in settings.parts:
        measure_policy(settings, data_directory / "policy.jsonl", revision, seeds)
    if "page" in settings.parts:
        write_page(settings.docs_directory)


def measure_policy(
    settings: MeasureSettings, results_file: Path, revision: str, seeds: Sequence[int]
) -> None:
    """Run the selected variants in turn for each seed, fleet and scenario."""
    for seed in seeds:
        for fleet in MEASURED_FLEETS:
            if settings.fleets and fleet.name not in settings.fleets:
                continue
            for scenario in choose_scenarios(settings):
                for variant in choose_variants(settings):
                    measure_variant(
                        results_file, fleet, scenario, variant, seed, revision
                    )


def measure_variant(
    results_file: Path,
    fleet: FleetDescription,
    scenario: Scenario,
    variant: str,
    seed: int,
    revision: str,
) -> None:
    """Run a variant once and append its result; report a fleet that did not start."""
    try:
        result = uvloop.run(run_policy(fleet, scenario, variant, seed, revision))
    except FleetNotReady as error:
        print(f"{fleet.name} {scenario.name} {variant} {seed}: {error}", flush=True)
        return
    append_record(results_file, result)
    print(msgspec.json.encode(result).decode(), flush=True)


def choose_scenarios(settings: MeasureSettings) -> list[Scenario]:
    names = settings.scenarios or (QUICK_SCENARIOS if settings.quick else SCENARIOS)
    return [SCENARIOS[name] for name in names]


def choose_variants(settings: MeasureSettings) -> list[str]:
    return list(settings.variants or (QUICK_VARIANTS if settings.quick else VARIANTS))


def read_revision() -> str:
    """Return the short git revision, with "+" if src has uncommitted changes."""
    revision = run_git("rev-parse", "--short=7", "HEAD")
    changed = run_git("status", "--porcelain", "--", "src")
    return (revision or "unknown") + ("+" if changed else "")


def run_git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments],
        cwd=REPOSITORY_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip()


def main(arguments: list[str]) -> None:
    """Parse the flags and run the measurements."""
    values: Any = make_flag_values()
    defaults = MeasureSettings()
    flags.DEFINE_integer(
        "seeds", defaults.seeds, "Measure with seeds 1 to N.", flag_values=values
    )
    flags.DEFINE_bool(
        "quick",
        False,
        "Measure one seed with shorter and fewer runs.",
        flag_values=values,
    )
    flags.DEFINE_multi_enum(
        "only",
        MEASUREMENT_PARTS,
        MEASUREMENT_PARTS,
        "Parts to measure or render.",
        flag_values=values,
    )
    names = [fleet.name for fleet in MEASURED_FLEETS]
    flags.DEFINE_multi_enum(
        "fleet", [], names, "Fleets to measure; all by default.", flag_values=values
    )
    flags.DEFINE_multi_enum(
        "scenario",
        [],
        list(SCENARIOS),
        "Scenarios to run; all by default.",
        flag_values=values,
    )
    flags.DEFINE_multi_enum(
        "variant",
        [],
        list(VARIANTS),
        "Policy variants to run; all by default.",
        flag_values=values,
    )
    values(arguments)
    end_on_termination()
    run_measurements(
        MeasureSettings(
            seeds=values.seeds,
            quick=values.quick,
            parts=tuple(values.only),
            fleets=tuple(values.fleet),
            scenarios=tuple(values.scenario),
            variants=tuple(values.variant),
        )
    )


def run() -> None:
    """Run the command with the arguments of the process."""
    main(sys.argv)


if __name__ == "__main__":
    run()
