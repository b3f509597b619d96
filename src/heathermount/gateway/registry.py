"""Registration of a gateway node in the store, and its view of the other nodes."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec
from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import RetryBackoff
from heathermount.routing.members import Member
from heathermount.store.interface import HistoryLost, WatchedStore

__all__ = [
    "NODE_KEY_PREFIX",
    "NodeRecord",
    "Registry",
    "ServerRecord",
    "make_member",
]

NODE_KEY_PREFIX: Final = "nodes/"

# Peers notice a dead node earlier, through their links. The TTL only bounds how
# long the store keeps the node's entry.
LEASE_TTL_S: Final = 6.0
LEASE_RENEWAL_INTERVAL_S: Final = 2.0

# How long a stopping node waits for the store to end its lease. If the store does
# not answer, the entry expires with the lease.
LEASE_END_TIMEOUT_S: Final = 0.2

# A long poll counts as one call against the store's rate limit.
WATCH_TIMEOUT_S: Final = 20.0

# Delay before the next watch after a change. Nodes often change together, and
# each watch that returns costs a call.
CHANGE_BATCH_DELAY_S: Final = 0.3

# How long the entry of a reachable node is kept after the store reports it missing.
# Its lease may have expired while the store was unavailable.
MISSING_ENTRY_GRACE_S: Final = 2.5


class ServerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The backend server beside a node."""

    server_id: str
    slots: int
    cold_start_s: float
    # Time of its announcement, in seconds since the Unix epoch.
    joined_at: float


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A node's own entry in the store."""

    node: str
    incarnation: str
    # Address, "ip:port", on which the node accepts links from its peers.
    address: str
    service: str
    failure_domain: str
    # None if no backend server is announced, or if it must not get requests.
    server: ServerRecord | None


RECORD_DECODER: Final = msgspec.msgpack.Decoder(NodeRecord)


class Registry:
    """Keeps this node's entry alive by a lease and watches the entries of all nodes.

    `nodes` maps the names of all known nodes, this one included, to their records.
    """

    __slots__ = (
        "_clock",
        "_is_reachable",
        "_lease_id",
        "_missing_since",
        "_on_change",
        "_random",
        "_record",
        "_record_updated",
        "_revision",
        "_store",
        "_written_record",
        "nodes",
        "registered",
        "synchronised",
    )

    def __init__(
        self,
        store: WatchedStore,
        clock: Clock,
        record: NodeRecord,
        on_change: Callable[[], None],
        is_reachable: Callable[[NodeRecord], bool],
        random: Random,
    ) -> None:
        self._random = random
        self._store = store
        self._clock = clock
        self._record = record
        self._on_change = on_change
        self._is_reachable = is_reachable
        # What the store holds for this node, as far as known; None forces a write.
        self._written_record: NodeRecord | None = None
        self._record_updated = asyncio.Event()
        self._lease_id = 0
        self._revision = 0
        self._missing_since: dict[str, float] = {}
        self.nodes: dict[str, NodeRecord] = {record.node: record}
        self.registered = False
        # True once the entries of all nodes have been read.
        self.synchronised = False

    @property
    def record(self) -> NodeRecord:
        return self._record

    def update_server(self, server: ServerRecord | None) -> None:
        """Set the backend server beside this node and publish the changed entry."""
        self._record = msgspec.structs.replace(self._record, server=server)
        self.nodes[self._record.node] = self._record
        self._record_updated.set()
        self._on_change()

    async def maintain_registration(self) -> None:
        """Write this node's entry and renew its lease, until cancelled."""
        backoff = RetryBackoff(self._random)
        while True:
            try:
                await self._ensure_registered()
                self.registered = True
                backoff.reset()
                wait_s = LEASE_RENEWAL_INTERVAL_S
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=registration-failed error="%s"', 1, error
                )
                self._written_record = None
                wait_s = backoff.next_delay_s()
            self._record_updated.clear()
            if (
                self._written_record != self._record
                and self._written_record is not None
            ):
                continue
            try:
                async with asyncio.timeout(wait_s):
                    await self._record_updated.wait()
            except TimeoutError:
                continue

    async def _ensure_registered(self) -> None:
        """Renew or grant the lease, and write this node's entry if it has changed."""
        if self._lease_id and not await self._store.renew_lease(self._lease_id):
            logging.warning("event=registration-lapsed lease=%d", self._lease_id)
            self._lease_id = 0
            self._written_record = None
        if not self._lease_id:
            self._lease_id = await self._store.grant_lease(LEASE_TTL_S)
        record = self._record
        if record != self._written_record:
            key = NODE_KEY_PREFIX + record.node
            value = msgspec.msgpack.encode(record)
            if not await self._store.commit({}, {key: value}, self._lease_id):
                self._lease_id = 0
                raise StoreUnavailable("the registration's lease has expired")
            self._written_record = record

    async def deregister(self) -> None:
        """End the lease, which removes this node's entry from the store."""
        if not self._lease_id:
            return
        try:
            async with asyncio.timeout(LEASE_END_TIMEOUT_S):
                await self._store.end_lease(self._lease_id)
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError) as error:
            logging.warning('event=withdrawal-failed error="%r"', error)

    async def watch_nodes(self) -> None:
        """Keep `nodes` in step with the store until cancelled."""
        backoff = RetryBackoff(self._random)
        while True:
            try:
                if not self._revision:
                    await self._read_all_entries()
                    backoff.reset()
                await self._apply_next_changes()
            except HistoryLost:
                self._revision = 0
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=registry-unreadable error="%s"', 1, error
                )
                # Entries may have expired without an event in the history.
                self._revision = 0
                await backoff.wait()

    async def _read_all_entries(self) -> None:
        items, self._revision = await self._store.read_prefix(NODE_KEY_PREFIX)
        present_nodes = set()
        own_record = None
        for key, item in items.items():
            present_nodes.add(key.removeprefix(NODE_KEY_PREFIX))
            own_record = self._apply_entry(key, item.value) or own_record
        for node in self.nodes.keys() - present_nodes:
            self._handle_missing_entry(node)
        if self._written_record is not None:
            if self._record.node not in present_nodes:
                self._schedule_reregistration()
            elif own_record is not None:
                self._rewrite_if_outdated(own_record)
        self.synchronised = True
        self._on_change()

    async def _apply_next_changes(self) -> None:
        wait_s = (
            min(WATCH_TIMEOUT_S, MISSING_ENTRY_GRACE_S)
            if self._missing_since
            else WATCH_TIMEOUT_S
        )
        changes = await self._store.watch(NODE_KEY_PREFIX, self._revision, wait_s)
        self._revision = changes.revision
        own_key = NODE_KEY_PREFIX + self._record.node
        own_record, own_entry_deleted = None, False
        for change in changes.events:
            if change.key == own_key:
                own_entry_deleted = change.value is None
            if change.value is None:
                self._handle_missing_entry(change.key.removeprefix(NODE_KEY_PREFIX))
            else:
                own_record = self._apply_entry(change.key, change.value) or own_record
        if own_entry_deleted:
            self._schedule_reregistration()
        elif own_record is not None:
            self._rewrite_if_outdated(own_record)
        any_removed = self._remove_expired_nodes()
        if changes.events or any_removed:
            self._on_change()
            await asyncio.sleep(CHANGE_BATCH_DELAY_S)

    def _schedule_reregistration(self) -> None:
        """Make `maintain_registration` write this node's missing entry again.

        The next lease renewal may fail and show the loss as well, but not if the
        store has given the same lease to another node.
        """
        logging.warning("event=registration-missing lease=%d", self._lease_id)
        self._lease_id = 0
        self._written_record = None
        self._record_updated.set()

    def _rewrite_if_outdated(self, stored_record: NodeRecord) -> None:
        """Write this node's entry again if the store holds an older one.

        The store may apply a write whose answer was lost late, over a newer entry.
        """
        own_record = self._record
        if (stored_record.incarnation, stored_record.server) == (
            own_record.incarnation,
            own_record.server,
        ):
            return
        logging.warning(
            "event=registration-outdated incarnation=%s", stored_record.incarnation
        )
        self._written_record = None
        self._record_updated.set()

    def _apply_entry(self, key: str, value: bytes) -> NodeRecord | None:
        """Update `nodes` with another node's entry; return this node's own entry.

        Returns None for entries of other nodes and for malformed ones.
        """
        try:
            record = RECORD_DECODER.decode(value)
        except (msgspec.MsgspecError, RecursionError) as error:
            logging.warning('event=entry-malformed key=%s error="%s"', key, error)
            return None
        if record.node == self._record.node:
            return record
        known_record = self.nodes.get(record.node)
        self._missing_since.pop(record.node, None)
        self.nodes[record.node] = record
        if known_record is None or known_record.incarnation != record.incarnation:
            logging.info(
                "event=node-joined peer=%s service=%s", record.node, record.service
            )
        return None

    def _handle_missing_entry(self, node: str) -> None:
        """Remove a node whose entry is gone, after a grace period if it is reachable.

        A reachable node may only have lost its lease and registers again.
        """
        record = self.nodes.get(node)
        if record is None or node == self._record.node:
            return
        if self._is_reachable(record):
            self._missing_since.setdefault(node, self._clock.monotonic())
            return
        self._remove_node(node)

    def _remove_expired_nodes(self) -> bool:
        """Remove the nodes whose grace period is over; return whether any were."""
        now = self._clock.monotonic()
        expired = [
            node
            for node, missing_since in self._missing_since.items()
            if now - missing_since >= MISSING_ENTRY_GRACE_S
        ]
        for node in expired:
            self._remove_node(node)
        return bool(expired)

    def _remove_node(self, node: str) -> None:
        self._missing_since.pop(node, None)
        if self.nodes.pop(node, None) is not None:
            logging.info("event=node-left peer=%s", node)


def make_member(record: NodeRecord) -> Member:
    """Return the routing member for a node that offers a backend server."""
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
