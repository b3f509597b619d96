"""Rates and bursts of organisations, divided over the nodes of the fleet."""

import math
from collections.abc import Awaitable, Callable, Sequence
from hashlib import blake2b
from typing import Final

from heathermount.clocks import Clock
from heathermount.errors import PeerError
from heathermount.gateway.configuration_document import OrganisationEntry
from heathermount.gateway.messages import TokenGrant, TokenRequest
from heathermount.gateway.refusals import make_refusal
from heathermount.values import Outcome, Reason

__all__ = ["QuotaShares", "choose_holders"]

# Rate of one share, in requests per second. A node that wrongly counts itself
# as a holder for a moment adds at most one share.
SHARE_RATE: Final = 4.0

# Holders asked for tokens before a request is refused.
MAX_ASKED: Final = 3

# Tokens asked for beyond the one that is needed, in seconds of recent demand.
BATCH_S: Final = 0.2
MAX_BATCH: Final = 20

# Tokens fetched from other nodes are dropped after this time, in seconds, so
# that they do not add to the burst later.
PURSE_S: Final = 0.5

# Wait suggested when no holder can be asked, in seconds.
UNKNOWN_WAIT_S: Final = 1.0
MIN_WAIT_S: Final = 0.05

# Longest time for which a share accrues before its first use, in seconds. Later
# the node may have taken the share over from another holder.
ACCRUAL_S: Final = 1.0

# Longest wait that is suggested, in seconds: clients have a few seconds in all.
MAX_WAIT_S: Final = 2.0

AskHolder = Callable[[str, TokenRequest], Awaitable[TokenGrant]]


def choose_holders(organisation: OrganisationEntry, nodes: Sequence[str]) -> list[str]:
    """Return the nodes that hold shares of an organisation's limits.

    Rendezvous hash: all nodes with the same view choose the same holders.
    """
    count = max(1, math.ceil(organisation.rate / SHARE_RATE))
    if count >= len(nodes):
        return sorted(nodes)
    name = organisation.name.encode()
    return sorted(
        nodes, key=lambda n: blake2b(name + b"/" + n.encode(), digest_size=8).digest()
    )[:count]


class ShareBucket:
    """Token bucket of this node's share of one organisation."""

    __slots__ = ("capacity", "filled_at", "level", "rate")

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.filled_at = now

    def fill(self, now: float) -> None:
        accrued = max(0.0, now - self.filled_at) * self.rate
        self.level = min(self.capacity, self.level + accrued)
        self.filled_at = now

    def resize(self, rate: float, capacity: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def wait_s(self) -> float:
        """Return the seconds until one token is there."""
        if self.rate <= 0.0:
            return UNKNOWN_WAIT_S
        return max(0.0, (1.0 - self.level) / self.rate)


class Demand:
    """Requests per second of one organisation at this node, averaged."""

    __slots__ = (
        "_count",
        "_refused",
        "_refused_at",
        "_updated_at",
        "empty_until",
        "fetched",
        "fetched_at",
    )

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated_at = now
        self._refused = 0.0
        self._refused_at = now
        # Times until which holders had nothing to lend, by what they said.
        self.empty_until: dict[str, float] = {}
        # Tokens from other nodes that are still valid, and when they came.
        self.fetched = 0
        self.fetched_at = now

    def add(self, now: float) -> None:
        self._count = self._count * math.exp(self._updated_at - now) + 1.0
        self._updated_at = now

    def refuse(self, now: float) -> float:
        """Count a refusal; return the recent ones, decayed over a second."""
        self._refused = self._refused * math.exp(self._refused_at - now) + 1.0
        self._refused_at = now
        return self._refused

    def batch(self) -> int:
        return min(MAX_BATCH, 1 + int(self._count * BATCH_S))

    def rank_holders(self, holders: list[str], own: str, now: float) -> list[str]:
        """Return the holders to ask: those that may have tokens, longest first."""
        empty_until = self.empty_until
        willing = [
            holder
            for holder in holders
            if holder != own and empty_until.get(holder, 0.0) <= now
        ]
        # Holders that were never asked come first; nodes begin at different ones.
        willing.sort(key=lambda h: (empty_until.get(h, 0.0), hash((own, h))))
        return willing[:MAX_ASKED]

    def take_fetched(self, now: float) -> bool:
        if now - self.fetched_at > PURSE_S:
            self.fetched = 0
        if self.fetched < 1:
            return False
        self.fetched -= 1
        return True


class QuotaShares:
    """Spends and lends tokens of this node's shares.

    Each token is made at one node, so that all nodes together never exceed an
    organisation's limits while they agree on the holders. A node that starts
    while the fleet runs begins with empty shares, because its last incarnation
    may have spent them.
    """

    __slots__ = (
        "_ask",
        "_buckets",
        "_clock",
        "_demands",
        "_divided",
        "_full",
        "_holders",
        "_node",
        "_nodes",
        "_started_at",
    )

    def __init__(self, node: str, clock: Clock, ask: AskHolder, full: bool) -> None:
        self._node = node
        self._clock = clock
        self._ask = ask
        # Whether new shares start full: only when the whole fleet starts.
        self._full = full
        self._started_at = clock.monotonic()
        # Organisations of which this node has held a share.
        self._divided: set[str] = set()
        self._nodes: list[str] = [node]
        self._holders: dict[str, tuple[OrganisationEntry, list[str]]] = {}
        self._buckets: dict[str, ShareBucket] = {}
        self._demands: dict[str, Demand] = {}

    def update_nodes(self, nodes: Sequence[str]) -> None:
        """Divide the limits anew over these nodes."""
        if sorted(nodes) != self._nodes:
            self._nodes = sorted(nodes)
            self._holders.clear()

    def start_empty(self) -> None:
        """Let shares that this node takes from now on start without tokens."""
        self._full = False

    def count_holders(self, organisation: str) -> int:
        """Return among how many nodes an organisation's limits are divided."""
        known = self._holders.get(organisation)
        return len(known[1]) if known is not None else 0

    async def acquire(
        self, organisation: OrganisationEntry, longest_wait_s: float = MAX_WAIT_S
    ) -> None:
        """Spend one token; raise Refusal when there is none.

        The refusal suggests a wait of at most `longest_wait_s` seconds.
        """
        if organisation.rate <= 0.0:
            return
        now = self._clock.monotonic()
        name = organisation.name
        demand = self._demands.get(name)
        if demand is None:
            demand = self._demands[name] = Demand(now)
        demand.add(now)
        if demand.take_fetched(now):
            return
        bucket, holders = self._open(organisation, now)
        if bucket is not None and bucket.level >= 1.0:
            bucket.level -= 1.0
            return
        wait_s = bucket.wait_s() if bucket is not None else UNKNOWN_WAIT_S
        wait_s = min(wait_s, await self._fetch(name, demand, holders))
        if demand.take_fetched(self._clock.monotonic()):
            return
        wait_s = max(wait_s, self._expect_wait(organisation, demand))
        wait_s = max(MIN_WAIT_S, min(wait_s, longest_wait_s))
        raise make_refusal(Reason.OVER_RATE, Outcome.NOT_RUN, wait_s)

    def _expect_wait(self, organisation: OrganisationEntry, demand: Demand) -> float:
        """Return when this node could serve those that it refused lately.

        Answers an organisation that sends more than its rate: clients that all
        came back for the next token would mostly be refused again.
        """
        own_rate = organisation.rate / len(self._nodes)
        refused = demand.refuse(self._clock.monotonic())
        # A single refusal means a short gap, which the next token closes.
        return min(MAX_WAIT_S, (refused - 1.0) / own_rate)

    def give_back(self, organisation: OrganisationEntry) -> None:
        """Return the token of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        demand = self._demands.get(organisation.name)
        if bucket is not None:
            bucket.level = min(bucket.capacity, bucket.level + 1.0)
        elif demand is not None:
            demand.fetched += 1

    def lend(self, organisation: OrganisationEntry, amount: int) -> TokenGrant:
        """Give tokens to another node: at most half of what is here, or one."""
        bucket, _ = self._open(organisation, self._clock.monotonic())
        if bucket is None:
            return TokenGrant(0, UNKNOWN_WAIT_S)
        granted = min(amount, max(int(bucket.level / 2), int(bucket.level >= 1.0)))
        bucket.level -= granted
        return TokenGrant(granted, bucket.wait_s(), bucket.level)

    async def _fetch(self, name: str, demand: Demand, holders: list[str]) -> float:
        """Ask other holders for tokens; return the shortest wait they state."""
        wait_s = UNKNOWN_WAIT_S
        for holder in demand.rank_holders(holders, self._node, self._clock.monotonic()):
            try:
                grant = await self._ask(holder, TokenRequest(name, demand.batch()))
            except PeerError:
                # A holder that cannot be reached lends nothing; ask the next one.
                demand.empty_until[holder] = self._clock.monotonic() + UNKNOWN_WAIT_S
                continue
            wait_s = min(wait_s, grant.retry_after_s)
            if grant.level < 1.0:
                again_at = self._clock.monotonic() + grant.retry_after_s
                demand.empty_until[holder] = again_at
            if grant.amount > 0:
                demand.fetched += grant.amount
                demand.fetched_at = self._clock.monotonic()
                return 0.0
        return wait_s

    def _open(
        self, organisation: OrganisationEntry, now: float
    ) -> tuple[ShareBucket | None, list[str]]:
        """Return this node's filled bucket, if it is a holder, and all holders."""
        name = organisation.name
        known = self._holders.get(name)
        if known is None or known[0] is not organisation:
            known = (organisation, choose_holders(organisation, self._nodes))
            self._holders[name] = known
            self._divide(organisation, known[1], now)
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.fill(now)
        return bucket, known[1]

    def _accrue(self, name: str, rate: float, now: float) -> float:
        """Return what a new share holds: what came in since this node started.

        An earlier incarnation of this node spends nothing any more. A share that
        comes from another holder starts empty, because that one may still spend.
        """
        if name in self._divided:
            return 0.0
        return rate * min(ACCRUAL_S, now - self._started_at)

    def _divide(
        self, organisation: OrganisationEntry, holders: list[str], now: float
    ) -> None:
        name = organisation.name
        if self._node not in holders:
            self._buckets.pop(name, None)
            return
        rate = organisation.rate / len(holders)
        capacity = max(1.0, organisation.burst / len(holders))
        bucket = self._buckets.get(name)
        if bucket is None:
            level = capacity if self._full else self._accrue(name, rate, now)
            self._buckets[name] = ShareBucket(rate, capacity, level, now)
            self._divided.add(name)
            return
        bucket.fill(now)
        bucket.resize(rate, capacity)
