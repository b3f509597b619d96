"""The own service's roster: joins, leaves and removals by compare-and-swap."""

import random
from collections.abc import Collection
from typing import Final

import anyio

from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.events import EventLog
from heathermount.membership.records import MemberRecord, RosterRecord, roster_key
from heathermount.store import Store

__all__ = ["Roster"]

# Nodes of a group that start together race for the record; each retries after
# a random part of this time, in seconds.
INITIAL_RETRY_DELAY_S: Final = 0.2
# The nodes that wait for a store that is down return to it within this time.
MAX_RETRY_DELAY_S: Final = 3.0


class Roster:
    """The roster of one service as last seen, and changes to it."""

    __slots__ = ("_events", "_random", "_store", "record", "service")

    def __init__(
        self, service: str, store: Store, events: EventLog, rng: random.Random
    ) -> None:
        self.service = service
        self.record = RosterRecord(service=service)
        self._store = store
        self._events = events
        self._random = rng

    def accept(self, record: RosterRecord) -> bool:
        """Take a newer record; tell whether it was newer."""
        if record.revision <= self.record.revision:
            return False
        self.record = record
        self._events.record(
            "roster-changed",
            service=self.service,
            revision=record.revision,
            members=",".join(m.node for m in record.members),
        )
        return True

    async def join(self, member: MemberRecord) -> None:
        """Write the member into the roster; wait while the store is down."""
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                if await self._try_join(member):
                    return
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                if delay_s == INITIAL_RETRY_DELAY_S:
                    self._events.record("roster-join-delayed", error=str(error))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
            await anyio.sleep(delay_s * (1 + self._random.random()))

    async def _try_join(self, member: MemberRecord) -> bool:
        version, record = await self._read()
        if record.find(member.node) == member:
            self.accept(record)
            return True
        return await self._write(version, record.with_member(member))

    async def remove(self, removed: Collection[tuple[str, str]]) -> bool:
        """Take incarnations, (node, incarnation) each, out of the roster at once.

        One write for all of them keeps the store's load at one write for each
        group when many nodes are lost at the same time. Returns False when
        another change came first. Raises StoreUnavailable or
        StoreOutcomeUnknown; the caller tries again later.
        """
        version, record = await self._read()
        if not any((m.node, m.incarnation) in removed for m in record.members):
            self.accept(record)
            return True
        return await self._write(version, record.without_members(removed))

    async def _read(self) -> tuple[int, RosterRecord]:
        found = await self._store.get(roster_key(self.service))
        if found is None:
            return 0, self.record
        record = RosterRecord.decode(found.value)
        if record.revision < self.record.revision:
            # The store came back with older data: the group has seen a newer
            # roster, and nobody would accept a lower revision.
            record = self.record
        return found.version, record

    async def _write(self, version: int, record: RosterRecord) -> bool:
        key = roster_key(self.service)
        if not await self._store.commit({key: version}, {key: record.encode()}):
            return False
        self.accept(record)
        return True
