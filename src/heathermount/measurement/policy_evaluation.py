"""Evaluates a policy run from callers' results and backend servers' records."""

import os
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from heathermount.capacity.nominal_capacity import CostModel, compute_entitlements
from heathermount.runner.scenarios import SLOWDOWN_FACTOR, Scenario
from heathermount.runner.topologies import FleetDescription
from heathermount.runner.workloads import make_mix
from heathermount.soak.checks import RateLimit
from heathermount.standins.records import CallResult, RunRecord

__all__ = ["PolicyResult", "RootRequest", "evaluate_run", "compute_slot_use"]

LOAD_WARM_UP_S: Final = 1.0
# Goodput and served/entitled ratios leave out the first seconds of the disturbance,
# so that they describe the steady state that the policy reaches.
SETTLING_S: Final = 2.0
# Recovery is looked for in windows of this length that start one step apart.
RECOVERY_WINDOW_S: Final = 1.0
RECOVERY_STEP_S: Final = 0.25
RECOVERED_SUCCESS_RATIO: Final = 0.95
# Organisations entitled to fewer requests than this in the measured window are left
# out of the worst ratio, because theirs says nothing.
MIN_ENTITLED_REQUESTS: Final = 5


class PolicyResult(msgspec.Struct, kw_only=True):
    """Results of one run. Shares are fractions of 1.

    `recovery_s` is -1 when the fleet did not recover within the run.
    """

    fleet: str
    scenario: str
    variant: str
    seed: int
    revision: str
    load_average: float
    capacity_per_s: float
    requests: int
    attempts: int
    skipped: int
    goodput: float
    # Share of the slot time that requests held, at the service where it is largest,
    # and the part of it that belonged to requests that succeeded.
    busy: float = 0.0
    useful: float = 0.0
    # Highest goodput possible with the offered mix, see compute_possible_goodput.
    possible: float
    success_before: float
    success_during: float
    recovery_s: float
    worst_ratio: float
    worst_organisation: str
    wrongful_429: float
    refused_503: float
    timed_out: float
    p50_ms: float
    p99_ms: float
    outcomes: dict[str, int]


class RootRequest(msgspec.Struct):
    """A root request with all of its attempts."""

    organisation: str
    method: str
    path: str
    # Seconds from the start of the load to the scheduled time of the first attempt.
    scheduled_s: float
    succeeded: bool
    latency_s: float
    last_attempt: CallResult


def group_attempts(
    results: Sequence[CallResult], started_at: float
) -> list[RootRequest]:
    """Group attempts by request; return the requests in order of their schedule."""
    requests: dict[str, RootRequest] = {}
    for result in results:
        request = requests.get(result.test_id)
        if request is None:
            request = RootRequest(
                result.organisation,
                result.method,
                result.path,
                result.scheduled - started_at,
                False,
                0.0,
                result,
            )
            requests[result.test_id] = request
        request.last_attempt = result
        if result.succeeded and result.whole and result.own:
            request.succeeded = True
            request.latency_s = result.latency_s
    return sorted(requests.values(), key=lambda request: request.scheduled_s)


def evaluate_run(
    fleet: FleetDescription,
    scenario: Scenario,
    results: Sequence[CallResult],
    started_at: float,
) -> PolicyResult:
    """Compute the results of a run.

    The caller fills in the variant, seed, revision, slot use and skipped requests.
    """
    model = CostModel(fleet)
    capacity = model.compute_capacity(make_mix(fleet))
    requests = group_attempts(results, started_at)
    before = [r for r in requests if LOAD_WARM_UP_S <= r.scheduled_s < scenario.start_s]
    window_start, window_end = scenario.start_s + SETTLING_S, scenario.end_s
    during = [r for r in requests if window_start <= r.scheduled_s < window_end]
    demand = compute_request_rates(during, window_end - window_start)
    entitled = compute_entitlements(
        make_disturbed_model(fleet, scenario), cap_at_declared_rates(fleet, demand)
    )
    answered = [
        r
        for r in requests
        if r.succeeded and window_start <= r.scheduled_s + r.latency_s < window_end
    ]
    served = compute_request_rates(answered, window_end - window_start)
    ratio, organisation = find_worst_ratio(during, entitled, window_end - window_start)
    latencies = sorted(r.latency_s for r in during if r.succeeded) or [0.0]
    organisations_within = list_organisations_within_rate(fleet, scenario)
    requests_within = [r for r in requests if r.organisation in organisations_within]
    return PolicyResult(
        fleet=fleet.name,
        scenario=scenario.name,
        variant="",
        seed=0,
        revision="",
        load_average=round(os.getloadavg()[0], 1),
        capacity_per_s=round(capacity, 1),
        requests=len(requests),
        attempts=len(results),
        skipped=0,
        goodput=round(model.compute_utilisation(sum_over_organisations(served)), 4),
        possible=round(compute_possible_goodput(fleet, scenario, demand), 4),
        success_before=round(compute_success_ratio(before), 4),
        success_during=round(compute_success_ratio(during), 4),
        recovery_s=find_recovery_time(
            requests, scenario, compute_success_ratio(before)
        ),
        worst_ratio=round(ratio, 4),
        worst_organisation=organisation,
        wrongful_429=round(
            compute_wrongful_429_ratio(
                fleet,
                [r for r in results if r.organisation in organisations_within],
                len(requests_within),
            ),
            5,
        ),
        refused_503=round(
            sum(
                r.last_attempt.status == 503 and not r.succeeded
                for r in requests_within
            )
            / max(1, len(requests_within)),
            5,
        ),
        timed_out=round(
            sum(
                r.last_attempt.error == "timeout" or r.last_attempt.status == 504
                for r in requests
            )
            / max(1, len(requests)),
            5,
        ),
        p50_ms=round(latencies[len(latencies) // 2] * 1000, 1),
        p99_ms=round(latencies[int(len(latencies) * 0.99)] * 1000, 1),
        outcomes=dict(Counter(describe_outcome(r) for r in requests).most_common()),
    )


def compute_slot_use(
    fleet: FleetDescription,
    scenario: Scenario,
    results: Sequence[CallResult],
    records: Sequence[RunRecord],
    started_at: float,
) -> tuple[float, float]:
    """Return the shares of slot time held and usefully held at the busiest service."""
    window_start = started_at + scenario.start_s + SETTLING_S
    window_end = started_at + scenario.end_s
    answered_ids = {r.test_id for r in results if r.succeeded}
    slots = CostModel(fleet).slots
    held_share: defaultdict[str, float] = defaultdict(float)
    useful_share: defaultdict[str, float] = defaultdict(float)
    for record in records:
        finished_at = record.finished or window_end
        seconds = min(window_end, finished_at) - max(window_start, record.started)
        if seconds <= 0 or not record.ran:
            continue
        share = seconds / (window_end - window_start) / slots[record.service]
        held_share[record.service] += share
        if record.test_id.partition("/")[0] in answered_ids:
            useful_share[record.service] += share
    busiest = max(held_share, key=lambda name: held_share[name], default="")
    return round(held_share[busiest], 4), round(useful_share[busiest], 4)


def make_disturbed_model(fleet: FleetDescription, scenario: Scenario) -> CostModel:
    """Return the cost model of the fleet while the disturbance lasts."""
    *others, deepest = fleet.services
    if scenario.disturbance == "slow":
        routes = tuple(
            msgspec.structs.replace(route, mean_ms=route.mean_ms * SLOWDOWN_FACTOR)
            for route in deepest.routes
        )
        deepest = msgspec.structs.replace(deepest, routes=routes)
    elif scenario.disturbance == "lose-third":
        lost = max(1, deepest.servers // 3)
        deepest = msgspec.structs.replace(deepest, servers=deepest.servers - lost)
    return CostModel(msgspec.structs.replace(fleet, services=(*others, deepest)))


def compute_possible_goodput(
    fleet: FleetDescription,
    scenario: Scenario,
    demand: Mapping[tuple[str, str, str], float],
) -> float:
    """Return the highest goodput that the disturbance and the offered load allow.

    It is reached when the offered mix is served at the rate for which the disturbed
    fleet has slots.
    """
    offered = sum_over_organisations(demand)
    disturbed_utilisation = make_disturbed_model(fleet, scenario).compute_utilisation(
        offered
    )
    return CostModel(fleet).compute_utilisation(offered) / max(
        1.0, disturbed_utilisation
    )


def describe_outcome(request: RootRequest) -> str:
    if request.succeeded:
        return "200"
    attempt = request.last_attempt
    return attempt.error or f"{attempt.status} {attempt.reason}".strip()


def compute_request_rates(
    requests: Sequence[RootRequest], seconds: float
) -> dict[tuple[str, str, str], float]:
    """Return (organisation, method, path) → requests/s."""
    counts = Counter((r.organisation, r.method, r.path) for r in requests)
    return {key: count / seconds for key, count in counts.items()}


def cap_at_declared_rates(
    fleet: FleetDescription, demand: Mapping[tuple[str, str, str], float]
) -> dict[tuple[str, str, str], float]:
    """Reduce each organisation's demand to its declared rate."""
    totals: defaultdict[str, float] = defaultdict(float)
    for (organisation, _, _), rate in demand.items():
        totals[organisation] += rate
    declared_rates = {o.name: o.rate for o in fleet.organisations}
    return {
        key: rate * min(1.0, declared_rates[key[0]] / totals[key[0]])
        for key, rate in demand.items()
    }


def sum_over_organisations(
    rates: Mapping[tuple[str, str, str], float],
) -> dict[tuple[str, str], float]:
    totals: defaultdict[tuple[str, str], float] = defaultdict(float)
    for (_, method, path), rate in rates.items():
        totals[method, path] += rate
    return totals


def compute_success_ratio(requests: Sequence[RootRequest]) -> float:
    return sum(r.succeeded for r in requests) / max(1, len(requests))


def find_worst_ratio(
    requests: Sequence[RootRequest], entitled: Mapping[str, float], seconds: float
) -> tuple[float, str]:
    """Return the lowest served/entitled ratio and its organisation.

    Requests are counted by their scheduled time. Counted by the time of the answer,
    the worst organisation had a ratio of 93.8% at a steady 70% of capacity, although
    every request succeeded.
    """
    served = Counter(r.organisation for r in requests if r.succeeded)
    ratios = [
        (served[organisation] / seconds / rate, organisation)
        for organisation, rate in entitled.items()
        if rate * seconds >= MIN_ENTITLED_REQUESTS
    ]
    return min(ratios, default=(0.0, ""))


def list_organisations_within_rate(
    fleet: FleetDescription, scenario: Scenario
) -> frozenset[str]:
    """Return the organisations whose load stays within their declared rate."""
    return frozenset(
        o.name
        for position, o in enumerate(fleet.organisations)
        if position != scenario.surging_position
    )


def compute_wrongful_429_ratio(
    fleet: FleetDescription, results: Sequence[CallResult], request_count: int
) -> float:
    """Return the share of requests refused with 429 although within rate and burst.

    Replays the attempts through an exact token bucket, which is charged for each
    attempt unless it was reported as not run. A 429 is wrongful if the bucket held a
    token.
    """
    rate_limits = {o.name: RateLimit(o.rate, o.burst) for o in fleet.organisations}
    tokens = {name: rate_limit.burst for name, rate_limit in rate_limits.items()}
    updated_at: dict[str, float] = {}
    wrongful = 0
    for result in sorted(results, key=lambda result: result.sent):
        name = result.organisation
        rate_limit = rate_limits[name]
        elapsed_s = result.sent - updated_at.get(name, result.sent)
        updated_at[name] = result.sent
        tokens[name] = min(rate_limit.burst, tokens[name] + elapsed_s * rate_limit.rate)
        if result.status == 429:
            wrongful += tokens[name] >= 1
        elif result.outcome != "not-run":
            tokens[name] -= 1
    return wrongful / max(1, request_count)


def find_recovery_time(
    requests: Sequence[RootRequest], scenario: Scenario, success_before: float
) -> float:
    """Return the seconds until requests succeed as often as before, -1 for never.

    A window of 1 s must reach 95% of the earlier success ratio. A window of half that
    length holds so few requests that a single failure misses the threshold. Success
    ratios by scheduled time do not depend on random variation in the arrival rate.
    """
    origin_s = scenario.start_s if scenario.recovery_from == "start" else scenario.end_s
    steps = int((scenario.duration_s - RECOVERY_WINDOW_S - origin_s) / RECOVERY_STEP_S)
    for step in range(steps + 1):
        window_start = origin_s + step * RECOVERY_STEP_S
        window = [
            r
            for r in requests
            if window_start <= r.scheduled_s < window_start + RECOVERY_WINDOW_S
        ]
        if compute_success_ratio(window) >= RECOVERED_SUCCESS_RATIO * success_before:
            return step * RECOVERY_STEP_S
    return -1.0
