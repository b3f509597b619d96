"""Leases on partitions: at most one process decides for a partition at a time.

A partition is a shard of the idempotency claims or quotas. Its owner is recorded
in the store and renews its lease there.
"""

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
    compute_partition_index,
    decode_record,
    encode_record,
    make_record_key,
    rank_candidates,
)

__all__ = [
    "NodeIdentity",
    "NotOwner",
    "OwnerDirectory",
    "OwnerRecord",
    "OwnershipManager",
    "Partition",
    "PartitionHost",
    "PartitionStore",
    "SendHandover",
    "StoredValue",
    "compute_partition_index",
    "decode_record",
    "encode_record",
    "make_record_key",
    "rank_candidates",
]
