"""Cache of the rosters of services that this node calls."""

import random
from collections.abc import Awaitable, Callable
from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import InvalidMessage, PeerError, StoreUnavailable
from heathermount.membership.records import RosterRecord, roster_key
from heathermount.store import Store

__all__ = ["Directory"]

# Age at which a cached roster is refreshed.
REFRESH_INTERVAL_S: Final = 10.0
# Failed calls and newer revisions seen in replies cause earlier refreshes. A known
# roster is refreshed at most once per interval, which bounds the reads of the store.
MIN_REFRESH_INTERVAL_S: Final = 0.5
# Number of members asked before the store. When a failure domain is lost, one member
# in four does not answer, and asking a single one would send a quarter of the whole
# fleet's refreshes to the store.
MAX_MEMBERS_ASKED: Final = 3

FetchRoster = Callable[[str, str], Awaitable[RosterRecord | None]]


class Directory:
    """Caches rosters by service; refreshes them from peers first, then the store."""

    __slots__ = (
        "_clock",
        "_list_fallback_addresses",
        "_fetch_from_node",
        "_random",
        "_records",
        "_refreshed_at",
        "_store",
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        fetch_from_node: FetchRoster,
        list_fallback_addresses: Callable[[], list[str]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = rng
        # Requests a service's roster from the node at a control address.
        self._fetch_from_node = fetch_from_node
        # Returns the control addresses to ask when no member of the service is known.
        self._list_fallback_addresses = list_fallback_addresses
        self._records: dict[str, RosterRecord] = {}
        self._refreshed_at: dict[str, float] = {}

    def get(self, service: str) -> RosterRecord | None:
        return self._records.get(service)

    def services(self) -> list[str]:
        return list(self._records)

    def is_stale(self, service: str, seen_revision: int = 0) -> bool:
        """Tell whether the roster is unknown or should be refreshed now.

        A roster older than `seen_revision` is refreshed sooner than an up-to-date one.
        """
        record = self._records.get(service)
        age_s = self._clock.monotonic() - self._refreshed_at.get(service, -1e9)
        if record is None or seen_revision > record.revision:
            return age_s >= MIN_REFRESH_INTERVAL_S or record is None
        return age_s >= REFRESH_INTERVAL_S

    async def refresh(self, service: str) -> RosterRecord | None:
        """Refresh a roster from peers or the store; return the newest one known."""
        self._refreshed_at[service] = self._clock.monotonic()
        record = await self._fetch_from_peers(service)
        if record is None:
            record = await self._read_from_store(service)
        if record is not None:
            self.accept(record)
        return self._records.get(service)

    async def read_store(self, service: str) -> RosterRecord | None:
        """Refresh a roster from the store only; return the newest one known."""
        self._refreshed_at[service] = self._clock.monotonic()
        record = await self._read_from_store(service)
        if record is not None:
            self.accept(record)
        return self._records.get(service)

    def accept(self, record: RosterRecord) -> None:
        known = self._records.get(record.service)
        if known is None or record.revision > known.revision:
            self._records[record.service] = record

    async def _fetch_from_peers(self, service: str) -> RosterRecord | None:
        known = self._records.get(service)
        addresses = [m.control for m in known.members] if known is not None else []
        if addresses:
            count = min(MAX_MEMBERS_ASKED, len(addresses))
            addresses = self._random.sample(addresses, count)
        else:
            addresses = self._list_fallback_addresses()[:MAX_MEMBERS_ASKED]
        for address in addresses:
            try:
                record = await self._fetch_from_node(address, service)
            except (PeerError, InvalidMessage):
                continue
            if record is not None and record.members:
                return record
        return None

    async def _read_from_store(self, service: str) -> RosterRecord | None:
        try:
            found = await self._store.get(roster_key(service))
        except StoreUnavailable:
            return None
        if found is None:
            return None
        try:
            return RosterRecord.decode(found.value)
        except InvalidMessage as error:
            logging.warning(
                'event=roster-malformed service=%s error="%s"', service, error
            )
            return None
