"""Faults of the fleet soak. Each coroutine injects a fault and ends it again."""

import copy
from collections.abc import Callable, Coroutine
from contextlib import suppress
from random import Random
from typing import Any, Final

import anyio

from heathermount.clocks import Clock
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.runner.caller import (
    CallerSettings,
    OrganisationLoad,
    RetrySettings,
    RouteShare,
    run_calls,
)
from heathermount.runner.fleet import Fleet, FleetNotReady, Member
from heathermount.runner.workloads import make_mix
from heathermount.soak.checks import Drain, Violation, Withdrawal
from heathermount.standins.records import CallResult

__all__ = ["FAULTS", "OLDER_STORE_FAULT", "SoakState", "recover_fleet"]

AUTHOR: Final = "soak"
READY_TIMEOUT_S: Final = 60.0
# Share of the key withdrawals that are followed by an outage of the store.
STORE_OUTAGE_SHARE: Final = 0.3
# Name of a fault that is off by default, because it can lose an accepted change
# that no node has read yet.
OLDER_STORE_FAULT: Final = "older-store"
# Longest planned stop: the grace period of the settings plus time for the exit.
STOP_TIMEOUT_S: Final = 40.0
WRITE_ERRORS: Final = (StoreUnavailable, StoreOutcomeUnknown, ConflictingChange)


class SoakState:
    """State that the faults share, and their results for the checks."""

    __slots__ = (
        "clock",
        "disturbed_parts",
        "drains",
        "extra_call_runs",
        "fleet",
        "random",
        "results",
        "scale",
        "violations",
        "withdrawals",
    )

    def __init__(
        self, fleet: Fleet, clock: Clock, random: Random, scale: float
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.scale = scale
        # Processes, services and the store while a fault affects them.
        self.disturbed_parts: set[str] = set()
        self.extra_call_runs = 0
        self.results: list[CallResult] = []
        self.drains: list[Drain] = []
        self.withdrawals: list[Withdrawal] = []
        self.violations: list[Violation] = []

    def pick_member(self) -> Member:
        return self.random.choice(list(self.fleet.members.values()))

    def draw_seconds(self, low: float, high: float) -> float:
        return self.random.uniform(low, high)

    async def run_extra_calls(
        self,
        organisation: str,
        key: str,
        rate: float,
        duration_s: float,
        routes: list[RouteShare],
        max_retries: int,
    ) -> list[CallResult]:
        """Run calls of one organisation in addition to the main load."""
        self.extra_call_runs += 1
        load = OrganisationLoad(name=organisation, key=key, rate=rate, routes=routes)
        settings = CallerSettings(
            seed=self.random.getrandbits(32),
            run_name=f"extra-{self.extra_call_runs}",
            duration_s=duration_s,
            timeout_s=3.0,
            entries=self.fleet.entry_addresses(),
            organisations=[load],
            retries=RetrySettings(
                limit=max_retries,
                delay_s=0.05,
                reasons=(
                    "not-run",
                    "unknown",
                    "failed",
                    "timeout",
                    "broken",
                    "refused",
                ),
            ),
        )
        results = await run_calls(settings, self.clock)
        self.results.extend(results)
        return results


Fault = Callable[[SoakState], Coroutine[Any, Any, None]]


async def kill_node(state: SoakState) -> None:
    """Kill a node and restart it."""
    await kill_process(state, state.pick_member().name)


async def kill_backend(state: SoakState) -> None:
    """Kill a process of backend servers and restart it."""
    await kill_process(state, state.pick_member().backend_process)


async def kill_process(state: SoakState, name: str) -> None:
    if name in state.disturbed_parts:
        return
    state.disturbed_parts.add(name)
    await state.fleet.kill(name)
    await anyio.sleep(state.draw_seconds(0.2, 5.0))
    state.fleet.restart(name)
    state.disturbed_parts.discard(name)


async def pause_process(state: SoakState) -> None:
    """Pause a node or its backend server process."""
    member = state.pick_member()
    name = state.random.choice([member.name, member.name, member.backend_process])
    if name in state.disturbed_parts:
        return
    state.disturbed_parts.add(name)
    state.fleet.pause(name)
    await anyio.sleep(state.draw_seconds(0.1, 8.0))
    state.fleet.resume(name)
    state.disturbed_parts.discard(name)


async def perform_planned_stop(state: SoakState) -> None:
    """Drain a server, stop it and its node gracefully, and restart both."""
    member = state.pick_member()
    names = [member.backend_process, member.name]
    if state.disturbed_parts.intersection(names):
        return
    state.disturbed_parts.update(names)
    if await state.fleet.drain(member.name):
        drain = Drain(member.name, state.clock.monotonic())
        await anyio.sleep(state.draw_seconds(2.0, 6.0))
        for name in names:
            code = await state.fleet.terminate(name, STOP_TIMEOUT_S)
            if code != 0:
                state.violations.append(
                    Violation("planned-stop", name, f"exit code {code}")
                )
                state.fleet.processes[name].kill()
        ended = state.clock.monotonic()
        state.drains.append(Drain(drain.server, drain.started, ended))
        for name in reversed(names):
            state.fleet.restart(name)
    state.disturbed_parts.difference_update(names)


async def break_store(state: SoakState) -> None:
    """Make the store unavailable, slow or lossy, or expire all its leases."""
    if "store" in state.disturbed_parts:
        return
    state.disturbed_parts.add("store")
    faults: list[tuple[dict[str, Any], float]] = [
        ({"down": True}, state.draw_seconds(1.0, 15.0)),
        ({"delay_s": state.draw_seconds(0.05, 0.9)}, state.draw_seconds(2.0, 10.0)),
        (
            {"lose_answer_share": state.draw_seconds(0.1, 0.6)},
            state.draw_seconds(2.0, 10.0),
        ),
        ({"lapse_leases": True}, 0.1),
    ]
    fields, duration_s = state.random.choice(faults)
    await state.fleet.set_store_faults(**fields)
    await anyio.sleep(duration_s)
    await state.fleet.set_store_faults(down=False, delay_s=0.0, lose_answer_share=0.0)
    state.disturbed_parts.discard("store")


async def restore_older_store(state: SoakState) -> None:
    """Restore the store, after an outage, from a snapshot that is some seconds old."""
    if "store" in state.disturbed_parts:
        return
    state.disturbed_parts.add("store")
    await state.fleet.set_store_faults(snapshot=True)
    await anyio.sleep(state.draw_seconds(5.0, 10.0))
    await state.fleet.set_store_faults(down=True)
    await anyio.sleep(state.draw_seconds(0.5, 3.0))
    await state.fleet.set_store_faults(restore=True, down=False)
    state.disturbed_parts.discard("store")


async def withdraw_key(state: SoakState) -> None:
    """Add a key, and withdraw it while its organisation makes calls with it."""
    organisation = state.random.choice(state.fleet.description.organisations).name
    operator = state.fleet.operator
    assert operator is not None
    try:
        key = await operator.add_key(organisation, AUTHOR)
    except WRITE_ERRORS:
        return
    async with anyio.create_task_group() as group:
        group.start_soon(withdraw_later, state, key.split("_")[1])
        mix = make_mix(state.fleet.description)
        await state.run_extra_calls(organisation, key, 6.0, 18.0, mix, 0)


async def withdraw_later(state: SoakState, key_id: str) -> None:
    """Withdraw a key; sometimes take down the store right after the write."""
    operator = state.fleet.operator
    assert operator is not None
    await anyio.sleep(6.0)
    try:
        change = await operator.withdraw_key(key_id, AUTHOR)
    except WRITE_ERRORS:
        return
    except ConfigurationProblem as error:
        # The nodes had six seconds to read the accepted key, so it must not be lost.
        state.violations.append(Violation("accepted-key-lost", key_id, str(error)))
        return
    state.withdrawals.append(Withdrawal(key_id, change.accepted_at))
    state.fleet.events.record("key-withdrawn", key_id=key_id)
    if "store" in state.disturbed_parts or state.random.random() > STORE_OUTAGE_SHARE:
        return
    state.disturbed_parts.add("store")
    await state.fleet.set_store_faults(down=True)
    await anyio.sleep(8.0)
    await state.fleet.set_store_faults(down=False)
    state.disturbed_parts.discard("store")


async def cause_surge(state: SoakState) -> None:
    """Let an organisation call at one to four times its rate."""
    organisation = state.random.choice(state.fleet.description.organisations)
    rate = min(400.0, organisation.rate * state.draw_seconds(1.0, 4.0))
    state.fleet.events.record("surge", organisation=organisation.name, rate=round(rate))
    await state.run_extra_calls(
        organisation.name,
        state.fleet.keys[organisation.name],
        rate,
        state.draw_seconds(1.0, 5.0),
        make_mix(state.fleet.description),
        state.random.choice((0, 3)),
    )


async def degrade_service(state: SoakState) -> None:
    """Make all servers of a service slow, failing, truncating or unhealthy."""
    service = state.random.choice(state.fleet.description.services).name
    part = f"service {service}"
    if part in state.disturbed_parts:
        return
    state.disturbed_parts.add(part)
    changes = state.random.choice(
        [
            {"slowdown": state.draw_seconds(3.0, 20.0)},
            {"failing_share": state.draw_seconds(0.2, 1.0)},
            {"truncate_share": state.draw_seconds(0.1, 0.5)},
            {"load_factor": state.random.choice((0.0, 5.0)), "healthy": False},
        ]
    )
    names = [m.name for m in state.fleet.members.values() if m.service == service]
    for name in names:
        await state.fleet.change_behaviour(name, **changes)
    await anyio.sleep(state.draw_seconds(2.0, 8.0))
    for name in names:
        await reset_server_behaviour(state.fleet, name)
    state.disturbed_parts.discard(part)


async def reset_server_behaviour(fleet: Fleet, name: str) -> None:
    """Reset the behaviour of a server to normal."""
    await fleet.change_behaviour(
        name,
        slowdown=1.0,
        failing_share=0.0,
        truncate_share=0.0,
        healthy=True,
        load_factor=1.0,
    )


async def send_crashing_requests(state: SoakState) -> None:
    """Send and retry requests that crash every server that executes them."""
    organisation = state.random.choice(state.fleet.description.organisations).name
    routes = [route for route in state.fleet.description.routes() if route.open]
    route = state.random.choice(routes)
    # A new path each time, so that the fleet sees a different request.
    path = f"{route.path}/crash-{state.random.getrandbits(40):x}"
    route_share = RouteShare(path=path, method=route.methods[0])
    key = state.fleet.keys[organisation]
    state.fleet.events.record("crashing-requests", path=path)
    await state.run_extra_calls(organisation, key, 2.0, 4.0, [route_share], 4)


async def race_changes(state: SoakState) -> None:
    """Make two concurrent changes of the same revision; only one may be accepted."""
    operator = state.fleet.operator
    assert operator is not None
    accepted: list[int] = []
    try:
        base = (
            await operator.apply(
                make_changed_declaration(state), AUTHOR, "base of a race"
            )
        ).revision
    except WRITE_ERRORS:
        return

    async def change(author: str) -> None:
        with suppress(*WRITE_ERRORS):
            made = await operator.apply(
                make_changed_declaration(state), author, "race", base
            )
            accepted.append(made.revision)

    async with anyio.create_task_group() as group:
        for number in range(2):
            group.start_soon(change, f"{AUTHOR}-{number}")
    changed = [revision for revision in accepted if revision > base]
    if len(changed) > 1:
        detail = f"both changes of revision {base} were accepted: {changed}"
        state.violations.append(Violation("racing-changes", str(base), detail))


def make_changed_declaration(state: SoakState) -> dict[str, Any]:
    """Return the declaration with a random weight and deadline."""
    declaration: dict[str, Any] = copy.deepcopy(state.fleet.declaration)
    declaration["defaults"]["deadline_ms"] = state.random.randint(1500, 2500)
    rate_exceptions = [
        e for e in declaration["exceptions"] if e["id"].startswith("share-")
    ]
    state.random.choice(rate_exceptions)["weight"] = state.random.randint(1, 5)
    return declaration


async def recover_fleet(state: SoakState) -> None:
    """End all faults and wait until the fleet is ready."""
    fleet = state.fleet
    await fleet.set_store_faults(down=False, delay_s=0.0, lose_answer_share=0.0)
    # Each fault restarts what it stopped, so these processes exited on their own.
    for name, detail in fleet.ended_processes().items():
        state.violations.append(Violation("process-ended", name, detail))
        fleet.restart(name)
    for name in fleet.members:
        await reset_server_behaviour(fleet, name)
    try:
        await fleet.wait_ready(fleet.members, READY_TIMEOUT_S)
    except FleetNotReady as error:
        state.violations.append(Violation("not-ready", "fleet", str(error)))


FAULTS: Final[dict[str, Fault]] = {
    "kill-node": kill_node,
    "kill-backend": kill_backend,
    "pause": pause_process,
    "planned-stop": perform_planned_stop,
    "store": break_store,
    OLDER_STORE_FAULT: restore_older_store,
    "withdraw-key": withdraw_key,
    "surge": cause_surge,
    "slow-service": degrade_service,
    "crash-requests": send_crashing_requests,
    "racing-changes": race_changes,
}
