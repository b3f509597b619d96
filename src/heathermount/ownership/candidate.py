"""Decides when this process, as a candidate, may take over a partition."""

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

# Staggers the candidates by rank, so that usually only one of them writes.
TAKEOVER_DELAY_PER_RANK_S: Final = 0.5
# Only this many first-ranked candidates read a record at the renewal interval, the
# others once per lease duration, so that store reads barely grow with the group.
MAX_FREQUENT_READERS: Final = 3
VACANT_READ_INTERVAL_S: Final = 5.0
PROBE_INTERVAL_S: Final = 1.0
# After a handover is accepted its record is usually written within milliseconds,
# so the record is read at a short interval for a limited period.
HANDOVER_READ_INTERVAL_S: Final = 0.1
HANDOVER_READ_PERIOD_S: Final = 5.0
RENEWALS_PER_LEASE: Final = 3


class Candidate:
    """Tracks the owner records of the partitions that this process might take over."""

    __slots__ = (
        "_clock",
        "_host",
        "_lease_duration_s",
        "_owner_cache",
        "_store",
        "draining",
        "identity",
        "observed_records",
        "pending_handovers",
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
        """Return whether to read the record or probe its holder now."""
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
        """Track since when the partition has had no live holder."""
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
            # Counts as vacant: the record names this process, but no partition is
            # active here, so this process takes it over.
            return False
        if holder.node not in self._host.list_candidates(holder.partition):
            return False
        identity = self._host.find_identity(holder.node)
        return identity is None or identity.incarnation == holder.incarnation

    def find_holder(self, name: str, observed: ObservedRecord) -> OwnerRecord | None:
        """Return the record with the highest epoch, from the cache or the last read.

        A store restored from a backup may return an older record, which does not
        name the process that may still be deciding.
        """
        known = self._owner_cache.get(name)
        if observed.stored_record is None:
            return known
        if known is not None and known.epoch > observed.stored_record.epoch:
            return known
        return observed.stored_record

    async def read_record(self, name: str, observed: ObservedRecord) -> None:
        """Read the record from the store; raise StoreUnavailable or InvalidMessage."""
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
        """Drop a received state if the partition has had another owner since."""
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
        """Return whether this process may replace the version last read.

        It may not if another process can still be deciding under that version.
        Probes the holder at most once per PROBE_INTERVAL_S.
        """
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
        """Keep a partition's state until the store names this process as owner.

        Return False if it is refused, while draining or for an older epoch.
        """
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
