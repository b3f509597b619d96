"""Extrapolates measured costs to the two-year size."""

from collections.abc import Callable
from typing import Final, NamedTuple

from heathermount.capacity.claim_costs import RETENTION_MARGIN_S
from heathermount.capacity.control_costs import SHORT_LEASE_DURATION_S
from heathermount.capacity.measurements import Line, Measurement, fit_line
from heathermount.claims import PARTITIONS_PER_SERVICE
from heathermount.config.documents import MAX_RECENT_CHANGES_BYTES
from heathermount.node.owned_partitions import SERVICES_PER_QUOTA_PARTITION

__all__ = [
    "ASSUMPTIONS",
    "FITS",
    "TWO_YEAR_SIZE",
    "Fit",
    "MeasuredResults",
    "extrapolate",
]

# The two-year size: the fleet size planned for in two years.
TWO_YEAR_SIZE: Final = {
    "servers": 5700.0,
    "services": 590.0,
    "calls": 600_000.0,
    "depth": 11.0,
    "domains": 4.0,
    "changes_a_day": 3300.0,
    "replaced_a_day": 470.0,
    "failed_a_day": 33.0,
}
# Values that the requirements leave open, with their descriptions on the page.
ASSUMPTIONS: Final = {
    "organisations": (512.0, "organisations"),
    "keys": (2.0, "keys of an organisation, withdrawn ones included"),
    "routes": (3.0, "routes of a service"),
    "not_repeatable": (0.1, "share of calls that are not repeatable"),
    "quota_partitions": (216.0, "quota partitions of each failure domain, a setting"),
    "called": (10.0, "services that one node calls"),
    "retention": (600.0, "retention of idempotency keys, in seconds"),
}
QUOTA_PARTITIONS_PER_DOMAIN: Final = ASSUMPTIONS["quota_partitions"][0]
DAY_S: Final = 86_400.0
LEASE_DURATION_S: Final = 120.0
RENEWALS_PER_LEASE: Final = 3.0
FREQUENT_READER_COUNT: Final = 3.0
BASE64_SIZE_RATIO: Final = 4 / 3
CLAIM_BODIES_LIMIT_BYTES: Final = 32 * 1024 * 1024

MeasuredValue = Callable[[Measurement], float]


class Fit(NamedTuple):
    """A line to fit to a result over a size, with the units of both."""

    experiment: str
    size_name: str
    result_name: str
    size_unit: str
    result_unit: str


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


class MeasuredResults:
    """Measurements by experiment, and the lines fitted through them."""

    def __init__(self, measurements: list[Measurement]) -> None:
        self.measurements = measurements
        self.lines: dict[str, Line] = {
            name: fit_line(self.list_points(fit)) for name, fit in FITS.items()
        }

    def select_experiment(self, experiment: str) -> list[Measurement]:
        return [m for m in self.measurements if m.experiment == experiment]

    def list_points(self, fit: Fit) -> list[tuple[float, float]]:
        """Return (size, result) of each measurement that the fit uses."""
        points = []
        for measurement in self.select_experiment(fit.experiment):
            values = measurement.result | measurement.sizes
            if fit.experiment == "claims":
                if measurement.sizes["body_bytes"]:
                    continue
                values["cpu_share"] = values["rate"] * values["cpu_us_per_claim"] / 1e6
            points.append((values[fit.size_name], values[fit.result_name]))
        return points

    def read_last(self, experiment: str, result: str) -> float:
        return self.select_experiment(experiment)[-1].result[result]

    def find_largest(self, experiment: str, result: str) -> float:
        return max(
            measurement.result[result]
            for measurement in self.select_experiment(experiment)
        )

    def predict(self, name: str, size: float) -> float:
        return self.lines[name].predict(size)

    def get_slope(self, name: str) -> float:
        return self.lines[name].slope


def compute_store_rates(
    services: float, members: float, candidates: float, lease_s: float
) -> tuple[float, float]:
    """Return the reads/s and writes/s of an undisturbed fleet.

    The reader of each group reads the configuration head every second. The owner of a
    partition reads and writes its record three times per lease. Of the other
    candidates, at most three read it as often and the rest read it once per lease. A
    claim partition has `members` candidates, a quota partition has `candidates`.
    """
    period_s = lease_s / RENEWALS_PER_LEASE
    claim_partitions = services * PARTITIONS_PER_SERVICE
    quota_partitions = TWO_YEAR_SIZE["domains"] * QUOTA_PARTITIONS_PER_DOMAIN

    def sum_candidate_reads(candidate_count: float) -> float:
        others = max(0.0, candidate_count - 1)
        frequent_readers = min(others, FREQUENT_READER_COUNT)
        return (1 + frequent_readers) / period_s + (others - frequent_readers) / lease_s

    reads = (
        services
        + claim_partitions * sum_candidate_reads(members)
        + quota_partitions * sum_candidate_reads(candidates)
    )
    return reads, (claim_partitions + quota_partitions) / period_s


def predict_store_rates(sizes: list[float], lease_s: float) -> tuple[float, float]:
    """Return the rates of a measured fleet whose nodes may all own quota partitions."""
    quota_candidates = sum(sizes) / TWO_YEAR_SIZE["domains"]
    quota_reads, quota_writes = compute_store_rates(0, 0, quota_candidates, lease_s)
    group_rates = [
        compute_store_rates(1, size, quota_candidates, lease_s) for size in sizes
    ]
    reads = sum(r - quota_reads for r, _ in group_rates) + quota_reads
    writes = sum(w - quota_writes for _, w in group_rates) + quota_writes
    return reads, writes


def extrapolate(results: MeasuredResults) -> dict[str, float]:
    """Return all figures of the page by name."""
    figures = TWO_YEAR_SIZE | {name: value for name, (value, _) in ASSUMPTIONS.items()}
    figures["members"] = figures["servers"] / figures["services"]
    figures["calls_per_node"] = figures["calls"] / figures["servers"]
    for add_figures in (add_configuration, add_node, add_quota, add_claims, add_calls):
        add_figures(results, figures)
    for add_figures in (
        add_partition_owners,
        add_tool,
        add_store,
        add_store_checks,
        add_shared_figures,
    ):
        add_figures(results, figures)
    return figures


def add_configuration(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the size of the configuration document and the cost of adopting changes.

    Each organisation has an entry for itself, one for its rate, and one for each key.
    """
    entries_per_organisation = 2 + figures["keys"]
    entries = figures["services"] * figures["routes"]
    entries += figures["organisations"] * entries_per_organisation
    document_bytes = results.predict("document_bytes", entries)
    figures["entries"] = entries
    figures["document"] = document_bytes
    figures["adopt_s"] = results.predict("adopt", document_bytes) / 1e3
    figures["adopt_share"] = figures["adopt_s"] * figures["changes_a_day"] / DAY_S
    figures["config_state"] = results.predict("config_state", document_bytes)
    figures["snapshot"] = results.predict("snapshot", document_bytes)
    figures["entries_at_limit"] = (
        1e6 / results.get_slope("snapshot") / results.get_slope("document_bytes")
    )
    figures["change_every_s"] = DAY_S / figures["changes_a_day"]
    figures["delta"] = results.read_last("configuration", "delta_bytes")
    figures["delta_rate"] = figures["delta"] / figures["change_every_s"]
    figures["spread_s"] = results.find_largest("change-spread", "everywhere_s")


def add_node(results: MeasuredResults, figures: dict[str, float]) -> None:
    members, services = figures["members"], figures["services"]
    services_cpu = max(0.0, results.get_slope("services_cpu")) * services
    figures["idle_cpu"] = results.predict("control_cpu", members)
    figures["services_cpu"] = services_cpu
    # The cost of all declared services is part of the measured idle CPU time.
    figures["node_cpu"] = figures["idle_cpu"] + figures["adopt_share"]
    figures["node_messages"] = results.predict("control_messages", members)
    figures["node_sent"] = results.predict("control_sent", members)
    figures["node_received"] = results.predict("control_received", members)
    figures["node_bytes"] = figures["node_sent"] + figures["node_received"]
    figures["head_rate"] = MAX_RECENT_CHANGES_BYTES * BASE64_SIZE_RATIO
    figures["reader_bytes"] = figures["node_bytes"] + figures["head_rate"]
    figures["link"] = results.get_slope("link_memory") / 2
    figures["links"] = 2 * members + figures["called"] * members * 2
    figures["links"] += figures["domains"] * QUOTA_PARTITIONS_PER_DOMAIN
    figures["node_memory"] = (
        results.predict("control_memory", members)
        + figures["config_state"]
        + figures["links"] * figures["link"]
    )
    figures["roster"] = results.predict("roster_bytes", members)
    figures["members_at_limit"] = 1e6 / results.get_slope("roster_bytes")
    # 0.027 is the limit of a node's control CPU share, see limits.py.
    cpu_line = results.lines["control_cpu"]
    spare_cpu = 0.027 - figures["adopt_share"] - cpu_line.intercept
    figures["members_at_cpu"] = spare_cpu / cpu_line.slope


def add_quota(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the load of the quota partitions and their owners.

    Case "all" assumes that every call comes from outside the fleet, "deep" that only
    one in `depth` calls does. "few" and "many" are the smallest and the largest
    measured number of organisations.
    """
    partitions = figures["domains"] * QUOTA_PARTITIONS_PER_DOMAIN
    figures["partitions"] = partitions
    message_s = results.get_slope("message_cpu") / 2
    grant_s = (
        results.predict("grant", figures["organisations"] / QUOTA_PARTITIONS_PER_DOMAIN)
        / 1e6
    )
    figures["message_cpu_s"], figures["grant_cpu_s"] = message_s, grant_s
    for call_case, root_share in (("all", 1.0), ("deep", 1 / figures["depth"])):
        for organisation_case in ("few", "many"):
            spender = results.select_experiment("spender")[
                0 if organisation_case == "few" else -1
            ]
            messages_per_call = spender.result["messages_per_call"]
            messages_per_s = (
                figures["calls"] * root_share * messages_per_call / partitions
            )
            figures[f"quota_{call_case}_{organisation_case}"] = messages_per_s
            figures[f"quota_{call_case}_{organisation_case}_cpu"] = messages_per_s * (
                message_s + grant_s
            )
            message_bytes = spender.result["bytes_per_message"]
            figures[f"quota_{call_case}_{organisation_case}_bytes"] = (
                messages_per_s * message_bytes
            )
            figures[f"share_{organisation_case}"] = messages_per_call
    figures["quota_limit"] = 0.027 / (message_s + grant_s)
    figures["quota_needed"] = partitions * figures["quota_deep_many_cpu"] / 0.027
    organisations_per_partition = figures["organisations"] / QUOTA_PARTITIONS_PER_DOMAIN
    figures["quota_state"] = results.get_slope("bucket") * organisations_per_partition
    figures["quota_links"] = figures["servers"] / figures["domains"]
    figures["quota_memory"] = figures["quota_links"] * figures["link"]
    figures["quota_renewals"] = partitions / (LEASE_DURATION_S / RENEWALS_PER_LEASE)


def add_partition_owners(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the totals of a node that also owns a partition."""
    node_cpu = figures["node_cpu"]
    for call_case in ("all", "deep"):
        quota_load = f"quota_{call_case}_many"
        figures[f"owner_cpu_{call_case}"] = node_cpu + figures[f"{quota_load}_cpu"]
        figures[f"owner_bytes_{call_case}"] = (
            figures["node_bytes"] + figures[f"{quota_load}_bytes"]
        )
    figures["claim_owner_cpu"] = node_cpu + figures["claim_cpu"]
    figures["quota_owner_memory"] = figures["node_memory"] + figures["quota_memory"]


def add_claims(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the load of a claim partition: a claim and a settlement for each call."""
    partitions = figures["services"] * PARTITIONS_PER_SERVICE
    claims_per_s = figures["calls"] * figures["not_repeatable"] / partitions
    retention_s = figures["retention"] + RETENTION_MARGIN_S
    claim_bytes = results.get_slope("claim_bytes")
    cpu_s = results.get_slope("claim_cpu")
    messages_cpu_s = 2 * figures["message_cpu_s"]
    figures["claim_rate"] = claims_per_s
    figures["claim_each"] = claim_bytes
    figures["claim_held"] = claims_per_s * retention_s
    figures["claim_memory"] = claims_per_s * retention_s * claim_bytes
    figures["claim_cpu_s"] = cpu_s
    figures["claim_cpu"] = claims_per_s * (cpu_s + messages_cpu_s)
    figures["claim_messages"] = 2 * claims_per_s
    figures["claim_bodies"] = CLAIM_BODIES_LIMIT_BYTES
    spare_bytes = 128e6 - figures["node_memory"] - CLAIM_BODIES_LIMIT_BYTES
    figures["claim_spare"] = spare_bytes
    figures["claim_limit"] = spare_bytes / (claim_bytes * retention_s)
    figures["claim_cpu_limit"] = 0.027 / (cpu_s + messages_cpu_s)
    figures["claim_total_memory"] = (
        figures["node_memory"] + CLAIM_BODIES_LIMIT_BYTES + figures["claim_memory"]
    )
    handover = [
        m for m in results.select_experiment("claims") if not m.sizes["body_bytes"]
    ][-1]
    figures["claim_handover"] = (
        figures["claim_held"] * handover.result["handover_bytes"]
    ) / handover.result["held"]


def add_calls(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the cost of calls at the entry and executing node, and the added latency."""
    calls_per_s = figures["calls_per_node"]
    for role in ("entry", "executing"):
        cpu_s = results.get_slope(f"{role}_cpu")
        figures[f"{role}_call_s"] = cpu_s
        figures[f"{role}_per_core"] = 1 / cpu_s
        figures[f"{role}_cpu"] = calls_per_s * cpu_s
        figures[f"{role}_call_bytes"] = results.get_slope(f"{role}_sent")
        figures[f"{role}_sent"] = calls_per_s * results.get_slope(f"{role}_sent")
        figures[f"{role}_memory"] = results.read_last("calls", f"{role}_memory_bytes")
    figures["data_cpu"] = figures["entry_cpu"] + figures["executing_cpu"]
    for path in results.select_experiment("latency"):
        for name in ("p50", "p99", "added_p50", "added_p99"):
            nodes = int(path.sizes["nodes"])
            figures[f"{name}_{nodes}"] = path.result[f"{name}_ms"] / 1e3


def add_tool(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add the cost of the operators' tool, which pushes to three nodes per service."""
    call_cpu_s = results.get_slope("tool_cpu")
    figures["tool_call_s"] = call_cpu_s
    figures["pushes"] = 3 * figures["services"]
    figures["push_s"] = figures["pushes"] * call_cpu_s
    figures["confirm_s"] = figures["servers"] * call_cpu_s
    figures["spread_size_s"] = (
        figures["push_s"] + figures["spread_s"] + figures["adopt_s"]
    )
    figures["tool_bytes"] = (
        figures["servers"] * results.get_slope("roster_bytes") * BASE64_SIZE_RATIO
    )
    figures["tool_busy"] = (
        (figures["push_s"] + figures["confirm_s"]) * figures["changes_a_day"] / DAY_S
    )


def add_store(results: MeasuredResults, figures: dict[str, float]) -> None:
    services, members = figures["services"], figures["members"]
    candidates = SERVICES_PER_QUOTA_PARTITION * members / figures["domains"]
    reads, writes = compute_store_rates(services, members, candidates, LEASE_DURATION_S)
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
        + figures["servers"] * (results.get_slope("roster_bytes"))
    )


def add_store_checks(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add predicted and measured store calls, to check `compute_store_rates`."""
    groups = results.select_experiment("ownership-group")
    sizes = [measurement.sizes["members"] for measurement in groups]
    reads, writes = predict_store_rates(sizes, SHORT_LEASE_DURATION_S)
    figures["check_reads"], figures["check_writes"] = reads, writes
    for kind in ("reads", "writes"):
        figures[f"measured_{kind}"] = sum(
            measurement.result[f"group_store_{kind}_per_s"] for measurement in groups
        )


def add_shared_figures(results: MeasuredResults, figures: dict[str, float]) -> None:
    """Add figures that several parts of the page need."""
    calls = figures["calls_per_node"]
    figures["claim_entry_messages"] = 2 * calls * figures["not_repeatable"]
    message_bytes = results.read_last("spender", "bytes_per_message")
    with_body = [
        m for m in results.select_experiment("claims") if m.sizes["body_bytes"]
    ][-1]
    response_bytes = with_body.result["handover_bytes"] / with_body.result["held"]
    # A claim and its reply, and a settlement that carries the response.
    figures["claim_message_bytes"] = figures["claim_rate"] * (
        2 * message_bytes + response_bytes
    )
    quota_partitions_per_service = (
        figures["partitions"] * SERVICES_PER_QUOTA_PARTITION / figures["services"]
    )
    figures["home_share"] = min(1.0, quota_partitions_per_service)
    figures["lookup_s"] = results.read_last("library-lookup", "lookup_us") / 1e6
    figures["data_call_s"] = figures["entry_call_s"] + figures["executing_call_s"]
    figures["head_full"] = MAX_RECENT_CHANGES_BYTES // figures["delta"]
    figures["start_snapshot_bytes"] = (
        figures["servers"] * figures["snapshot"] * BASE64_SIZE_RATIO
    )
