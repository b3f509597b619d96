"""Builders of a simulated node beside a backend server that starts and leaves.

Time, the store and the way of heartbeats are simulated; the node's decisions are real.
"""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import msgspec

from builders_gateway import make_executor, make_tracker
from builders_news import LoopClock, SimulatedStore, SimulatedStoreClient
from heathermount.gateway.background import restart_on_error
from heathermount.gateway.departure_store import DepartureStore
from heathermount.gateway.departures import Departures
from heathermount.gateway.http_server import HttpRequest
from heathermount.gateway.request_executor import RequestExecutor
from heathermount.platform.heartbeats import HeartbeatHandler

HEARTBEAT_INTERVAL_S = 1.5
ACK_TIMEOUT_S = 1.0
DRAIN_S = 2.0

# Longest time that a heartbeat is on its way.
MAX_LATENESS_S = 6.0

SAMPLE_INTERVAL_S = 0.05


class DepartureNode:
    """The processes of one node, one after the other, and its way to the store."""

    def __init__(self, store: SimulatedStore, random: Random) -> None:
        self.cut_from_store = False
        self.turned_away_by_store = False
        self.store_answers_lost = False
        self.writes_delay_s = 0.0
        self._store = store
        self._random = random
        self._task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[Any]] = set()
        self.executor: RequestExecutor | None = None
        self._heartbeats: HeartbeatHandler | None = None

    @property
    def reaches_store(self) -> bool:
        failing = self.cut_from_store or self.turned_away_by_store
        return not (failing or self.store_answers_lost or self.writes_delay_s)

    def start(self, first_start: bool = False) -> None:
        clock = LoopClock()
        departures = Departures()
        self.executor = make_executor(
            clock, make_tracker(clock), DRAIN_S, departures=departures
        )
        departure_store = DepartureStore(
            SimulatedStoreClient(self._store, self),
            "n-1",
            departures,
            self.executor.handle_departures_loaded,
            self._random,
            first_start,
        )
        self._heartbeats = HeartbeatHandler(
            self.executor, "pantry", departure_store.save
        )
        self._task = asyncio.create_task(restart_on_error(departure_store.maintain))

    def kill(self) -> None:
        if self._task is not None:
            self._task.cancel()
        for call in self._calls:
            call.cancel()
        self._task = self.executor = self._heartbeats = None

    async def call(self, method: bytes, server_id: str, body: bytes) -> int:
        """Handle a call of the server; return the status, or 0 without an answer."""
        handler = self._heartbeats
        if handler is None:
            return 0
        target = f"/heathermount/instances/{server_id}".encode()
        request = HttpRequest(method, target, [], body)
        call = asyncio.create_task(handler.handle(request))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        # The process may be killed while the call waits.
        await asyncio.wait([call], timeout=ACK_TIMEOUT_S)
        if not call.done() or call.cancelled():
            return 0
        return call.result().status


class LeavingServer:
    """A backend server that sends heartbeats, which may be late, and then leaves."""

    def __init__(self, node: DepartureNode, random: Random, born_ms: int) -> None:
        self._node = node
        self._random = random
        self.server_id = "i-1"
        self.born_ms = born_ms
        self._sequence = 0
        self._beating = asyncio.create_task(self._send_heartbeats())
        self._late: set[asyncio.Task[Any]] = set()
        # Simulated time of the first acknowledgement of its departure.
        self.acknowledged_at: float | None = None

    def _encode(self, state: str) -> bytes:
        self._sequence += 1
        return msgspec.json.encode(
            {
                "Service": "pantry",
                "Address": "127.0.0.1:9",
                "Zone": "a",
                "Slots": 8,
                "State": state,
                "Sequence": self._sequence,
                "born": self.born_ms,
            }
        )

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_later(self._encode("ready"))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_later(self, body: bytes) -> None:
        """Send a heartbeat that may be late, and may arrive twice."""
        delays_s = [0.001]
        if self._random.random() < 0.5:
            delays_s = [self._random.uniform(0.0, MAX_LATENESS_S)]
        if self._random.random() < 0.2:
            delays_s.append(self._random.uniform(0.0, MAX_LATENESS_S))
        for delay_s in delays_s:
            self._start(self._send_after(delay_s, body))

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _send_after(self, delay_s: float, body: bytes) -> None:
        await asyncio.sleep(delay_s)
        await self._node.call(b"PUT", self.server_id, body)

    def stop_heartbeats(self) -> None:
        """Crash, or begin to leave; heartbeats that are on their way still arrive."""
        self._beating.cancel()

    async def leave(self, with_draining: bool, repetitions: int) -> None:
        """Report the departure several times, as a draining server or with DELETE."""
        self.stop_heartbeats()
        for repetition in range(repetitions):
            if with_draining and repetition + 1 < repetitions:
                method, body = b"PUT", self._encode("draining")
            else:
                method, body = b"DELETE", b""
            status = await self._node.call(method, self.server_id, body)
            if status == 200 and self.acknowledged_at is None:
                self.acknowledged_at = asyncio.get_running_loop().time()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def sample(check: Callable[[], None]) -> None:
    """Run a check at each moment of the simulated time, until cancelled."""
    while True:
        check()
        await asyncio.sleep(SAMPLE_INTERVAL_S)
