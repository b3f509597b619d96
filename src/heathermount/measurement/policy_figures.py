"""Figures of a policy run, worked out from callers' results and servers' records."""

import os
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from heathermount.capacity.policy import CostModel, share_capacity
from heathermount.runner.scenarios import SLOWDOWN_FACTOR, Scenario
from heathermount.runner.topologies import FleetDescription
from heathermount.runner.workloads import make_mix
from heathermount.soak.checks import RateLimit
from heathermount.standins.records import CallResult, RunRecord

__all__ = ["PolicyResult", "Request", "evaluate", "measure_slots"]

WARM_UP_S: Final = 1.0
# Goodput and ratios skip the first seconds of the disturbance, so that they
# describe the state that the policy reaches.
SETTLE_S: Final = 2.0
# Recovery is looked for in windows of this length, one a step.
WINDOW_S: Final = 1.0
STEP_S: Final = 0.25
RECOVERED_SHARE: Final = 0.95
# Entitled requests in a run below which an organisation's ratio says nothing.
MIN_REQUESTS: Final = 5


class PolicyResult(msgspec.Struct, kw_only=True):
    """Figures of one run; shares are of 1, times in seconds.

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
    # Share of the slot time that requests held at the service where it is most,
    # and the part of it that belonged to requests that were answered whole.
    busy: float = 0.0
    useful: float = 0.0
    # Highest goodput with the load's mix, see find_possible.
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


class Request(msgspec.Struct):
    """A root request with all of its attempts."""

    organisation: str
    method: str
    path: str
    # Seconds after the start of the load.
    at_s: float
    succeeded: bool
    latency_s: float
    last: CallResult


def group_requests(results: Sequence[CallResult], started: float) -> list[Request]:
    """Join the attempts of each request, in order of their schedule."""
    requests: dict[str, Request] = {}
    for result in results:
        request = requests.get(result.test_id)
        if request is None:
            request = Request(
                result.organisation,
                result.method,
                result.path,
                result.scheduled - started,
                False,
                0.0,
                result,
            )
            requests[result.test_id] = request
        request.last = result
        if result.succeeded and result.whole and result.own:
            request.succeeded = True
            request.latency_s = result.latency_s
    return sorted(requests.values(), key=lambda request: request.at_s)


def evaluate(
    fleet: FleetDescription,
    scenario: Scenario,
    results: Sequence[CallResult],
    started: float,
) -> PolicyResult:
    """Work out the figures of a run."""
    model = CostModel(fleet)
    capacity = model.capacity(make_mix(fleet))
    requests = group_requests(results, started)
    before = [r for r in requests if WARM_UP_S <= r.at_s < scenario.start_s]
    first, last = scenario.start_s + SETTLE_S, scenario.end_s
    during = [r for r in requests if first <= r.at_s < last]
    demand = count_rates(during, last - first)
    entitled = share_capacity(
        disturb_model(fleet, scenario), limit_to_rates(fleet, demand)
    )
    answered = [
        r for r in requests if r.succeeded and first <= r.at_s + r.latency_s < last
    ]
    served = count_rates(answered, last - first)
    ratio, organisation = worst_ratio(during, entitled, last - first)
    latencies = sorted(r.latency_s for r in during if r.succeeded) or [0.0]
    within = organisations_within_rate(fleet, scenario)
    of_within = [r for r in requests if r.organisation in within]
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
        goodput=round(model.utilisation(sum_organisations(served)), 4),
        possible=round(find_possible(fleet, scenario, demand), 4),
        success_before=round(success_share(before), 4),
        success_during=round(success_share(during), 4),
        recovery_s=find_recovery(requests, scenario, success_share(before)),
        worst_ratio=round(ratio, 4),
        worst_organisation=organisation,
        wrongful_429=round(
            wrongful_share(
                fleet,
                [r for r in results if r.organisation in within],
                len(of_within),
            ),
            5,
        ),
        refused_503=round(
            sum(r.last.status == 503 and not r.succeeded for r in of_within)
            / max(1, len(of_within)),
            5,
        ),
        timed_out=round(
            sum(r.last.error == "timeout" or r.last.status == 504 for r in requests)
            / max(1, len(requests)),
            5,
        ),
        p50_ms=round(latencies[len(latencies) // 2] * 1000, 1),
        p99_ms=round(latencies[int(len(latencies) * 0.99)] * 1000, 1),
        outcomes=dict(Counter(describe(r) for r in requests).most_common()),
    )


def measure_slots(
    fleet: FleetDescription,
    scenario: Scenario,
    results: Sequence[CallResult],
    records: Sequence[RunRecord],
    started: float,
) -> tuple[float, float]:
    """Return how much slot time was held, and how much of it was useful."""
    first = started + scenario.start_s + SETTLE_S
    last = started + scenario.end_s
    answered = {r.test_id for r in results if r.succeeded}
    slots = CostModel(fleet).slots
    held: defaultdict[str, float] = defaultdict(float)
    useful: defaultdict[str, float] = defaultdict(float)
    for record in records:
        end = record.finished or last
        seconds = min(last, end) - max(first, record.started)
        if seconds <= 0 or not record.ran:
            continue
        share = seconds / (last - first) / slots[record.service]
        held[record.service] += share
        if record.test_id.partition("/")[0] in answered:
            useful[record.service] += share
    busiest = max(held, key=lambda name: held[name], default="")
    return round(held[busiest], 4), round(useful[busiest], 4)


def disturb_model(fleet: FleetDescription, scenario: Scenario) -> CostModel:
    """Return the cost model of the fleet while the disturbance lasts."""
    *others, deep = fleet.services
    if scenario.disturbance == "slow":
        routes = tuple(
            msgspec.structs.replace(route, mean_ms=route.mean_ms * SLOWDOWN_FACTOR)
            for route in deep.routes
        )
        deep = msgspec.structs.replace(deep, routes=routes)
    elif scenario.disturbance == "lose-third":
        lost = max(1, deep.servers // 3)
        deep = msgspec.structs.replace(deep, servers=deep.servers - lost)
    return CostModel(msgspec.structs.replace(fleet, services=(*others, deep)))


def find_possible(
    fleet: FleetDescription,
    scenario: Scenario,
    demand: Mapping[tuple[str, str, str], float],
) -> float:
    """Return the highest goodput that the disturbance and the load allow.

    The load's mix is served at the rate that the disturbed fleet has room for.
    """
    offered = sum_organisations(demand)
    disturbed = disturb_model(fleet, scenario).utilisation(offered)
    return CostModel(fleet).utilisation(offered) / max(1.0, disturbed)


def describe(request: Request) -> str:
    if request.succeeded:
        return "200"
    last = request.last
    return last.error or f"{last.status} {last.reason}".strip()


def count_rates(
    requests: Sequence[Request], seconds: float
) -> dict[tuple[str, str, str], float]:
    """Return (organisation, method, path) → requests/s."""
    counts = Counter((r.organisation, r.method, r.path) for r in requests)
    return {key: count / seconds for key, count in counts.items()}


def limit_to_rates(
    fleet: FleetDescription, demand: Mapping[tuple[str, str, str], float]
) -> dict[tuple[str, str, str], float]:
    """Reduce each organisation's demand to its declared rate."""
    totals: defaultdict[str, float] = defaultdict(float)
    for (organisation, _, _), rate in demand.items():
        totals[organisation] += rate
    allowed = {o.name: o.rate for o in fleet.organisations}
    return {
        key: rate * min(1.0, allowed[key[0]] / totals[key[0]])
        for key, rate in demand.items()
    }


def sum_organisations(
    rates: Mapping[tuple[str, str, str], float],
) -> dict[tuple[str, str], float]:
    total: defaultdict[tuple[str, str], float] = defaultdict(float)
    for (_, method, path), rate in rates.items():
        total[method, path] += rate
    return total


def success_share(requests: Sequence[Request]) -> float:
    return sum(r.succeeded for r in requests) / max(1, len(requests))


def worst_ratio(
    requests: Sequence[Request], entitled: Mapping[str, float], seconds: float
) -> tuple[float, str]:
    """Return the lowest served/entitled ratio, and whose it is.

    Requests count when they were made: answers that came in the same time were
    93.8% of what the worst organisation asked for at a steady 70% of capacity,
    although every request succeeded.
    """
    served = Counter(r.organisation for r in requests if r.succeeded)
    ratios = [
        (served[organisation] / seconds / rate, organisation)
        for organisation, rate in entitled.items()
        if rate * seconds >= MIN_REQUESTS
    ]
    return min(ratios, default=(0.0, ""))


def organisations_within_rate(
    fleet: FleetDescription, scenario: Scenario
) -> frozenset[str]:
    """Return the organisations whose load stays below their declared rate."""
    return frozenset(
        o.name
        for position, o in enumerate(fleet.organisations)
        if position != scenario.surging_position
    )


def wrongful_share(
    fleet: FleetDescription, results: Sequence[CallResult], requests: int
) -> float:
    """Return the share of requests refused with 429 although within rate and burst.

    An exact bucket takes a token for each attempt that was neither refused nor
    resent; a 429 is wrongful when that bucket held a token.
    """
    shares = {o.name: RateLimit(o.rate, o.burst) for o in fleet.organisations}
    levels = {name: share.burst for name, share in shares.items()}
    times: dict[str, float] = {}
    wrongful = 0
    for result in sorted(results, key=lambda result: result.sent):
        name = result.organisation
        share = shares[name]
        elapsed = result.sent - times.get(name, result.sent)
        times[name] = result.sent
        levels[name] = min(share.burst, levels[name] + elapsed * share.rate)
        if result.status == 429:
            wrongful += levels[name] >= 1
        elif result.outcome != "not-run":
            levels[name] -= 1
    return wrongful / max(1, requests)


def find_recovery(
    requests: Sequence[Request], scenario: Scenario, before: float
) -> float:
    """Return the time until requests succeed as often as before, -1 for never.

    A window of 1 s must reach 95% of the earlier share of successes; half of it
    holds so few requests that a single failure misses. Shares by scheduled time
    are free of the arrivals' noise.
    """
    origin = scenario.start_s if scenario.recovery_from == "start" else scenario.end_s
    steps = int((scenario.duration_s - WINDOW_S - origin) / STEP_S)
    for number in range(steps + 1):
        first = origin + number * STEP_S
        window = [r for r in requests if first <= r.at_s < first + WINDOW_S]
        if success_share(window) >= RECOVERED_SHARE * before:
            return number * STEP_S
    return -1.0
