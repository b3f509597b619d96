"""At-most-once execution: one call may run for each idempotency key."""

from heathermount.claims.bodies import BodyBudget
from heathermount.claims.client import VALIDITY_S, AskOwner, ClaimClient
from heathermount.claims.keys import SLOTS, issued_at_of, make_claim_key, partition_of
from heathermount.claims.table import MAX_ANSWER_BYTES, SKEW_S, ClaimTable

__all__ = [
    "MAX_ANSWER_BYTES",
    "SKEW_S",
    "SLOTS",
    "VALIDITY_S",
    "AskOwner",
    "BodyBudget",
    "ClaimClient",
    "ClaimTable",
    "issued_at_of",
    "make_claim_key",
    "partition_of",
]
