"""Root request identifiers, and cohorts and idempotency keys derived from them."""

import hashlib
import secrets
import uuid
from typing import Final

from heathermount.values import COHORT_COUNT

__all__ = ["compute_cohort", "derive_idempotency_key", "make_root_id"]

# Sizes of the random fields of a UUIDv7: rand_a and rand_b together, and rand_b.
UUID7_RANDOM_BITS: Final = 74
UUID7_RAND_B_BITS: Final = 62


def make_root_id(wall_time: float) -> str:
    """Return a new root request identifier: a UUIDv7.

    `wall_time` is in seconds since the Unix epoch.
    """
    return make_uuid7(int(wall_time * 1000), secrets.randbits(UUID7_RANDOM_BITS))


def derive_idempotency_key(
    root: str, route: str, method: str, target: str, body: bytes
) -> str:
    """Return the idempotency key of a downstream call that does not carry one.

    The key has the timestamp of its root request. After a takeover, the new claim
    owner can therefore tell that a call of a newer root request is not a repeat.
    """
    digest = hashlib.sha256()
    for part in (root, route, method, target):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    random_bits = int.from_bytes(digest.digest()) >> (256 - UUID7_RANDOM_BITS)
    return make_uuid7(uuid.UUID(root).int >> 80, random_bits)


def compute_cohort(root: str) -> int:
    """Return the cohort of a root request, which is the same at every service."""
    return hashlib.blake2b(root.encode(), digest_size=2).digest()[0] % COHORT_COUNT


def make_uuid7(timestamp_ms: int, random_bits: int) -> str:
    """Return a UUIDv7 (RFC 9562) with the given 74 random bits."""
    rand_a, rand_b = (
        random_bits >> UUID7_RAND_B_BITS,
        random_bits & ((1 << UUID7_RAND_B_BITS) - 1),
    )
    value = timestamp_ms << 80 | 7 << 76 | rand_a << 64 | 2 << 62 | rand_b
    return str(uuid.UUID(int=value))
