"""At-most-once execution: at most one call may run per idempotency key."""

from heathermount.claims.body_budget import BodyBudget
from heathermount.claims.client import REPLY_VALIDITY_S, AskOwner, ClaimClient
from heathermount.claims.keys import (
    PARTITIONS_PER_SERVICE,
    get_partition_name,
    make_claim_key,
    parse_issued_at,
)
from heathermount.claims.table import (
    MAX_CLOCK_SKEW_S,
    MAX_HELD_RESPONSE_BYTES,
    ClaimTable,
)

__all__ = [
    "MAX_CLOCK_SKEW_S",
    "MAX_HELD_RESPONSE_BYTES",
    "PARTITIONS_PER_SERVICE",
    "REPLY_VALIDITY_S",
    "AskOwner",
    "BodyBudget",
    "ClaimClient",
    "ClaimTable",
    "get_partition_name",
    "make_claim_key",
    "parse_issued_at",
]
