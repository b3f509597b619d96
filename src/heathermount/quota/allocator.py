"""Owner side of rate limits: the token buckets of one partition."""

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from heathermount.clocks import Clock
from heathermount.invariants import Invariants
from heathermount.ownership import Partition
from heathermount.quota.shares import (
    Allotment,
    Share,
    divide_allotment,
    select_share_domains,
)
from heathermount.wire.messages import TokenGrant, TokenReply, TokenRequest

__all__ = ["Allocator"]

# Suggested wait when the organisation has no allotment, when this allocator's domain
# holds no share of it, or when the bucket does not refill.
NO_SHARE_RETRY_AFTER_S: Final = 1.0
# Bucket levels are floating point sums: a level this little below a whole number
# counts as that number.
MAX_ROUNDING_ERROR_TOKENS: Final = 1e-9


class SavedBuckets(msgspec.Struct, array_like=True):
    """State that an allocator hands over to the partition's next owner.

    `levels` holds the tokens in each organisation's bucket. `empty_start_age_s` is
    the time since an allocator of this partition last started with empty buckets,
    or None if the buckets started full.
    """

    levels: dict[str, float]
    empty_start_age_s: float | None


class Bucket:
    """Token bucket of one organisation; `level` is the number of tokens in it."""

    __slots__ = (
        "level",
        "refilled_at",
        "share",
    )

    def __init__(self, share: Share, level: float, now: float) -> None:
        self.share = share
        self.level = min(level, share.capacity)
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill, up to the capacity."""
        accrued = max(0.0, now - self.refilled_at) * self.share.rate
        self.level = min(self.share.capacity, self.level + accrued)
        self.refilled_at = max(now, self.refilled_at)

    def update_share(self, share: Share) -> None:
        """Replace the share; a larger capacity does not raise the level at once."""
        self.share = share
        self.level = min(self.level, share.capacity)


class Allocator:
    """Grants tokens to the organisations of one partition.

    After a takeover without the previous owner's state every bucket starts empty,
    because the previous owner may have granted all its tokens just before.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_domain",
        "_invariants",
        "_started_empty_at",
        "partition",
    )

    def __init__(
        self, partition: Partition, clock: Clock, invariants: Invariants
    ) -> None:
        self.partition = partition
        self._domain = partition.name.split("/")[1]
        self._clock = clock
        self._invariants = invariants
        self._buckets: dict[str, Bucket] = {}
        self._started_empty_at: float | None = None
        if not partition.has_complete_state:
            self._started_empty_at = clock.monotonic()

    def answer(
        self,
        request: TokenRequest,
        find_allotment: Callable[[str], Allotment | None],
        domains: Sequence[str],
    ) -> TokenReply:
        """Answer a node's token request; `domains` are the declared failure domains."""
        if not self.partition.may_decide():
            return TokenReply(owned=False, grants=[])
        grants = []
        for demand in request.demands:
            allotment = find_allotment(demand.organisation)
            if allotment is None:
                grants.append(
                    TokenGrant(demand.organisation, 0, 0.0, NO_SHARE_RETRY_AFTER_S)
                )
                continue
            grants.append(
                self.grant(demand.organisation, demand.amount, allotment, domains)
            )
        return TokenReply(owned=True, grants=grants)

    def grant(
        self,
        organisation: str,
        wanted: int,
        allotment: Allotment,
        domains: Sequence[str],
    ) -> TokenGrant:
        """Take up to `wanted` tokens from the bucket and return the grant.

        Grants no tokens if this process does not own the partition now, or if the
        partition's failure domain has no share of the allotment.
        """
        empty_grant = TokenGrant(organisation, 0, 0.0, NO_SHARE_RETRY_AFTER_S)
        if not self.partition.may_decide():
            return empty_grant
        share_holders = select_share_domains(organisation, allotment, domains)
        if self._domain not in share_holders:
            self._reset_bucket(organisation)
            return empty_grant
        share = divide_allotment(allotment, len(share_holders))
        bucket = self._get_bucket(organisation, share)
        available = bucket.level
        amount = max(0, min(wanted, int(available + MAX_ROUNDING_ERROR_TOKENS)))
        bucket.level = available - amount
        self._invariants.check(
            0 <= amount <= available + MAX_ROUNDING_ERROR_TOKENS
            and available <= share.capacity,
            "grant-within-bucket",
            organisation=organisation,
        )
        return TokenGrant(
            organisation, amount, share.validity_s, compute_token_wait_s(bucket)
        )

    def _get_bucket(self, organisation: str, share: Share) -> Bucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = self._buckets[organisation] = self._create_bucket(share, now)
        bucket.refill(now)
        if bucket.share != share:
            bucket.update_share(share)
        return bucket

    def _create_bucket(self, share: Share, now: float) -> Bucket:
        if self._started_empty_at is None:
            return Bucket(share, share.capacity, now)
        return Bucket(share, (now - self._started_empty_at) * share.rate, now)

    def _reset_bucket(self, organisation: str) -> None:
        """Empty the bucket, so that a share given to this domain later starts empty."""
        now = self._clock.monotonic()
        self._buckets[organisation] = Bucket(Share(0.0, 0.0, 0.0), 0.0, now)

    def dump(self) -> bytes:
        """Return the encoded state for the next owner."""
        now = self._clock.monotonic()
        for bucket in self._buckets.values():
            bucket.refill(now)
        levels = {name: bucket.level for name, bucket in self._buckets.items()}
        age_s = None if self._started_empty_at is None else now - self._started_empty_at
        return msgspec.msgpack.encode(SavedBuckets(levels, age_s))

    def load(self, state: bytes) -> None:
        """Restore the bucket levels that the previous owner dumped.

        No tokens accrue for the duration of the handover.
        """
        saved = msgspec.msgpack.decode(state, type=SavedBuckets)
        now = self._clock.monotonic()
        if saved.empty_start_age_s is not None:
            self._started_empty_at = now - saved.empty_start_age_s
        for organisation, level in saved.levels.items():
            share = Share(max(level, 0.0), 0.0, 0.0)
            self._buckets[organisation] = Bucket(share, level, now)


def compute_token_wait_s(bucket: Bucket) -> float:
    """Return the time until the bucket holds one token, in seconds."""
    missing = 1.0 - bucket.level
    if missing <= MAX_ROUNDING_ERROR_TOKENS:
        return 0.0
    if bucket.share.rate <= 0:
        return NO_SHARE_RETRY_AFTER_S
    return missing / bucket.share.rate
