"""One policy run: a fleet under a scenario with a variant of the policy."""

import os
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import anyio
import msgspec

from heathermount.clocks import SystemClock
from heathermount.standins.caller import (
    Caller,
    CallerSettings,
    OrganisationLoad,
    Surge,
)
from heathermount.standins.capacity_model import (
    CostModel,
    scale_fleet,
    share_capacity,
)
from heathermount.standins.checks import Share
from heathermount.standins.fleet import Fleet
from heathermount.standins.fleets import FleetDescription, OrganisationDescription
from heathermount.standins.loads import make_mix
from heathermount.standins.records import CallResult, RunRecord
from heathermount.standins.scenarios import Scenario, make_overrides

__all__ = [
    "SLOT_FACTOR",
    "TIME_FACTOR",
    "PolicyResult",
    "Request",
    "evaluate",
    "run_policy",
]

# The real capacities, 11,000 to 16,000 requests/s, need more cores than the
# machine has, so slots and service rates are divided. With both divided by 16, a
# request held its slot for twice its nominal time on the busy machine; longer
# service times make the processes' own time a small part.
SLOT_FACTOR: Final = 8
TIME_FACTOR: Final = 32
# Chains take up to 2.6 s at nominal service times, which are exponential: with
# 4 s, one of seven requests failed at 70% of capacity. With 8 s, a fleet without
# control queued a whole overload of 7 s.
DEADLINE_MS: Final = 6000
TIMEOUT_S: Final = 7.0
WARM_UP_S: Final = 1.0
# Goodput and ratios skip the first seconds of the disturbance, so that they
# describe the state that the policy reaches.
SETTLE_S: Final = 2.0
WINDOW_S: Final = 0.5
RECOVERED_SHARE: Final = 0.95
# Entitled requests in a run below which an organisation's ratio says nothing.
MIN_REQUESTS: Final = 5
SLOWDOWN: Final = 5.0


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


async def run_policy(
    fleet: FleetDescription, scenario: Scenario, variant: str, seed: int, revision: str
) -> PolicyResult:
    """Run a scenario once and return its figures."""
    scaled = scale_fleet(fleet, SLOT_FACTOR, TIME_FACTOR)
    mix = make_mix(scaled)
    capacity = CostModel(scaled).capacity(mix)
    described = declare_rates(scaled, capacity, scenario)
    async with Fleet(described, seed, make_overrides(variant)) as running:
        settings = make_settings(running, scenario, capacity, seed)
        clock = SystemClock()
        caller = Caller(settings, clock)
        started = clock.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(disturb, running, scenario)
            await caller.run()
            group.cancel_scope.cancel()
        records = running.run_records()
    result = evaluate(described, scenario, caller.results, started)
    result.busy, result.useful = measure_slots(
        described, scenario, caller.results, records, started
    )
    result.variant = variant
    result.seed = seed
    result.revision = revision
    result.skipped = caller.skipped
    return result


def declare_rates(
    fleet: FleetDescription, capacity: float, scenario: Scenario
) -> FleetDescription:
    """Divide the scenario's rates among the organisations; bursts stay as declared.

    Only the surging organisation has a burst of 2 s of its rate, as at full size.
    """
    declared = sum(o.rate for o in fleet.organisations)
    total = capacity * scenario.declared
    organisations = []
    for position, o in enumerate(fleet.organisations):
        rate = round(o.rate / declared * total, 2)
        burst = 2 * rate if position == scenario.surging else o.burst
        organisations.append(
            OrganisationDescription(name=o.name, rate=rate, burst=burst)
        )
    return msgspec.structs.replace(
        fleet, organisations=tuple(organisations), deadline_ms=DEADLINE_MS
    )


def make_settings(
    fleet: Fleet, scenario: Scenario, capacity: float, seed: int
) -> CallerSettings:
    organisations = fleet.description.organisations
    declared = sum(o.rate for o in organisations)
    loads = []
    for position, organisation in enumerate(organisations):
        load = OrganisationLoad(
            name=organisation.name,
            key=fleet.keys[organisation.name],
            rate=organisation.rate / declared * capacity * scenario.base,
            routes=make_mix(fleet.description),
        )
        if scenario.surge > 1 and scenario.surging in (-1, position):
            load.surges = [
                Surge(
                    start_s=scenario.start_s,
                    end_s=scenario.end_s,
                    factor=scenario.surge,
                )
            ]
        loads.append(load)
    return CallerSettings(
        seed=seed,
        run_name=f"{scenario.name}-{seed}",
        duration_s=scenario.duration_s,
        timeout_s=TIMEOUT_S,
        entries=fleet.entries(),
        organisations=loads,
        retries=scenario.retries,
    )


async def disturb(fleet: Fleet, scenario: Scenario) -> None:
    """Cause the scenario's disturbance and end it."""
    names = deep_servers(fleet)
    await anyio.sleep(scenario.start_s)
    match scenario.disturbance:
        case "slow":
            await change_all(fleet, names, slowdown=SLOWDOWN)
            await anyio.sleep(scenario.end_s - scenario.start_s)
            await change_all(fleet, names, slowdown=1.0)
        case "lose-third":
            for name in names[: max(1, len(names) // 3)]:
                await fleet.kill(name)
        case "store-outage":
            await fleet.set_store_faults(down=True)
            await anyio.sleep(scenario.end_s - scenario.start_s)
            await fleet.set_store_faults(down=False)
        case "cold-start":
            await change_all(fleet, names, crash=True)


async def change_all(fleet: Fleet, names: Sequence[str], **fields: object) -> None:
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(change_one, fleet, name, fields)


async def change_one(fleet: Fleet, name: str, fields: Mapping[str, object]) -> None:
    await fleet.change_behaviour(name, **fields)


def deep_servers(fleet: Fleet) -> list[str]:
    """Return the servers of the last service, which all chains end at."""
    service = fleet.description.services[-1].name
    return [name for name, m in fleet.members.items() if m.service == service]


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
    entitled = share_capacity(disturb_model(fleet, scenario), demand)
    answered = [
        r for r in requests if r.succeeded and first <= r.at_s + r.latency_s < last
    ]
    served = count_rates(answered, last - first)
    ratio, organisation = worst_ratio(answered, entitled, last - first)
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
        wrongful_429=round(wrongful_share(fleet, results, len(of_within)), 5),
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
            msgspec.structs.replace(route, mean_ms=route.mean_ms * SLOWDOWN)
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
    answered: Sequence[Request], entitled: Mapping[str, float], seconds: float
) -> tuple[float, str]:
    """Return the lowest served/entitled ratio, and whose it is."""
    served = Counter(r.organisation for r in answered)
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
        if position != scenario.surging
    )


def wrongful_share(
    fleet: FleetDescription, results: Sequence[CallResult], requests: int
) -> float:
    """Return the share of requests refused with 429 although within rate and burst.

    An exact bucket takes a token for each attempt that was neither refused nor
    resent; a 429 is wrongful when that bucket held a token.
    """
    shares = {o.name: Share(o.rate, o.burst) for o in fleet.organisations}
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

    Two windows in a row must reach 95% of the earlier share of successes; shares
    by scheduled time are free of the arrivals' noise.
    """
    origin = scenario.start_s if scenario.recovery_from == "start" else scenario.end_s
    good = 0
    windows = int((scenario.duration_s - origin) / WINDOW_S)
    for number in range(windows):
        first = origin + number * WINDOW_S
        window = [r for r in requests if first <= r.at_s < first + WINDOW_S]
        reached = success_share(window) >= RECOVERED_SHARE * before
        good = good + 1 if reached else 0
        if good == 2:
            return (number - 1) * WINDOW_S
    return -1.0


def append_line(path: Path, record: msgspec.Struct) -> None:
    """Append a record to a data file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        file.write(msgspec.json.encode(record) + b"\n")
