"""Identifiers of root requests, and what is derived from them."""

import hashlib
import secrets
import uuid
from typing import Final

from heathermount.values import COHORT_COUNT

__all__ = ["compute_cohort", "derive_idempotency_key", "make_root_id"]

UUID7_RANDOM_BITS: Final = 74
UUID7_RAND_B_BITS: Final = 62


def make_root_id(wall_time: float) -> str:
    """Return a new root request identifier: a UUIDv7 of the wall time (seconds)."""
    return make_uuid7(int(wall_time * 1000), secrets.randbits(UUID7_RANDOM_BITS))


def derive_idempotency_key(
    root: str, route: str, method: str, target: str, body: bytes
) -> str:
    """Return the idempotency key of a deeper call that does not bring one.

    It has the issue time of its root, so that the owner of the key can tell
    that a call of a new root request is new after a takeover.
    """
    digest = hashlib.sha256()
    for part in (root, route, method, target):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    random_bits = int.from_bytes(digest.digest()) >> (256 - UUID7_RANDOM_BITS)
    return make_uuid7(uuid.UUID(root).int >> 80, random_bits)


def compute_cohort(root: str) -> int:
    """Return the cohort of a root request: the same at every service."""
    return hashlib.blake2b(root.encode(), digest_size=2).digest()[0] % COHORT_COUNT


def make_uuid7(timestamp_ms: int, random_bits: int) -> str:
    """Return a UUIDv7 (RFC 9562) with 74 random bits."""
    rand_a, rand_b = (
        random_bits >> UUID7_RAND_B_BITS,
        random_bits & ((1 << UUID7_RAND_B_BITS) - 1),
    )
    value = timestamp_ms << 80 | 7 << 76 | rand_a << 64 | 2 << 62 | rand_b
    return str(uuid.UUID(int=value))
