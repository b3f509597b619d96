"""Renders docs/measurements.md and its plots from the measured data."""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import median
from string import Template
from typing import Final, TypeVar

import matplotlib

matplotlib.use("svg")

import msgspec
from matplotlib import pyplot

from heathermount.measurement.node_costs import CostResult
from heathermount.measurement.policy_evaluation import PolicyResult
from heathermount.measurement.policy_runs import SERVICE_TIME_FACTOR, SLOT_DIVISOR
from heathermount.runner.cpu_profiles import ProfileResult
from heathermount.runner.scenarios import SCENARIOS, VARIANTS
from heathermount.runner.topologies import CANCELLI, KETTERING
from heathermount.standins.records import read_lines

__all__ = ["render_page", "write_page"]

ADDED_P99_TARGET_MS: Final = 0.49
FLEET_NAMES: Final = (KETTERING.name, CANCELLI.name)
VARIANT_COLOURS: Final = {"none": "#999999", "fixed": "#d08a2c", "all": "#2c6fbb"}
DEFAULT_VARIANT_COLOUR: Final = "#9bbfe0"

TableRow = tuple[str, ...]
Record = TypeVar("Record", bound=msgspec.Struct)
POLICY_COLUMNS: Final = (
    "variant",
    "runs",
    "goodput",
    "possible",
    "slots held",
    "held usefully",
    "success before",
    "success during",
    "recovery s",
    "worst served/entitled",
    "wrongful 429",
    "refused 503",
    "p50 ms",
    "load average",
)


def write_page(directory: Path) -> None:
    """Write the page and the plots below `directory`, usually docs."""
    policy_results = read_policy_results(directory)
    plots = directory / "plots"
    plots.mkdir(exist_ok=True)
    for fleet in FLEET_NAMES:
        draw_goodput(policy_results, fleet, plots / f"goodput-{fleet}.svg")
    (directory / "measurements.md").write_text(render_page(directory))


def render_page(directory: Path) -> str:
    """Render the page from the data files below `directory`."""
    policy_results = read_policy_results(directory)
    costs = read_records(directory / "measurements" / "latency.jsonl", CostResult)
    template = Template((directory / "measurements.template.md").read_text())
    return template.substitute(
        slot_factor=SLOT_DIVISOR,
        time_factor=SERVICE_TIME_FACTOR,
        capacity=describe_capacities(policy_results),
        latency=render_latency_table(costs),
        costs=render_cost_table(costs),
        profile=render_profile_table(read_profiles(directory)),
        missing=describe_latency_target(costs),
        targets=render_target_table(policy_results),
        policy=render_policy_tables(policy_results),
        history=render_history_table(policy_results),
        revisions=", ".join(list_revisions(policy_results, costs)),
        runs=str(len(policy_results)),
    )


def list_revisions(
    results: Iterable[PolicyResult], costs: Iterable[CostResult]
) -> list[str]:
    revisions = {result.revision for result in results}
    return sorted(revisions | {cost.revision for cost in costs})


def read_policy_results(directory: Path) -> list[PolicyResult]:
    return read_records(directory / "measurements" / "policy.jsonl", PolicyResult)


def read_profiles(directory: Path) -> list[ProfileResult]:
    return read_records(directory / "measurements" / "profile.jsonl", ProfileResult)


def read_records(path: Path, record_type: type[Record]) -> list[Record]:
    return list(read_lines(path, record_type)) if path.exists() else []


def make_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines.extend("| " + " | ".join(row) + " |" for row in rows)
    return "\n".join(lines)


def format_spread(values: Sequence[float], format_value: Callable[[float], str]) -> str:
    """Return the median, with the range when the values differ."""
    if not values:
        return "–"
    middle, low, high = (
        format_value(median(values)),
        format_value(min(values)),
        format_value(max(values)),
    )
    return middle if low == high else f"{middle} ({low} to {high})"


def format_percent(value: float) -> str:
    return f"{value * 100:.1f}%"


def format_decimal(value: float) -> str:
    return f"{value:.2f}"


def format_recovery(value: float) -> str:
    return "not within the run" if value == float("inf") else f"{value:.1f}"


def list_recovery_times(results: Iterable[PolicyResult]) -> list[float]:
    """Return recovery times, infinite for runs that did not recover."""
    return [float("inf") if r.recovery_s < 0 else r.recovery_s for r in results]


def render_latency_table(costs: Sequence[CostResult]) -> str:
    """Tabulate each path's latency, its ratio to the direct path and the difference."""
    rows = []
    for position, name in enumerate(("direct", "one-node", "two-nodes")):
        paths = [(cost.paths[position], cost.paths[0]) for cost in costs]
        rows.append(
            (
                name,
                str(sum(path.calls for path, _ in paths)),
                format_spread([path.p50_ms for path, _ in paths], format_decimal),
                format_spread([path.p99_ms for path, _ in paths], format_decimal),
                format_spread([p.p50_ms / d.p50_ms for p, d in paths], format_decimal),
                format_spread([p.p99_ms / d.p99_ms for p, d in paths], format_decimal),
                format_spread([p.p50_ms - d.p50_ms for p, d in paths], format_decimal),
                format_spread([p.p99_ms - d.p99_ms for p, d in paths], format_decimal),
            )
        )
    header = ("path", "calls", "p50 ms", "p99 ms", "ratio p50", "ratio p99")
    added_header = ("added p50 ms", "added p99 ms")
    return make_table((*header, *added_header), rows)


def render_profile_table(profiles: Sequence[ProfileResult]) -> str:
    """Tabulate the latest profile: each component's share of the time at each node."""
    if not profiles:
        return "No profile was taken."
    last_profile = profiles[-1]
    parts = sorted({part for shares in last_profile.shares.values() for part in shares})
    rows = [
        (
            part,
            *(
                format_percent(shares.get(part, 0.0))
                for shares in last_profile.shares.values()
            ),
        )
        for part in parts
    ]
    server_call_shares = (
        format_percent(share) for share in last_profile.server_call.values()
    )
    rows.append(("call to the server, share of an execution", *server_call_shares))
    return make_table(("part", *last_profile.shares), rows)


def describe_latency_target(costs: Sequence[CostResult]) -> str:
    """Describe how far the added latency is from the target."""
    if not costs:
        return "Not measured."
    added_p99_ms = [
        median(c.paths[position].p99_ms - c.paths[0].p99_ms for c in costs)
        for position in (1, 2)
    ]
    if max(added_p99_ms) <= ADDED_P99_TARGET_MS:
        return "The target is met."
    factors = " and ".join(
        f"{value / ADDED_P99_TARGET_MS:.0f}" for value in added_p99_ms
    )
    return (
        f"The target is not met: one and two nodes add {factors} times "
        f"{ADDED_P99_TARGET_MS} ms at p99."
    )


def render_cost_table(costs: Sequence[CostResult]) -> str:
    idle_nodes = [node for cost in costs for node in cost.idle_nodes]
    loaded_nodes = [node for cost in costs for node in cost.nodes]
    message_rates = [n.control_messages_per_s for n in idle_nodes]
    rows = [
        (
            "CPU of an idle node, share of a core",
            format_spread([n.cpu_share for n in idle_nodes], format_percent),
        ),
        (
            "CPU of a node under load, share of a core",
            format_spread([n.cpu_share for n in loaded_nodes], format_percent),
        ),
        (
            "calls per second of CPU time of the nodes",
            format_spread([c.calls_per_core_s for c in costs], lambda v: f"{v:.0f}"),
        ),
        (
            "memory of a node, MiB",
            format_spread([n.memory_mib for n in loaded_nodes], lambda v: f"{v:.1f}"),
        ),
        (
            "control messages/s of an idle node",
            format_spread(message_rates, lambda v: f"{v:.1f}"),
        ),
        (
            "control bytes/s of an idle node",
            format_spread(
                [n.control_bytes_per_s for n in idle_nodes], lambda v: f"{v:.0f}"
            ),
        ),
        (
            "load average",
            format_spread([c.load_average for c in costs], lambda v: f"{v:.1f}"),
        ),
    ]
    return make_table(("figure", "median (range)"), rows)


def select_latest_runs(
    results: Iterable[PolicyResult], fleet: str, scenario: str, variant: str
) -> list[PolicyResult]:
    """Return the matching runs of the revision that was measured last."""
    runs = [
        r
        for r in results
        if (r.fleet, r.scenario, r.variant) == (fleet, scenario, variant)
    ]
    return [r for r in runs if r.revision == runs[-1].revision]


def render_history_table(results: Sequence[PolicyResult]) -> str:
    """Tabulate the runs with all mechanisms on, by measured revision."""
    rows = []
    for fleet in FLEET_NAMES:
        for scenario in SCENARIOS.values():
            runs = [
                r
                for r in results
                if (r.fleet, r.scenario, r.variant) == (fleet, scenario.name, "all")
            ]
            for revision in dict.fromkeys(r.revision for r in runs):
                revision_runs = [r for r in runs if r.revision == revision]
                row = make_policy_row(revision, revision_runs)
                rows.append((fleet, scenario.title, *row))
    return make_table(("fleet", "scenario", "revision", *POLICY_COLUMNS[1:]), rows)


def make_policy_row(label: str, runs: Sequence[PolicyResult]) -> TableRow:
    return (
        label,
        str(len(runs)),
        format_spread([r.goodput for r in runs], format_percent),
        format_spread([r.possible for r in runs], format_percent),
        format_spread([r.busy for r in runs], format_percent),
        format_spread([r.useful for r in runs], format_percent),
        format_spread([r.success_before for r in runs], format_percent),
        format_spread([r.success_during for r in runs], format_percent),
        format_spread(list_recovery_times(runs), format_recovery),
        format_spread([r.worst_ratio for r in runs], format_percent),
        format_spread([r.wrongful_429 for r in runs], format_percent),
        format_spread([r.refused_503 for r in runs], format_percent),
        format_spread([r.p50_ms for r in runs], lambda v: f"{v:.0f}"),
        format_spread([r.load_average for r in runs], lambda v: f"{v:.0f}"),
    )


def render_policy_tables(results: Sequence[PolicyResult]) -> str:
    """Return one table for each fleet and scenario that has runs."""
    parts = []
    for fleet in FLEET_NAMES:
        for scenario in SCENARIOS.values():
            rows = [
                make_policy_row(variant, runs)
                for variant in VARIANTS
                if (runs := select_latest_runs(results, fleet, scenario.name, variant))
            ]
            if rows:
                parts.append(f"### {fleet.capitalize()}: {scenario.title}")
                parts.append(make_table(POLICY_COLUMNS, rows))
    return "\n\n".join(parts)


def render_target_table(results: Sequence[PolicyResult]) -> str:
    """Compare 2x overload with all mechanisms on (medians) with the targets."""
    rows = []
    for fleet in FLEET_NAMES:
        runs = select_latest_runs(results, fleet, "overload", "all")
        if not runs:
            continue
        checks = (
            ("goodput", "≥ 95%", [r.goodput for r in runs], 0.95, format_percent),
            ("recovery s", "≤ 2", list_recovery_times(runs), 2.0, format_recovery),
            (
                "worst served/entitled",
                "≥ 95%",
                [r.worst_ratio for r in runs],
                0.95,
                format_percent,
            ),
            (
                "wrongful 429",
                "≤ 0.1%",
                [r.wrongful_429 for r in runs],
                0.001,
                format_percent,
            ),
        )
        for name, target, values, bound, format_value in checks:
            is_minimum = target.startswith("≥")
            measured = median(values)
            met = measured >= bound if is_minimum else measured <= bound
            rows.append(
                (
                    fleet,
                    name,
                    target,
                    format_spread(values, format_value),
                    "yes" if met else "no",
                )
            )
    return make_table(("fleet", "figure", "target", "measured", "met"), rows)


def describe_capacities(results: Sequence[PolicyResult]) -> str:
    capacities = {r.fleet: r.capacity_per_s for r in results}
    return ", ".join(
        f"{fleet} {rate:g} requests/s" for fleet, rate in capacities.items()
    )


def draw_goodput(results: Sequence[PolicyResult], fleet: str, path: Path) -> None:
    """Draw goodput under 2x overload and success with a slow service, by variant."""
    matplotlib.rcParams["svg.hashsalt"] = "heathermount"
    figure, panels = pyplot.subplots(1, 2, figsize=(9, 3.2), sharey=True)
    for panel, scenario in zip(panels, ("overload", "slow"), strict=True):
        runs_by_variant = {
            v: select_latest_runs(results, fleet, scenario, v) for v in VARIANTS
        }
        variants = [variant for variant, runs in runs_by_variant.items() if runs]
        heights = [
            median(r.success_during for r in runs_by_variant[v]) * 100 for v in variants
        ]
        if scenario == "overload":
            heights = [
                median(r.goodput for r in runs_by_variant[v]) * 100 for v in variants
            ]
        colours = [
            VARIANT_COLOURS.get(variant, DEFAULT_VARIANT_COLOUR) for variant in variants
        ]
        panel.barh(variants, heights, color=colours)
        panel.invert_yaxis()
        panel.set_title(f"{SCENARIOS[scenario].title}", fontsize=9)
        label = "goodput, % of capacity" if scenario == "overload" else "success, %"
        panel.set_xlabel(label, fontsize=8)
        panel.tick_params(labelsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
