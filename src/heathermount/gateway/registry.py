"""Registration of gateway nodes in the store, and the view of all others."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec
from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.pauses import RetryPause
from heathermount.routing.members import Member
from heathermount.store.interface import HistoryLost, WatchedStore

__all__ = [
    "NODES_PREFIX",
    "NodeRecord",
    "Registry",
    "ServerRecord",
    "make_member",
]

NODES_PREFIX: Final = "nodes/"

# Term of a registration, in seconds, and the period of its renewals. A node
# that dies is noticed earlier by its links; the term bounds what the store keeps.
LEASE_S: Final = 6.0
RENEW_S: Final = 2.0

# Longest wait of a stopping node for the end of its lease, in seconds; without an
# answer the entry ends with the lease's term.
WITHDRAW_S: Final = 0.2

# Longest wait of one watch, in seconds; a waiting watch counts as one call.
WATCH_S: Final = 20.0

# Pause after a change, in seconds: nodes often change together, and each watch
# that returns costs a call.
SETTLE_S: Final = 0.3

# An entry that lapsed while the store was away is kept for this long after the
# store shows that it is missing, in seconds.
LAPSE_GRACE_S: Final = 2.5


class ServerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The backend server beside a node."""

    server_id: str
    slots: int
    cold_start_s: float
    # When it was announced, in seconds since the Unix epoch.
    joined_at: float


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node writes about itself."""

    node: str
    incarnation: str
    # Address of its links.
    address: str
    service: str
    failure_domain: str
    # None while no backend server is announced there, or while it drains.
    server: ServerRecord | None


RECORD_DECODER: Final = msgspec.msgpack.Decoder(NodeRecord)


class Registry:
    """Keeps this node's entry under a lease and follows the others' entries."""

    __slots__ = (
        "_changed",
        "_clock",
        "_is_alive",
        "_lease_id",
        "_missing_since",
        "_random",
        "_record",
        "_revision",
        "_store",
        "_updated",
        "_written",
        "nodes",
        "registered",
        "synchronised",
    )

    def __init__(
        self,
        store: WatchedStore,
        clock: Clock,
        record: NodeRecord,
        changed: Callable[[], None],
        is_alive: Callable[[NodeRecord], bool],
        random: Random,
    ) -> None:
        self._random = random
        self._store = store
        self._clock = clock
        self._record = record
        self._changed = changed
        self._is_alive = is_alive
        self._written: NodeRecord | None = None
        self._updated = asyncio.Event()
        self._lease_id = 0
        self._revision = 0
        self._missing_since: dict[str, float] = {}
        self.nodes: dict[str, NodeRecord] = {record.node: record}
        self.registered = False
        # True once the entries of all nodes were read.
        self.synchronised = False

    @property
    def record(self) -> NodeRecord:
        return self._record

    def update(self, server: ServerRecord | None) -> None:
        """Write a change of the backend server beside this node."""
        self._record = msgspec.structs.replace(self._record, server=server)
        self.nodes[self._record.node] = self._record
        self._updated.set()
        self._changed()

    async def maintain(self) -> None:
        """Keep this node registered until cancelled."""
        pause = RetryPause(self._random)
        while True:
            try:
                await self._register()
                self.registered = True
                pause.succeeded()
                pause_s = RENEW_S
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=registration-failed error="%s"', 1, error
                )
                self._written = None
                pause_s = pause.choose()
            self._updated.clear()
            if self._written != self._record and self._written is not None:
                continue
            try:
                async with asyncio.timeout(pause_s):
                    await self._updated.wait()
            except TimeoutError:
                continue

    async def _register(self) -> None:
        if self._lease_id and not await self._store.renew_lease(self._lease_id):
            logging.warning("event=registration-lapsed lease=%d", self._lease_id)
            self._lease_id = 0
            self._written = None
        if not self._lease_id:
            self._lease_id = await self._store.grant_lease(LEASE_S)
        record = self._record
        if record != self._written:
            key = NODES_PREFIX + record.node
            value = msgspec.msgpack.encode(record)
            if not await self._store.commit({}, {key: value}, self._lease_id):
                self._lease_id = 0
                raise StoreUnavailable("the lease of the registration has ended")
            self._written = record

    async def withdraw(self) -> None:
        """Remove this node's entry."""
        if not self._lease_id:
            return
        try:
            async with asyncio.timeout(WITHDRAW_S):
                await self._store.end_lease(self._lease_id)
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError) as error:
            logging.warning('event=withdrawal-failed error="%r"', error)

    async def follow(self) -> None:
        """Follow the entries of all nodes until cancelled."""
        pause = RetryPause(self._random)
        while True:
            try:
                if not self._revision:
                    await self._read_all()
                    pause.succeeded()
                await self._watch()
            except HistoryLost:
                self._revision = 0
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=registry-unreadable error="%s"', 1, error
                )
                # Entries may lapse without a trace in the history.
                self._revision = 0
                await pause.wait()

    async def _read_all(self) -> None:
        items, self._revision = await self._store.read_prefix(NODES_PREFIX)
        present = set()
        own = None
        for key, item in items.items():
            present.add(key.removeprefix(NODES_PREFIX))
            own = self._take(key, item.value) or own
        for node in self.nodes.keys() - present:
            self._miss(node)
        if self._written is not None:
            if self._record.node not in present:
                self._register_again()
            elif own is not None:
                self._write_again(own)
        self.synchronised = True
        self._changed()

    async def _watch(self) -> None:
        wait_s = min(WATCH_S, LAPSE_GRACE_S) if self._missing_since else WATCH_S
        changes = await self._store.watch(NODES_PREFIX, self._revision, wait_s)
        self._revision = changes.revision
        own_key = NODES_PREFIX + self._record.node
        own, own_lapsed = None, False
        for change in changes.events:
            if change.key == own_key:
                own_lapsed = change.value is None
            if change.value is None:
                self._miss(change.key.removeprefix(NODES_PREFIX))
            else:
                own = self._take(change.key, change.value) or own
        if own_lapsed:
            self._register_again()
        elif own is not None:
            self._write_again(own)
        dropped = self._drop_missing()
        if changes.events or dropped:
            self._changed()
            await asyncio.sleep(SETTLE_S)

    def _register_again(self) -> None:
        """Write this node's entry anew: the store no longer has it.

        The lease tells the same with its next renewal, if the store still knows
        whose it was.
        """
        logging.warning("event=registration-missing lease=%d", self._lease_id)
        self._lease_id = 0
        self._written = None
        self._updated.set()

    def _write_again(self, found: NodeRecord) -> None:
        """Write this node's entry anew if the store has an older one.

        A write whose answer was lost may be done late, over a newer entry.
        """
        own = self._record
        if (found.incarnation, found.server) == (own.incarnation, own.server):
            return
        logging.warning("event=registration-outdated incarnation=%s", found.incarnation)
        self._written = None
        self._updated.set()

    def _take(self, key: str, value: bytes) -> NodeRecord | None:
        """Take the entry of another node; return it if it is this node's own."""
        try:
            record = RECORD_DECODER.decode(value)
        except (msgspec.MsgspecError, RecursionError) as error:
            logging.warning('event=entry-malformed key=%s error="%s"', key, error)
            return None
        if record.node == self._record.node:
            return record
        known = self.nodes.get(record.node)
        self._missing_since.pop(record.node, None)
        self.nodes[record.node] = record
        if known is None or known.incarnation != record.incarnation:
            logging.info(
                "event=node-joined peer=%s service=%s", record.node, record.service
            )
        return None

    def _miss(self, node: str) -> None:
        """Note that an entry is gone; a node that still answers may come back."""
        record = self.nodes.get(node)
        if record is None or node == self._record.node:
            return
        if self._is_alive(record):
            self._missing_since.setdefault(node, self._clock.monotonic())
            return
        self._drop(node)

    def _drop_missing(self) -> bool:
        now = self._clock.monotonic()
        expired = [
            node
            for node, since in self._missing_since.items()
            if now - since >= LAPSE_GRACE_S
        ]
        for node in expired:
            self._drop(node)
        return bool(expired)

    def _drop(self, node: str) -> None:
        self._missing_since.pop(node, None)
        if self.nodes.pop(node, None) is not None:
            logging.info("event=node-left peer=%s", node)


def make_member(record: NodeRecord) -> Member:
    """Return the member of a node whose backend server is announced."""
    server = record.server
    assert server is not None
    return Member(
        record.node,
        f"{record.incarnation}/{server.server_id}",
        record.address,
        record.failure_domain,
        server.slots,
        server.cold_start_s,
        server.joined_at,
    )
