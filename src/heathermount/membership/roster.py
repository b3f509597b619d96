"""Roster of this node's own service, changed by compare-and-swap in the store."""

import random
from collections.abc import Collection
from typing import Final

import anyio

from heathermount.errors import InvalidMessage, StoreOutcomeUnknown, StoreUnavailable
from heathermount.events import EventLog
from heathermount.membership.records import MemberRecord, RosterRecord, roster_key
from heathermount.store import Store

__all__ = ["Roster"]

# Nodes of a group that start together race to write the record. The loser retries
# after this delay. All delays are multiplied by a random factor from 1 to 2.
INITIAL_RETRY_DELAY_S: Final = 0.2
# Bound of the exponential backoff while the store is unavailable.
MAX_RETRY_DELAY_S: Final = 3.0


class Roster:
    """Holds the newest known roster of one service and changes it in the store."""

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
        """Replace the known record if `record` is newer; tell whether it was."""
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
        """Add the member to the roster; retry until the store has accepted it."""
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
        """Remove (node, incarnation) pairs from the roster in a single write.

        When many nodes are lost at the same time, the store thus gets one write per
        group. Returns False if a concurrent change came first. Raises
        StoreUnavailable or StoreOutcomeUnknown; the caller retries later.
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
        try:
            record = RosterRecord.decode(found.value)
        except InvalidMessage as error:
            self._events.record("roster-malformed", error=str(error))
            return found.version, self._make_replacement(found.version)
        if record.revision < self.record.revision:
            # The store was restored with older data. Other nodes have seen the newer
            # revision and would not accept a lower one.
            record = self.record
        return found.version, record

    def _make_replacement(self, version: int) -> RosterRecord:
        """Return the record to continue from when the stored one is malformed.

        Each revision was one write, so the store's version is at least as high as the
        revision of any node. All of them accept the next one, and those that it lacks
        join again.
        """
        return RosterRecord(
            service=self.service,
            revision=max(version, self.record.revision),
            members=self.record.members,
        )

    async def _write(self, version: int, record: RosterRecord) -> bool:
        key = roster_key(self.service)
        if not await self._store.commit({key: version}, {key: record.encode()}):
            return False
        self.accept(record)
        return True
