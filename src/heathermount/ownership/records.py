"""Owner records, their encoding in the store, and rendezvous ranking of nodes."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final, Protocol

import msgspec

from heathermount.errors import HeathermountError, InvalidMessage

__all__ = [
    "NodeIdentity",
    "NotOwner",
    "OwnerDirectory",
    "OwnerRecord",
    "PartitionStore",
    "StoredValue",
    "compute_partition_index",
    "decode_record",
    "encode_record",
    "make_record_key",
    "rank_candidates",
]

HASH_SIZE_BYTES: Final = 8


class NotOwner(HeathermountError):
    """This node does not own the partition; the caller should refresh the owner."""


class NodeIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one process: node name, incarnation and "ip:port" addresses."""

    node: str
    incarnation: str
    # Listener for framed peer links.
    address: str
    # Listener of the gRPC control service.
    control: str


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a partition ("<kind>/<name>"), its epoch and lease duration.

    The epoch increases with every acquisition. An owner stops deciding
    `lease_duration_s` seconds after it sent its last confirmed renewal.
    """

    partition: str
    node: str
    incarnation: str
    address: str
    control: str
    epoch: int
    lease_duration_s: float

    def is_held_by(self, identity: NodeIdentity) -> bool:
        """Return whether the record names the process `identity` as the owner."""
        return (self.node, self.incarnation) == (identity.node, identity.incarnation)


class StoredValue(Protocol):
    """A value in the store and its version."""

    @property
    def value(self) -> bytes: ...

    @property
    def version(self) -> int: ...


class PartitionStore(Protocol):
    """The store operations that ownership needs.

    Reads are linearizable. Both methods raise StoreUnavailable when the call
    had no effect. `commit` raises StoreOutcomeUnknown when the answer was lost;
    the write may have taken effect or may still take effect later.
    """

    async def get(self, key: str) -> StoredValue | None: ...

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool: ...


class OwnerDirectory(Protocol):
    """Looks up the owners of partitions."""

    def find_owner(self, partition: str) -> OwnerRecord | None:
        """Return the cached owner without any I/O."""

    async def refresh(self, partition: str) -> OwnerRecord | None:
        """Look up the current owner at a peer or in the store."""


def make_record_key(partition: str) -> str:
    """Return the store key of a partition's owner record."""
    return f"own/{partition}"


def encode_record(record: OwnerRecord) -> bytes:
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> OwnerRecord:
    """Decode an owner record; raise InvalidMessage if it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=OwnerRecord)
    except msgspec.MsgspecError as error:
        raise InvalidMessage(f"malformed owner record: {error}") from error


def rank_candidates(partition: str, nodes: Iterable[str]) -> list[str]:
    """Rank nodes by rendezvous hash; the first is the preferred owner."""
    return sorted(
        set(nodes), key=lambda node: (compute_candidate_hash(partition, node), node)
    )


def compute_candidate_hash(partition: str, node: str) -> int:
    data = f"{partition}\0{node}".encode()
    return int.from_bytes(blake2b(data, digest_size=HASH_SIZE_BYTES).digest())


def compute_partition_index(key: bytes, partition_count: int) -> int:
    """Return the partition of a key by hash, from 0 to `partition_count` - 1."""
    return (
        int.from_bytes(blake2b(key, digest_size=HASH_SIZE_BYTES).digest())
        % partition_count
    )
