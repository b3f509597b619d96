"""Computes the load of large failures on the store, from measured figures."""

from typing import Final

from heathermount.capacity.extrapolation import TWO_YEAR_SIZE, MeasuredResults
from heathermount.claims import PARTITIONS_PER_SERVICE
from heathermount.membership.directory import (
    MAX_MEMBERS_ASKED,
    MIN_REFRESH_INTERVAL_S,
    REFRESH_INTERVAL_S,
)
from heathermount.membership.group import REMOVAL_SPREAD_S

__all__ = ["STORE_READ_LIMIT_PER_S", "STORE_WRITE_LIMIT_PER_S", "add_failure_figures"]

# Call limits of the store. It allows "several hundred" writes/s, taken as 300.
STORE_READ_LIMIT_PER_S: Final = 2000.0
STORE_WRITE_LIMIT_PER_S: Final = 300.0
# Further delay of a takeover for each rank of a candidate. The death itself is proved
# by the next heartbeat, and the group's reader removes dead members in its next period.
TAKEOVER_DELAY_PER_RANK_S: Final = 0.5


def add_failure_figures(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the figures of each scenario."""
    figures["read_limit"], figures["write_limit"] = (
        STORE_READ_LIMIT_PER_S,
        STORE_WRITE_LIMIT_PER_S,
    )
    add_domain_loss(figures)
    add_store_outage(results, figures)
    add_fleet_restart(results, figures)
    add_region_partition(figures)
    add_large_groups(results, figures)


def add_domain_loss(figures: dict[str, float]) -> None:
    """Add removals, takeovers and roster refreshes when a failure domain is lost."""
    servers, domains = figures["servers"], figures["domains"]
    dead_servers = servers / domains
    live_servers = servers - dead_servers
    partitions = PARTITIONS_PER_SERVICE * figures["services"] + figures["partitions"]
    survivors = figures["members"] * (1 - 1 / domains)
    figures["dead"] = dead_servers
    figures["removal_calls"] = figures["services"]
    figures["removal_rate"] = figures["services"] / REMOVAL_SPREAD_S
    figures["takeovers"] = partitions / domains
    figures["takeover_s"] = TAKEOVER_DELAY_PER_RANK_S * survivors
    figures["takeover_reads"] = figures["takeovers"] * survivors
    figures["takeover_rate"] = figures["takeover_reads"] / figures["takeover_s"]
    for name, period_s in (
        ("calm", REFRESH_INTERVAL_S),
        ("doubt", MIN_REFRESH_INTERVAL_S),
    ):
        refreshes_per_s = live_servers * figures["called"] / period_s
        figures[f"refresh_{name}"] = refreshes_per_s
        figures[f"refresh_{name}_store"] = refreshes_per_s * compute_fallback_share(
            1 / domains
        )
        figures[f"refresh_{name}_single"] = refreshes_per_s / domains


def compute_fallback_share(dead_share: float) -> float:
    """Return the share of roster refreshes for which all members asked are dead.

    These refreshes read the roster from the store.
    """
    return float(dead_share**MAX_MEMBERS_ASKED)


def add_store_outage(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the reads requested during a store outage and at its end."""
    outage = [
        measurement
        for measurement in results.select_experiment("store-outage")
        if measurement.sizes["down"]
    ][-1]
    figures["outage_node_reads"] = outage.result["reads_per_s"] / outage.sizes["nodes"]
    figures["outage_polls"] = figures["services"]
    figures["outage_reads"] = figures["outage_node_reads"] * figures["servers"]


def add_fleet_restart(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the store calls of a simultaneous start of all nodes."""
    start = results.select_experiment("fleet-start")[-1]
    nodes = start.sizes["nodes"]
    for kind, counter, limit in (
        ("reads", "store_range", STORE_READ_LIMIT_PER_S),
        ("writes", "store_txn", STORE_WRITE_LIMIT_PER_S),
    ):
        calls_per_node = start.result[counter] / nodes
        figures[f"start_{kind}_each"] = calls_per_node
        figures[f"start_{kind}"] = calls_per_node * figures["servers"]
        figures[f"start_{kind}_s"] = calls_per_node * figures["servers"] / limit
    figures["members_asked"] = MAX_MEMBERS_ASKED
    figures["start_s"] = max(figures["start_reads_s"], figures["start_writes_s"])
    figures["start_seconds_measured"] = start.result["ready_s"]
    figures["start_nodes_measured"] = nodes


def add_region_partition(figures: dict[str, float]) -> None:
    """Add a network partition: half of the failure domains lose the store."""
    separated_nodes = figures["servers"] / 2
    figures["parted_nodes"] = separated_nodes
    figures["parted_calls"] = figures["calls"] / 2
    figures["parted_share"] = 0.5
    figures["parted_takeovers"] = (
        PARTITIONS_PER_SERVICE * figures["services"] + figures["partitions"]
    ) / 2
    figures["parted_removals_s"] = figures["services"] / STORE_WRITE_LIMIT_PER_S
    figures["parted_joins_s"] = separated_nodes / STORE_WRITE_LIMIT_PER_S


def add_large_groups(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add groups of over 32 members, in which a node sees only its ring successors."""
    for measurement in results.select_experiment("roster"):
        figures[f"readers_{int(measurement.sizes['members'])}"] = measurement.result[
            "readers"
        ]
    ring_rosters = [
        measurement
        for measurement in results.select_experiment("roster")
        if measurement.result["readers"] > 1
    ]
    figures["ring_seen"] = min(
        measurement.result["live_members_seen"] for measurement in ring_rosters
    )
    figures["ring_groups"] = TWO_YEAR_SIZE["servers"] / 64
    figures["ring_readers"] = figures["ring_groups"] * figures["readers_64"]
