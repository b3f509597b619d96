"""What a candidate keeps per partition, and the interface of its host node."""

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

__all__ = ["ObservedRecord", "PartitionHost", "PendingHandover", "SendHandover"]

# Upper bound on how much faster a candidate's clock runs than the owner's.
CLOCK_DRIFT_FACTOR: Final = 1.01

# Sends (name, epoch, state) of a partition to its next owner and returns whether
# that accepted it. Raises PeerError if the call failed; the error's `sent` is true if
# the state may have arrived.
SendHandover = Callable[[NodeIdentity, str, int, bytes], Awaitable[bool]]


class PartitionHost(Protocol):
    """Callbacks of the ownership manager to the node that it runs in."""

    def list_partitions(self) -> Iterable[str]:
        """Return the names of the partitions that this node is a candidate for."""

    def list_candidates(self, partition: str) -> Sequence[str]:
        """Return the names of the live candidates."""

    def find_identity(self, node: str) -> NodeIdentity | None:
        """Return the incarnation and addresses of a live node, or None."""

    async def confirm_process_ended(self, address: str, incarnation: str) -> bool:
        """Return True only on proof that the process has ended.

        Proof is a refused connection or an answer by another incarnation.
        """

    async def fetch_record(self, partition: str) -> OwnerRecord | None:
        """Ask peers for the owner record; None means to read the store instead."""

    def start_partition(self, partition: Partition, state: bytes | None) -> None:
        """Start deciding, from the handed-over state of the previous owner if any."""

    def stop_partition(self, name: str) -> None:
        """Drop the state of a partition that this process no longer owns."""

    def dump_state(self, name: str) -> bytes:
        """Serialise the state of an owned partition for its next owner."""


class PendingHandover:
    """State received in a handover from the owner of `epoch`, which has stopped."""

    __slots__ = ("epoch", "received_at", "state")

    def __init__(self, epoch: int, state: bytes, received_at: float) -> None:
        self.epoch = epoch
        self.received_at = received_at
        self.state = state


class ObservedRecord:
    """An owner record as last read, and when to read or probe next.

    All times are monotonic. `holder_missing_since` is None while the record's
    holder is live. `rank` is None if this node is not a candidate.
    """

    __slots__ = (
        "_ranked_candidates",
        "holder_missing_since",
        "next_probe_at",
        "next_read_at",
        "rank",
        "read_sent_at",
        "stored_record",
        "version",
        "version_seen_at",
    )

    def __init__(self) -> None:
        # None before the first read; 0 if the store has no record.
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
        """Store the result of a read that was sent at `sent_at`."""
        version = 0 if value is None else value.version
        stored = None if value is None else decode_record(value.value)
        if version != self.version:
            self.version_seen_at = now
        self.version = version
        self.stored_record = stored
        self.read_sent_at = sent_at

    def update_rank(self, partition: str, node: str, live_nodes: Sequence[str]) -> None:
        """Recompute the rank of this node if the live candidates have changed."""
        candidates = tuple(live_nodes)
        if candidates == self._ranked_candidates:
            return
        self._ranked_candidates = candidates
        ranked = rank_candidates(partition, candidates)
        self.rank = ranked.index(node) if node in ranked else None

    def is_lease_expired(self, holder: OwnerRecord, now: float) -> bool:
        """Return whether the holder's lease has certainly expired.

        The holder's lease starts before the write of this version was sent, and
        hence before `version_seen_at`.
        """
        return (
            now >= self.version_seen_at + holder.lease_duration_s * CLOCK_DRIFT_FACTOR
        )
