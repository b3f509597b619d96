"""Partitions: exactly one process decides for each of them."""

from heathermount.ownership.lease import Partition
from heathermount.ownership.manager import OwnershipManager
from heathermount.ownership.records import (
    NodeIdentity,
    NotOwner,
    OwnerDirectory,
    OwnerRecord,
    PartitionStore,
    StoredValue,
    decode_record,
    encode_record,
    make_key,
    rank_candidates,
    slot_of,
)
from heathermount.ownership.watch import HandOver, PartitionHost

__all__ = [
    "HandOver",
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
    "make_key",
    "rank_candidates",
    "slot_of",
]
