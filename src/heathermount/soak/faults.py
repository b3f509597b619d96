"""Faults of the soak run. Each is a coroutine that causes a fault and heals it."""

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

__all__ = ["FAULTS", "OLDER_STORE", "SoakState", "wait_healed"]

AUTHOR: Final = "soak"
READY_S: Final = 60.0
# Share of the withdrawals after which the store fails.
STORE_LOSS_SHARE: Final = 0.3
# Name of the fault that runs only when it is asked for: an accepted change may
# be lost for as long as no node has seen it.
OLDER_STORE: Final = "older-store"
# Longest planned stop: the settings' grace and some time to start and end.
STOP_S: Final = 40.0
WRITE_ERRORS: Final = (StoreUnavailable, StoreOutcomeUnknown, ConflictingChange)


class SoakState:
    """What the faults share and what they leave for the checks."""

    __slots__ = (
        "busy",
        "clock",
        "drains",
        "fleet",
        "random",
        "results",
        "runs",
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
        # Processes, services and parts that a fault works on.
        self.busy: set[str] = set()
        self.runs = 0
        self.results: list[CallResult] = []
        self.drains: list[Drain] = []
        self.withdrawals: list[Withdrawal] = []
        self.violations: list[Violation] = []

    def pick_member(self) -> Member:
        return self.random.choice(list(self.fleet.members.values()))

    def seconds(self, low: float, high: float) -> float:
        return self.random.uniform(low, high)

    async def call(
        self,
        organisation: str,
        key: str,
        rate: float,
        duration_s: float,
        routes: list[RouteShare],
        resends: int,
    ) -> list[CallResult]:
        """Run calls of one organisation besides the main load."""
        self.runs += 1
        load = OrganisationLoad(name=organisation, key=key, rate=rate, routes=routes)
        settings = CallerSettings(
            seed=self.random.getrandbits(32),
            run_name=f"extra-{self.runs}",
            duration_s=duration_s,
            timeout_s=3.0,
            entries=self.fleet.entry_addresses(),
            organisations=[load],
            retries=RetrySettings(
                limit=resends,
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
    """Kill a node and start it again."""
    await kill_process(state, state.pick_member().name)


async def kill_backend(state: SoakState) -> None:
    """Kill a process of backend servers and start it again."""
    await kill_process(state, state.pick_member().backend_process)


async def kill_process(state: SoakState, name: str) -> None:
    if name in state.busy:
        return
    state.busy.add(name)
    await state.fleet.kill(name)
    await anyio.sleep(state.seconds(0.2, 5.0))
    state.fleet.restart(name)
    state.busy.discard(name)


async def pause_process(state: SoakState) -> None:
    """Pause a node or its backend servers."""
    member = state.pick_member()
    name = state.random.choice([member.name, member.name, member.backend_process])
    if name in state.busy:
        return
    state.busy.add(name)
    state.fleet.pause(name)
    await anyio.sleep(state.seconds(0.1, 8.0))
    state.fleet.resume(name)
    state.busy.discard(name)


async def stop_planned(state: SoakState) -> None:
    """Drain a server, stop it and its node as planned, and start both again."""
    member = state.pick_member()
    names = [member.backend_process, member.name]
    if state.busy.intersection(names):
        return
    state.busy.update(names)
    if await state.fleet.drain(member.name):
        drain = Drain(member.name, state.clock.monotonic())
        await anyio.sleep(state.seconds(2.0, 6.0))
        for name in names:
            code = await state.fleet.terminate(name, STOP_S)
            if code != 0:
                state.violations.append(
                    Violation("planned-stop", name, f"exit code {code}")
                )
                state.fleet.processes[name].kill()
        ended = state.clock.monotonic()
        state.drains.append(Drain(drain.server, drain.started, ended))
        for name in reversed(names):
            state.fleet.restart(name)
    state.busy.difference_update(names)


async def break_store(state: SoakState) -> None:
    """Make the store unavailable, slow or lossy for a while."""
    if "store" in state.busy:
        return
    state.busy.add("store")
    faults: list[tuple[dict[str, Any], float]] = [
        ({"down": True}, state.seconds(1.0, 15.0)),
        ({"delay_s": state.seconds(0.05, 0.9)}, state.seconds(2.0, 10.0)),
        ({"lose_answer_share": state.seconds(0.1, 0.6)}, state.seconds(2.0, 10.0)),
        ({"lapse_leases": True}, 0.1),
    ]
    fields, duration_s = state.random.choice(faults)
    await state.fleet.set_store_faults(**fields)
    await anyio.sleep(duration_s)
    await state.fleet.set_store_faults(down=False, delay_s=0.0, lose_answer_share=0.0)
    state.busy.discard("store")


async def restore_older_store(state: SoakState) -> None:
    """Let the store come back with the data of some seconds ago."""
    if "store" in state.busy:
        return
    state.busy.add("store")
    await state.fleet.set_store_faults(snapshot=True)
    await anyio.sleep(state.seconds(5.0, 10.0))
    await state.fleet.set_store_faults(down=True)
    await anyio.sleep(state.seconds(0.5, 3.0))
    await state.fleet.set_store_faults(restore=True, down=False)
    state.busy.discard("store")


async def withdraw_key(state: SoakState) -> None:
    """Withdraw a key while its organisation calls with it."""
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
        await state.call(organisation, key, 6.0, 18.0, mix, 0)


async def withdraw_later(state: SoakState, key_id: str) -> None:
    """Withdraw a key; sometimes the store fails right after the write."""
    operator = state.fleet.operator
    assert operator is not None
    await anyio.sleep(6.0)
    try:
        change = await operator.withdraw_key(key_id, AUTHOR)
    except WRITE_ERRORS:
        return
    except ConfigurationProblem as error:
        # The nodes had six seconds to learn of the key.
        state.violations.append(Violation("accepted-key-lost", key_id, str(error)))
        return
    state.withdrawals.append(Withdrawal(key_id, change.accepted_at))
    state.fleet.events.record("key-withdrawn", key_id=key_id)
    if "store" in state.busy or state.random.random() > STORE_LOSS_SHARE:
        return
    state.busy.add("store")
    await state.fleet.set_store_faults(down=True)
    await anyio.sleep(8.0)
    await state.fleet.set_store_faults(down=False)
    state.busy.discard("store")


async def surge(state: SoakState) -> None:
    """Let an organisation call several times as much as it may."""
    organisation = state.random.choice(state.fleet.description.organisations)
    rate = min(400.0, organisation.rate * state.seconds(1.0, 4.0))
    state.fleet.events.record("surge", organisation=organisation.name, rate=round(rate))
    await state.call(
        organisation.name,
        state.fleet.keys[organisation.name],
        rate,
        state.seconds(1.0, 5.0),
        make_mix(state.fleet.description),
        state.random.choice((0, 3)),
    )


async def slow_service(state: SoakState) -> None:
    """Slow down, break or starve all servers of one service."""
    service = state.random.choice(state.fleet.description.services).name
    part = f"service {service}"
    if part in state.busy:
        return
    state.busy.add(part)
    changes = state.random.choice(
        [
            {"slowdown": state.seconds(3.0, 20.0)},
            {"failing_share": state.seconds(0.2, 1.0)},
            {"truncate_share": state.seconds(0.1, 0.5)},
            {"load_factor": state.random.choice((0.0, 5.0)), "healthy": False},
        ]
    )
    names = [m.name for m in state.fleet.members.values() if m.service == service]
    for name in names:
        await state.fleet.change_behaviour(name, **changes)
    await anyio.sleep(state.seconds(2.0, 8.0))
    for name in names:
        await heal_server(state.fleet, name)
    state.busy.discard(part)


async def heal_server(fleet: Fleet, name: str) -> None:
    """Return a server to its normal behaviour."""
    await fleet.change_behaviour(
        name,
        slowdown=1.0,
        failing_share=0.0,
        truncate_share=0.0,
        healthy=True,
        load_factor=1.0,
    )


async def crash_servers(state: SoakState) -> None:
    """Send requests that crash every server that runs them, again and again."""
    organisation = state.random.choice(state.fleet.description.organisations).name
    routes = [route for route in state.fleet.description.routes() if route.open]
    route = state.random.choice(routes)
    # Each time another path, so that it is another request to the fleet.
    path = f"{route.path}/crash-{state.random.getrandbits(40):x}"
    share = RouteShare(path=path, method=route.methods[0])
    key = state.fleet.keys[organisation]
    state.fleet.events.record("crashing-requests", path=path)
    await state.call(organisation, key, 2.0, 4.0, [share], 4)


async def race_changes(state: SoakState) -> None:
    """Let two operators change the same revision at once: one must lose."""
    operator = state.fleet.operator
    assert operator is not None
    accepted: list[int] = []
    try:
        base = (await operator.apply(vary(state), AUTHOR, "base of a race")).revision
    except WRITE_ERRORS:
        return

    async def change(author: str) -> None:
        with suppress(*WRITE_ERRORS):
            made = await operator.apply(vary(state), author, "race", base)
            accepted.append(made.revision)

    async with anyio.create_task_group() as group:
        for number in range(2):
            group.start_soon(change, f"{AUTHOR}-{number}")
    changed = [revision for revision in accepted if revision > base]
    if len(changed) > 1:
        detail = f"both changes of revision {base} were accepted: {changed}"
        state.violations.append(Violation("racing-changes", str(base), detail))


def vary(state: SoakState) -> dict[str, Any]:
    """Return the declaration with another weight and deadline."""
    declaration: dict[str, Any] = copy.deepcopy(state.fleet.declaration)
    declaration["defaults"]["deadline_ms"] = state.random.randint(1500, 2500)
    shares = [e for e in declaration["exceptions"] if e["id"].startswith("share-")]
    state.random.choice(shares)["weight"] = state.random.randint(1, 5)
    return declaration


async def wait_healed(state: SoakState) -> None:
    """Heal everything and wait until the fleet is ready."""
    fleet = state.fleet
    await fleet.set_store_faults(down=False, delay_s=0.0, lose_answer_share=0.0)
    # Every fault has started what it ended.
    for name, detail in fleet.ended_processes().items():
        state.violations.append(Violation("process-ended", name, detail))
        fleet.restart(name)
    for name in fleet.members:
        await heal_server(fleet, name)
    try:
        await fleet.wait_ready(fleet.members, READY_S)
    except FleetNotReady as error:
        state.violations.append(Violation("not-ready", "fleet", str(error)))


FAULTS: Final[dict[str, Fault]] = {
    "kill-node": kill_node,
    "kill-backend": kill_backend,
    "pause": pause_process,
    "planned-stop": stop_planned,
    "store": break_store,
    OLDER_STORE: restore_older_store,
    "withdraw-key": withdraw_key,
    "surge": surge,
    "slow-service": slow_service,
    "crash-requests": crash_servers,
    "racing-changes": race_changes,
}
