"""Writes the capacity page and its plots from measurements and a template."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl

from heathermount.capacity.extrapolation import (
    ASSUMPTIONS,
    FITS,
    MeasuredResults,
    extrapolate,
)
from heathermount.capacity.failure_scenarios import add_failure_figures
from heathermount.capacity.formatting import format_figure, format_number, make_table
from heathermount.capacity.limits import make_limit_table
from heathermount.capacity.measurements import Measurement

__all__ = ["PAGE_FILE", "TEMPLATE_FILE", "render_page", "write_page", "write_plots"]

PAGE_FILE: Final = "CAPACITY.md"
TEMPLATE_FILE: Final = "CAPACITY.template.md"
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
    template = (docs / TEMPLATE_FILE).read_text(encoding="utf-8")
    page = render_page(template, measurements)
    (docs / PAGE_FILE).write_text(page, encoding="utf-8")


def render_page(template: str, measurements: list[Measurement]) -> str:
    """Replace `{{name|unit}}` and `{{table_name}}`; raise KeyError for other names."""
    results = MeasuredResults(measurements)
    figures = extrapolate(results)
    add_failure_figures(results, figures)
    tables: dict[str, Callable[[], str]] = {
        "table_fits": lambda: make_fit_table(results),
        "table_assumptions": make_assumption_table,
        "table_limits": lambda: make_limit_table(figures),
        "table_profile": lambda: make_profile_table(results),
        "table_runs": lambda: make_run_table(results),
    }

    def replace(match: re.Match[str]) -> str:
        name, unit = match.groups()
        if name in tables:
            return tables[name]()
        return format_figure(figures[name], unit or "number")

    return PLACEHOLDER.sub(replace, template)


def make_fit_table(results: MeasuredResults) -> str:
    rows = []
    for name, fit in FITS.items():
        line = results.lines[name]
        points = results.list_points(fit)
        largest = max(abs(y) for _, y in points)
        ratio = line.rms_error / largest if largest else 0.0
        rows.append(
            [
                name.replace("_", " "),
                fit.experiment,
                " ".join(format_number(x) for x, _ in points),
                f"{format_number(line.intercept)} {fit.result_unit}",
                f"{format_number(line.slope)} {fit.result_unit} per {fit.size_unit}",
                f"{format_number(line.rms_error)} ({format_figure(ratio, 'percent')})",
            ]
        )
    header = ["line", "experiment", "sizes", "base", "slope", "error"]
    return make_table(header, rows)


def make_assumption_table() -> str:
    rows = [
        [description, format_number(value)]
        for value, description in ASSUMPTIONS.values()
    ]
    return make_table(["assumption", "value"], rows)


def make_profile_table(results: MeasuredResults) -> str:
    """Return a table of the components' CPU time per call, the largest first.

    The profile gives the shares. The times are these shares of the CPU time that was
    measured without the profiler.
    """
    roles = ("entry", "executing")
    profiles = [
        results.select_experiment(f"profile-{role}")[-1].result for role in roles
    ]
    costs = [results.get_slope(f"{role}_cpu") for role in roles]
    components = {component for profile in profiles for component in profile}
    rows = []
    for component in sorted(
        components, key=lambda p: -sum(times.get(p, 0.0) for times in profiles)
    ):
        row = [component.removesuffix("_us")]
        for profile, cost in zip(profiles, costs, strict=True):
            share = profile.get(component, 0.0) / sum(profile.values())
            percent, time = format_figure(share, "percent"), share * cost
            row.append(f"{format_figure(time, 'us')} ({percent})")
        rows.append(row)
    return make_table(["part", "entry node", "executing node"], rows)


def make_run_table(results: MeasuredResults) -> str:
    """Return a table of each experiment's revision, seed and load average."""
    rows = []
    for experiment in dict.fromkeys(m.experiment for m in results.measurements):
        measurements = results.select_experiment(experiment)
        loads = [load for m in measurements for load in (m.load_before, m.load_after)]
        rows.append(
            [
                experiment,
                str(len(measurements)),
                measurements[0].revision,
                str(measurements[0].seed),
                f"{min(loads):.1f} to {max(loads):.1f}",
            ]
        )
    header = ["experiment", "points", "revision", "seed", "load average"]
    return make_table(header, rows)


def write_plots(measurements: list[Measurement], directory: Path) -> None:
    """Draw points and fitted lines as SVG files that are identical for equal data."""
    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "capacity"
    from matplotlib import pyplot

    plots: Any = pyplot
    directory.mkdir(parents=True, exist_ok=True)
    results = MeasuredResults(measurements)
    for file, (title, names) in PLOTS.items():
        figure, axes = plots.subplots(1, len(names), squeeze=False, figsize=(8, 3))
        for axis, name in zip(axes[0], names, strict=True):
            draw_fit(axis, results, name)
        figure.suptitle(title)
        figure.tight_layout()
        figure.savefig(directory / f"capacity-{file}.svg", metadata={"Date": None})
        plots.close(figure)


def draw_fit(axis: Any, results: MeasuredResults, name: str) -> None:
    fit, line = FITS[name], results.lines[name]
    points = sorted(results.list_points(fit))
    sizes = [x for x, _ in points]
    axis.plot(sizes, [y for _, y in points], "o")
    axis.plot(sizes, [line.predict(x) for x in sizes], "-")
    axis.set_xlabel(fit.size_unit)
    axis.set_ylabel(f"{name.replace('_', ' ')}, {fit.result_unit}")
