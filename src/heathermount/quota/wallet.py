"""Spender side of rate limits: tokens that a node holds for a short time."""

import math
from collections import deque
from typing import Final

import msgspec

from heathermount.clocks import Clock
from heathermount.invariants import Invariants
from heathermount.wire.messages import TokenGrant

__all__ = ["Token", "Wallet"]

# Demand is averaged over about this time.
DEMAND_S: Final = 0.3
# A batch covers this part of a token's lifetime, so that few tokens expire.
BATCH_SHARE: Final = 0.25
MAX_BATCH_S: Final = 0.25
# Lifetime assumed before the first grant.
DEFAULT_VALIDITY_S: Final = 0.2
# More tokens are fetched when the held ones last shorter than one round trip
# to an allocator in the same failure domain with some queueing.
PREFETCH_S: Final = 0.02
MAX_BATCH: Final = 10_000


class Token(msgspec.Struct, frozen=True, array_like=True):
    """Permission for one root request; spend it before `expires_at` (monotonic)."""

    organisation: str
    expires_at: float


class Demand:
    """Requests per second of one organisation, decaying over time."""

    __slots__ = ("_count", "_updated_at")

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_at = now

    def add(self, now: float) -> None:
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def rate(self, now: float) -> float:
        return self._decayed(now) / DEMAND_S

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._updated_at - now) / DEMAND_S)


class Purse:
    """Batches of tokens of one organisation, the first to expire first."""

    __slots__ = ("batches", "demand", "validity_s")

    def __init__(self, now: float) -> None:
        # Pairs of expiry and number of tokens.
        self.batches: deque[tuple[float, int]] = deque()
        self.demand = Demand(now)
        self.validity_s = DEFAULT_VALIDITY_S

    def drop_expired(self, now: float) -> int:
        """Remove tokens that can no longer be spent; return their number."""
        expired = 0
        while self.batches and self.batches[0][0] <= now:
            expired += self.batches.popleft()[1]
        return expired

    def insert(self, expires_at: float, amount: int) -> None:
        later = []
        while self.batches and self.batches[-1][0] > expires_at:
            later.append(self.batches.pop())
        self.batches.append((expires_at, amount))
        self.batches.extend(reversed(later))

    def pop(self) -> float:
        expires_at, amount = self.batches.popleft()
        if amount > 1:
            self.batches.appendleft((expires_at, amount - 1))
        return expires_at

    def held(self) -> int:
        return sum(amount for _, amount in self.batches)

    def batch_s(self) -> float:
        return min(MAX_BATCH_S, self.validity_s * BATCH_SHARE)


class Wallet:
    """Tokens of one node, by organisation."""

    __slots__ = ("_clock", "_invariants", "_purses", "expired", "spent")

    def __init__(self, clock: Clock, invariants: Invariants) -> None:
        self._clock = clock
        self._invariants = invariants
        self._purses: dict[str, Purse] = {}
        # Totals for metrics.
        self.spent = 0
        self.expired = 0

    def _open(self, organisation: str, now: float) -> Purse:
        purse = self._purses.get(organisation)
        if purse is None:
            purse = self._purses[organisation] = Purse(now)
        self.expired += purse.drop_expired(now)
        return purse

    def take(self, organisation: str) -> Token | None:
        """Spend a token for a new request; None when none is held."""
        now = self._clock.monotonic()
        self._open(organisation, now).demand.add(now)
        return self.take_waiting(organisation)

    def note_demand(self, organisation: str) -> None:
        """Count a request that waits behind others."""
        now = self._clock.monotonic()
        self._open(organisation, now).demand.add(now)

    def take_waiting(self, organisation: str) -> Token | None:
        """Spend a token for a request whose demand is already counted."""
        now = self._clock.monotonic()
        purse = self._open(organisation, now)
        if not purse.batches:
            return None
        token = Token(organisation, purse.pop())
        valid = token.expires_at > now
        self._invariants.check(valid, "token-not-expired", organisation=organisation)
        if not valid:
            return None
        self.spent += 1
        return token

    def give_back(self, token: Token) -> None:
        """Return the token of a request that did not run; its expiry stays."""
        now = self._clock.monotonic()
        self.spent -= 1
        if token.expires_at <= now:
            self.expired += 1
            return
        self._open(token.organisation, now).insert(token.expires_at, 1)

    def deposit(self, grant: TokenGrant, asked_at: float) -> None:
        """Add granted tokens; their lifetime counts from when they were asked for."""
        now = self._clock.monotonic()
        purse = self._open(grant.organisation, now)
        if grant.validity_s > 0:
            purse.validity_s = grant.validity_s
        if grant.amount <= 0:
            return
        expires_at = asked_at + grant.validity_s
        if expires_at <= now:
            self.expired += grant.amount
            return
        purse.insert(expires_at, grant.amount)

    def held(self, organisation: str) -> int:
        """Return the number of valid tokens held."""
        return self._open(organisation, self._clock.monotonic()).held()

    def wanted(self, organisation: str) -> int:
        """Return how many tokens to ask for, at least 1."""
        now = self._clock.monotonic()
        purse = self._open(organisation, now)
        target = purse.demand.rate(now) * purse.batch_s()
        return max(1, min(MAX_BATCH, math.floor(target) - purse.held()))

    def low(self, organisation: str) -> bool:
        """Tell whether to fetch a batch before the held tokens are used up.

        False at low rates, where a batch is one token and would often expire.
        """
        now = self._clock.monotonic()
        purse = self._open(organisation, now)
        rate = purse.demand.rate(now)
        if rate * purse.batch_s() < 2:
            return False
        return purse.held() <= rate * PREFETCH_S
