"""Extrapolates measured slopes to the two-year size."""

from collections.abc import Callable
from typing import Final, NamedTuple

from heathermount.capacity.claims import MARGIN_S
from heathermount.capacity.control import OWNER_TERM_S
from heathermount.capacity.records import Line, Measurement, fit_line
from heathermount.claims import PARTITIONS_PER_SERVICE
from heathermount.config.documents import MAX_RECENT_CHANGES_BYTES
from heathermount.node.partitions import HOME_SERVICES

__all__ = ["ASSUMPTIONS", "FITS", "SIZE", "Fit", "Results", "extrapolate"]

# The two-year size (section 1.3 of the design).
SIZE: Final = {
    "servers": 5700.0,
    "services": 590.0,
    "calls": 600_000.0,
    "depth": 11.0,
    "domains": 4.0,
    "changes_a_day": 3300.0,
    "replaced_a_day": 470.0,
    "failed_a_day": 33.0,
}
# What the requirements leave open.
ASSUMPTIONS: Final = {
    "organisations": (512.0, "organisations"),
    "keys": (2.0, "keys of an organisation, withdrawn ones included"),
    "routes": (3.0, "routes of a service"),
    "not_repeatable": (0.1, "share of calls that are not repeatable"),
    "quota_partitions": (216.0, "quota partitions of each failure domain, a setting"),
    "called": (10.0, "services that one node calls"),
    "retention": (600.0, "retention of idempotency keys, in seconds"),
}
PARTITIONS: Final = ASSUMPTIONS["quota_partitions"][0]
DAY_S: Final = 86_400.0
TERM_S: Final = 120.0
RENEWALS: Final = 3.0
READING_RANKS: Final = 3.0
BASE64: Final = 4 / 3
BODIES_BYTES: Final = 32 * 1024 * 1024

Value = Callable[[Measurement], float]


class Fit(NamedTuple):
    """A line to be fitted: result over size, both with their units."""

    experiment: str
    size: str
    result: str
    size_unit: str
    unit: str


FITS: Final = {
    "control_cpu": Fit("control-group", "members", "cpu_share", "member", "core"),
    "control_messages": Fit(
        "control-group", "members", "messages_sent_per_s", "member", "messages/s"
    ),
    "control_sent": Fit(
        "control-group", "members", "written_bytes_per_s", "member", "B/s"
    ),
    "control_received": Fit(
        "control-group", "members", "read_bytes_per_s", "member", "B/s"
    ),
    "control_memory": Fit("control-group", "members", "memory_bytes", "member", "B"),
    "services_cpu": Fit(
        "declared-services", "services", "cpu_share", "declared service", "core"
    ),
    "services_memory": Fit(
        "declared-services", "services", "memory_bytes", "declared service", "B"
    ),
    "roster_bytes": Fit("roster", "members", "record_bytes", "member", "B"),
    "document_bytes": Fit("configuration", "entries", "document_bytes", "entry", "B"),
    "adopt": Fit("configuration", "document_bytes", "adopt_cpu_ms", "byte", "ms"),
    "config_state": Fit("configuration", "document_bytes", "state_bytes", "byte", "B"),
    "snapshot": Fit("configuration", "document_bytes", "snapshot_bytes", "byte", "B"),
    "bucket": Fit("allocator", "organisations", "state_bytes", "organisation", "B"),
    "grant": Fit("allocator", "organisations", "grant_cpu_us", "organisation", "µs"),
    "message_cpu": Fit("link-messages", "messages_per_s", "cpu_share", "/s", "core"),
    "link_memory": Fit("open-links", "links", "memory_bytes", "link, both ends", "B"),
    "claim_bytes": Fit("claims", "held", "held_bytes", "held claim", "B"),
    "claim_cpu": Fit("claims", "rate", "cpu_share", "claim/s", "core"),
    "entry_cpu": Fit("calls", "calls_per_s", "entry_cpu_share", "call/s", "core"),
    "executing_cpu": Fit(
        "calls", "calls_per_s", "executing_cpu_share", "call/s", "core"
    ),
    "entry_sent": Fit(
        "calls", "calls_per_s", "entry_written_bytes_per_s", "call/s", "B/s"
    ),
    "executing_sent": Fit(
        "calls", "calls_per_s", "executing_written_bytes_per_s", "call/s", "B/s"
    ),
    "tool_cpu": Fit("tool-calls", "nodes", "cpu_s", "node", "s"),
}


class Results:
    """Measurements by experiment, and the lines fitted through them."""

    def __init__(self, measurements: list[Measurement]) -> None:
        self.measurements = measurements
        self.lines: dict[str, Line] = {
            name: fit_line(self.points(fit)) for name, fit in FITS.items()
        }

    def of(self, experiment: str) -> list[Measurement]:
        return [m for m in self.measurements if m.experiment == experiment]

    def points(self, fit: Fit) -> list[tuple[float, float]]:
        """Return (size, result) of each measurement that a fit is made of."""
        found = []
        for one in self.of(fit.experiment):
            values = one.result | one.sizes
            if fit.experiment == "claims":
                if one.sizes["body_bytes"]:
                    continue
                values["cpu_share"] = values["rate"] * values["cpu_us_per_claim"] / 1e6
            found.append((values[fit.size], values[fit.result]))
        return found

    def last(self, experiment: str, result: str) -> float:
        return self.of(experiment)[-1].result[result]

    def largest(self, experiment: str, result: str) -> float:
        return max(one.result[result] for one in self.of(experiment))

    def at(self, name: str, size: float) -> float:
        return self.lines[name].at(size)

    def slope(self, name: str) -> float:
        return self.lines[name].slope


def store_rates(
    services: float, members: float, candidates: float, term_s: float
) -> tuple[float, float]:
    """Return the reads/s and writes/s of an undisturbed fleet.

    Each group's reader reads the head every second. The owner of a partition reads
    and writes its record every term / 3. Of the other candidates at most three read
    it as often and the rest once in a term. `candidates` are those of a quota
    partition.
    """
    period_s = term_s / RENEWALS
    claims = services * PARTITIONS_PER_SERVICE
    quota = SIZE["domains"] * PARTITIONS

    def watching(count: float) -> float:
        others = max(0.0, count - 1)
        near = min(others, READING_RANKS)
        return (1 + near) / period_s + (others - near) / term_s

    reads = services + claims * watching(members) + quota * watching(candidates)
    return reads, (claims + quota) / period_s


def predicted_store_rates(sizes: list[float], term_s: float) -> tuple[float, float]:
    """Return the rates of a measured fleet, all of whose groups are home services."""
    candidates = sum(sizes) / SIZE["domains"]
    quota_reads, quota_writes = store_rates(0, 0, candidates, term_s)
    group_rates = [store_rates(1, size, candidates, term_s) for size in sizes]
    reads = sum(r - quota_reads for r, _ in group_rates) + quota_reads
    writes = sum(w - quota_writes for _, w in group_rates) + quota_writes
    return reads, writes


def extrapolate(results: Results) -> dict[str, float]:
    """Return all figures of the page by name."""
    figures = SIZE | {name: value for name, (value, _) in ASSUMPTIONS.items()}
    figures["members"] = figures["servers"] / figures["services"]
    figures["calls_per_node"] = figures["calls"] / figures["servers"]
    for part in (add_configuration, add_node, add_quota, add_claims, add_calls):
        part(results, figures)
    for part in (add_owners, add_tool, add_store, add_checks, add_shares):
        part(results, figures)
    return figures


def add_configuration(results: Results, figures: dict[str, float]) -> None:
    keys_and_share = 2 + figures["keys"]
    entries = figures["services"] * figures["routes"]
    entries += figures["organisations"] * keys_and_share
    size = results.at("document_bytes", entries)
    figures["entries"] = entries
    figures["document"] = size
    figures["adopt_s"] = results.at("adopt", size) / 1e3
    figures["adopt_share"] = figures["adopt_s"] * figures["changes_a_day"] / DAY_S
    figures["config_state"] = results.at("config_state", size)
    figures["snapshot"] = results.at("snapshot", size)
    figures["entries_at_limit"] = (
        1e6 / results.slope("snapshot") / results.slope("document_bytes")
    )
    figures["change_every_s"] = DAY_S / figures["changes_a_day"]
    figures["delta"] = results.last("configuration", "delta_bytes")
    figures["delta_rate"] = figures["delta"] / figures["change_every_s"]
    figures["spread_s"] = results.largest("change-spread", "everywhere_s")


def add_node(results: Results, figures: dict[str, float]) -> None:
    members, services = figures["members"], figures["services"]
    added = max(0.0, results.slope("services_cpu")) * services
    figures["idle_cpu"] = results.at("control_cpu", members)
    figures["services_cpu"] = added
    # The measured nodes have all services in their declaration.
    figures["node_cpu"] = figures["idle_cpu"] + figures["adopt_share"]
    figures["node_messages"] = results.at("control_messages", members)
    figures["node_sent"] = results.at("control_sent", members)
    figures["node_received"] = results.at("control_received", members)
    figures["node_bytes"] = figures["node_sent"] + figures["node_received"]
    figures["head_rate"] = MAX_RECENT_CHANGES_BYTES * BASE64
    figures["reader_bytes"] = figures["node_bytes"] + figures["head_rate"]
    figures["link"] = results.slope("link_memory") / 2
    figures["links"] = 2 * members + figures["called"] * members * 2
    figures["links"] += figures["domains"] * PARTITIONS
    figures["node_memory"] = (
        results.at("control_memory", members)
        + figures["config_state"]
        + figures["links"] * figures["link"]
    )
    figures["roster"] = results.at("roster_bytes", members)
    figures["members_at_limit"] = 1e6 / results.slope("roster_bytes")
    line = results.lines["control_cpu"]
    spare = 0.027 - figures["adopt_share"] - line.base
    figures["members_at_cpu"] = spare / line.slope


def add_quota(results: Results, figures: dict[str, float]) -> None:
    partitions = figures["domains"] * PARTITIONS
    figures["partitions"] = partitions
    message_s = results.slope("message_cpu") / 2
    grant_s = results.at("grant", figures["organisations"] / PARTITIONS) / 1e6
    figures["message_cpu_s"], figures["grant_cpu_s"] = message_s, grant_s
    for case, roots in (("all", 1.0), ("deep", 1 / figures["depth"])):
        for count in ("few", "many"):
            spender = results.of("spender")[0 if count == "few" else -1]
            share = spender.result["messages_per_call"]
            rate = figures["calls"] * roots * share / partitions
            figures[f"quota_{case}_{count}"] = rate
            figures[f"quota_{case}_{count}_cpu"] = rate * (message_s + grant_s)
            size = spender.result["bytes_per_message"]
            figures[f"quota_{case}_{count}_bytes"] = rate * size
            figures[f"share_{count}"] = share
    figures["quota_limit"] = 0.027 / (message_s + grant_s)
    figures["quota_needed"] = partitions * figures["quota_deep_many_cpu"] / 0.027
    per_partition = figures["organisations"] / PARTITIONS
    figures["quota_state"] = results.slope("bucket") * per_partition
    figures["quota_links"] = figures["servers"] / figures["domains"]
    figures["quota_memory"] = figures["quota_links"] * figures["link"]
    figures["quota_renewals"] = partitions / (TERM_S / RENEWALS)


def add_owners(results: Results, figures: dict[str, float]) -> None:
    """Add the totals of a node that also owns a partition."""
    node = figures["node_cpu"]
    for case in ("all", "deep"):
        load = f"quota_{case}_many"
        figures[f"owner_cpu_{case}"] = node + figures[f"{load}_cpu"]
        figures[f"owner_bytes_{case}"] = (
            figures["node_bytes"] + figures[f"{load}_bytes"]
        )
    figures["claim_owner_cpu"] = node + figures["claim_cpu"]
    figures["quota_owner_memory"] = figures["node_memory"] + figures["quota_memory"]


def add_claims(results: Results, figures: dict[str, float]) -> None:
    slots = figures["services"] * PARTITIONS_PER_SERVICE
    rate = figures["calls"] * figures["not_repeatable"] / slots
    held_s = figures["retention"] + MARGIN_S
    each = results.slope("claim_bytes")
    cpu_s = results.slope("claim_cpu")
    transport_s = 2 * figures["message_cpu_s"]
    figures["claim_rate"] = rate
    figures["claim_each"] = each
    figures["claim_held"] = rate * held_s
    figures["claim_memory"] = rate * held_s * each
    figures["claim_cpu_s"] = cpu_s
    figures["claim_cpu"] = rate * (cpu_s + transport_s)
    figures["claim_messages"] = 2 * rate
    figures["claim_bodies"] = BODIES_BYTES
    spare = 128e6 - figures["node_memory"] - BODIES_BYTES
    figures["claim_spare"] = spare
    figures["claim_limit"] = spare / (each * held_s)
    figures["claim_cpu_limit"] = 0.027 / (cpu_s + transport_s)
    figures["claim_total_memory"] = (
        figures["node_memory"] + BODIES_BYTES + figures["claim_memory"]
    )
    handover = [m for m in results.of("claims") if not m.sizes["body_bytes"]][-1]
    figures["claim_handover"] = (
        figures["claim_held"] * handover.result["handover_bytes"]
    ) / handover.result["held"]


def add_calls(results: Results, figures: dict[str, float]) -> None:
    rate = figures["calls_per_node"]
    for role in ("entry", "executing"):
        cost = results.slope(f"{role}_cpu")
        figures[f"{role}_call_s"] = cost
        figures[f"{role}_per_core"] = 1 / cost
        figures[f"{role}_cpu"] = rate * cost
        figures[f"{role}_call_bytes"] = results.slope(f"{role}_sent")
        figures[f"{role}_sent"] = rate * results.slope(f"{role}_sent")
        figures[f"{role}_memory"] = results.last("calls", f"{role}_memory_bytes")
    figures["data_cpu"] = figures["entry_cpu"] + figures["executing_cpu"]
    for path in results.of("latency"):
        for name in ("p50", "p99", "added_p50", "added_p99"):
            nodes = int(path.sizes["nodes"])
            figures[f"{name}_{nodes}"] = path.result[f"{name}_ms"] / 1e3


def add_tool(results: Results, figures: dict[str, float]) -> None:
    cost = results.slope("tool_cpu")
    figures["tool_call_s"] = cost
    figures["pushes"] = 3 * figures["services"]
    figures["push_s"] = figures["pushes"] * cost
    figures["confirm_s"] = figures["servers"] * cost
    figures["spread_size_s"] = (
        figures["push_s"] + figures["spread_s"] + figures["adopt_s"]
    )
    figures["tool_bytes"] = figures["servers"] * results.slope("roster_bytes") * BASE64
    figures["tool_busy"] = (
        (figures["push_s"] + figures["confirm_s"]) * figures["changes_a_day"] / DAY_S
    )


def add_store(results: Results, figures: dict[str, float]) -> None:
    services, members = figures["services"], figures["members"]
    candidates = HOME_SERVICES * members / figures["domains"]
    reads, writes = store_rates(services, members, candidates, TERM_S)
    moves = (2 * figures["replaced_a_day"] + 2 * figures["failed_a_day"]) / DAY_S
    changes = 1 / figures["change_every_s"]
    figures["store_head"] = services
    figures["store_watch"] = reads - services
    figures["store_moves"] = moves * (1 + members)
    figures["store_reads"] = reads + figures["store_moves"] + 4 * changes
    figures["store_renewals"] = writes
    figures["store_writes"] = writes + moves + changes
    figures["store_head_bytes"] = services * figures["head_rate"]
    figures["store_state"] = (
        figures["snapshot"]
        + MAX_RECENT_CHANGES_BYTES
        + figures["servers"] * (results.slope("roster_bytes"))
    )


def add_checks(results: Results, figures: dict[str, float]) -> None:
    """Compare the formula for the store's calls with a measured fleet."""
    groups = results.of("ownership-group")
    sizes = [one.sizes["members"] for one in groups]
    reads, writes = predicted_store_rates(sizes, OWNER_TERM_S)
    figures["check_reads"], figures["check_writes"] = reads, writes
    for kind in ("reads", "writes"):
        figures[f"measured_{kind}"] = sum(
            one.result[f"group_store_{kind}_per_s"] for one in groups
        )


def add_shares(results: Results, figures: dict[str, float]) -> None:
    """Add figures that several parts of the page need."""
    calls = figures["calls_per_node"]
    figures["claim_entry_messages"] = 2 * calls * figures["not_repeatable"]
    message_bytes = results.last("spender", "bytes_per_message")
    body = [m for m in results.of("claims") if m.sizes["body_bytes"]][-1]
    answer = body.result["handover_bytes"] / body.result["held"]
    # A claim and its reply, and a settlement that carries the response.
    figures["claim_message_bytes"] = figures["claim_rate"] * (
        2 * message_bytes + answer
    )
    homes = figures["partitions"] * HOME_SERVICES / figures["services"]
    figures["home_share"] = min(1.0, homes)
    figures["lookup_s"] = results.last("library-lookup", "lookup_us") / 1e6
    figures["data_call_s"] = figures["entry_call_s"] + figures["executing_call_s"]
    figures["head_full"] = MAX_RECENT_CHANGES_BYTES // figures["delta"]
    figures["start_snapshot_bytes"] = figures["servers"] * figures["snapshot"] * BASE64
