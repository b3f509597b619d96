"""Time until a change of the configuration is in force, by node.

PROPAGATION_SEEDS sets the number of random runs.
"""

import asyncio
import os
from functools import partial
from random import Random
from typing import Any, Final
from unittest.mock import patch

import pytest
from absl import logging

from builders_gateway import PROPAGATION_S, make_document
from builders_news import (
    STORE_DELAY_S,
    Disturbance,
    SimulatedFleet,
    SimulatedNode,
    assert_always,
    simulate,
    wait_until,
)
from heathermount.clocks import ManualClock
from heathermount.gateway.backoff import WATCH_TIMEOUT_S
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.store.interface import HistoryLost

# A node is only bound by PROPAGATION_S after it has run and reached the store for
# this time.
STABLE_WINDOW_S: Final = 3.0

# Delays of the store, the reader and the tree after the end of a lost watch.
VIEW_DELAY_S: Final = 1.0

SEEDS: Final = int(os.environ.get("PROPAGATION_SEEDS", "12"))
CHANGES_PER_SEED: Final = 6


def list_late_nodes(fleet: SimulatedFleet, version: int) -> list[str]:
    """Return the nodes in touch that lack a version written PROPAGATION_S ago."""
    bound_since = asyncio.get_running_loop().time() - STABLE_WINDOW_S
    return [
        f"{node.name} at version {node.tracker.version}, {node.tracker.age_s():.2f} s"
        for node in fleet.alive()
        if node.sound_since <= bound_since and node.tracker.version < version
    ]


async def change_during_faults(
    fleet: SimulatedFleet, random: Random, version: int, kinds: list[Disturbance]
) -> list[str]:
    """Write a change while two groups of nodes fail; return the nodes it misses."""
    nodes = list(fleet.nodes.values())
    for _ in range(2):
        await asyncio.sleep(random.uniform(0.0, 1.0))
        for node in random.sample(nodes, random.randint(0, len(nodes) - 1)):
            if node.alive:
                node.disturb(random.choice(kinds))
    await asyncio.sleep(random.uniform(0.0, 1.5))
    fleet.store.put_document(make_document(version))
    await asyncio.sleep(PROPAGATION_S)
    late = list_late_nodes(fleet, version)
    for node in nodes:
        await asyncio.sleep(random.uniform(0.0, 0.2))
        node.recover()
    await asyncio.sleep(STABLE_WINDOW_S)
    return [*late, *list_late_nodes(fleet, version)]


@pytest.mark.parametrize("kind", [*Disturbance, None])
def test_change_is_in_force_in_time_beside_failing_nodes(
    kind: Disturbance | None,
) -> None:
    """Guards against sound nodes that wait for others which have failed."""
    late: list[str] = []

    async def check(random: Random) -> None:
        fleet = SimulatedFleet(16, 3)
        await fleet.start()
        kinds = [kind] if kind else list(Disturbance)
        for version in range(2, 2 + CHANGES_PER_SEED):
            missed = await change_during_faults(fleet, random, version, kinds)
            late.extend(missed)

    for seed in range(SEEDS):
        simulate(partial(check, Random(f"{kind}/{seed}")))
    assert not late, f"{len(late)} late in {SEEDS * CHANGES_PER_SEED} changes"


def fail_all_but(survivor: SimulatedNode, disturbance: Disturbance) -> None:
    for node in survivor.fleet.nodes.values():
        if node is not survivor:
            node.disturb(disturbance)


@pytest.mark.parametrize("disturbance", Disturbance)
@pytest.mark.parametrize("count", [2, 14, 60])
def test_change_is_in_force_in_time_at_the_only_sound_node(
    count: int, disturbance: Disturbance
) -> None:
    """Guards against a node that needs any other node to learn of a change."""

    async def check() -> None:
        fleet = SimulatedFleet(count, 3)
        await fleet.start()
        survivor = max(fleet.alive(), key=lambda node: node.position())
        fail_all_but(survivor, disturbance)
        fleet.store.put_document(make_document(2))
        await wait_until(lambda: survivor.tracker.version == 2, PROPAGATION_S)

    simulate(check)


def test_change_is_in_force_soon_after_the_store_has_been_lost() -> None:
    """Guards against a long pause after a failed read, while all sources lag.

    A change that was written while nodes were cut from the store must be in force
    once they have reached it again for the stable window.
    """

    async def check() -> None:
        fleet = SimulatedFleet(16, 3)
        await fleet.start()
        for node in fleet.alive():
            node.disturb(Disturbance.STORE)
        await asyncio.sleep(6.0)
        fleet.store.put_document(make_document(2))
        await asyncio.sleep(1.0)
        # The sources stay without the store.
        follower = max(fleet.alive(), key=lambda node: node.position())
        follower.recover()
        await wait_until(lambda: follower.tracker.version == 2, STABLE_WINDOW_S)

    simulate(check)


def test_confirmation_stays_younger_than_the_bound() -> None:
    """Guards against a quiet fleet whose nodes confirm the configuration too late."""

    async def check() -> None:
        fleet = SimulatedFleet(60, 3)
        await fleet.start()
        await assert_always(
            lambda: all(
                node.tracker.age_s() <= PROPAGATION_S / 2 for node in fleet.alive()
            ),
            20.0,
        )

    simulate(check)


def test_overdue_confirmation_is_logged_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a late change of which the logs of its node show nothing."""
    logging.get_absl_logger().propagate = True
    clock = ManualClock()
    tracker = ConfigurationTracker(clock, 3.5, PROPAGATION_S)
    tracker.apply(make_document(), "test")
    tracker.confirm(clock.monotonic())
    clock.advance(PROPAGATION_S)
    tracker.confirm(clock.monotonic())
    assert tracker.overdue_confirmations == 0
    clock.advance(PROPAGATION_S + 0.5)
    with caplog.at_level("WARNING", logger="absl"):
        tracker.confirm(clock.monotonic())
    assert (tracker.overdue_confirmations, tracker.longest_age_s) == (1, 2.5)
    assert "event=configuration-overdue age_s=2.50" in caplog.text


def test_store_that_keeps_losing_its_history_is_not_called_without_a_pause() -> None:
    """Guards against a reader that calls the store in a tight loop."""

    async def check() -> None:
        fleet = SimulatedFleet(6, 1)
        await fleet.start()
        (reader,) = fleet.readers()

        async def lose_history(*_: Any) -> Any:
            await asyncio.sleep(STORE_DELAY_S)
            raise HistoryLost("compacted")

        with (
            patch.object(reader.client, "wait_for_change", lose_history),
            patch.object(reader.client, "watch", lose_history),
        ):
            calls = fleet.store.calls
            await asyncio.sleep(10.0)
            # Two watches, each with a read for each loss, beside the usual calls.
            assert (fleet.store.calls - calls) / 10.0 <= 10.0
            fleet.store.put_document(make_document(2))
            await wait_until(lambda: fleet.have_version(2), PROPAGATION_S)

    simulate(check)


def test_reader_whose_watches_were_lost_learns_of_changes_soon() -> None:
    """Guards against a watch that waits on a connection which has been cut silently.

    The store answers during a short cut; nothing comes on the old connections after it.
    """

    async def check() -> None:
        fleet = SimulatedFleet(6, 1)
        await fleet.start()
        (reader,) = fleet.readers()
        reader.disturb(Disturbance.STORE)
        await asyncio.sleep(0.2)
        follower = max(fleet.alive(), key=lambda node: node.position())
        follower.view.registration.update_server(None)
        await asyncio.sleep(0.2)
        reader.recover()
        own_name = follower.name
        await wait_until(
            lambda: all(
                node.view.registry.nodes[own_name].server is None
                for node in fleet.alive()
            ),
            WATCH_TIMEOUT_S + VIEW_DELAY_S,
        )
        fleet.store.put_document(make_document(2))
        await wait_until(lambda: fleet.have_version(2), PROPAGATION_S)

    simulate(check)


def test_read_that_is_overtaken_neither_reverts_nor_confirms_a_change() -> None:
    """Guards against an answer of the store that arrives after a newer one.

    Its node reads in two tasks, and reads may also be answered by peers meanwhile.
    """

    async def check() -> None:
        fleet = SimulatedFleet(1, 1)
        await fleet.start()
        (node,) = fleet.alive()
        read = node.client.read
        old = await read()
        overtaken_at = fleet.clock.monotonic()
        fleet.store.put_document(make_document(2))
        await wait_until(lambda: fleet.have_version(2), PROPAGATION_S)

        async def answer_late() -> Any:
            await asyncio.sleep(0.5)
            return (make_document(1), old[1])

        with patch.object(node.client, "read", answer_late):
            await asyncio.sleep(2.0)
        assert node.tracker.version == 2
        assert node.tracker.confirmed_at > overtaken_at

    simulate(check)


def test_restarted_node_does_not_keep_the_old_version_of_its_only_peer() -> None:
    """Guards against a node that starts with what a node without the store knows."""

    async def check() -> None:
        fleet = SimulatedFleet(2, 1)
        await fleet.start()
        restarted, peer = fleet.alive()
        restarted.kill()
        peer.disturb(Disturbance.STORE)
        fleet.store.put_document(make_document(2))
        await asyncio.sleep(8.0)
        restarted.recover()
        await wait_until(lambda: restarted.tracker.version == 2, STABLE_WINDOW_S)
        # The other one learns of it, although it is still without the store.
        await wait_until(lambda: peer.tracker.version == 2, PROPAGATION_S)

    simulate(check)
