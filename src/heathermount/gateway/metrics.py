"""Counters and latency histograms of a gateway node."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from hdrh.histogram import HdrHistogram

__all__ = ["GatewayMetrics"]

# Range of the histograms, in microseconds, and their significant digits.
LOWEST_US: Final = 1
HIGHEST_US: Final = 60_000_000
DIGITS: Final = 2

QUANTILES: Final = (50.0, 99.0, 99.9)

Readings = dict[str, float]


class GatewayMetrics:
    """Counts decisions and records times; labels are from fixed sets.

    `readings` returns values that are read when the metrics are collected.
    """

    __slots__ = ("_counts", "_histograms", "readings")

    def __init__(self, readings: Callable[[], Readings]) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        # HdrHistogram by name; the library has no type annotations.
        self._histograms: dict[str, Any] = {}
        self.readings = readings

    def count(self, name: str, label: str = "") -> None:
        self._counts[name, label] += 1

    def record(self, name: str, seconds: float) -> None:
        """Add a time to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)  # type: ignore[no-untyped-call]
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1_000_000)))

    def render(self) -> bytes:
        """Return everything in the Prometheus text format."""
        # Imported here, because a node that nobody watches need not load it.
        from prometheus_client import CollectorRegistry, Counter as Total, Gauge
        from prometheus_client.exposition import generate_latest

        registry = CollectorRegistry()
        totals: dict[str, Total] = {}
        for (name, label), count in sorted(self._counts.items()):
            full = f"heathermount_{name}"
            if full not in totals:
                totals[full] = Total(full, full, ["result"], registry=registry)
            totals[full].labels(label).inc(count)
        for name, value in self.readings().items():
            full = f"heathermount_{name}"
            Gauge(full, full, registry=registry).set(value)
        for name, histogram in self._histograms.items():
            full = f"heathermount_{name}_seconds"
            gauge = Gauge(full, full, ["quantile"], registry=registry)
            for quantile in QUANTILES:
                value_us = histogram.get_value_at_percentile(quantile)
                gauge.labels(str(quantile / 100)).set(value_us / 1_000_000)
        return generate_latest(registry)
