"""Demo: a small fleet serves real calls through a surge, a killed node, a
configuration change and a withdrawn key.

Run as `python -m heathermount.runner.demo`. It takes less than a minute and
exits with a code other than zero when a check fails.
"""

import copy
import sys
from collections.abc import Sequence
from typing import Any, Final

import anyio
import msgspec
import uvloop
from absl import flags

from heathermount.clocks import SystemClock
from heathermount.events import Event, format_event
from heathermount.runner.caller import Caller, CallerSettings, RetrySettings, Surge
from heathermount.runner.fleet import Fleet
from heathermount.runner.summaries import format_summary, summarise
from heathermount.runner.topologies import SMALL_FLEET
from heathermount.runner.workloads import make_loads, make_rate_limits
from heathermount.soak.checks import (
    RateLimit,
    RunData,
    Violation,
    Withdrawal,
    check_all,
)
from heathermount.standins.commandline import end_on_termination, make_flag_values
from heathermount.standins.records import CallResult

__all__ = ["main", "run", "run_demo"]

LOAD_DURATION_S: Final = 24.0
LOAD_SCALE: Final = 0.6

LOAD_SURGE: Final = Surge(start_s=4.0, end_s=8.0, factor=6.0)
SURGING_ORGANISATION: Final = "cart-2"

KILLED_NODE: Final = "pantry-1"
KILL_AT_S: Final = 10.0
RESTART_AT_S: Final = 14.0

RAISED_ORGANISATION: Final = "cart-3"
RAISED_RATE_LIMIT: Final = RateLimit(40.0, 80.0)
CHANGE_AT_S: Final = 12.0

WITHDRAWN_ORGANISATION: Final = "cart-4"
WITHDRAW_AT_S: Final = 16.0

AUTHOR: Final = "demo"
MAX_TIMELINE_LINES: Final = 70
MAX_PRINTED_VIOLATIONS: Final = 20


class DemoLog(msgspec.Struct):
    """Withdrawals that the demo made during the load, for the checks."""

    withdrawals: list[Withdrawal] = msgspec.field(default_factory=list)


async def run_demo(seed: int) -> list[Violation]:
    """Run the demo, print its results and return the violations."""
    async with Fleet(SMALL_FLEET, seed) as fleet:
        print(
            f"{len(fleet.members)} nodes are ready, calls run for {LOAD_DURATION_S:g} s"
        )
        log = DemoLog()
        caller = Caller(make_settings(fleet, seed), SystemClock())
        start_us, _ = fleet.events.next_timestamp()
        async with anyio.create_task_group() as group:
            group.start_soon(kill_and_restart, fleet)
            group.start_soon(change_configuration, fleet)
            group.start_soon(withdraw_key, fleet, log)
            await caller.run()
        violations = await check_run(fleet, caller.results, log)
        print_timeline(await fleet.timeline(), start_us)
        print(format_summary(summarise(caller.results, LOAD_DURATION_S)))
    return violations


def make_settings(fleet: Fleet, seed: int) -> CallerSettings:
    loads = make_loads(fleet.description, fleet.keys, LOAD_SCALE)
    for load in loads:
        if load.name == SURGING_ORGANISATION:
            load.surges = [LOAD_SURGE]
    return CallerSettings(
        seed=seed,
        run_name="demo",
        duration_s=LOAD_DURATION_S,
        timeout_s=4.0,
        entries=fleet.entry_addresses(),
        organisations=loads,
        retries=RetrySettings(limit=2, delay_s=0.2),
    )


async def kill_and_restart(fleet: Fleet) -> None:
    await anyio.sleep(KILL_AT_S)
    await fleet.kill(KILLED_NODE)
    await anyio.sleep(RESTART_AT_S - KILL_AT_S)
    fleet.restart(KILLED_NODE)


async def change_configuration(fleet: Fleet) -> None:
    await anyio.sleep(CHANGE_AT_S)
    declaration: dict[str, Any] = copy.deepcopy(fleet.declaration)
    for exception in declaration["exceptions"]:
        if exception["id"] == f"share-{RAISED_ORGANISATION}":
            exception |= {
                "rate": RAISED_RATE_LIMIT.rate,
                "burst": RAISED_RATE_LIMIT.burst,
            }
    assert fleet.operator is not None
    change = await fleet.operator.apply(
        declaration, AUTHOR, f"raise {RAISED_ORGANISATION}"
    )
    fleet.events.record(
        "configuration-changed", revision=change.revision, raised=RAISED_ORGANISATION
    )


async def withdraw_key(fleet: Fleet, log: DemoLog) -> None:
    await anyio.sleep(WITHDRAW_AT_S)
    key_id = fleet.keys[WITHDRAWN_ORGANISATION].split("_")[1]
    assert fleet.operator is not None
    change = await fleet.operator.withdraw_key(key_id, AUTHOR)
    log.withdrawals.append(Withdrawal(key_id, change.accepted_at))
    fleet.events.record(
        "key-withdrawn", key_id=key_id, organisation=WITHDRAWN_ORGANISATION
    )


async def check_run(
    fleet: Fleet, results: Sequence[CallResult], log: DemoLog
) -> list[Violation]:
    """Check the records, the nodes' invariants and the demo's expected effects."""
    data = RunData(
        results=results,
        records=fleet.run_records(),
        rate_limits=make_rate_limits(fleet.description)
        | {RAISED_ORGANISATION: RAISED_RATE_LIMIT},
        withdrawals=log.withdrawals,
        extra_attempts=fleet.description.extra_attempts,
    )
    violations = check_all(data)
    for subject, count in (await fleet.violations()).items():
        violations.append(Violation("invariant", subject, f"violated {count} times"))
    for name, detail in fleet.ended_processes().items():
        violations.append(Violation("process-ended", name, detail))
    print(f"checked {len(results)} attempts against {len(data.records)} server records")
    return [*violations, *check_expectations(results, log)]


def check_expectations(results: Sequence[CallResult], log: DemoLog) -> list[Violation]:
    """Check that the kill, the withdrawal and the surge had their effect."""
    start = min(result.scheduled for result in results)
    succeeded = [result for result in results if result.succeeded]
    withdrawn = {withdrawal.key_id for withdrawal in log.withdrawals}
    expectations = {
        "calls succeed while a node is down": any(
            KILL_AT_S < result.sent - start < RESTART_AT_S for result in succeeded
        ),
        "a withdrawn key is refused": any(
            result.status == 401 and result.key_id in withdrawn for result in results
        ),
        "the surging organisation is held to its rate": any(
            result.status == 429 and result.organisation == SURGING_ORGANISATION
            for result in results
        ),
    }
    return [
        Violation("expectation", name, "did not happen")
        for name, met in expectations.items()
        if not met
    ]


def print_timeline(events: Sequence[Event], start_us: int) -> None:
    """Print the events since `start_us`; repeats of a node's event become one line."""
    lines: list[str] = []
    previous_kind, skipped = "", 0
    for event in events:
        if event.wall_us < start_us:
            continue
        kind = f"{event.node} {event.kind}"
        if kind == previous_kind:
            skipped += 1
            continue
        if skipped:
            lines.append(f"{'':>9} ({skipped} more like this)")
        previous_kind, skipped = kind, 0
        at_s = (event.wall_us - start_us) / 1_000_000
        lines.append(f"{at_s:>8.3f}s {format_event(event)}")
    print("timeline:")
    print("\n".join(lines[:MAX_TIMELINE_LINES]))
    if len(lines) > MAX_TIMELINE_LINES:
        print(f"({len(lines) - MAX_TIMELINE_LINES} more lines)")


def main(argv: list[str]) -> int:
    """Run the demo; return the exit code."""
    values = make_flag_values()
    flags.DEFINE_integer("seed", 1, "Seed of all random choices.", flag_values=values)
    values(argv)
    end_on_termination()
    violations = uvloop.run(run_demo(values.seed))
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"FAILED {violation.check} {violation.subject}: {violation.detail}")
    print("all checks passed" if not violations else f"{len(violations)} checks failed")
    return 1 if violations else 0


def run() -> None:
    """Entry point of the command."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
