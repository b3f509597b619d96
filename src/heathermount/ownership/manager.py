"""Acquires, renews and releases partitions, and looks up their owners."""

from collections.abc import Awaitable, Callable
from typing import Final, Self

import anyio

from heathermount.clocks import Clock
from heathermount.config.settings import TimingSettings
from heathermount.errors import InvalidMessage, StoreOutcomeUnknown, StoreUnavailable
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership.candidate import RENEWALS_PER_LEASE, Candidate
from heathermount.ownership.candidate_state import (
    ObservedRecord,
    PartitionHost,
    SendHandover,
)
from heathermount.ownership.handover import Handover
from heathermount.ownership.owner_cache import OwnerCache
from heathermount.ownership.partition import Partition
from heathermount.ownership.records import (
    NodeIdentity,
    OwnerRecord,
    PartitionStore,
    encode_record,
    make_record_key,
)

__all__ = ["OwnershipManager"]

POLL_INTERVAL_S: Final = 0.25
INITIAL_RETRY_DELAY_S: Final = 1.0
# Backing off limits the load of the whole fleet's candidates on a store that is
# down. A lease of 120 s still leaves an owner time for many attempts.
MAX_RETRY_DELAY_S: Final = 8.0


class OwnershipManager:
    """Manages the partitions that this process owns or might take over.

    At most one process decides for a partition at a time. A record is replaced
    only by its holder, by the successor in a handover, or by a candidate that
    has proof that the holder has ended or its lease has expired. The write
    compares the version for which this was checked.
    """

    __slots__ = (
        "_candidate",
        "_clock",
        "_consecutive_failures",
        "_events",
        "_ever_acquired",
        "_host",
        "_in_progress",
        "_invariants",
        "_lease_duration_s",
        "_next_renewal_at",
        "_owned",
        "_owner_cache",
        "_reported_lapses",
        "_sleep",
        "_store",
    )

    def __init__(
        self,
        lease_duration_s: float,
        store: PartitionStore,
        clock: Clock,
        identity: NodeIdentity,
        host: PartitionHost,
        events: EventLog,
        invariants: Invariants,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._lease_duration_s = lease_duration_s
        self._store = store
        self._clock = clock
        self._host = host
        self._events = events
        self._invariants = invariants
        self._sleep = sleep
        self._owner_cache = OwnerCache(store, clock, host)
        self._owned: dict[str, Partition] = {}
        self._next_renewal_at: dict[str, float] = {}
        self._candidate = Candidate(
            lease_duration_s, store, clock, identity, host, self._owner_cache
        )
        self._in_progress: set[str] = set()
        self._reported_lapses: set[str] = set()
        # By partition name; only store failures and malformed records count.
        self._consecutive_failures: dict[str, int] = {}
        self._ever_acquired: set[str] = set()

    @classmethod
    def from_config(
        cls,
        timings: TimingSettings,
        store: PartitionStore,
        clock: Clock,
        identity: NodeIdentity,
        host: PartitionHost,
        events: EventLog,
        invariants: Invariants,
    ) -> Self:
        return cls(
            timings.owner_term_s, store, clock, identity, host, events, invariants
        )

    @property
    def identity(self) -> NodeIdentity:
        return self._candidate.identity

    @property
    def draining(self) -> bool:
        return self._candidate.draining

    def set_draining(self, draining: bool) -> None:
        """Set whether to acquire no partitions; those already owned are kept."""
        self._candidate.draining = draining

    # Owner lookup.

    def find_owner(self, partition: str) -> OwnerRecord | None:
        """Return the cached owner without any I/O."""
        return self._owner_cache.get(partition)

    async def refresh(self, partition: str) -> OwnerRecord | None:
        """Look up the current owner at a peer, else in the store."""
        held = self._owned.get(partition)
        if held is not None and held.may_decide():
            return held.record
        return await self._owner_cache.refresh(partition)

    def cache_record(self, record: OwnerRecord) -> None:
        """Cache an owner record that a peer sent."""
        self._owner_cache.update(record)

    def list_owned(self) -> list[Partition]:
        """Return the partitions that this process owns, also with an expired lease."""
        return list(self._owned.values())

    def find_owned(self, name: str) -> Partition | None:
        return self._owned.get(name)

    # Acquisition and renewal.

    async def run(self) -> None:
        """Acquire and renew partitions until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for name in self._list_partition_names():
                    if name not in self._in_progress and self._is_due(name):
                        tasks.start_soon(self.run_due_work, name)
                await anyio.sleep(POLL_INTERVAL_S)

    def _list_partition_names(self) -> list[str]:
        return list(
            dict.fromkeys(
                (
                    *self._host.list_partitions(),
                    *self._owned,
                    *self._candidate.pending_handovers,
                )
            )
        )

    async def run_due_work(self, name: str) -> None:
        """Renew the partition or try to take it over, if that is due.

        Does nothing while another call for the same partition is in progress.
        """
        if name in self._in_progress or not self._is_due(name):
            return
        self._in_progress.add(name)
        try:
            partition = self._owned.get(name)
            if partition is None:
                await self._try_take_over(name, self._candidate.observed_records[name])
            else:
                await self._renew(partition)
            self._consecutive_failures.pop(name, None)
        except (StoreUnavailable, StoreOutcomeUnknown):
            self._schedule_retry(name)
        except InvalidMessage as error:
            self._events.record("record-malformed", partition=name, error=str(error))
            self._schedule_retry(name)
        finally:
            self._in_progress.discard(name)

    def _schedule_retry(self, name: str) -> None:
        """Schedule a retry with exponential backoff."""
        failures = self._consecutive_failures[name] = (
            self._consecutive_failures.get(name, 0) + 1
        )
        delay_s = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2 ** (failures - 1))
        retry_at = self._clock.monotonic() + delay_s
        self._next_renewal_at[name] = retry_at
        if name in self._candidate.observed_records:
            self._candidate.observed_records[name].next_read_at = retry_at

    def _is_due(self, name: str) -> bool:
        now = self._clock.monotonic()
        partition = self._owned.get(name)
        if partition is not None:
            self._record_lapse(partition)
            return not partition.frozen and now >= self._next_renewal_at.get(name, 0.0)
        return self._candidate.is_due(name)

    def _record_lapse(self, partition: Partition) -> None:
        """Record one event when the lease expires without a renewal."""
        name = partition.name
        if partition.may_decide() or partition.frozen:
            self._reported_lapses.discard(name)
        elif name not in self._reported_lapses:
            self._reported_lapses.add(name)
            self._events.record("lease-lapsed", partition=name, epoch=partition.epoch)

    async def _try_take_over(self, name: str, observed: ObservedRecord) -> None:
        """Take over the partition if no other process can be deciding for it."""
        if observed.version is None or self._clock.monotonic() >= observed.next_read_at:
            await self._candidate.read_record(name, observed)
        self._candidate.drop_superseded_handover(name, observed)
        version, holder = observed.version, self._candidate.find_holder(name, observed)
        if not await self._candidate.may_take_over(name, observed, holder):
            return
        # The check above is valid only for the version and holder that it saw.
        await self._candidate.read_record(name, observed)
        if (
            observed.version != version
            or self._candidate.find_holder(name, observed) != holder
        ):
            return
        await self._acquire(name, observed, holder)

    async def _acquire(
        self, name: str, observed: ObservedRecord, holder: OwnerRecord | None
    ) -> None:
        pending = self._candidate.pending_handovers.get(name)
        named_by_handover = (
            holder is not None
            and holder.is_held_by(self._candidate.identity)
            and pending is not None
            and holder.epoch == pending.epoch + 1
        )
        if holder is not None and named_by_handover:
            epoch = holder.epoch
        else:
            epoch = 1 if holder is None else holder.epoch + 1
        record = self._make_record(name, epoch)
        sent_at = await self._write_record(name, observed, record)
        if sent_at is not None:
            self._start_partition(record, sent_at, self._is_first_owner(name, holder))

    def _make_record(self, name: str, epoch: int) -> OwnerRecord:
        own = self._candidate.identity
        return OwnerRecord(
            name,
            own.node,
            own.incarnation,
            own.address,
            own.control,
            epoch,
            self._lease_duration_s,
        )

    def _is_first_owner(self, name: str, holder: OwnerRecord | None) -> bool:
        """Return whether no process has ever decided for the partition."""
        if holder is None:
            return True
        # This process wrote the first record, but its answer was lost.
        first = holder.epoch == 1 and holder.is_held_by(self._candidate.identity)
        return first and name not in self._ever_acquired

    async def _write_record(
        self, name: str, observed: ObservedRecord, record: OwnerRecord
    ) -> float | None:
        """Replace the version last read; return the start of the lease, or None.

        If the answer is lost, the write that took effect may be that of an earlier
        attempt. It took effect after the version was read, so the lease starts at
        that read.
        """
        version, read_sent_at = observed.version or 0, observed.read_sent_at
        sent_at = self._clock.monotonic()
        key = make_record_key(name)
        try:
            written = await self._store.commit(
                {key: version}, {key: encode_record(record)}
            )
        except StoreOutcomeUnknown:
            await self._candidate.read_record(name, observed)
            written = observed.version != version and observed.stored_record == record
            sent_at = read_sent_at
        if not written:
            observed.next_read_at = self._clock.monotonic()
            return None
        return sent_at

    def _start_partition(
        self, record: OwnerRecord, sent_at: float, is_first_owner: bool
    ) -> None:
        name = record.partition
        pending = self._candidate.pending_handovers.get(name)
        handed_over = pending is not None and pending.epoch == record.epoch - 1
        if not record.is_held_by(self._candidate.identity) or (
            self._candidate.draining and not handed_over
        ):
            return
        lease_expires_at = sent_at + record.lease_duration_s
        if self._clock.monotonic() >= lease_expires_at:
            # The answer came after the lease expired, and another node may have
            # decided since. The next read shows the current owner.
            return
        state = pending.state if pending is not None and handed_over else None
        self._candidate.pending_handovers.pop(name, None)
        has_complete_state = is_first_owner or handed_over
        partition = Partition(record, self._clock, lease_expires_at, has_complete_state)
        self._check_lease_expiry(partition)
        self._owned[name] = partition
        self._ever_acquired.add(name)
        self._next_renewal_at[name] = (
            sent_at + self._lease_duration_s / RENEWALS_PER_LEASE
        )
        self._candidate.observed_records.pop(name, None)
        self._owner_cache.update(record)
        self._events.record(
            "partition-acquired",
            partition=name,
            epoch=record.epoch,
            fresh_start=has_complete_state,
            handover=handed_over,
        )
        self._host.start_partition(partition, state)

    def _check_lease_expiry(self, partition: Partition) -> None:
        self._invariants.check(
            partition.lease_expires_at
            <= self._clock.monotonic() + partition.record.lease_duration_s,
            "term-counts-from-renewal",
            partition=partition.name,
        )

    async def _renew(self, partition: Partition) -> None:
        name, observed = partition.name, ObservedRecord()
        await self._candidate.read_record(name, observed)
        stored = observed.stored_record
        if partition.ended or partition.frozen:
            return
        # A lower epoch means that the store was restored from a backup. The write
        # below corrects the record.
        replaced = stored is not None and stored.epoch >= partition.epoch
        if replaced and stored != partition.record:
            self._end_partition(partition)
            return
        sent_at = await self._write_record(name, observed, partition.record)
        if sent_at is None or partition.ended:
            # Another write came first. The next read shows whose it was.
            return
        partition.extend_lease(sent_at)
        self._check_lease_expiry(partition)
        self._next_renewal_at[name] = (
            sent_at + self._lease_duration_s / RENEWALS_PER_LEASE
        )

    def _end_partition(self, partition: Partition) -> None:
        """Stop deciding for a partition and drop its state."""
        partition.end()
        if self._owned.get(partition.name) is not partition:
            return
        del self._owned[partition.name]
        self._reported_lapses.discard(partition.name)
        self._events.record(
            "partition-released", partition=partition.name, epoch=partition.epoch
        )
        self._host.stop_partition(partition.name)

    # Handover and shutdown.

    def accept_handover(self, partition: str, epoch: int, state: bytes) -> bool:
        """Keep a partition's state until the store names this process as owner.

        Return False if it is refused.
        """
        if partition in self._owned:
            return False
        return self._candidate.accept_handover(partition, epoch, state)

    async def release_all(self, send_handover: SendHandover) -> None:
        """Hand all partitions over to other nodes and acquire no more.

        Partitions whose state reached no successor stay owned until `stop`.
        """
        self._candidate.draining = True
        for name in list(self._candidate.pending_handovers):
            await self.run_due_work(name)
        async with anyio.create_task_group() as tasks:
            for partition in list(self._owned.values()):
                tasks.start_soon(self.release, partition, send_handover)

    async def release(self, partition: Partition, send_handover: SendHandover) -> None:
        """Hand over one partition; see release_all."""
        handover = Handover(
            self._store, self._host, self._candidate.identity, self._sleep
        )
        successor = await handover.run(partition, send_handover)
        if successor is not None:
            self._owner_cache.update(successor)
            self._events.record(
                "partition-handed-over", partition=partition.name, node=successor.node
            )
        if not partition.ended and not partition.frozen:
            return
        self._end_partition(partition)

    def stop(self) -> None:
        """Stop deciding for all partitions at once.

        Call it before the peer listener closes, because a refused connection proves
        to candidates that this process has ended.
        """
        self._candidate.draining = True
        self._candidate.pending_handovers.clear()
        for partition in list(self._owned.values()):
            self._end_partition(partition)

    def change_identity(self, identity: NodeIdentity) -> None:
        """Continue as a new incarnation, which owns no partitions.

        Call it before the peer listener answers with the new incarnation: that
        answer proves to candidates that the old one has ended.
        """
        for partition in list(self._owned.values()):
            self._end_partition(partition)
        self._candidate.pending_handovers.clear()
        self._ever_acquired.clear()
        self._candidate.identity = identity
