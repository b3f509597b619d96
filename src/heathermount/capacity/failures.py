"""What large failures ask of the store, worked out from measured figures."""

from typing import Final

from heathermount.capacity.model import SIZE, Results
from heathermount.claims import PARTITIONS_PER_SERVICE
from heathermount.membership.directory import (
    MAX_MEMBERS_ASKED,
    MIN_REFRESH_INTERVAL_S,
    REFRESH_INTERVAL_S,
)
from heathermount.membership.group import REMOVAL_SPREAD_S

__all__ = ["READ_LIMIT", "WRITE_LIMIT", "add_failures"]

# The store's limits (G11); "several hundred" writes are taken as 300.
READ_LIMIT: Final = 2000.0
WRITE_LIMIT: Final = 300.0
# A proof of death comes with the next heartbeat, and the reader removes the dead
# in its next period.
RANK_DELAY_S: Final = 0.5


def add_failures(results: Results, figures: dict[str, float]) -> None:
    """Add the figures of each scenario."""
    figures["read_limit"], figures["write_limit"] = READ_LIMIT, WRITE_LIMIT
    add_domain_loss(figures)
    add_outage(results, figures)
    add_restart(results, figures)
    add_parting(figures)
    add_large_groups(results, figures)


def add_domain_loss(figures: dict[str, float]) -> None:
    """A failure domain lost: removals, takeovers and roster refreshes."""
    servers, domains = figures["servers"], figures["domains"]
    dead = servers / domains
    alive = servers - dead
    partitions = PARTITIONS_PER_SERVICE * figures["services"] + figures["partitions"]
    survivors = figures["members"] * (1 - 1 / domains)
    figures["dead"] = dead
    figures["removal_calls"] = figures["services"]
    figures["removal_rate"] = figures["services"] / REMOVAL_SPREAD_S
    figures["takeovers"] = partitions / domains
    figures["takeover_s"] = RANK_DELAY_S * survivors
    figures["takeover_reads"] = figures["takeovers"] * survivors
    figures["takeover_rate"] = figures["takeover_reads"] / figures["takeover_s"]
    for name, period_s in (
        ("calm", REFRESH_INTERVAL_S),
        ("doubt", MIN_REFRESH_INTERVAL_S),
    ):
        asked = alive * figures["called"] / period_s
        figures[f"refresh_{name}"] = asked
        figures[f"refresh_{name}_store"] = asked * missed_share(1 / domains)
        figures[f"refresh_{name}_single"] = asked / domains


def missed_share(dead_share: float) -> float:
    """Return the share of roster refreshes whose asked members are all dead."""
    return float(dead_share**MAX_MEMBERS_ASKED)


def add_outage(results: Results, figures: dict[str, float]) -> None:
    """A store outage: reads that are asked for, and those at its end."""
    down = [one for one in results.of("store-outage") if one.sizes["down"]][-1]
    figures["outage_node_reads"] = down.result["reads_per_s"] / down.sizes["nodes"]
    figures["outage_polls"] = figures["services"]
    figures["outage_reads"] = figures["outage_node_reads"] * figures["servers"]


def add_restart(results: Results, figures: dict[str, float]) -> None:
    """All nodes start at the same time."""
    start = results.of("fleet-start")[-1]
    nodes = start.sizes["nodes"]
    for kind, counter, limit in (
        ("reads", "store_range", READ_LIMIT),
        ("writes", "store_txn", WRITE_LIMIT),
    ):
        each = start.result[counter] / nodes
        figures[f"start_{kind}_each"] = each
        figures[f"start_{kind}"] = each * figures["servers"]
        figures[f"start_{kind}_s"] = each * figures["servers"] / limit
    figures["members_asked"] = MAX_MEMBERS_ASKED
    figures["start_s"] = max(figures["start_reads_s"], figures["start_writes_s"])
    figures["start_seconds_measured"] = start.result["ready_s"]
    figures["start_nodes_measured"] = nodes


def add_parting(figures: dict[str, float]) -> None:
    """Regions apart: half of the domains, and the store on one side."""
    half = figures["servers"] / 2
    figures["parted_nodes"] = half
    figures["parted_calls"] = figures["calls"] / 2
    figures["parted_share"] = 0.5
    figures["parted_takeovers"] = (
        PARTITIONS_PER_SERVICE * figures["services"] + figures["partitions"]
    ) / 2
    figures["parted_removals_s"] = figures["services"] / WRITE_LIMIT
    figures["parted_joins_s"] = half / WRITE_LIMIT


def add_large_groups(results: Results, figures: dict[str, float]) -> None:
    """Groups over 32 members, in which a node sees only its ring successors."""
    for one in results.of("roster"):
        figures[f"readers_{int(one.sizes['members'])}"] = one.result["readers"]
    ring = [one for one in results.of("roster") if one.result["readers"] > 1]
    figures["ring_seen"] = min(one.result["live_members_seen"] for one in ring)
    figures["ring_groups"] = SIZE["servers"] / 64
    figures["ring_readers"] = figures["ring_groups"] * figures["readers_64"]
