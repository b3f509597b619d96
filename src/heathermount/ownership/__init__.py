"""Partitions: exactly one process decides for each of them."""

from heathermount.ownership.candidate_state import PartitionHost, SendHandover
from heathermount.ownership.manager import OwnershipManager
from heathermount.ownership.partition import Partition
from heathermount.ownership.records import (
    NodeIdentity,
    NotOwner,
    OwnerDirectory,
    OwnerRecord,
    PartitionStore,
    StoredValue,
    compute_slot,
    decode_record,
    encode_record,
    make_record_key,
    rank_candidates,
)

__all__ = [
    "SendHandover",
    "NodeIdentity",
    "NotOwner",
    "OwnerDirectory",
    "OwnerRecord",
    "OwnershipManager",
    "Partition",
    "PartitionHost",
    "PartitionStore",
    "StoredValue",
    "decode_record",
    "encode_record",
    "make_record_key",
    "rank_candidates",
    "compute_slot",
]
