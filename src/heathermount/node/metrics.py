"""Metrics of one node, exported in the Prometheus text format."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from heathermount.clocks import Clock
from heathermount.invariants import Invariants
from heathermount.values import Importance, Load
from heathermount.wire.traffic import TrafficCounters

__all__ = ["LatencyRecorder", "Metrics", "StateReaders"]

EXPORTED_QUANTILES: Final = (0.5, 0.9, 0.99, 0.999, 1.0)
# Latency is counted in microseconds up to one minute with two significant digits,
# which limits a histogram to about 2,600 counters.
MAX_LATENCY_US: Final = 60_000_000
LATENCY_SIGNIFICANT_DIGITS: Final = 2
# Quantiles cover between one and two of these windows.
LATENCY_WINDOW_S: Final = 60.0


class LatencyRecorder:
    """Latency of recent calls; calls leave the quantiles after two windows.

    Windows rotate only when quantiles are read, so that `record` needs no clock.
    """

    __slots__ = (
        "_clock",
        "_current_window",
        "_previous_window",
        "_window_start",
        "count",
        "total_s",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.monotonic()
        self._current_window = make_histogram()
        self._previous_window = make_histogram()
        self.count = 0
        self.total_s = 0.0

    def record(self, seconds: float) -> None:
        """Add the latency of one call, in seconds."""
        self.count += 1
        self.total_s += seconds
        microseconds = min(max(int(seconds * 1e6), 1), MAX_LATENCY_US)
        self._current_window.record_value(microseconds)

    def compute_quantiles(self) -> dict[float, float]:
        """Return latency in seconds by quantile; empty without recent calls."""
        self._rotate_windows()
        merged = make_histogram()
        merged.add(self._previous_window)
        merged.add(self._current_window)
        if not merged.get_total_count():
            return {}
        return {
            quantile: merged.get_value_at_percentile(100 * quantile) / 1e6
            for quantile in EXPORTED_QUANTILES
        }

    def _rotate_windows(self) -> None:
        now = self._clock.monotonic()
        if now - self._window_start < LATENCY_WINDOW_S:
            return
        is_current_stale = now - self._window_start >= 2 * LATENCY_WINDOW_S
        self._previous_window = (
            make_histogram() if is_current_stale else self._current_window
        )
        self._current_window = make_histogram()
        self._window_start = now


def make_histogram() -> Any:
    # hdrh has no type hints.
    histogram: Any = HdrHistogram
    return histogram(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)


class StateReaders:
    """Functions that read the state of other components for the metrics.

    They are called on collection; assembly.py replaces the defaults.
    """

    __slots__ = (
        "claims_held",
        "configuration",
        "late_answers",
        "load",
        "owned_partitions",
        "ready",
    )

    def __init__(self) -> None:
        self.load: Callable[[], Load] = Load
        # Revision, and seconds since the store last confirmed it.
        self.configuration: Callable[[], tuple[int, float]] = lambda: (0, 0.0)
        self.late_answers: Callable[[], int] = lambda: 0
        # Claims in the tables of this node, by state.
        self.claims_held: Callable[[], Mapping[str, int]] = dict
        self.owned_partitions: Callable[[], int] = lambda: 0
        self.ready: Callable[[], bool] = lambda: False


class Metrics(Collector):
    """Counters of one node.

    The hot path only updates counters; metric families are built on collection.
    """

    __slots__ = (
        "added_latency",
        "calls",
        "claims",
        "invariants",
        "registry",
        "retries",
        "sheds",
        "state_readers",
        "store_calls",
        "tokens",
        "total_latency",
        "traffic",
    )

    def __init__(
        self,
        clock: Clock,
        invariants: Invariants | None = None,
        traffic: TrafficCounters | None = None,
    ) -> None:
        self.calls: defaultdict[tuple[str, str, str], int] = defaultdict(int)
        self.claims: defaultdict[str, int] = defaultdict(int)
        self.retries: defaultdict[str, int] = defaultdict(int)
        self.sheds = [0] * len(Importance)
        self.store_calls: defaultdict[str, int] = defaultdict(int)
        self.tokens: defaultdict[str, int] = defaultdict(int)
        # Time that a call takes at this node, without the backend server's time.
        self.added_latency = LatencyRecorder(clock)
        self.total_latency = LatencyRecorder(clock)
        self.invariants = invariants
        self.traffic = traffic or TrafficCounters()
        self.state_readers = StateReaders()
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def count_call(self, service: str, outcome: str, reason: str = "") -> None:
        """Count a finished call; `reason` is empty for the server's own response."""
        self.calls[service, outcome, reason] += 1

    def count_retry(self, service: str) -> None:
        self.retries[service] += 1

    def count_shed(self, importance: int) -> None:
        """Count a request that was shed at this node."""
        self.sheds[importance] += 1

    def count_tokens(self, action: str, amount: int = 1) -> None:
        """Count tokens by action: requested, granted, spent, returned or expired."""
        self.tokens[action] += amount

    def count_claim(self, state: str) -> None:
        """Count a claim decision by the state of its ClaimReply."""
        self.claims[state] += 1

    def count_store_call(self, kind: str) -> None:
        """Count a call to the store by the kind that CountingStore reports."""
        self.store_calls[kind] += 1

    def observe_call(self, total_s: float, server_time_s: float) -> None:
        """Record a call's latency, in total and without the backend server's time."""
        self.total_latency.record(total_s)
        self.added_latency.record(max(0.0, total_s - server_time_s))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterable[Metric]:
        yield from self._collect_calls()
        yield from self._collect_overload_protection()
        yield from self._collect_state()
        yield from self._collect_peers()
        yield from self._collect_latency()

    def _collect_calls(self) -> Iterable[Metric]:
        calls = CounterMetricFamily(
            "heathermount_calls",
            "Finished calls; an empty reason is the backend server's own response.",
            labels=["service", "outcome", "reason"],
        )
        for labels, count in self.calls.items():
            calls.add_metric(labels, count)
        yield calls
        yield make_counter_family(
            "heathermount_retries", "Extra attempts.", "service", self.retries
        )

    def _collect_overload_protection(self) -> Iterable[Metric]:
        sheds = {i.name.lower(): self.sheds[i] for i in Importance}
        yield make_counter_family(
            "heathermount_sheds", "Shed requests.", "class", sheds
        )
        yield make_counter_family(
            "heathermount_tokens", "Rate tokens.", "action", self.tokens
        )
        yield make_counter_family(
            "heathermount_claims", "Claim decisions.", "state", self.claims
        )
        yield make_counter_family(
            "heathermount_store_calls", "Calls to the store.", "kind", self.store_calls
        )
        if self.invariants is not None:
            yield make_counter_family(
                "heathermount_invariant_violations",
                "Violated invariants; any value above zero is a fault.",
                "invariant",
                self.invariants.violations,
            )

    def _collect_state(self) -> Iterable[Metric]:
        load = self.state_readers.load()
        revision, age_s = self.state_readers.configuration()
        gauges = {
            "heathermount_running_requests": ("Requests that run.", load.running),
            "heathermount_queued_requests": ("Requests that wait.", load.queued),
            "heathermount_concurrency_limit": ("Requests that may run.", load.limit),
            "heathermount_configuration_revision": ("Revision in force.", revision),
            "heathermount_configuration_age_seconds": (
                "Time since the store confirmed the revision.",
                age_s,
            ),
            "heathermount_owned_partitions": (
                "Partitions this node decides for.",
                self.state_readers.owned_partitions(),
            ),
            "heathermount_ready": (
                "1 when the node takes calls.",
                int(self.state_readers.ready()),
            ),
        }
        for name, (help_text, value) in gauges.items():
            yield GaugeMetricFamily(name, help_text, value=value)
        held_claims = GaugeMetricFamily(
            "heathermount_claims_held",
            "Claims in this node's tables.",
            labels=["state"],
        )
        for state, count in self.state_readers.claims_held().items():
            held_claims.add_metric([state], count)
        yield held_claims

    def _collect_peers(self) -> Iterable[Metric]:
        yield CounterMetricFamily(
            "heathermount_late_answers",
            "Answers of peers that came after their call was given up.",
            value=self.state_readers.late_answers(),
        )
        message_counts = CounterMetricFamily(
            "heathermount_peer_messages",
            "Frames on links between nodes.",
            labels=["use", "direction"],
        )
        byte_counts = CounterMetricFamily(
            "heathermount_peer_bytes",
            "Bytes on links between nodes, without TCP and TLS.",
            labels=["use", "direction"],
        )
        for labels, message_count, byte_count in self.traffic.iterate_totals():
            message_counts.add_metric(labels, message_count)
            byte_counts.add_metric(labels, byte_count)
        yield message_counts
        yield byte_counts

    def _collect_latency(self) -> Iterable[Metric]:
        recorders = {"added": self.added_latency, "total": self.total_latency}
        for name, recorder in recorders.items():
            gauge = GaugeMetricFamily(
                f"heathermount_{name}_latency_seconds",
                f"Quantiles of {name} latency over the last one to two minutes.",
                labels=["quantile"],
            )
            for quantile, seconds in recorder.compute_quantiles().items():
                gauge.add_metric([str(quantile)], seconds)
            yield gauge
            yield CounterMetricFamily(
                f"heathermount_{name}_latency_calls",
                f"Calls in {name} latency.",
                value=recorder.count,
            )
            yield CounterMetricFamily(
                f"heathermount_{name}_latency_sum_seconds",
                f"Sum of {name} latency.",
                value=recorder.total_s,
            )


def make_counter_family(
    name: str, help_text: str, label: str, counts: Mapping[str, int]
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, help_text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family
