"""What a candidate knows about the record of one partition."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Final, Protocol

from heathermount.ownership.partition import Partition
from heathermount.ownership.records import (
    NodeIdentity,
    OwnerRecord,
    StoredValue,
    decode_record,
    rank_candidates,
)

__all__ = ["SendHandover", "PartitionHost", "PendingHandover", "ObservedRecord"]

# A candidate's clock may run this much faster than the owner's.
CLOCK_DRIFT_FACTOR: Final = 1.01

# Sends the state of a partition (name, epoch, state) to its next owner and
# returns whether it was accepted; raises PeerError when that is not known.
SendHandover = Callable[[NodeIdentity, str, int, bytes], Awaitable[bool]]


class PartitionHost(Protocol):
    """What the ownership manager asks of the node it runs in."""

    def list_partitions(self) -> Iterable[str]:
        """Return the partitions for which this node is a candidate."""

    def list_candidates(self, partition: str) -> Sequence[str]:
        """Return the names of live candidates now, this node included."""

    def find_identity(self, node: str) -> NodeIdentity | None:
        """Return a live node's current incarnation and addresses."""

    async def confirm_process_ended(self, address: str, incarnation: str) -> bool:
        """Return True only on proof that the process has ended.

        Proof is a refused connection or an answer by another incarnation.
        """

    async def fetch_record(self, partition: str) -> OwnerRecord | None:
        """Ask the reader of the group for a record; None to ask the store."""

    def start_partition(self, partition: Partition, state: bytes | None) -> None:
        """Begin to decide, from the state of the previous owner if there is one."""

    def stop_partition(self, name: str) -> None:
        """Drop the state of a partition that was lost or handed over."""

    def dump_state(self, name: str) -> bytes:
        """Return the state of an owned partition for its next owner."""


class PendingHandover:
    """State received from an owner that has stopped deciding in `epoch`."""

    __slots__ = ("epoch", "received_at", "state")

    def __init__(self, epoch: int, state: bytes, received_at: float) -> None:
        self.epoch = epoch
        self.received_at = received_at
        self.state = state


class ObservedRecord:
    """The record as last read, and when this candidate acts next (monotonic)."""

    __slots__ = (
        "_ranked_candidates",
        "next_probe_at",
        "next_read_at",
        "rank",
        "read_sent_at",
        "version_seen_at",
        "stored_record",
        "holder_missing_since",
        "version",
    )

    def __init__(self) -> None:
        # None until the record was read; 0 when there is no record.
        self.version: int | None = None
        self.stored_record: OwnerRecord | None = None
        # When the last read was sent, and when this version was first seen.
        self.read_sent_at = 0.0
        self.version_seen_at = 0.0
        self.next_read_at = 0.0
        self.next_probe_at = 0.0
        self.holder_missing_since: float | None = None
        self.rank: int | None = None
        self._ranked_candidates: tuple[str, ...] | None = None

    def update(self, value: StoredValue | None, sent_at: float, now: float) -> None:
        """Note what a read that was sent at `sent_at` returned."""
        version = 0 if value is None else value.version
        stored = None if value is None else decode_record(value.value)
        if version != self.version:
            self.version_seen_at = now
        self.version = version
        self.stored_record = stored
        self.read_sent_at = sent_at

    def update_rank(self, partition: str, node: str, live: Sequence[str]) -> None:
        """Work out the rank of this node among the live candidates."""
        candidates = tuple(live)
        if candidates == self._ranked_candidates:
            return
        self._ranked_candidates = candidates
        ranked = rank_candidates(partition, candidates)
        self.rank = ranked.index(node) if node in ranked else None

    def is_lease_expired(self, holder: OwnerRecord, now: float) -> bool:
        """Tell whether the holder's term has surely ended.

        The holder counts its term from before it sent the write of this
        version, which is earlier than `seen_at`.
        """
        return (
            now >= self.version_seen_at + holder.lease_duration_s * CLOCK_DRIFT_FACTOR
        )
