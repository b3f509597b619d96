"""Acquires, renews and releases partitions, and finds the owners of others."""

from collections.abc import Awaitable, Callable
from typing import Final, Self

import anyio

from heathermount.clocks import Clock
from heathermount.config.settings import TimingSettings
from heathermount.errors import (
    InvalidMessage,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership.candidacy import RENEWALS, Candidacy
from heathermount.ownership.directory import Directory
from heathermount.ownership.handover import Handover
from heathermount.ownership.lease import Partition
from heathermount.ownership.records import (
    NodeIdentity,
    OwnerRecord,
    PartitionStore,
    encode_record,
    make_key,
)
from heathermount.ownership.watch import HandOver, PartitionHost, Watch

__all__ = ["OwnershipManager"]

TICK_S: Final = 0.25
RETRY_S: Final = 1.0
# All candidates of the fleet wait for a store that is down. A term (120 s) leaves
# an owner time for many attempts at this distance.
MAX_RETRY_S: Final = 8.0


class OwnershipManager:
    """Keeps the partitions of one process.

    At most one process decides for a partition: a record is only replaced by
    its holder, by its successor in a handover, or by a candidate that has proof
    that the holder ended or that its term passed; and every replacement
    compares the version that this proof was about.
    """

    __slots__ = (
        "_busy",
        "_candidacy",
        "_clock",
        "_directory",
        "_events",
        "_failures",
        "_host",
        "_invariants",
        "_lapsed",
        "_next_renewal",
        "_owned",
        "_sleep",
        "_started",
        "_store",
        "_term_s",
    )

    def __init__(
        self,
        term_s: float,
        store: PartitionStore,
        clock: Clock,
        identity: NodeIdentity,
        host: PartitionHost,
        events: EventLog,
        invariants: Invariants,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._term_s = term_s
        self._store = store
        self._clock = clock
        self._host = host
        self._events = events
        self._invariants = invariants
        self._sleep = sleep
        self._directory = Directory(store, clock, host)
        self._owned: dict[str, Partition] = {}
        self._next_renewal: dict[str, float] = {}
        self._candidacy = Candidacy(
            term_s, store, clock, identity, host, self._directory
        )
        self._busy: set[str] = set()
        self._lapsed: set[str] = set()
        # Store failures in a row, by partition.
        self._failures: dict[str, int] = {}
        self._started: set[str] = set()

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
        return self._candidacy.identity

    @property
    def draining(self) -> bool:
        return self._candidacy.draining

    def set_draining(self, draining: bool) -> None:
        """Take no partition while draining; held ones stay owned."""
        self._candidacy.draining = draining

    # Looking up owners.

    def find_owner(self, partition: str) -> OwnerRecord | None:
        """Return the owner known to this node, without asking anyone."""
        return self._directory.find(partition)

    async def refresh(self, partition: str) -> OwnerRecord | None:
        """Look the owner up again, at a peer, else in the store."""
        held = self._owned.get(partition)
        if held is not None and held.owns():
            return held.record
        return await self._directory.refresh(partition)

    def note(self, record: OwnerRecord) -> None:
        """Remember a record that came from a peer."""
        self._directory.note(record)

    def owned(self) -> list[Partition]:
        """Return the partitions that this process holds."""
        return list(self._owned.values())

    def find_owned(self, name: str) -> Partition | None:
        return self._owned.get(name)

    # Acquiring and renewing.

    async def run(self) -> None:
        """Acquire and renew partitions until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for name in self._names():
                    if name not in self._busy and self._is_due(name):
                        tasks.start_soon(self.advance, name)
                await anyio.sleep(TICK_S)

    def _names(self) -> list[str]:
        return list(
            dict.fromkeys(
                (*self._host.wanted(), *self._owned, *self._candidacy.pending)
            )
        )

    async def advance(self, name: str) -> None:
        """Do what is due now for one partition; safe to call at any time."""
        if name in self._busy or not self._is_due(name):
            return
        self._busy.add(name)
        try:
            partition = self._owned.get(name)
            if partition is None:
                await self._consider(name, self._candidacy.watches[name])
            else:
                await self._renew(partition)
            self._failures.pop(name, None)
        except (StoreUnavailable, StoreOutcomeUnknown):
            self._postpone(name)
        except InvalidMessage as error:
            self._events.record("record-malformed", partition=name, error=str(error))
            self._postpone(name)
        finally:
            self._busy.discard(name)

    def _postpone(self, name: str) -> None:
        """Try again later, after a longer time for each failure in a row."""
        failures = self._failures[name] = self._failures.get(name, 0) + 1
        pause_s = min(MAX_RETRY_S, RETRY_S * 2 ** (failures - 1))
        retry_at = self._clock.monotonic() + pause_s
        self._next_renewal[name] = retry_at
        if name in self._candidacy.watches:
            self._candidacy.watches[name].next_read = retry_at

    def _is_due(self, name: str) -> bool:
        now = self._clock.monotonic()
        partition = self._owned.get(name)
        if partition is not None:
            self._note_lapse(partition)
            return not partition.frozen and now >= self._next_renewal.get(name, 0.0)
        return self._candidacy.is_due(name)

    def _note_lapse(self, partition: Partition) -> None:
        """Record the time at which the term ended without a renewal, once."""
        name = partition.name
        if partition.owns() or partition.frozen:
            self._lapsed.discard(name)
        elif name not in self._lapsed:
            self._lapsed.add(name)
            self._events.record("lease-lapsed", partition=name, epoch=partition.epoch)

    async def _consider(self, name: str, watch: Watch) -> None:
        """Take the partition if nobody can be deciding for it."""
        if watch.version is None or self._clock.monotonic() >= watch.next_read:
            await self._candidacy.read(name, watch)
        self._candidacy.drop_outdated_handover(name, watch)
        version, holder = watch.version, self._candidacy.find_holder(name, watch)
        if not await self._candidacy.is_free(name, watch, holder):
            return
        # The decision above was about this version and holds only for it.
        await self._candidacy.read(name, watch)
        if (
            watch.version != version
            or self._candidacy.find_holder(name, watch) != holder
        ):
            return
        await self._acquire(name, watch, holder)

    async def _acquire(
        self, name: str, watch: Watch, holder: OwnerRecord | None
    ) -> None:
        pending = self._candidacy.pending.get(name)
        appointed = (
            holder is not None
            and holder.names(self._candidacy.identity)
            and pending is not None
            and holder.epoch == pending.epoch + 1
        )
        if holder is not None and appointed:
            epoch = holder.epoch
        else:
            epoch = 1 if holder is None else holder.epoch + 1
        record = self._make_record(name, epoch)
        sent_at = await self._write(name, watch, record)
        if sent_at is not None:
            self._start(record, sent_at, self._is_first(name, holder))

    def _make_record(self, name: str, epoch: int) -> OwnerRecord:
        own = self._candidacy.identity
        return OwnerRecord(
            name,
            own.node,
            own.incarnation,
            own.address,
            own.control,
            epoch,
            self._term_s,
        )

    def _is_first(self, name: str, holder: OwnerRecord | None) -> bool:
        """Tell whether no process has ever decided for the partition."""
        if holder is None:
            return True
        # This process wrote the first record, and the answer was lost.
        first = holder.epoch == 1 and holder.names(self._candidacy.identity)
        return first and name not in self._started

    async def _write(
        self, name: str, watch: Watch, record: OwnerRecord
    ) -> float | None:
        """Replace the version last read; return the start of the term, or None.

        When the answer is lost, an earlier attempt may be the one that took
        effect, but not before the version was read; so the term starts then.
        """
        version, read_at = watch.version or 0, watch.read_at
        sent_at = self._clock.monotonic()
        key = make_key(name)
        try:
            done = await self._store.commit(
                {key: version}, {key: encode_record(record)}
            )
        except StoreOutcomeUnknown:
            await self._candidacy.read(name, watch)
            done = watch.version != version and watch.stored == record
            sent_at = read_at
        if not done:
            watch.next_read = self._clock.monotonic()
            return None
        return sent_at

    def _start(self, record: OwnerRecord, sent_at: float, first: bool) -> None:
        name = record.partition
        pending = self._candidacy.pending.get(name)
        handed_over = pending is not None and pending.epoch == record.epoch - 1
        if not record.names(self._candidacy.identity) or (
            self._candidacy.draining and not handed_over
        ):
            return
        deadline = sent_at + record.term_s
        if self._clock.monotonic() >= deadline:
            # The answer came after the term, and another node may have decided
            # since; reading again tells.
            return
        state = pending.state if pending is not None and handed_over else None
        self._candidacy.pending.pop(name, None)
        fresh_start = first or handed_over
        partition = Partition(record, self._clock, deadline, fresh_start)
        self._check_term(partition)
        self._owned[name] = partition
        self._started.add(name)
        self._next_renewal[name] = sent_at + self._term_s / RENEWALS
        self._candidacy.watches.pop(name, None)
        self._directory.note(record)
        self._events.record(
            "partition-acquired",
            partition=name,
            epoch=record.epoch,
            fresh_start=fresh_start,
            handover=handed_over,
        )
        self._host.started(partition, state)

    def _check_term(self, partition: Partition) -> None:
        self._invariants.check(
            partition.deadline <= self._clock.monotonic() + partition.record.term_s,
            "term-counts-from-renewal",
            partition=partition.name,
        )

    async def _renew(self, partition: Partition) -> None:
        name, watch = partition.name, Watch()
        await self._candidacy.read(name, watch)
        stored = watch.stored
        if partition.ended or partition.frozen:
            return
        # A lower epoch means that the store came back with older data, and the
        # write below puts it right.
        replaced = stored is not None and stored.epoch >= partition.epoch
        if replaced and stored != partition.record:
            self._lose(partition)
            return
        sent_at = await self._write(name, watch, partition.record)
        if sent_at is None or partition.ended:
            # Another write came first; reading again tells whose it was.
            return
        partition.extend(sent_at)
        self._check_term(partition)
        self._next_renewal[name] = sent_at + self._term_s / RENEWALS

    def _lose(self, partition: Partition) -> None:
        """End a partition and drop its state."""
        partition.end()
        if self._owned.get(partition.name) is not partition:
            return
        del self._owned[partition.name]
        self._lapsed.discard(partition.name)
        self._events.record(
            "partition-released", partition=partition.name, epoch=partition.epoch
        )
        self._host.stopped(partition.name)

    # Handing over.

    def accept_handover(self, partition: str, epoch: int, state: bytes) -> bool:
        """Hold the state of a partition until the store names this node its owner."""
        if partition in self._owned:
            return False
        return self._candidacy.hold(partition, epoch, state)

    async def release_all(self, hand_over: HandOver) -> None:
        """Hand all partitions over to other nodes and take none from now on.

        Partitions for which no successor was reached stay owned until `stop`.
        """
        self._candidacy.draining = True
        for name in list(self._candidacy.pending):
            await self.advance(name)
        async with anyio.create_task_group() as tasks:
            for partition in list(self._owned.values()):
                tasks.start_soon(self.release, partition, hand_over)

    async def release(self, partition: Partition, hand_over: HandOver) -> None:
        """Hand one partition over; see release_all."""
        handover = Handover(
            self._store, self._host, self._candidacy.identity, self._sleep
        )
        successor = await handover.run(partition, hand_over)
        if successor is not None:
            self._directory.note(successor)
            self._events.record(
                "partition-handed-over", partition=partition.name, node=successor.node
            )
        if not partition.ended and not partition.frozen:
            return
        self._lose(partition)

    def stop(self) -> None:
        """Stop deciding at once; call it before the peer listener closes."""
        self._candidacy.draining = True
        self._candidacy.pending.clear()
        for partition in list(self._owned.values()):
            self._lose(partition)

    def change_identity(self, identity: NodeIdentity) -> None:
        """Continue as a new incarnation, which owns nothing.

        Call it before the peer listener answers with the new incarnation,
        because that answer proves to others that the old one has ended.
        """
        for partition in list(self._owned.values()):
            self._lose(partition)
        self._candidacy.pending.clear()
        self._started.clear()
        self._candidacy.identity = identity
