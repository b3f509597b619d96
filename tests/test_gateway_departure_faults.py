"""Departures of backend servers beside faults of the store and killed processes.

DEPARTURE_SEEDS sets the number of random runs.
"""

import asyncio
import os
from functools import partial
from random import Random
from typing import Any, Final
from unittest.mock import patch

import pytest

from builders_departures import DRAIN_S, DepartureNode, LeavingServer, sample
from builders_news import SimulatedStore, simulate
from heathermount.gateway.announcements import Announcement
from heathermount.gateway.departure_store import DepartureStore
from heathermount.gateway.lifecycle import Phase, ServerLifecycle

SEEDS: Final = int(os.environ.get("DEPARTURE_SEEDS", "150"))

# Random runs within which a former fault has to show.
MAX_SEEDS_TO_FIND: Final = 2000

# Time after which a server that has not left is offered, once the store answers.
SERVING_S: Final = 5.0

STORE_FLAGS: Final = ("cut_from_store", "turned_away_by_store", "store_answers_lost")


class Run:
    """One random order of faults and departures, and what it broke."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._store = SimulatedStore()
        self._node = DepartureNode(self._store, self._random)
        self._servers: list[LeavingServer] = []
        self._sound_since = 0.0
        self.broken: set[str] = set()

    async def play(self) -> None:
        self._node.start(first_start=True)
        self._start_server()
        checks = asyncio.create_task(sample(self._check))
        for _ in range(3):
            await self._pause(4.0)
            faults = [
                asyncio.create_task(self._disturb_store()),
                asyncio.create_task(self._kill_processes()),
            ]
            await self._pause(2.0)
            await self._end_server()
            await asyncio.gather(*faults)
            await self._pause(6.0)
            self._start_server()
        self._sound_since = asyncio.get_running_loop().time()
        # Time for late heartbeats of the former start, then for the last one's.
        await asyncio.sleep(SERVING_S + 8.0)
        checks.cancel()
        executor = self._node.executor
        if executor is None or not executor.serving:
            self.broken.add("a server that has not left gets no requests")

    async def _pause(self, longest_s: float) -> None:
        await asyncio.sleep(self._random.uniform(0.0, longest_s))

    def _start_server(self) -> None:
        born_ms = 1_700_000_000_000 + int(asyncio.get_running_loop().time() * 1000)
        server = LeavingServer(self._node, self._random, born_ms)
        self._servers.append(server)

    async def _end_server(self) -> None:
        server = self._servers[-1]
        if self._random.random() < 0.1:
            server.stop_heartbeats()
            return
        await server.leave(self._random.random() < 0.5, self._random.randint(1, 4))

    async def _disturb_store(self) -> None:
        for _ in range(self._random.randint(0, 2)):
            await self._pause(1.5)
            flag = self._random.choice([*STORE_FLAGS, "writes_delay_s"])
            value = self._random.uniform(0.1, 4.0) if flag == "writes_delay_s" else True
            setattr(self._node, flag, value)
            await self._pause(5.0)
            setattr(self._node, flag, type(value)())

    async def _kill_processes(self) -> None:
        for _ in range(self._random.randint(0, 2)):
            await self._pause(4.0)
            self._node.kill()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
            self._node.start()

    def _check(self) -> None:
        """Check that no server gets requests after its acknowledged departure."""
        executor = self._node.executor
        announcement = executor.announcement if executor is not None else None
        if executor is None or announcement is None or not executor.serving:
            return
        now = asyncio.get_running_loop().time()
        for server in self._servers:
            if server.born_ms != announcement.born_ms:
                continue
            if server.acknowledged_at is not None:
                late_s = now - server.acknowledged_at - DRAIN_S
                if late_s > 0.0:
                    self.broken.add("DRAIN")


def find_broken(seeds: int) -> list[str]:
    """Play random runs; return what they broke."""
    broken: list[str] = []

    async def play(seed: int) -> None:
        run = Run(seed)
        await run.play()
        broken.extend(f"seed {seed}: {one}" for one in run.broken)

    for seed in range(seeds):
        simulate(partial(play, seed))
    return broken


def test_acknowledged_departure_holds_in_any_order_of_faults() -> None:
    """Guards against a departed server that gets requests again, and its opposite."""
    assert not find_broken(SEEDS)


# The methods that former faults replace.
original_save = DepartureStore.save
original_handle_heartbeat = ServerLifecycle.handle_heartbeat
original_handle_departure = ServerLifecycle.handle_departure


async def save_in_background(store: DepartureStore) -> bool:
    """Acknowledge a departure although it is not saved (review case 1)."""
    await original_save(store)
    return True


def start_after_two_heartbeats(
    lifecycle: ServerLifecycle, announcement: Announcement
) -> bool:
    """Start a server at its second heartbeat (review case 5)."""
    known = lifecycle.announcement
    started = original_handle_heartbeat(lifecycle, announcement)
    if (
        lifecycle.phase is Phase.UNCONFIRMED
        and known is not None
        and announcement.sequence > known.sequence
    ):
        lifecycle.phase = Phase.SERVING
        return True
    return started


def forget_departures(lifecycle: ServerLifecycle, server_id: str) -> None:
    """Drop a departure of a server that is not known yet (incident DRAIN)."""
    known = lifecycle.announcement
    if known is not None and known.server_id == server_id:
        original_handle_departure(lifecycle, server_id)


@pytest.mark.parametrize(
    ("target", "name", "fault"),
    [
        (DepartureStore, "save", save_in_background),
        (ServerLifecycle, "handle_heartbeat", start_after_two_heartbeats),
        (ServerLifecycle, "handle_departure", forget_departures),
    ],
    ids=["unsaved", "two heartbeats", "unknown server"],
)
def test_random_runs_find_former_faults(target: type, name: str, fault: Any) -> None:
    """Guards against a simulation that no longer sees the faults of the past."""
    with patch.object(target, name, fault):
        for seed in range(MAX_SEEDS_TO_FIND):
            run = Run(seed)
            simulate(run.play)
            if "DRAIN" in run.broken:
                print(f"found with {seed + 1} seeds")
                return
    raise AssertionError(f"not found with {MAX_SEEDS_TO_FIND} seeds")
