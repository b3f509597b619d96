"""Counters and latency histograms of a gateway node."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from hdrh.histogram import HdrHistogram

__all__ = ["GatewayMetrics"]

# Range and precision of the histograms.
MIN_RECORDED_US: Final = 1
MAX_RECORDED_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 2

PERCENTILES: Final = (50.0, 99.0, 99.9)

GaugeValues = dict[str, float]


class GatewayMetrics:
    """Counts decisions and records durations in histograms.

    Labels must come from fixed sets. `read_gauges` returns the gauges' values and
    is called whenever the metrics are rendered.
    """

    __slots__ = ("_counters", "_histograms", "read_gauges")

    def __init__(self, read_gauges: Callable[[], GaugeValues]) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        # HdrHistogram by name; the library has no type annotations.
        self._histograms: dict[str, Any] = {}
        self.read_gauges = read_gauges

    def count(self, name: str, label: str = "") -> None:
        self._counters[name, label] += 1

    def record(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS
            )  # type: ignore[no-untyped-call]
            self._histograms[name] = histogram
        histogram.record_value(max(MIN_RECORDED_US, int(seconds * 1_000_000)))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported here so that a node whose metrics are never read does not load it.
        from prometheus_client import (
            CollectorRegistry,
            Counter as PrometheusCounter,
            Gauge,
        )
        from prometheus_client.exposition import generate_latest

        registry = CollectorRegistry()
        totals: dict[str, PrometheusCounter] = {}
        for (name, label), count in sorted(self._counters.items()):
            full_name = f"heathermount_{name}"
            if full_name not in totals:
                totals[full_name] = PrometheusCounter(
                    full_name, full_name, ["result"], registry=registry
                )
            totals[full_name].labels(label).inc(count)
        for name, value in self.read_gauges().items():
            full_name = f"heathermount_{name}"
            Gauge(full_name, full_name, registry=registry).set(value)
        for name, histogram in self._histograms.items():
            full_name = f"heathermount_{name}_seconds"
            gauge = Gauge(full_name, full_name, ["quantile"], registry=registry)
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                gauge.labels(str(percentile / 100)).set(value_us / 1_000_000)
        return generate_latest(registry)
