"""One policy run: a fleet under a scenario with a variant of the policy."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import anyio
import msgspec

from heathermount.capacity.policy import CostModel, scale_fleet
from heathermount.clocks import SystemClock
from heathermount.measurement.policy_figures import (
    PolicyResult,
    evaluate,
    measure_slots,
)
from heathermount.runner.caller import Caller, CallerSettings, OrganisationLoad, Surge
from heathermount.runner.fleet import Fleet
from heathermount.runner.scenarios import SLOWDOWN_FACTOR, Scenario, make_overrides
from heathermount.runner.topologies import FleetDescription, OrganisationDescription
from heathermount.runner.workloads import make_mix

__all__ = ["SLOT_FACTOR", "TIME_FACTOR", "append_line", "run_policy"]

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
    total = capacity * scenario.declared_load
    organisations = []
    for position, o in enumerate(fleet.organisations):
        rate = round(o.rate / declared * total, 2)
        burst = 2 * rate if position == scenario.surging_position else o.burst
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
            rate=organisation.rate / declared * capacity * scenario.base_load,
            routes=make_mix(fleet.description),
        )
        if scenario.surge_factor > 1 and scenario.surging_position in (-1, position):
            load.surges = [
                Surge(
                    start_s=scenario.start_s,
                    end_s=scenario.end_s,
                    factor=scenario.surge_factor,
                )
            ]
        loads.append(load)
    return CallerSettings(
        seed=seed,
        run_name=f"{scenario.name}-{seed}",
        duration_s=scenario.duration_s,
        timeout_s=TIMEOUT_S,
        entries=fleet.entry_addresses(),
        organisations=loads,
        retries=scenario.retries,
    )


async def disturb(fleet: Fleet, scenario: Scenario) -> None:
    """Cause the scenario's disturbance and end it."""
    names = deep_servers(fleet)
    await anyio.sleep(scenario.start_s)
    match scenario.disturbance:
        case "slow":
            await change_all(fleet, names, slowdown=SLOWDOWN_FACTOR)
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


def append_line(path: Path, record: msgspec.Struct) -> None:
    """Append a record to a data file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        file.write(msgspec.json.encode(record) + b"\n")
