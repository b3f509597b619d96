"""Runs a fleet through a scenario with one policy variant."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import anyio
import msgspec

from heathermount.capacity.nominal_capacity import CostModel, scale_fleet
from heathermount.clocks import SystemClock
from heathermount.measurement.policy_evaluation import (
    PolicyResult,
    compute_slot_use,
    evaluate_run,
)
from heathermount.runner.caller import Caller, CallerSettings, OrganisationLoad, Surge
from heathermount.runner.fleet import Fleet
from heathermount.runner.scenarios import SLOWDOWN_FACTOR, Scenario, make_overrides
from heathermount.runner.topologies import FleetDescription, OrganisationDescription
from heathermount.runner.workloads import make_mix

__all__ = ["SERVICE_TIME_FACTOR", "SLOT_DIVISOR", "append_record", "run_policy"]

# The full-size capacities of 11,000 to 16,000 requests/s need more cores than the
# test machine has, so slots and service rates are divided. With both divided by 16,
# requests held their slots for twice the nominal time on the busy machine. Longer
# service times make the processes' own CPU time a small part of the slot time.
SLOT_DIVISOR: Final = 8
SERVICE_TIME_FACTOR: Final = 32
# Call chains take up to 2.6 s at nominal service times, which are exponentially
# distributed. With a deadline of 4 s, one in seven requests failed at 70% of capacity.
# With 8 s, a fleet without overload control queued a whole overload of 7 s.
CALL_DEADLINE_MS: Final = 6000
CALLER_TIMEOUT_S: Final = 7.0


async def run_policy(
    fleet: FleetDescription, scenario: Scenario, variant: str, seed: int, revision: str
) -> PolicyResult:
    """Run a scenario once and return its results."""
    scaled = scale_fleet(fleet, SLOT_DIVISOR, SERVICE_TIME_FACTOR)
    mix = make_mix(scaled)
    capacity = CostModel(scaled).compute_capacity(mix)
    description = declare_rates(scaled, capacity, scenario)
    async with Fleet(description, seed, make_overrides(variant)) as running_fleet:
        settings = make_caller_settings(running_fleet, scenario, capacity, seed)
        clock = SystemClock()
        caller = Caller(settings, clock)
        started_at = clock.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(run_disturbance, running_fleet, scenario)
            await caller.run()
            group.cancel_scope.cancel()
        records = running_fleet.run_records()
    result = evaluate_run(description, scenario, caller.results, started_at)
    result.busy, result.useful = compute_slot_use(
        description, scenario, caller.results, records, started_at
    )
    result.variant = variant
    result.seed = seed
    result.revision = revision
    result.skipped = caller.skipped
    return result


def declare_rates(
    fleet: FleetDescription, capacity: float, scenario: Scenario
) -> FleetDescription:
    """Divide the scenario's total declared rate among the organisations.

    Bursts stay as declared, except that the surging organisation has a burst of 2 s of
    its rate, as at full size.
    """
    full_size_per_s = sum(o.rate for o in fleet.organisations)
    declared_per_s = capacity * scenario.declared_load
    organisations = []
    for position, o in enumerate(fleet.organisations):
        rate = round(o.rate / full_size_per_s * declared_per_s, 2)
        burst = 2 * rate if position == scenario.surging_position else o.burst
        organisations.append(
            OrganisationDescription(name=o.name, rate=rate, burst=burst)
        )
    return msgspec.structs.replace(
        fleet, organisations=tuple(organisations), deadline_ms=CALL_DEADLINE_MS
    )


def make_caller_settings(
    fleet: Fleet, scenario: Scenario, capacity: float, seed: int
) -> CallerSettings:
    organisations = fleet.description.organisations
    declared_per_s = sum(o.rate for o in organisations)
    loads = []
    for position, organisation in enumerate(organisations):
        load = OrganisationLoad(
            name=organisation.name,
            key=fleet.keys[organisation.name],
            rate=organisation.rate / declared_per_s * capacity * scenario.base_load,
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
        timeout_s=CALLER_TIMEOUT_S,
        entries=fleet.entry_addresses(),
        organisations=loads,
        retries=scenario.retries,
    )


async def run_disturbance(fleet: Fleet, scenario: Scenario) -> None:
    """Cause the scenario's disturbance at its start and end a temporary one."""
    names = list_deepest_servers(fleet)
    await anyio.sleep(scenario.start_s)
    match scenario.disturbance:
        case "slow":
            await change_servers(fleet, names, slowdown=SLOWDOWN_FACTOR)
            await anyio.sleep(scenario.end_s - scenario.start_s)
            await change_servers(fleet, names, slowdown=1.0)
        case "lose-third":
            for name in names[: max(1, len(names) // 3)]:
                await fleet.kill(name)
        case "store-outage":
            await fleet.set_store_faults(down=True)
            await anyio.sleep(scenario.end_s - scenario.start_s)
            await fleet.set_store_faults(down=False)
        case "cold-start":
            await change_servers(fleet, names, crash=True)


async def change_servers(
    fleet: Fleet, names: Sequence[str], **behaviour: object
) -> None:
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(change_server, fleet, name, behaviour)


async def change_server(
    fleet: Fleet, name: str, behaviour: Mapping[str, object]
) -> None:
    await fleet.change_behaviour(name, **behaviour)


def list_deepest_servers(fleet: Fleet) -> list[str]:
    """Return the servers of the last service, where all call chains end."""
    service = fleet.description.services[-1].name
    return [name for name, m in fleet.members.items() if m.service == service]


def append_record(path: Path, record: msgspec.Struct) -> None:
    """Append a record to a data file as one JSON line."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        file.write(msgspec.json.encode(record) + b"\n")
