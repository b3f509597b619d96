"""When a candidate may take a partition: what it has read and what it waits for."""

from typing import Final

from heathermount.clocks import Clock
from heathermount.errors import HeathermountError
from heathermount.ownership.directory import Directory
from heathermount.ownership.records import (
    NodeIdentity,
    OwnerRecord,
    PartitionStore,
    make_key,
)
from heathermount.ownership.watch import PartitionHost, PendingHandover, Watch

__all__ = ["RENEWALS", "Candidacy"]

# Candidates act one after the other, so that usually only one writes.
RANK_DELAY_S: Final = 0.5
# Candidates of a higher rank leave the regular reading to the first ones, so
# that the store's reads do not grow with the size of a group.
READING_RANKS: Final = 3
VACANT_READ_S: Final = 5.0
PROBE_S: Final = 1.0
# The record of an accepted handover is usually written within milliseconds.
PENDING_READ_S: Final = 0.1
PENDING_S: Final = 5.0
# Renewals within one term.
RENEWALS: Final = 3


class Candidacy:
    """Watches the records of the partitions that this process might take."""

    __slots__ = (
        "_clock",
        "_directory",
        "_host",
        "_store",
        "_term_s",
        "draining",
        "identity",
        "pending",
        "watches",
    )

    def __init__(
        self,
        term_s: float,
        store: PartitionStore,
        clock: Clock,
        identity: NodeIdentity,
        host: PartitionHost,
        directory: Directory,
    ) -> None:
        self.identity = identity
        self.draining = False
        self.watches: dict[str, Watch] = {}
        self.pending: dict[str, PendingHandover] = {}
        self._term_s = term_s
        self._store = store
        self._clock = clock
        self._host = host
        self._directory = directory

    def is_due(self, name: str) -> bool:
        """Tell whether to read a record or to probe its holder now."""
        now = self._clock.monotonic()
        watch = self.watches.setdefault(name, Watch())
        watch.update_rank(name, self.identity.node, self._host.candidates(name))
        self._note_vacancy(name, watch, now)
        if name in self.pending:
            return now >= watch.next_read
        if watch.rank is None or self.draining:
            return False
        if watch.vacant_since is None:
            return now >= watch.next_read
        acts_at = watch.vacant_since + watch.rank * RANK_DELAY_S
        return now >= acts_at and now >= min(watch.next_read, watch.next_probe)

    def _note_vacancy(self, name: str, watch: Watch, now: float) -> None:
        """Keep the time since which the holder is not among the live candidates."""
        holder = self.find_holder(name, watch)
        if watch.version is not None and holder is not None and self._is_live(holder):
            watch.vacant_since = None
        elif watch.vacant_since is None:
            watch.vacant_since = now
            watch.next_read = watch.next_probe = now

    def _is_live(self, holder: OwnerRecord) -> bool:
        if holder.names(self.identity):
            # This process was named while it did not decide: it takes over.
            return False
        if holder.node not in self._host.candidates(holder.partition):
            return False
        identity = self._host.locate(holder.node)
        return identity is None or identity.incarnation == holder.incarnation

    def find_holder(self, name: str, watch: Watch) -> OwnerRecord | None:
        """Return the record with the highest epoch seen.

        If the store came back with older data, its record does not name the
        process that may still decide.
        """
        known = self._directory.find(name)
        if watch.stored is None:
            return known
        if known is not None and known.epoch > watch.stored.epoch:
            return known
        return watch.stored

    async def read(self, name: str, watch: Watch) -> None:
        """Read the record; raise StoreUnavailable or InvalidMessage."""
        sent_at = self._clock.monotonic()
        value = await self._store.get(make_key(name))
        now = self._clock.monotonic()
        watch.observe(value, sent_at, now)
        if watch.stored is not None:
            self._directory.note(watch.stored)
        self._schedule_reading(name, watch, now)

    def _schedule_reading(self, name: str, watch: Watch, now: float) -> None:
        pending = self.pending.get(name)
        if pending is not None and now < pending.received_at + PENDING_S:
            watch.next_read = now + PENDING_READ_S
        elif watch.vacant_since is not None:
            watch.next_read = now + VACANT_READ_S
        elif watch.rank is not None and watch.rank < READING_RANKS:
            watch.next_read = now + self._term_s / RENEWALS
        else:
            watch.next_read = now + self._term_s

    def drop_outdated_handover(self, name: str, watch: Watch) -> None:
        """Drop a state that another process has superseded."""
        pending, holder = self.pending.get(name), self.find_holder(name, watch)
        if pending is None or holder is None or holder.epoch <= pending.epoch:
            return
        if holder.epoch > pending.epoch + 1 or not holder.names(self.identity):
            del self.pending[name]

    async def is_free(
        self, name: str, watch: Watch, holder: OwnerRecord | None
    ) -> bool:
        """Tell whether nobody else can be deciding under the version last read."""
        if holder is not None and holder.names(self.identity):
            return not self.draining or name in self.pending
        if watch.rank is None or self.draining:
            return False
        if holder is None:
            return True
        now = self._clock.monotonic()
        if watch.term_passed(holder, now):
            return True
        if self._is_live(holder) or now < watch.next_probe:
            return False
        watch.next_probe = now + PROBE_S
        return await self._has_ended(holder)

    async def _has_ended(self, holder: OwnerRecord) -> bool:
        try:
            return await self._host.probe(holder.address, holder.incarnation)
        except HeathermountError:
            return False

    def hold(self, name: str, epoch: int, state: bytes) -> bool:
        """Hold the state of a partition until the store names this process."""
        known, pending = self._directory.find(name), self.pending.get(name)
        if self.draining:
            return False
        if known is not None and known.epoch > epoch:
            return False
        if pending is not None and pending.epoch > epoch:
            return False
        now = self._clock.monotonic()
        self.pending[name] = PendingHandover(epoch, state, now)
        self.watches.setdefault(name, Watch()).next_read = now
        return True
