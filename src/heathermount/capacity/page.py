"""Writes the capacity page and its plots from measurements and a template."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl

from heathermount.capacity.failures import add_failures
from heathermount.capacity.limits import make_limits
from heathermount.capacity.model import ASSUMPTIONS, FITS, Results, extrapolate
from heathermount.capacity.records import Measurement
from heathermount.capacity.text import format_figure, format_number, make_rows

__all__ = ["PAGE", "TEMPLATE", "render_page", "write_page", "write_plots"]

PAGE: Final = "CAPACITY.md"
TEMPLATE: Final = "CAPACITY.template.md"
PLACEHOLDER: Final = re.compile(r"\{\{(\w+)(?:\|(\w+))?\}\}")
# Plots by file name: title, and the fits that are drawn.
PLOTS: Final = {
    "control": ("Idle node by group size", ("control_cpu", "control_messages")),
    "services": ("Idle node by declared services", ("services_cpu",)),
    "configuration": ("Adopting a change by document", ("adopt", "snapshot")),
    "calls": ("Processor time by call rate", ("entry_cpu", "executing_cpu")),
    "messages": ("Messages between nodes", ("message_cpu", "link_memory")),
    "claims": ("Claim table", ("claim_cpu", "claim_bytes")),
}


def write_page(measurements: list[Measurement], docs: Path) -> None:
    """Fill the template and write the page beside it."""
    template = (docs / TEMPLATE).read_text(encoding="utf-8")
    page = render_page(template, measurements)
    (docs / PAGE).write_text(page, encoding="utf-8")


def render_page(template: str, measurements: list[Measurement]) -> str:
    """Replace `{{name|unit}}` and `{{table_name}}`; raise KeyError for others."""
    results = Results(measurements)
    figures = extrapolate(results)
    add_failures(results, figures)
    tables: dict[str, Callable[[], str]] = {
        "table_fits": lambda: make_fits(results),
        "table_assumptions": make_assumptions,
        "table_limits": lambda: make_limits(figures),
        "table_profile": lambda: make_profile(results),
        "table_runs": lambda: make_runs(results),
    }

    def replace(match: re.Match[str]) -> str:
        name, unit = match.groups()
        if name in tables:
            return tables[name]()
        return format_figure(figures[name], unit or "number")

    return PLACEHOLDER.sub(replace, template)


def make_fits(results: Results) -> str:
    rows = []
    for name, fit in FITS.items():
        line = results.lines[name]
        points = results.points(fit)
        largest = max(abs(y) for _, y in points)
        share = line.error / largest if largest else 0.0
        rows.append(
            [
                name.replace("_", " "),
                fit.experiment,
                " ".join(format_number(x) for x, _ in points),
                f"{format_number(line.base)} {fit.unit}",
                f"{format_number(line.slope)} {fit.unit} per {fit.size_unit}",
                f"{format_number(line.error)} ({format_figure(share, 'percent')})",
            ]
        )
    header = ["line", "experiment", "sizes", "base", "slope", "error"]
    return make_rows(header, rows)


def make_assumptions() -> str:
    rows = [[text, format_number(value)] for value, text in ASSUMPTIONS.values()]
    return make_rows(["assumption", "value"], rows)


def make_profile(results: Results) -> str:
    """Return the parts' shares of the profile, the most expensive first.

    The times are the shares of what a call costs without the profiler.
    """
    roles = ("entry", "executing")
    profiles = [results.of(f"profile-{role}")[-1].result for role in roles]
    costs = [results.slope(f"{role}_cpu") for role in roles]
    parts = {part for profile in profiles for part in profile}
    rows = []
    for part in sorted(parts, key=lambda p: -sum(one.get(p, 0.0) for one in profiles)):
        row = [part.removesuffix("_us")]
        for profile, cost in zip(profiles, costs, strict=True):
            share = profile.get(part, 0.0) / sum(profile.values())
            percent, time = format_figure(share, "percent"), share * cost
            row.append(f"{format_figure(time, 'us')} ({percent})")
        rows.append(row)
    return make_rows(["part", "entry node", "executing node"], rows)


def make_runs(results: Results) -> str:
    """Return the revision, seed and machine load of each experiment."""
    rows = []
    for experiment in dict.fromkeys(m.experiment for m in results.measurements):
        found = results.of(experiment)
        loads = [load for m in found for load in (m.load_before, m.load_after)]
        rows.append(
            [
                experiment,
                str(len(found)),
                found[0].revision,
                str(found[0].seed),
                f"{min(loads):.1f} to {max(loads):.1f}",
            ]
        )
    header = ["experiment", "points", "revision", "seed", "load average"]
    return make_rows(header, rows)


def write_plots(measurements: list[Measurement], directory: Path) -> None:
    """Draw points and fitted lines as SVG files that are the same for equal data."""
    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "capacity"
    from matplotlib import pyplot

    plots: Any = pyplot
    directory.mkdir(parents=True, exist_ok=True)
    results = Results(measurements)
    for file, (title, names) in PLOTS.items():
        figure, axes = plots.subplots(1, len(names), squeeze=False, figsize=(8, 3))
        for axis, name in zip(axes[0], names, strict=True):
            draw_fit(axis, results, name)
        figure.suptitle(title)
        figure.tight_layout()
        figure.savefig(directory / f"capacity-{file}.svg", metadata={"Date": None})
        plots.close(figure)


def draw_fit(axis: Any, results: Results, name: str) -> None:
    fit, line = FITS[name], results.lines[name]
    points = sorted(results.points(fit))
    sizes = [x for x, _ in points]
    axis.plot(sizes, [y for _, y in points], "o")
    axis.plot(sizes, [line.at(x) for x in sizes], "-")
    axis.set_xlabel(fit.size_unit)
    axis.set_ylabel(f"{name.replace('_', ' ')}, {fit.unit}")
