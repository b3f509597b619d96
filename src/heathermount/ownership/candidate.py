"""When a candidate may take a partition: what it has read and what it waits for."""

from typing import Final

from heathermount.clocks import Clock
from heathermount.errors import HeathermountError
from heathermount.ownership.candidate_state import (
    ObservedRecord,
    PartitionHost,
    PendingHandover,
)
from heathermount.ownership.owner_cache import OwnerCache
from heathermount.ownership.records import (
    NodeIdentity,
    OwnerRecord,
    PartitionStore,
    make_record_key,
)

__all__ = ["RENEWALS_PER_LEASE", "Candidate"]

# Candidates act one after the other, so that usually only one writes.
TAKEOVER_DELAY_PER_RANK_S: Final = 0.5
# Candidates of a higher rank leave the regular reading to the first ones, so
# that the store's reads do not grow with the size of a group.
MAX_FREQUENT_READERS: Final = 3
VACANT_READ_INTERVAL_S: Final = 5.0
PROBE_INTERVAL_S: Final = 1.0
# The record of an accepted handover is usually written within milliseconds.
HANDOVER_READ_INTERVAL_S: Final = 0.1
HANDOVER_READ_PERIOD_S: Final = 5.0
# Renewals within one term.
RENEWALS_PER_LEASE: Final = 3


class Candidate:
    """Watches the records of the partitions that this process might take."""

    __slots__ = (
        "_clock",
        "_owner_cache",
        "_host",
        "_store",
        "_lease_duration_s",
        "draining",
        "identity",
        "pending_handovers",
        "observed_records",
    )

    def __init__(
        self,
        lease_duration_s: float,
        store: PartitionStore,
        clock: Clock,
        identity: NodeIdentity,
        host: PartitionHost,
        owner_cache: OwnerCache,
    ) -> None:
        self.identity = identity
        self.draining = False
        self.observed_records: dict[str, ObservedRecord] = {}
        self.pending_handovers: dict[str, PendingHandover] = {}
        self._lease_duration_s = lease_duration_s
        self._store = store
        self._clock = clock
        self._host = host
        self._owner_cache = owner_cache

    def is_due(self, name: str) -> bool:
        """Tell whether to read a record or to probe its holder now."""
        now = self._clock.monotonic()
        observed = self.observed_records.setdefault(name, ObservedRecord())
        observed.update_rank(name, self.identity.node, self._host.list_candidates(name))
        self._update_vacancy(name, observed, now)
        if name in self.pending_handovers:
            return now >= observed.next_read_at
        if observed.rank is None or self.draining:
            return False
        if observed.holder_missing_since is None:
            return now >= observed.next_read_at
        acts_at = (
            observed.holder_missing_since + observed.rank * TAKEOVER_DELAY_PER_RANK_S
        )
        return now >= acts_at and now >= min(
            observed.next_read_at, observed.next_probe_at
        )

    def _update_vacancy(self, name: str, observed: ObservedRecord, now: float) -> None:
        """Keep the time since which the holder is not among the live candidates."""
        holder = self.find_holder(name, observed)
        if (
            observed.version is not None
            and holder is not None
            and self._is_holder_live(holder)
        ):
            observed.holder_missing_since = None
        elif observed.holder_missing_since is None:
            observed.holder_missing_since = now
            observed.next_read_at = observed.next_probe_at = now

    def _is_holder_live(self, holder: OwnerRecord) -> bool:
        if holder.is_held_by(self.identity):
            # This process was named while it did not decide: it takes over.
            return False
        if holder.node not in self._host.list_candidates(holder.partition):
            return False
        identity = self._host.find_identity(holder.node)
        return identity is None or identity.incarnation == holder.incarnation

    def find_holder(self, name: str, observed: ObservedRecord) -> OwnerRecord | None:
        """Return the record with the highest epoch seen.

        If the store came back with older data, its record does not name the
        process that may still decide.
        """
        known = self._owner_cache.get(name)
        if observed.stored_record is None:
            return known
        if known is not None and known.epoch > observed.stored_record.epoch:
            return known
        return observed.stored_record

    async def read_record(self, name: str, observed: ObservedRecord) -> None:
        """Read the record; raise StoreUnavailable or InvalidMessage."""
        sent_at = self._clock.monotonic()
        value = await self._store.get(make_record_key(name))
        now = self._clock.monotonic()
        observed.update(value, sent_at, now)
        if observed.stored_record is not None:
            self._owner_cache.update(observed.stored_record)
        self._schedule_next_read(name, observed, now)

    def _schedule_next_read(
        self, name: str, observed: ObservedRecord, now: float
    ) -> None:
        pending = self.pending_handovers.get(name)
        if pending is not None and now < pending.received_at + HANDOVER_READ_PERIOD_S:
            observed.next_read_at = now + HANDOVER_READ_INTERVAL_S
        elif observed.holder_missing_since is not None:
            observed.next_read_at = now + VACANT_READ_INTERVAL_S
        elif observed.rank is not None and observed.rank < MAX_FREQUENT_READERS:
            observed.next_read_at = now + self._lease_duration_s / RENEWALS_PER_LEASE
        else:
            observed.next_read_at = now + self._lease_duration_s

    def drop_superseded_handover(self, name: str, observed: ObservedRecord) -> None:
        """Drop a state that another process has superseded."""
        pending, holder = (
            self.pending_handovers.get(name),
            self.find_holder(name, observed),
        )
        if pending is None or holder is None or holder.epoch <= pending.epoch:
            return
        if holder.epoch > pending.epoch + 1 or not holder.is_held_by(self.identity):
            del self.pending_handovers[name]

    async def may_take_over(
        self, name: str, observed: ObservedRecord, holder: OwnerRecord | None
    ) -> bool:
        """Tell whether nobody else can be deciding under the version last read."""
        if holder is not None and holder.is_held_by(self.identity):
            return not self.draining or name in self.pending_handovers
        if observed.rank is None or self.draining:
            return False
        if holder is None:
            return True
        now = self._clock.monotonic()
        if observed.is_lease_expired(holder, now):
            return True
        if self._is_holder_live(holder) or now < observed.next_probe_at:
            return False
        observed.next_probe_at = now + PROBE_INTERVAL_S
        return await self._has_ended(holder)

    async def _has_ended(self, holder: OwnerRecord) -> bool:
        try:
            return await self._host.confirm_process_ended(
                holder.address, holder.incarnation
            )
        except HeathermountError:
            return False

    def accept_handover(self, name: str, epoch: int, state: bytes) -> bool:
        """Hold the state of a partition until the store names this process."""
        known, pending = self._owner_cache.get(name), self.pending_handovers.get(name)
        if self.draining:
            return False
        if known is not None and known.epoch > epoch:
            return False
        if pending is not None and pending.epoch > epoch:
            return False
        now = self._clock.monotonic()
        self.pending_handovers[name] = PendingHandover(epoch, state, now)
        self.observed_records.setdefault(name, ObservedRecord()).next_read_at = now
        return True
