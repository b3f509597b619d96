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

from heathermount.measurement.costs import CostResult
from heathermount.measurement.policy_figures import PolicyResult
from heathermount.measurement.policy_runs import SLOT_FACTOR, TIME_FACTOR
from heathermount.runner.cpu_profiles import ProfileResult
from heathermount.runner.scenarios import SCENARIOS, VARIANTS
from heathermount.runner.topologies import CANCELLI, KETTERING
from heathermount.standins.records import read_lines

__all__ = ["render_page", "write_page"]

TARGET_ADDED_MS: Final = 0.49
FLEETS: Final = (KETTERING.name, CANCELLI.name)
COLOURS: Final = {"none": "#999999", "fixed": "#d08a2c", "all": "#2c6fbb"}
OTHER_COLOUR: Final = "#9bbfe0"

Row = tuple[str, ...]
Record = TypeVar("Record", bound=msgspec.Struct)
POLICY_HEADS: Final = (
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
    """Write the page and the plots below `directory` (docs)."""
    results = read_policy(directory)
    plots = directory / "plots"
    plots.mkdir(exist_ok=True)
    for fleet in FLEETS:
        draw_goodput(results, fleet, plots / f"goodput-{fleet}.svg")
    (directory / "measurements.md").write_text(render_page(directory))


def render_page(directory: Path) -> str:
    """Return the page that the data below `directory` gives."""
    results = read_policy(directory)
    costs = read_data(directory / "measurements" / "latency.jsonl", CostResult)
    template = Template((directory / "measurements.template.md").read_text())
    return template.substitute(
        slot_factor=SLOT_FACTOR,
        time_factor=TIME_FACTOR,
        capacity=describe_capacity(results),
        latency=render_latency(costs),
        costs=render_costs(costs),
        profile=render_profile(read_profiles(directory)),
        missing=render_missing(costs),
        targets=render_targets(results),
        policy=render_policy(results),
        history=render_history(results),
        revisions=", ".join(find_revisions(results, costs)),
        runs=str(len(results)),
    )


def find_revisions(
    results: Iterable[PolicyResult], costs: Iterable[CostResult]
) -> list[str]:
    found = {result.revision for result in results}
    return sorted(found | {cost.revision for cost in costs})


def read_policy(directory: Path) -> list[PolicyResult]:
    return read_data(directory / "measurements" / "policy.jsonl", PolicyResult)


def read_profiles(directory: Path) -> list[ProfileResult]:
    return read_data(directory / "measurements" / "profile.jsonl", ProfileResult)


def read_data(path: Path, kind: type[Record]) -> list[Record]:
    return list(read_lines(path, kind)) if path.exists() else []


def make_table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    lines.extend("| " + " | ".join(row) + " |" for row in rows)
    return "\n".join(lines)


def spread(values: Sequence[float], form: Callable[[float], str]) -> str:
    """Return the median, with the range when the values differ."""
    if not values:
        return "–"
    middle, low, high = form(median(values)), form(min(values)), form(max(values))
    return middle if low == high else f"{middle} ({low} to {high})"


def percent(value: float) -> str:
    return f"{value * 100:.1f}%"


def milliseconds(value: float) -> str:
    return f"{value:.2f}"


def seconds(value: float) -> str:
    return "not within the run" if value == float("inf") else f"{value:.1f}"


def recoveries(results: Iterable[PolicyResult]) -> list[float]:
    """Return recovery times; runs that did not recover count as the longest."""
    return [float("inf") if r.recovery_s < 0 else r.recovery_s for r in results]


def render_latency(costs: Sequence[CostResult]) -> str:
    """Tabulate each path's latency, the ratio to the direct path and what it adds."""
    rows = []
    for position, name in enumerate(("direct", "one-node", "two-nodes")):
        paths = [(c.paths[position], c.paths[0]) for c in costs]
        rows.append(
            (
                name,
                str(sum(path.calls for path, _ in paths)),
                spread([path.p50_ms for path, _ in paths], milliseconds),
                spread([path.p99_ms for path, _ in paths], milliseconds),
                spread([p.p50_ms / d.p50_ms for p, d in paths], milliseconds),
                spread([p.p99_ms / d.p99_ms for p, d in paths], milliseconds),
                spread([p.p50_ms - d.p50_ms for p, d in paths], milliseconds),
                spread([p.p99_ms - d.p99_ms for p, d in paths], milliseconds),
            )
        )
    heads = ("path", "calls", "p50 ms", "p99 ms", "ratio p50", "ratio p99")
    added = ("added p50 ms", "added p99 ms")
    return make_table((*heads, *added), rows)


def render_profile(profiles: Sequence[ProfileResult]) -> str:
    """Tabulate the last profile: part → share of time at each node."""
    if not profiles:
        return "No profile was taken."
    last = profiles[-1]
    parts = sorted({part for shares in last.shares.values() for part in shares})
    rows = [
        (part, *(percent(shares.get(part, 0.0)) for shares in last.shares.values()))
        for part in parts
    ]
    calls = (percent(share) for share in last.server_call.values())
    rows.append(("call to the server, share of an execution", *calls))
    return make_table(("part", *last.shares), rows)


def render_missing(costs: Sequence[CostResult]) -> str:
    """State how far the added latency is from the target."""
    if not costs:
        return "Not measured."
    added = [
        median(c.paths[position].p99_ms - c.paths[0].p99_ms for c in costs)
        for position in (1, 2)
    ]
    if max(added) <= TARGET_ADDED_MS:
        return "The target is met."
    factors = " and ".join(f"{value / TARGET_ADDED_MS:.0f}" for value in added)
    return (
        f"The target is not met: one and two nodes add {factors} times "
        f"{TARGET_ADDED_MS} ms at p99."
    )


def render_costs(costs: Sequence[CostResult]) -> str:
    idle = [node for cost in costs for node in cost.idle_nodes]
    loaded = [node for cost in costs for node in cost.nodes]
    messages = [n.control_messages_per_s for n in idle]
    rows = [
        (
            "CPU of an idle node, share of a core",
            spread([n.cpu_share for n in idle], percent),
        ),
        (
            "CPU of a node under load, share of a core",
            spread([n.cpu_share for n in loaded], percent),
        ),
        (
            "calls per second of CPU time of the nodes",
            spread([c.calls_per_core_s for c in costs], lambda v: f"{v:.0f}"),
        ),
        (
            "memory of a node, MiB",
            spread([n.memory_mib for n in loaded], lambda v: f"{v:.1f}"),
        ),
        (
            "control messages/s of an idle node",
            spread(messages, lambda v: f"{v:.1f}"),
        ),
        (
            "control bytes/s of an idle node",
            spread([n.control_bytes_per_s for n in idle], lambda v: f"{v:.0f}"),
        ),
        ("load average", spread([c.load_average for c in costs], lambda v: f"{v:.1f}")),
    ]
    return make_table(("figure", "median (range)"), rows)


def select(
    results: Iterable[PolicyResult], fleet: str, scenario: str, variant: str
) -> list[PolicyResult]:
    """Return the runs of one kind at the revision that was measured last."""
    runs = [
        r
        for r in results
        if (r.fleet, r.scenario, r.variant) == (fleet, scenario, variant)
    ]
    return [r for r in runs if r.revision == runs[-1].revision]


def render_history(results: Sequence[PolicyResult]) -> str:
    """Tabulate everything on, at each revision that was measured."""
    rows = []
    for fleet in FLEETS:
        for scenario in SCENARIOS.values():
            runs = [
                r
                for r in results
                if (r.fleet, r.scenario, r.variant) == (fleet, scenario.name, "all")
            ]
            for revision in dict.fromkeys(r.revision for r in runs):
                chosen = [r for r in runs if r.revision == revision]
                row = render_row(revision, chosen)
                rows.append((fleet, scenario.title, *row))
    return make_table(("fleet", "scenario", "revision", *POLICY_HEADS[1:]), rows)


def render_row(variant: str, runs: Sequence[PolicyResult]) -> Row:
    return (
        variant,
        str(len(runs)),
        spread([r.goodput for r in runs], percent),
        spread([r.possible for r in runs], percent),
        spread([r.busy for r in runs], percent),
        spread([r.useful for r in runs], percent),
        spread([r.success_before for r in runs], percent),
        spread([r.success_during for r in runs], percent),
        spread(recoveries(runs), seconds),
        spread([r.worst_ratio for r in runs], percent),
        spread([r.wrongful_429 for r in runs], percent),
        spread([r.refused_503 for r in runs], percent),
        spread([r.p50_ms for r in runs], lambda v: f"{v:.0f}"),
        spread([r.load_average for r in runs], lambda v: f"{v:.0f}"),
    )


def render_policy(results: Sequence[PolicyResult]) -> str:
    """Return one table for each fleet and scenario that has runs."""
    parts = []
    for fleet in FLEETS:
        for scenario in SCENARIOS.values():
            rows = [
                render_row(variant, runs)
                for variant in VARIANTS
                if (runs := select(results, fleet, scenario.name, variant))
            ]
            if rows:
                parts.append(f"### {fleet.capitalize()}: {scenario.title}")
                parts.append(make_table(POLICY_HEADS, rows))
    return "\n\n".join(parts)


def render_targets(results: Sequence[PolicyResult]) -> str:
    """Compare the medians of 2x overload with everything on with the targets."""
    rows = []
    for fleet in FLEETS:
        runs = select(results, fleet, "overload", "all")
        if not runs:
            continue
        checks = (
            ("goodput", "≥ 95%", [r.goodput for r in runs], 0.95, percent),
            ("recovery s", "≤ 2", recoveries(runs), 2.0, seconds),
            (
                "worst served/entitled",
                "≥ 95%",
                [r.worst_ratio for r in runs],
                0.95,
                percent,
            ),
            ("wrongful 429", "≤ 0.1%", [r.wrongful_429 for r in runs], 0.001, percent),
        )
        for name, target, values, bound, form in checks:
            at_least = target.startswith("≥")
            middle = median(values)
            met = middle >= bound if at_least else middle <= bound
            rows.append(
                (fleet, name, target, spread(values, form), "yes" if met else "no")
            )
    return make_table(("fleet", "figure", "target", "measured", "met"), rows)


def describe_capacity(results: Sequence[PolicyResult]) -> str:
    found = {r.fleet: r.capacity_per_s for r in results}
    return ", ".join(f"{fleet} {rate:g} requests/s" for fleet, rate in found.items())


def draw_goodput(results: Sequence[PolicyResult], fleet: str, path: Path) -> None:
    """Draw goodput under 2x overload and slowed service, by variant."""
    matplotlib.rcParams["svg.hashsalt"] = "heathermount"
    figure, panels = pyplot.subplots(1, 2, figsize=(9, 3.2), sharey=True)
    for panel, name in zip(panels, ("overload", "slow"), strict=True):
        chosen = {v: select(results, fleet, name, v) for v in VARIANTS}
        names = [variant for variant, runs in chosen.items() if runs]
        heights = [median(r.success_during for r in chosen[v]) * 100 for v in names]
        if name == "overload":
            heights = [median(r.goodput for r in chosen[v]) * 100 for v in names]
        colours = [COLOURS.get(variant, OTHER_COLOUR) for variant in names]
        panel.barh(names, heights, color=colours)
        panel.invert_yaxis()
        panel.set_title(f"{SCENARIOS[name].title}", fontsize=9)
        label = "goodput, % of capacity" if name == "overload" else "success, %"
        panel.set_xlabel(label, fontsize=8)
        panel.tick_params(labelsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
