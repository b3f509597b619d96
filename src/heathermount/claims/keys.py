"""Idempotency keys: their claim key, partition and time of issue."""

from hashlib import sha256
from typing import Final
from uuid import UUID

from heathermount.ownership import compute_slot

__all__ = ["SLOTS", "issued_at_of", "make_claim_key", "partition_of"]

# Partitions of each service with routes that must not be repeated.
SLOTS: Final = 4


def make_claim_key(organisation: str, service: str, idempotency_key: str) -> bytes:
    """Return the key of a claim; organisations and services cannot collide."""
    digest = sha256()
    for part in (organisation, service, idempotency_key):
        data = part.encode()
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.digest()


def partition_of(service: str, claim_key: bytes, slots: int = SLOTS) -> str:
    return f"claims/{service}/{compute_slot(claim_key, slots)}"


def issued_at_of(idempotency_key: str) -> float:
    """Return when a UUIDv7 was issued, in seconds since the Unix epoch, else 0."""
    try:
        key = UUID(idempotency_key)
    except ValueError:
        return 0.0
    if key.version != 7:
        return 0.0
    return (key.int >> 80) / 1000
