"""Spender side of rate limits: granted tokens that a node holds for a short time."""

import math
from collections import deque
from typing import Final

import msgspec

from heathermount.clocks import Clock
from heathermount.invariants import Invariants
from heathermount.wire.messages import TokenGrant

__all__ = ["Token", "TokenCache"]

# Time constant of the exponentially decaying average of the demand.
DEMAND_AVERAGING_S: Final = 0.3
# A batch covers the demand of this part of a token's lifetime, so that few tokens
# expire unspent.
BATCH_VALIDITY_RATIO: Final = 0.25
MAX_BATCH_DURATION_S: Final = 0.25
# Token lifetime assumed before the first grant.
DEFAULT_VALIDITY_S: Final = 0.2
# A batch is prefetched when the held tokens cover the demand for less than this:
# one round trip to an allocator in the same failure domain, with some queueing.
PREFETCH_MARGIN_S: Final = 0.02
MAX_BATCH_TOKENS: Final = 10_000


class Token(msgspec.Struct, frozen=True, array_like=True):
    """Permission for one root request until `expires_at` (monotonic)."""

    organisation: str
    expires_at: float


class Demand:
    """Request rate of one organisation, as an exponentially decaying average."""

    __slots__ = ("_count", "_updated_at")

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_at = now

    def add(self, now: float) -> None:
        self._count = self._compute_count(now) + 1.0
        self._updated_at = now

    def compute_rate(self, now: float) -> float:
        return self._compute_count(now) / DEMAND_AVERAGING_S

    def _compute_count(self, now: float) -> float:
        return self._count * math.exp((self._updated_at - now) / DEMAND_AVERAGING_S)


class OrganisationTokens:
    """Token batches of one organisation, ordered by expiry."""

    __slots__ = ("batches", "demand", "validity_s")

    def __init__(self, now: float) -> None:
        # Pairs of expiry time (monotonic) and number of tokens.
        self.batches: deque[tuple[float, int]] = deque()
        self.demand = Demand(now)
        self.validity_s = DEFAULT_VALIDITY_S

    def drop_expired(self, now: float) -> int:
        """Remove expired tokens and return their number."""
        expired = 0
        while self.batches and self.batches[0][0] <= now:
            expired += self.batches.popleft()[1]
        return expired

    def add_batch(self, expires_at: float, amount: int) -> None:
        later = []
        while self.batches and self.batches[-1][0] > expires_at:
            later.append(self.batches.pop())
        self.batches.append((expires_at, amount))
        self.batches.extend(reversed(later))

    def pop_token(self) -> float:
        expires_at, amount = self.batches.popleft()
        if amount > 1:
            self.batches.appendleft((expires_at, amount - 1))
        return expires_at

    def count_held(self) -> int:
        return sum(amount for _, amount in self.batches)

    def compute_batch_duration_s(self) -> float:
        return min(MAX_BATCH_DURATION_S, self.validity_s * BATCH_VALIDITY_RATIO)


class TokenCache:
    """Unspent tokens of one node, by organisation."""

    __slots__ = ("_clock", "_invariants", "_tokens", "expired", "spent")

    def __init__(self, clock: Clock, invariants: Invariants) -> None:
        self._clock = clock
        self._invariants = invariants
        self._tokens: dict[str, OrganisationTokens] = {}
        # Totals for metrics.
        self.spent = 0
        self.expired = 0

    def _get_unexpired(self, organisation: str, now: float) -> OrganisationTokens:
        tokens = self._tokens.get(organisation)
        if tokens is None:
            tokens = self._tokens[organisation] = OrganisationTokens(now)
        self.expired += tokens.drop_expired(now)
        return tokens

    def take(self, organisation: str) -> Token | None:
        """Record a new request and spend a token for it; None if no token is held."""
        now = self._clock.monotonic()
        self._get_unexpired(organisation, now).demand.add(now)
        return self.take_for_waiter(organisation)

    def record_demand(self, organisation: str) -> None:
        """Record a new request that queues behind others and takes no token yet."""
        now = self._clock.monotonic()
        self._get_unexpired(organisation, now).demand.add(now)

    def take_for_waiter(self, organisation: str) -> Token | None:
        """Spend a token for a request whose demand is already recorded."""
        now = self._clock.monotonic()
        tokens = self._get_unexpired(organisation, now)
        if not tokens.batches:
            return None
        token = Token(organisation, tokens.pop_token())
        valid = token.expires_at > now
        self._invariants.check(valid, "token-not-expired", organisation=organisation)
        if not valid:
            return None
        self.spent += 1
        return token

    def give_back(self, token: Token) -> None:
        """Put back the token of a request that did not run, with its old expiry."""
        now = self._clock.monotonic()
        self.spent -= 1
        if token.expires_at <= now:
            self.expired += 1
            return
        self._get_unexpired(token.organisation, now).add_batch(token.expires_at, 1)

    def add_grant(self, grant: TokenGrant, requested_at: float) -> None:
        """Add granted tokens; their lifetime counts from the time of the request."""
        now = self._clock.monotonic()
        tokens = self._get_unexpired(grant.organisation, now)
        if grant.validity_s > 0:
            tokens.validity_s = grant.validity_s
        if grant.amount <= 0:
            return
        expires_at = requested_at + grant.validity_s
        if expires_at <= now:
            self.expired += grant.amount
            return
        tokens.add_batch(expires_at, grant.amount)

    def count_held(self, organisation: str) -> int:
        """Return the number of unexpired tokens."""
        return self._get_unexpired(organisation, self._clock.monotonic()).count_held()

    def count_wanted(self, organisation: str) -> int:
        """Return how many tokens to request, at least 1."""
        now = self._clock.monotonic()
        tokens = self._get_unexpired(organisation, now)
        batch_tokens = (
            tokens.demand.compute_rate(now) * tokens.compute_batch_duration_s()
        )
        return max(
            1, min(MAX_BATCH_TOKENS, math.floor(batch_tokens) - tokens.count_held())
        )

    def needs_prefetch(self, organisation: str) -> bool:
        """Tell whether to request a batch before the held tokens are used up.

        False at low rates, where a batch is a single token that would often expire.
        """
        now = self._clock.monotonic()
        tokens = self._get_unexpired(organisation, now)
        rate = tokens.demand.compute_rate(now)
        if rate * tokens.compute_batch_duration_s() < 2:
            return False
        return tokens.count_held() <= rate * PREFETCH_MARGIN_S
