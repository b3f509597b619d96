"""Owners of partitions as far as this node knows them."""

from typing import Final

import anyio

from heathermount.clocks import Clock
from heathermount.errors import HeathermountError, InvalidMessage, StoreUnavailable
from heathermount.ownership.records import (
    OwnerRecord,
    PartitionStore,
    decode_record,
    make_key,
)
from heathermount.ownership.watch import PartitionHost

__all__ = ["Directory"]

# Lookups of one partition are not repeated more often, whatever the demand.
MIN_REFRESH_S: Final = 0.2


class Directory:
    """Caches records; asks the reader of the group, then the store."""

    __slots__ = ("_clock", "_host", "_inquiries", "_known", "_refreshed_at", "_store")

    def __init__(
        self, store: PartitionStore, clock: Clock, host: PartitionHost
    ) -> None:
        self._store = store
        self._clock = clock
        self._host = host
        self._known: dict[str, OwnerRecord] = {}
        self._refreshed_at: dict[str, float] = {}
        self._inquiries: dict[str, anyio.Event] = {}

    def find(self, partition: str) -> OwnerRecord | None:
        return self._known.get(partition)

    def note(self, record: OwnerRecord) -> None:
        """Remember a record unless a newer one is known."""
        known = self._known.get(record.partition)
        if known is None or record.epoch >= known.epoch:
            self._known[record.partition] = record

    async def refresh(self, partition: str) -> OwnerRecord | None:
        """Look a record up once for all who wait for it now."""
        inquiry = self._inquiries.get(partition)
        if inquiry is not None:
            await inquiry.wait()
            return self.find(partition)
        now = self._clock.monotonic()
        if now < self._refreshed_at.get(partition, float("-inf")) + MIN_REFRESH_S:
            return self.find(partition)
        inquiry = self._inquiries[partition] = anyio.Event()
        try:
            await self._look_up(partition)
        finally:
            self._refreshed_at[partition] = self._clock.monotonic()
            del self._inquiries[partition]
            inquiry.set()
        return self.find(partition)

    async def _look_up(self, partition: str) -> None:
        record = await self._fetch(partition)
        if record is None:
            record = await self._read(partition)
        if record is not None:
            self.note(record)

    async def _fetch(self, partition: str) -> OwnerRecord | None:
        try:
            return await self._host.fetch(partition)
        except HeathermountError:
            return None

    async def _read(self, partition: str) -> OwnerRecord | None:
        try:
            value = await self._store.get(make_key(partition))
            return None if value is None else decode_record(value.value)
        except (StoreUnavailable, InvalidMessage):
            return None
