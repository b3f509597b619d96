"""Ownership records in the store, and how partitions and candidates are chosen."""

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
    "decode_record",
    "encode_record",
    "make_record_key",
    "rank_candidates",
    "compute_slot",
]

HASH_SIZE_BYTES: Final = 8


class NotOwner(HeathermountError):
    """This node does not own the partition now; look up the owner again."""


class NodeIdentity(msgspec.Struct, frozen=True, array_like=True):
    """One process: node name, incarnation and its addresses ("ip:port")."""

    node: str
    incarnation: str
    # Framed links.
    address: str
    # gRPC.
    control: str


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who owns a partition ("<kind>/<name>"), since which epoch, for how long.

    `term_s` is the time after its last confirmed renewal at which the owner
    stops deciding, in seconds.
    """

    partition: str
    node: str
    incarnation: str
    address: str
    control: str
    epoch: int
    lease_duration_s: float

    def is_held_by(self, identity: NodeIdentity) -> bool:
        """Tell whether the record names this process."""
        return (self.node, self.incarnation) == (identity.node, identity.incarnation)


class StoredValue(Protocol):
    """A value of the store with its version."""

    @property
    def value(self) -> bytes: ...

    @property
    def version(self) -> int: ...


class PartitionStore(Protocol):
    """What ownership needs of the store.

    Reads are linearizable. Both methods raise StoreUnavailable when the call
    had no effect, and `commit` raises StoreOutcomeUnknown when its answer was
    lost; the write may then also take effect later.
    """

    async def get(self, key: str) -> StoredValue | None: ...

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool: ...


class OwnerDirectory(Protocol):
    """Finds the owners of partitions."""

    def find_owner(self, partition: str) -> OwnerRecord | None:
        """Return the owner known to this node, without asking anyone."""

    async def refresh(self, partition: str) -> OwnerRecord | None:
        """Look the owner up again, at a peer or in the store."""


def make_record_key(partition: str) -> str:
    """Return the store key of a partition's record."""
    return f"own/{partition}"


def encode_record(record: OwnerRecord) -> bytes:
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> OwnerRecord:
    """Decode a record; raise InvalidMessage when it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=OwnerRecord)
    except msgspec.MsgspecError as error:
        raise InvalidMessage(f"ownership record: {error}") from error


def rank_candidates(partition: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by rendezvous hash: the first is preferred as owner."""
    return sorted(
        set(nodes), key=lambda node: (compute_candidate_hash(partition, node), node)
    )


def compute_candidate_hash(partition: str, node: str) -> int:
    data = f"{partition}\0{node}".encode()
    return int.from_bytes(blake2b(data, digest_size=HASH_SIZE_BYTES).digest())


def compute_slot(key: bytes, slots: int) -> int:
    """Return the slot of a key, from 0 to `slots` - 1."""
    return int.from_bytes(blake2b(key, digest_size=HASH_SIZE_BYTES).digest()) % slots
