"""Formats numbers and tables of the capacity page."""

from collections.abc import Sequence
from typing import Final

__all__ = ["format_figure", "format_number", "make_table"]

# Factor and suffix by unit name.
UNITS: Final = {
    "number": (1.0, ""),
    "percent": (100.0, "%"),
    "cores": (1.0, " cores"),
    "us": (1e6, " µs"),
    "ms": (1e3, " ms"),
    "s": (1.0, " s"),
    "bytes": (1.0, " B"),
    "kb": (1e-3, " KB"),
    "mb": (1e-6, " MB"),
    "kbps": (1e-3, " KB/s"),
    "mbps": (1e-6, " MB/s"),
    "per_s": (1.0, "/s"),
}
SIGNIFICANT_DIGITS: Final = 3


def format_number(value: float) -> str:
    """Return three significant digits, with commas and without an exponent."""
    if value == 0:
        return "0"
    rounded = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if abs(rounded) >= 100:
        return f"{rounded:,.0f}"
    if abs(rounded) < 1e-4:
        return f"{rounded:.2e}"
    return f"{rounded:.10f}".rstrip("0").rstrip(".")


def format_figure(value: float, unit: str) -> str:
    """Return a figure with its unit; raise KeyError for an unknown unit."""
    factor, suffix = UNITS[unit]
    return format_number(value * factor) + suffix


def make_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)
