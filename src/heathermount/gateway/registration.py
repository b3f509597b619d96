"""Registration of a gateway node in the store, under a lease."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec
from absl import logging

from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import RetryBackoff
from heathermount.gateway.node_records import NodeRecord, ServerRecord
from heathermount.store.interface import WatchedStore

__all__ = ["NODE_KEY_PREFIX", "Registration"]

NODE_KEY_PREFIX: Final = "nodes/"

# Callers notice a dead node earlier, through their links. The TTL only bounds how
# long the store keeps the node's entry. A node that loses only the store for up to
# ten seconds keeps its entry, because its peers still reach its server.
LEASE_TTL_S: Final = 15.0
LEASE_RENEWAL_INTERVAL_S: Final = 5.0

# How long a stopping node waits for the store to end its lease. If the store does
# not answer, the entry expires with the lease.
LEASE_END_TIMEOUT_S: Final = 0.2

# Longest delay of a starting node's first entry until its backend server is
# announced. One write then covers both.
ANNOUNCEMENT_WAIT_S: Final = 2.0


class Registration:
    """Keeps this node's entry in the store up to date and renews its lease."""

    __slots__ = (
        "_lease_id",
        "_missing_during_write",
        "_on_change",
        "_random",
        "_record_updated",
        "_store",
        "_written_record",
        "record",
        "stored_record",
    )

    def __init__(
        self,
        store: WatchedStore,
        record: NodeRecord,
        on_change: Callable[[], None],
        random: Random,
    ) -> None:
        self._store = store
        self._random = random
        # Called when `record` or `stored_record` has changed.
        self._on_change = on_change
        self.record = record
        # The last entry under this node's name that the store is known to have held,
        # possibly of an earlier process; None if it holds none. The other nodes know
        # this node by it.
        self.stored_record: NodeRecord | None = None
        # What the store holds for this node, as far as known; None forces a write.
        self._written_record: NodeRecord | None = None
        self._record_updated = asyncio.Event()
        self._lease_id = 0
        # Whether the entry was seen missing while it was being written.
        self._missing_during_write = False

    def update_server(self, server: ServerRecord | None) -> None:
        """Set the backend server beside this node and publish the changed entry."""
        self.record = msgspec.structs.replace(self.record, server=server)
        self._record_updated.set()
        self._on_change()

    async def maintain(self) -> None:
        """Write this node's entry and renew its lease, until cancelled."""
        backoff = RetryBackoff(self._random)
        await self._wait_for_update(ANNOUNCEMENT_WAIT_S)
        while True:
            self._record_updated.clear()
            try:
                await self._ensure_registered()
                backoff.reset()
                wait_s = LEASE_RENEWAL_INTERVAL_S
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=registration-failed error="%s"', 1, error
                )
                wait_s = backoff.next_delay_s()
            await self._wait_for_update(wait_s)

    async def _wait_for_update(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._record_updated.wait()
        except TimeoutError:
            return

    async def _ensure_registered(self) -> None:
        """Renew or grant the lease, and write this node's entry if it has changed."""
        if self._lease_id and not await self._store.renew_lease(self._lease_id):
            logging.warning("event=registration-lapsed lease=%d", self._lease_id)
            self._lease_id = 0
            self._written_record = None
            self._set_stored_record(None)
        if not self._lease_id:
            self._lease_id = await self._store.grant_lease(LEASE_TTL_S)
        record = self.record
        if record != self._written_record:
            # Until the write has succeeded, the store may hold either entry.
            self._written_record = None
            self._missing_during_write = False
            key = NODE_KEY_PREFIX + record.node
            value = msgspec.msgpack.encode(record)
            if not await self._store.commit({}, {key: value}, self._lease_id):
                self._lease_id = 0
                raise StoreUnavailable("the registration's lease has expired")
            self._written_record = record
            self._set_stored_record(record)
            if self._missing_during_write:
                self.handle_stored_record(None)

    async def deregister(self) -> None:
        """End the lease, which removes this node's entry from the store."""
        if not self._lease_id:
            return
        try:
            async with asyncio.timeout(LEASE_END_TIMEOUT_S):
                await self._store.end_lease(self._lease_id)
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError) as error:
            logging.warning('event=withdrawal-failed error="%r"', error)

    def handle_stored_record(self, stored_record: NodeRecord | None) -> None:
        """Write this node's entry again if the store holds none or an older one.

        A renewal may fail and show a lost entry as well, but not if the store has
        given the same lease to another node. The store may apply a write whose
        answer was lost late, over a newer entry.
        """
        self._set_stored_record(stored_record)
        if self._written_record is None:
            self._missing_during_write = stored_record is None
            return
        if stored_record is None:
            logging.warning("event=registration-missing lease=%d", self._lease_id)
            self._lease_id = 0
        elif (stored_record.incarnation, stored_record.server) == (
            self.record.incarnation,
            self.record.server,
        ):
            return
        else:
            logging.warning(
                "event=registration-outdated incarnation=%s", stored_record.incarnation
            )
        self._written_record = None
        self._record_updated.set()

    def _set_stored_record(self, stored_record: NodeRecord | None) -> None:
        if stored_record == self.stored_record:
            return
        self.stored_record = stored_record
        self._on_change()
