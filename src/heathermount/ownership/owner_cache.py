"""Cache of owner records."""

from typing import Final

import anyio

from heathermount.clocks import Clock
from heathermount.errors import HeathermountError, InvalidMessage, StoreUnavailable
from heathermount.ownership.candidate_state import PartitionHost
from heathermount.ownership.records import (
    OwnerRecord,
    PartitionStore,
    decode_record,
    make_record_key,
)

__all__ = ["OwnerCache"]

# Minimum time between two lookups of the same partition.
MIN_REFRESH_INTERVAL_S: Final = 0.2


class OwnerCache:
    """Caches owner records; a refresh asks peers first, then the store."""

    __slots__ = ("_clock", "_host", "_lookups", "_records", "_refreshed_at", "_store")

    def __init__(
        self, store: PartitionStore, clock: Clock, host: PartitionHost
    ) -> None:
        self._store = store
        self._clock = clock
        self._host = host
        self._records: dict[str, OwnerRecord] = {}
        self._refreshed_at: dict[str, float] = {}
        self._lookups: dict[str, anyio.Event] = {}

    def get(self, partition: str) -> OwnerRecord | None:
        return self._records.get(partition)

    def update(self, record: OwnerRecord) -> None:
        """Cache a record unless one with a higher epoch is cached."""
        known = self._records.get(record.partition)
        if known is None or record.epoch >= known.epoch:
            self._records[record.partition] = record

    async def refresh(self, partition: str) -> OwnerRecord | None:
        """Look up a record; concurrent callers share one lookup."""
        lookup = self._lookups.get(partition)
        if lookup is not None:
            await lookup.wait()
            return self.get(partition)
        now = self._clock.monotonic()
        if (
            now
            < self._refreshed_at.get(partition, float("-inf")) + MIN_REFRESH_INTERVAL_S
        ):
            return self.get(partition)
        lookup = self._lookups[partition] = anyio.Event()
        try:
            await self._look_up(partition)
        finally:
            self._refreshed_at[partition] = self._clock.monotonic()
            del self._lookups[partition]
            lookup.set()
        return self.get(partition)

    async def _look_up(self, partition: str) -> None:
        record = await self._fetch_from_peer(partition)
        if record is None:
            record = await self._read_from_store(partition)
        if record is not None:
            self.update(record)

    async def _fetch_from_peer(self, partition: str) -> OwnerRecord | None:
        try:
            return await self._host.fetch_record(partition)
        except HeathermountError:
            return None

    async def _read_from_store(self, partition: str) -> OwnerRecord | None:
        try:
            value = await self._store.get(make_record_key(partition))
            return None if value is None else decode_record(value.value)
        except (StoreUnavailable, InvalidMessage):
            return None
