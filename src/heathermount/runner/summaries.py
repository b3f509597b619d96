"""Summaries of the results of load runs."""

from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

import msgspec
from hdrh.histogram import HdrHistogram

from heathermount.standins.records import CallResult

__all__ = ["OrganisationSummary", "Summary", "format_summary", "summarise"]

# Histogram range: 10 us to 120 s, three significant digits.
MIN_LATENCY_US: Final = 10
MAX_LATENCY_US: Final = 120_000_000
SIGNIFICANT_DIGITS: Final = 3
LATENCY_PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class OrganisationSummary(msgspec.Struct):
    """Requests of one organisation; `refused` counts those that ended not-run."""

    requests: int = 0
    succeeded: int = 0
    refused: int = 0
    over_rate: int = 0
    failed: int = 0


class Summary(msgspec.Struct):
    """Result of a load run; goodput in requests/s, latencies of successes only."""

    requests: int
    attempts: int
    succeeded: int
    goodput: float
    latency_ms: dict[str, float]
    outcomes: dict[str, int]
    organisations: dict[str, OrganisationSummary]


def summarise(results: Sequence[CallResult], duration_s: float) -> Summary:
    """Summarise attempts; a request's outcome is that of its last attempt."""
    last_attempts: dict[str, CallResult] = {}
    for result in results:
        last_attempts[result.test_id] = result
    histogram = make_histogram()
    organisations: dict[str, OrganisationSummary] = {}
    outcomes: Counter[str] = Counter()
    for result in last_attempts.values():
        outcomes[describe_outcome(result)] += 1
        count_result(
            organisations.setdefault(result.organisation, OrganisationSummary()), result
        )
        if result.succeeded:
            histogram.record_value(
                max(MIN_LATENCY_US, int(result.latency_s * 1_000_000))
            )
    succeeded = sum(result.succeeded for result in last_attempts.values())
    return Summary(
        requests=len(last_attempts),
        attempts=len(results),
        succeeded=succeeded,
        goodput=round(succeeded / duration_s, 1),
        latency_ms={
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
            for percentile in LATENCY_PERCENTILES
        },
        outcomes=dict(outcomes.most_common()),
        organisations=organisations,
    )


def make_histogram() -> Any:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)  # type: ignore[no-untyped-call]


def count_result(summary: OrganisationSummary, result: CallResult) -> None:
    summary.requests += 1
    if result.succeeded:
        summary.succeeded += 1
    elif result.status == 429:
        summary.over_rate += 1
    elif result.outcome == "not-run":
        summary.refused += 1
    else:
        summary.failed += 1


def describe_outcome(result: CallResult) -> str:
    if result.error:
        return result.error
    return f"{result.status} {result.reason}".strip()


def format_summary(summary: Summary) -> str:
    """Format a summary as a few lines of text."""
    latency = " ".join(f"{name}={ms:.1f}" for name, ms in summary.latency_ms.items())
    lines = [
        f"requests={summary.requests} attempts={summary.attempts} "
        f"succeeded={summary.succeeded} goodput_per_s={summary.goodput}",
        f"latency_ms {latency}",
        "outcomes " + ", ".join(f"{k}: {v}" for k, v in summary.outcomes.items()),
        f"{'organisation':<14}{'requests':>9}{'succeeded':>10}{'refused':>9}"
        f"{'over rate':>10}{'failed':>8}",
    ]
    for name, row in sorted(summary.organisations.items()):
        lines.append(
            f"{name:<14}{row.requests:>9}{row.succeeded:>10}{row.refused:>9}"
            f"{row.over_rate:>10}{row.failed:>8}"
        )
    return "\n".join(lines)
