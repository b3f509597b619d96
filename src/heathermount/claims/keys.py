"""Claim key, partition and time of issue of idempotency keys."""

from hashlib import sha256
from typing import Final
from uuid import UUID

from heathermount.ownership import compute_partition_index

__all__ = [
    "PARTITIONS_PER_SERVICE",
    "get_partition_name",
    "make_claim_key",
    "parse_issued_at",
]

# Claim partitions of each service that has routes which must not be repeated.
PARTITIONS_PER_SERVICE: Final = 4


def make_claim_key(organisation: str, service: str, idempotency_key: str) -> bytes:
    """Return the hash of an idempotency key within its organisation and service.

    Each part is prefixed by its length, so that different parts cannot be joined to
    the same input.
    """
    digest = sha256()
    for part in (organisation, service, idempotency_key):
        data = part.encode()
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.digest()


def get_partition_name(
    service: str, claim_key: bytes, partition_count: int = PARTITIONS_PER_SERVICE
) -> str:
    return f"claims/{service}/{compute_partition_index(claim_key, partition_count)}"


def parse_issued_at(idempotency_key: str) -> float:
    """Return the issue time of a UUIDv7 in seconds since the Unix epoch, else 0."""
    try:
        key = UUID(idempotency_key)
    except ValueError:
        return 0.0
    if key.version != 7:
        return 0.0
    return (key.int >> 80) / 1000
