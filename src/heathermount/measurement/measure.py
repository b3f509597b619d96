"""Measures latency, cost and policy, and writes docs/measurements.md from the data.

Run as `python -m heathermount.measurement.measure`; a full run takes about an hour.
`--only=page` writes the page from the data that is there.
"""

import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import msgspec
import uvloop
from absl import flags

from heathermount.measurement.costs import CostResult, measure_costs
from heathermount.measurement.page import write_page
from heathermount.measurement.policy_runs import append_line, run_policy
from heathermount.runner.cpu_profiles import ProfileResult, measure_profile
from heathermount.runner.fleet import FleetNotReady
from heathermount.runner.scenarios import SCENARIOS, VARIANTS, Scenario
from heathermount.runner.topologies import CANCELLI, KETTERING, FleetDescription
from heathermount.standins.commandline import end_on_termination, make_flag_values

__all__ = ["MeasureSettings", "main", "run", "run_measurements"]

# src/heathermount/standins/measure.py
ROOT: Final = Path(__file__).resolve().parents[3]
LATENCY_S: Final = 20.0
QUICK_S: Final = 5.0
PROFILE_S: Final = 10.0
PARTS: Final = ("latency", "profile", "policy", "page")
FLEETS: Final = (KETTERING, CANCELLI)
QUICK_SCENARIOS: Final = ("overload", "slow")
QUICK_VARIANTS: Final = ("none", "fixed", "all", "less fair_queueing")


class MeasureSettings(msgspec.Struct, kw_only=True):
    """What to measure; empty lists stand for everything."""

    seeds: int = 3
    quick: bool = False
    only: tuple[str, ...] = PARTS
    fleets: tuple[str, ...] = ()
    scenarios: tuple[str, ...] = ()
    variants: tuple[str, ...] = ()
    directory: Path = ROOT / "docs"


def run_measurements(settings: MeasureSettings) -> None:
    """Take the measurements, append them to the data and write the page."""
    data = settings.directory / "measurements"
    revision = read_revision()
    seeds = range(1, 2 if settings.quick else settings.seeds + 1)
    if "latency" in settings.only:
        for seed in seeds:
            seconds = QUICK_S if settings.quick else LATENCY_S
            result: CostResult = uvloop.run(measure_costs(seed, seconds, revision))
            append_line(data / "latency.jsonl", result)
            print(msgspec.json.encode(result).decode(), flush=True)
    if "profile" in settings.only:
        profile: ProfileResult = uvloop.run(measure_profile(1, PROFILE_S, revision))
        append_line(data / "profile.jsonl", profile)
        print(msgspec.json.encode(profile).decode(), flush=True)
    if "policy" in settings.only:
        measure_policy(settings, data / "policy.jsonl", revision, seeds)
    if "page" in settings.only:
        write_page(settings.directory)


def measure_policy(
    settings: MeasureSettings, path: Path, revision: str, seeds: Sequence[int]
) -> None:
    """Run all variants one after another for each seed, fleet and scenario."""
    for seed in seeds:
        for fleet in FLEETS:
            if settings.fleets and fleet.name not in settings.fleets:
                continue
            for scenario in choose_scenarios(settings):
                for variant in choose_variants(settings):
                    measure_one(path, fleet, scenario, variant, seed, revision)


def measure_one(
    path: Path,
    fleet: FleetDescription,
    scenario: Scenario,
    variant: str,
    seed: int,
    revision: str,
) -> None:
    """Append the result of one run; a fleet that did not start leaves none."""
    try:
        result = uvloop.run(run_policy(fleet, scenario, variant, seed, revision))
    except FleetNotReady as error:
        print(f"{fleet.name} {scenario.name} {variant} {seed}: {error}", flush=True)
        return
    append_line(path, result)
    print(msgspec.json.encode(result).decode(), flush=True)


def choose_scenarios(settings: MeasureSettings) -> list[Scenario]:
    names = settings.scenarios or (QUICK_SCENARIOS if settings.quick else SCENARIOS)
    return [SCENARIOS[name] for name in names]


def choose_variants(settings: MeasureSettings) -> list[str]:
    return list(settings.variants or (QUICK_VARIANTS if settings.quick else VARIANTS))


def read_revision() -> str:
    """Return the short git revision, with "+" when source files are changed."""
    revision = ask_git("rev-parse", "--short=7", "HEAD")
    changed = ask_git("status", "--porcelain", "--", "src")
    return (revision or "unknown") + ("+" if changed else "")


def ask_git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return done.stdout.strip()


def main(arguments: list[str]) -> None:
    """Read the flags and measure."""
    values: Any = make_flag_values()
    defaults = MeasureSettings()
    flags.DEFINE_integer("seeds", defaults.seeds, "Seeds 1 to N.", flag_values=values)
    flags.DEFINE_bool("quick", False, "One seed, fewer runs.", flag_values=values)
    flags.DEFINE_multi_enum("only", PARTS, PARTS, "Parts to run.", flag_values=values)
    names = [fleet.name for fleet in FLEETS]
    flags.DEFINE_multi_enum("fleet", [], names, "Fleets.", flag_values=values)
    flags.DEFINE_multi_enum(
        "scenario", [], list(SCENARIOS), "Scenarios.", flag_values=values
    )
    flags.DEFINE_multi_enum(
        "variant", [], list(VARIANTS), "Variants.", flag_values=values
    )
    values(arguments)
    end_on_termination()
    run_measurements(
        MeasureSettings(
            seeds=values.seeds,
            quick=values.quick,
            only=tuple(values.only),
            fleets=tuple(values.fleet),
            scenarios=tuple(values.scenario),
            variants=tuple(values.variant),
        )
    )


def run() -> None:
    """Entry point of the command."""
    main(sys.argv)


if __name__ == "__main__":
    run()
