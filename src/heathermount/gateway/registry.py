"""A gateway node's view of all nodes, kept in step with the store's entries."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import msgspec
from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import (
    WATCH_TIMEOUT_S,
    RetryBackoff,
    pause_between_watches,
)
from heathermount.gateway.messages import Pong
from heathermount.gateway.node_records import NodeChange, NodeDirectory, NodeRecord
from heathermount.gateway.registration import NODE_KEY_PREFIX, Registration
from heathermount.routing.members import Member
from heathermount.store.interface import HistoryLost, WatchedStore

__all__ = ["Registry", "make_member"]

# Delay before the next watch after a change. Nodes often change together, and
# each watch that returns costs a call.
CHANGE_BATCH_DELAY_S: Final = 0.3

# How long the entry of a reachable node is kept after the store reports it missing.
# Its lease may have expired while the store was unavailable.
MISSING_ENTRY_GRACE_S: Final = 2.5

# Nodes that one change of the view names in the log, one line each.
MAX_NODES_LOGGED: Final = 8

RECORD_DECODER: Final = msgspec.msgpack.Decoder(NodeRecord)


class Registry:
    """Follows the entries of all nodes, in the store or through other nodes.

    `nodes` maps the names of all known nodes, this one included, to their records.
    """

    __slots__ = (
        "_clock",
        "_is_reachable",
        "_missing_since",
        "_on_change",
        "_random",
        "_registration",
        "_store",
        "directory",
        "load_failed",
        "nodes",
        "synchronised",
    )

    def __init__(
        self,
        store: WatchedStore,
        clock: Clock,
        registration: Registration,
        on_change: Callable[[], None],
        is_reachable: Callable[[NodeRecord], bool],
        random: Random,
    ) -> None:
        self._random = random
        self._store = store
        self._clock = clock
        self._registration = registration
        self._on_change = on_change
        self._is_reachable = is_reachable
        self._missing_since: dict[str, float] = {}
        # Entries as the store holds them.
        self.directory = NodeDirectory()
        own_record = registration.record
        self.nodes: dict[str, NodeRecord] = {own_record.node: own_record}
        # True once the entries of all nodes are known.
        self.synchronised = False
        # Whether the first read has failed; this node then reads the store itself.
        self.load_failed = False

    @property
    def own_node(self) -> str:
        return self._registration.record.node

    @property
    def registered(self) -> bool:
        """Whether the other nodes can know this one."""
        return self._registration.stored_record is not None

    def list_registered_servers(self) -> list[str]:
        """Return the nodes whose entries in the store offer a server.

        This node is left out while it offers none itself, or while the others cannot
        know of its server.
        """
        stored_record = self._registration.stored_record
        registered = stored_record is not None and stored_record.server is not None
        return [
            record.node
            for record in self.nodes.values()
            if record.server is not None
            and (record.node != self.own_node or registered)
        ]

    def list_registered_nodes(self) -> list[str]:
        """Return the nodes that have an entry in the store."""
        return [node for node in self.nodes if node != self.own_node or self.registered]

    def handle_own_record_changed(self) -> None:
        """Handle a change of this node's record or of its entry in the store."""
        self.nodes[self.own_node] = self._registration.record
        self._on_change()

    async def load(self, delay_s: float) -> None:
        """Read all entries once, after a delay, from a possibly stale replica.

        Raises no error: a node that fails to read learns of the others later.
        """
        await asyncio.sleep(delay_s)
        try:
            await self._read_all_entries(stale=True)
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            logging.warning('event=registry-unreadable error="%s"', error)
            self.load_failed = True
        self._on_change()

    async def watch_store(self, reading: asyncio.Event) -> None:
        """Keep `nodes` in step with the store while `reading` is set."""
        backoff = RetryBackoff(self._random)
        revision = 0
        while True:
            if not reading.is_set():
                revision = 0
                await reading.wait()
            try:
                if not revision:
                    revision = await self._read_all_entries()
                    backoff.reset()
                revision = await self._apply_next_changes(revision)
            except HistoryLost:
                revision = 0
                await backoff.wait()
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=registry-unreadable error="%s"', 1, error
                )
                # Entries may have expired without an event in the history.
                revision = 0
                await backoff.wait()

    def update_from_peer(self, pong: Pong) -> None:
        """Apply the entries in another node's answer to a request for news."""
        # A node of another build may pass on what this one does not accept.
        checked = [check_change(change) for change in pong.changes]
        if pong.complete:
            changes = self.directory.replace(checked, pong.revision)
        else:
            changes = self.directory.apply(checked, pong.revision)
        self._apply_changes(changes)

    async def _read_all_entries(self, stale: bool = False) -> int:
        items, revision = await self._store.read_prefix(NODE_KEY_PREFIX, stale)
        changes = self.directory.replace(
            [
                decode_change(key, item.version, item.value)
                for key, item in items.items()
            ],
            revision,
        )
        if not stale and NODE_KEY_PREFIX + self.own_node not in items:
            self._registration.handle_stored_record(None)
        self.synchronised = True
        self._apply_changes(changes)
        return revision

    async def _apply_next_changes(self, after_revision: int) -> int:
        wait_s = (
            min(WATCH_TIMEOUT_S, MISSING_ENTRY_GRACE_S)
            if self._missing_since
            else WATCH_TIMEOUT_S
        )
        started_at = self._clock.monotonic()
        batch = await self._store.watch(NODE_KEY_PREFIX, after_revision, wait_s)
        changes = self.directory.apply(
            [decode_change(one.key, one.version, one.value) for one in batch.events],
            batch.revision,
        )
        self._apply_changes(changes)
        if batch.events:
            await asyncio.sleep(CHANGE_BATCH_DELAY_S)
        else:
            await pause_between_watches(self._clock.monotonic() - started_at)
        return batch.revision

    def _apply_changes(self, changes: Iterable[NodeChange]) -> None:
        """Update `nodes` with new changes and remove the nodes that stay missing."""
        known_nodes = dict(self.nodes)
        changed = False
        for change in changes:
            changed = True
            if change.node == self.own_node:
                self._registration.handle_stored_record(change.record)
            elif change.record is None:
                self._handle_missing_entry(change.node)
            else:
                self._apply_record(change.record)
        if self._remove_expired_nodes() or changed:
            self._log_membership(known_nodes)
            self._on_change()

    def _log_membership(self, known_nodes: dict[str, NodeRecord]) -> None:
        """Log the nodes that joined or left; only their number if there are many."""
        joined = [
            record
            for node, record in self.nodes.items()
            if node not in known_nodes
            or known_nodes[node].incarnation != record.incarnation
        ]
        left = [node for node in known_nodes if node not in self.nodes]
        if len(joined) + len(left) > MAX_NODES_LOGGED:
            logging.info(
                "event=nodes-changed joined=%d left=%d nodes=%d revision=%d",
                len(joined),
                len(left),
                len(self.nodes),
                self.directory.revision,
            )
            return
        for record in joined:
            logging.info(
                "event=node-joined peer=%s service=%s", record.node, record.service
            )
        for node in left:
            logging.info("event=node-left peer=%s", node)

    def _apply_record(self, record: NodeRecord) -> None:
        self._missing_since.pop(record.node, None)
        self.nodes[record.node] = record

    def _handle_missing_entry(self, node: str) -> None:
        """Remove a node whose entry is gone, after a grace period if it is reachable.

        A reachable node may only have lost its lease and registers again.
        """
        record = self.nodes.get(node)
        if record is None:
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
        self.nodes.pop(node, None)


def decode_change(key: str, revision: int, value: bytes | None) -> NodeChange:
    """Return the change of a node's entry.

    An entry that another writer has left counts as deleted: it names no node, and
    the node whose entry it replaces then writes it again.
    """
    node = key.removeprefix(NODE_KEY_PREFIX)
    if value is None:
        return NodeChange(node, revision, None)
    try:
        record = RECORD_DECODER.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        logging.warning('event=entry-malformed key=%s error="%s"', key, error)
        return NodeChange(node, revision, None)
    if record.node != node:
        logging.warning("event=entry-misnamed key=%s node=%s", key, record.node)
        return NodeChange(node, revision, None)
    return check_change(NodeChange(node, revision, record))


def check_change(change: NodeChange) -> NodeChange:
    """Return a change, without its record if that one cannot be used."""
    fault = change.record.find_fault() if change.record is not None else ""
    if not fault:
        return change
    logging.warning('event=entry-unusable node=%s error="%s"', change.node, fault)
    return NodeChange(change.node, change.revision, None)


def make_member(record: NodeRecord) -> Member:
    """Return the routing member for a node that offers a backend server."""
    server = record.server
    assert server is not None
    return Member(
        record.node,
        f"{record.incarnation}/{server.server_id}/{server.born_ms}",
        record.address,
        record.failure_domain,
        server.slots,
        server.cold_start_s,
        server.joined_at,
    )
