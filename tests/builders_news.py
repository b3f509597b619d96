"""Builders of a simulated fleet: the code that learns of the fleet, without a network.

Hundreds of nodes run in one event loop whose time jumps to the next timer.
"""

import asyncio
import math
import selectors
from collections.abc import Callable, Coroutine
from enum import Enum
from random import Random
from typing import Any, Protocol

import msgspec

from builders_gateway import PROPAGATION_S, make_document
from heathermount.errors import (
    PeerTimeout,
    PeerUnreachable,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.gateway.background import restart_on_error
from heathermount.gateway.configuration_document import GatewayDocument
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.fleet_view import FleetView
from heathermount.gateway.messages import Ping, Pong
from heathermount.gateway.node_records import NodeRecord, ServerRecord
from heathermount.routing.quarantine import Quarantine
from heathermount.store.interface import (
    ChangeBatch,
    HistoryLost,
    KeyChange,
    Versioned,
)

NETWORK_DELAY_S = 0.001
STORE_DELAY_S = 0.004
FRESHNESS_S = 3.5
STORE_TIMEOUT_S = 1.0

# Share of a call's price that the platform charges for renewals and stale reads.
CHEAP_CALL_PRICE = 0.1


class SkippingSelector(selectors.SelectSelector):
    """Advances the time of its loop instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.skipping_selector = SkippingSelector()
        super().__init__(self.skipping_selector)

    def time(self) -> float:
        return self.skipping_selector.now


class LoopClock:
    """Clock that follows the simulated loop."""

    def monotonic(self) -> float:
        return 1000.0 + asyncio.get_running_loop().time()

    def wall(self) -> float:
        return 1_700_000_000.0 + asyncio.get_running_loop().time()


def simulate(body: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(body())


class SimulatedStore:
    """The store's state, shared by the clients of all nodes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[KeyChange] = []
        self.lease_ends: dict[int, float] = {}
        self.ttl_s: dict[int, float] = {}
        self.document = make_document()
        self.document_revision = 1
        self.changed = asyncio.Event()
        self.calls = 0.0
        self.down = False

    def put(self, key: str, value: bytes | None, lease_id: int) -> None:
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision, lease_id)
        self.history.append(KeyChange(key, value, self.revision))
        self.notify()

    def commit(
        self,
        compares: dict[str, int],
        writes: dict[str, bytes | None],
        lease_id: int,
    ) -> bool:
        """Apply the writes if all compared versions are current."""
        if lease_id and lease_id not in self.lease_ends:
            return False
        for key, version in compares.items():
            item = self.items.get(key)
            if version != (item[1] if item is not None else 0):
                return False
        for key, value in writes.items():
            self.put(key, value, lease_id)
        return True

    def put_document(self, document: GatewayDocument) -> None:
        self.revision += 1
        self.document, self.document_revision = document, self.revision
        self.notify()

    def notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def end_lease(self, lease_id: int) -> None:
        self.lease_ends.pop(lease_id, None)
        for key in [k for k, item in self.items.items() if item[2] == lease_id]:
            self.put(key, None, 0)

    async def expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            for lease_id, ends_at in list(self.lease_ends.items()):
                if ends_at < loop.time():
                    self.end_lease(lease_id)


class StoreReachability(Protocol):
    """How the store fails for a node, as described in SimulatedNode."""

    cut_from_store: bool
    turned_away_by_store: bool
    store_answers_lost: bool
    writes_delay_s: float


class SimulatedStoreClient:
    """One node's client of the store, which implements WatchedStore."""

    def __init__(self, store: SimulatedStore, node: "StoreReachability") -> None:
        self._store = store
        self._node = node
        self._known_document_revision = 0
        self.calls: dict[str, int] = {}
        self.price = 0.0

    async def _call(self, price: float = 1.0) -> None:
        self.price += price
        self._store.calls += price
        if self._node.turned_away_by_store:
            await asyncio.sleep(STORE_DELAY_S)
            raise StoreUnavailable("the connection was reset")
        if self._node.cut_from_store:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(STORE_DELAY_S)
        if self._store.down:
            raise StoreUnavailable("503")

    async def _answer_write(self) -> None:
        """Lose the answer of a write that was applied, if the node's way is cut so."""
        if self._node.store_answers_lost:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreOutcomeUnknown("no answer")

    async def _answer_read(self) -> None:
        if self._node.store_answers_lost:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("no answer")

    async def get(self, key: str) -> Versioned | None:
        await self._call()
        await self._answer_read()
        item = self._store.items.get(key)
        return Versioned(item[0], item[1]) if item is not None else None

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        raise NotImplementedError

    async def read_prefix(
        self, prefix: str, stale: bool = False
    ) -> tuple[dict[str, Versioned], int]:
        await self._call(CHEAP_CALL_PRICE if stale else 1.0)
        await self._answer_read()
        items = self._store.items.items()
        return {k: Versioned(v, r) for k, (v, r, _) in items}, self._store.revision

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        await self._call()
        await self._answer_read()
        events = await self._wait_for(
            lambda: [one for one in self._store.history if one.version > after], wait_s
        )
        return ChangeBatch(events, self._store.revision)

    async def _wait_for(self, find: Callable[[], Any], wait_s: float) -> Any:
        try:
            async with asyncio.timeout(wait_s):
                while not find():
                    await self._store.changed.wait()
                    if self._node.cut_from_store:
                        # The answer is lost, also if the cut ends before the timeout.
                        await asyncio.Event().wait()
        except TimeoutError:
            if find():
                raise StoreUnavailable("the watch was cut") from None
        if self._node.cut_from_store or self._store.down:
            raise StoreUnavailable("the watch was cut")
        return find()

    async def commit(
        self,
        compares: dict[str, int],
        writes: dict[str, bytes | None],
        lease_id: int = 0,
    ) -> bool:
        await self._call()
        if self._node.writes_delay_s:
            delay_s = self._node.writes_delay_s
            asyncio.get_running_loop().call_later(
                delay_s, self._store.commit, compares, writes, lease_id
            )
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreOutcomeUnknown("no answer")
        committed = self._store.commit(compares, writes, lease_id)
        await self._answer_write()
        return committed

    async def grant_lease(self, ttl_s: float) -> int:
        await self._call()
        lease_id = len(self._store.ttl_s) + 1
        self._store.ttl_s[lease_id] = ttl_s
        self._store.lease_ends[lease_id] = asyncio.get_running_loop().time() + ttl_s
        await self._answer_write()
        return lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        await self._call(CHEAP_CALL_PRICE)
        if lease_id not in self._store.lease_ends:
            return False
        ends_at = asyncio.get_running_loop().time() + self._store.ttl_s[lease_id]
        self._store.lease_ends[lease_id] = ends_at
        await self._answer_write()
        return True

    async def end_lease(self, lease_id: int) -> None:
        await self._call()
        self._store.end_lease(lease_id)

    # Reader of the configuration.

    async def read(self) -> tuple[GatewayDocument | None, int]:
        await self._call()
        await self._answer_read()
        if self._store.document_revision == self._known_document_revision:
            return None, self._store.revision
        self._known_document_revision = self._store.document_revision
        return self._store.document, self._store.revision

    async def check_available(self) -> None:
        await self._call(CHEAP_CALL_PRICE)
        await self._answer_read()

    async def wait_for_change(
        self, after_revision: int, timeout_s: float
    ) -> tuple[bool, int]:
        await self._call()
        await self._answer_read()
        if after_revision > self._store.revision:
            raise HistoryLost("a revision of the future")
        changed = await self._wait_for(
            lambda: self._store.document_revision > after_revision, timeout_s
        )
        return bool(changed), self._store.revision


class Disturbance(Enum):
    """What a node loses during a fault."""

    PEERS = "peers"
    STORE = "store"
    # Both the peers and the store.
    CUT = "cut"
    SUSPENDED = "suspended"
    KILLED = "killed"


class SimulatedNode:
    """One node's knowledge of the fleet, connected to the others by direct calls."""

    def __init__(
        self, fleet: "SimulatedFleet", number: int, failure_domain: str
    ) -> None:
        self.fleet = fleet
        self.name = f"n-{number}"
        self.address = f"10.0.{number // 250}.{number % 250}:7000"
        self.incarnation = 0
        self.failure_domain = failure_domain
        # The store gets nothing from this node.
        self.cut_from_store = False
        # The store rejects all calls of this node.
        self.turned_away_by_store = False
        # The store applies this node's writes, but its answers are lost.
        self.store_answers_lost = False
        # Delay after which the store applies this node's writes, without an answer.
        self.writes_delay_s = 0.0
        # Peers neither get messages from this node nor answer it.
        self.isolated = False
        # Messages wait until the node runs again.
        self.running = asyncio.Event()
        self.running.set()
        self.alive = False
        # Simulated time since which the node has run and reached the store.
        self.sound_since = math.inf
        self.messages = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.client: SimulatedStoreClient
        self.tracker: ConfigurationTracker
        self.quarantine: Quarantine
        self.view: FleetView

    def start(self, first_read_delay_s: float = 0.0, with_server: bool = True) -> None:
        """Start a process of the node; its backend server may be announced later."""
        self.incarnation += 1
        self.alive = True
        self.sound_since = asyncio.get_running_loop().time()
        clock = self.fleet.clock
        self.client = SimulatedStoreClient(self.fleet.store, self)
        self.tracker = ConfigurationTracker(clock, FRESHNESS_S, PROPAGATION_S)
        self.quarantine = Quarantine(clock)
        record = NodeRecord(
            self.name,
            str(self.incarnation),
            self.address,
            "s",
            self.failure_domain,
            None,
        )
        self.view = FleetView(
            record,
            self.client,
            self.client,
            self.tracker,
            self.quarantine,
            self,
            lambda other: self.fleet.nodes[other.node].alive,
            self.handle_nodes_changed,
            first_read_delay_s,
            clock,
            Random(self.name),
        )
        self.tasks = [
            asyncio.create_task(restart_on_error(loop)) for loop in self.view.loops()
        ]
        if with_server:
            self.announce_server()

    def announce_server(self) -> None:
        self.view.registration.update_server(ServerRecord(self.name, 1, 0.0, 0.0))

    def handle_nodes_changed(self) -> None:
        """Handle that the node's view of the other nodes has changed."""

    def kill(self) -> None:
        self.alive = False
        self.sound_since = math.inf
        for task in self.tasks:
            task.cancel()

    def disturb(self, disturbance: Disturbance) -> None:
        """Start a fault, which lasts until `recover`."""
        if disturbance is Disturbance.KILLED:
            self.kill()
            return
        if disturbance is not Disturbance.STORE:
            self.isolated = True
        if disturbance is Disturbance.SUSPENDED:
            self.running.clear()
        if disturbance is not Disturbance.PEERS:
            self.cut_from_store = True
            self.sound_since = math.inf

    def recover(self) -> None:
        was_sound = self.alive and not self.cut_from_store
        self.isolated = self.cut_from_store = False
        self.running.set()
        if not self.alive:
            self.start()
        elif not was_sound:
            self.sound_since = asyncio.get_running_loop().time()

    async def ask(self, address: str, ping: Ping, timeout_s: float) -> Pong:
        """Send a request for news to another node; implements SourceLinks."""
        self.messages += 1
        target = self.fleet.by_address[address]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(NETWORK_DELAY_S)
                if not target.alive:
                    raise PeerUnreachable(f"{address} refused the connection")
                if target.isolated or self.isolated:
                    await asyncio.Event().wait()
                pong = await target.answer(ping)
                await asyncio.sleep(NETWORK_DELAY_S)
        except TimeoutError:
            raise PeerTimeout(f"{address} did not answer in time") from None
        if not target.alive:
            raise PeerUnreachable(f"{address} closed the connection")
        return pong

    async def answer(self, ping: Ping) -> Pong:
        await self.running.wait()
        self.messages += 1
        # Encoded and decoded as on the wire, so that no object is shared.
        ping = msgspec.msgpack.decode(msgspec.msgpack.encode(ping), type=Ping)
        self.quarantine.merge(ping.suspicions)
        pong = Pong(0, 0.0, None, True, b"", [])
        pong = await self.view.board.complete_answer(ping, pong)
        pong.suspicions = self.quarantine.select_suspicions_to_share()
        await self.running.wait()
        return msgspec.msgpack.decode(msgspec.msgpack.encode(pong), type=Pong)

    def position(self) -> int:
        place = self.view.follower.place
        return place.position if place is not None else -1

    def knows(self, names: set[str]) -> bool:
        return set(self.view.registry.nodes) == names


class SimulatedFleet:
    """Nodes in failure domains, which share a store."""

    def __init__(
        self,
        node_count: int,
        domain_count: int,
        node_class: type[SimulatedNode] = SimulatedNode,
    ) -> None:
        self.clock = LoopClock()
        self.store = SimulatedStore()
        self.nodes: dict[str, SimulatedNode] = {}
        self.by_address: dict[str, SimulatedNode] = {}
        self._domain_count = domain_count
        self._node_class = node_class
        for _ in range(node_count):
            self.add_node()
        self._expiry = asyncio.create_task(self.store.expire_leases())

    def add_node(self) -> SimulatedNode:
        """Add an instance, whose node is not started."""
        number = len(self.nodes)
        node = self._node_class(self, number, f"d-{number % self._domain_count}")
        self.nodes[node.name] = node
        self.by_address[node.address] = node
        return node

    async def start(self) -> None:
        """Start all nodes for the first time and wait until they have settled."""
        for node in self.nodes.values():
            node.start(first_read_delay_s=2.0)
        await asyncio.sleep(5.0)

    def alive(self) -> list[SimulatedNode]:
        return [node for node in self.nodes.values() if node.alive]

    def readers(self) -> list[SimulatedNode]:
        """Return the first node of each failure domain; one of them is the reader."""
        return [node for node in self.alive() if node.position() == 0]

    def know_each_other(self) -> bool:
        names = {node.name for node in self.alive()}
        return all(node.knows(names) for node in self.alive())

    def are_fresh(self) -> bool:
        return all(node.tracker.is_fresh() for node in self.alive())

    def have_version(self, version: int) -> bool:
        return all(node.tracker.version == version for node in self.alive())


async def wait_until(condition: Callable[[], bool], seconds: float) -> float:
    """Wait for a condition; return the simulated seconds that it took."""
    started_at = asyncio.get_running_loop().time()
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - conditions have no event
            await asyncio.sleep(0.02)
    return asyncio.get_running_loop().time() - started_at


async def assert_always(condition: Callable[[], bool], seconds: float) -> None:
    """Assert a condition at each tenth of a second of a period."""
    for _ in range(round(seconds * 10)):
        assert condition()
        await asyncio.sleep(0.1)
