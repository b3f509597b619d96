"""Compares the extrapolated figures with the limits of the two-year size."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from heathermount.capacity.formatting import format_figure, make_table

__all__ = ["LIMITS", "Limit", "make_limit_table"]


class Limit(NamedTuple):
    """An upper limit, the figure compared with it, and the remedy if it is not met."""

    description: str
    figure_name: str
    maximum: float
    unit: str
    remedy: str


QUOTA_LOAD_REMEDY: Final = (
    "more quota partitions (a setting), or let one node of a group ask for the "
    "whole group"
)
START_PACING_REMEDY: Final = (
    "pace starts, and let the group's reader look up owners for its group"
)

LIMITS: Final = (
    Limit(
        "control processor time of an idle node",
        "node_cpu",
        0.027,
        "percent",
        "send heartbeats less often, or to fewer members",
    ),
    Limit(
        "the same with the quota partition it owns, all calls from outside",
        "owner_cpu_all",
        0.027,
        "percent",
        QUOTA_LOAD_REMEDY,
    ),
    Limit(
        "the same with the quota partition it owns, every call at a chain's depth",
        "owner_cpu_deep",
        0.027,
        "percent",
        QUOTA_LOAD_REMEDY,
    ),
    Limit(
        "processor time of a claim owner",
        "claim_owner_cpu",
        0.027,
        "percent",
        "more claim partitions in services with many such calls",
    ),
    Limit(
        "memory of a node",
        "node_memory",
        128e6,
        "mb",
        "hold fewer links",
    ),
    Limit(
        "memory of an owner of a quota partition",
        "quota_owner_memory",
        128e6,
        "mb",
        QUOTA_LOAD_REMEDY,
    ),
    Limit(
        "memory of a claim owner, bodies included",
        "claim_total_memory",
        128e6,
        "mb",
        "bound the claims held by a table, and refuse new ones when it is full",
    ),
    Limit("control bytes of a node, both ways", "node_bytes", 17e3, "kbps", "–"),
    Limit(
        "control bytes of a group's reader, both ways",
        "reader_bytes",
        17e3,
        "kbps",
        "read a small head without deltas, and the deltas only after a change",
    ),
    Limit(
        "control bytes of an owner of a quota partition, calls at depth",
        "owner_bytes_deep",
        17e3,
        "kbps",
        QUOTA_LOAD_REMEDY,
    ),
    Limit("a change in force everywhere", "spread_size_s", 20.0, "s", "–"),
    Limit(
        "latency added by one node at p99",
        "added_p99_1",
        0.49e-3,
        "ms",
        "see the profile: the required HTTP libraries cost the most",
    ),
    Limit(
        "latency added by two nodes at p99",
        "added_p99_2",
        0.49e-3,
        "ms",
        "see the profile: the required HTTP libraries cost the most",
    ),
    Limit("store reads, undisturbed", "store_reads", 2000.0, "per_s", "–"),
    Limit("store writes, undisturbed", "store_writes", 300.0, "per_s", "–"),
    Limit("largest value in the store", "snapshot", 1e6, "kb", "–"),
    Limit(
        "store reads during an outage",
        "outage_reads",
        2000.0,
        "per_s",
        "let the members of a group take turns, and wait longer after each failure",
    ),
    Limit(
        "store writes after a failure domain is lost",
        "removal_rate",
        300.0,
        "per_s",
        "spread the removals over more seconds",
    ),
    Limit(
        "store reads after a failure domain is lost, rosters",
        "refresh_doubt_store",
        2000.0,
        "per_s",
        "ask the own group's reader before the store",
    ),
    Limit(
        "store reads after a failure domain is lost, takeovers",
        "takeover_rate",
        2000.0,
        "per_s",
        "–",
    ),
    Limit(
        "time of a fleet-wide start at the store's limits (no requirement: a minute)",
        "start_s",
        60.0,
        "s",
        START_PACING_REMEDY,
    ),
)


def make_limit_table(figures: Mapping[str, float]) -> str:
    """Return a Markdown table with one row for each limit."""
    rows = []
    for limit in LIMITS:
        value = figures[limit.figure_name]
        is_met = value <= limit.maximum
        rows.append(
            [
                limit.description,
                format_figure(limit.maximum, limit.unit),
                format_figure(value, limit.unit),
                "met" if is_met else "**not met**",
                "–" if is_met else limit.remedy,
            ]
        )
    header = ["limit", "value", "extrapolated", "result", "what would have to change"]
    return make_table(header, rows)
