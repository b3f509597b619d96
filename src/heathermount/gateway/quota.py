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
SHARE_RATE_PER_S: Final = 4.0

# Holders asked for tokens before a request is refused.
MAX_HOLDERS_ASKED: Final = 3

# Tokens asked for beyond the one that is needed, in seconds of recent demand.
BATCH_DEMAND_S: Final = 0.2
MAX_BATCH_TOKENS: Final = 20

# Tokens fetched from other nodes are dropped after this time, in seconds, so
# that they do not add to the burst later.
FETCHED_TOKEN_TTL_S: Final = 0.5

# Wait suggested when no holder can be asked, in seconds.
DEFAULT_RETRY_AFTER_S: Final = 1.0
MIN_RETRY_AFTER_S: Final = 0.05

# Longest time for which a share accrues before its first use, in seconds. Later
# the node may have taken the share over from another holder.
MAX_INITIAL_ACCRUAL_S: Final = 1.0

# Longest wait that is suggested, in seconds: clients have a few seconds in all.
MAX_RETRY_AFTER_S: Final = 2.0

RequestTokens = Callable[[str, TokenRequest], Awaitable[TokenGrant]]


def choose_holders(organisation: OrganisationEntry, nodes: Sequence[str]) -> list[str]:
    """Return the nodes that hold shares of an organisation's limits.

    Rendezvous hash: all nodes with the same view choose the same holders.
    """
    count = max(1, math.ceil(organisation.rate / SHARE_RATE_PER_S))
    if count >= len(nodes):
        return sorted(nodes)
    name = organisation.name.encode()
    return sorted(
        nodes, key=lambda n: blake2b(name + b"/" + n.encode(), digest_size=8).digest()
    )[:count]


class TokenBucket:
    """Token bucket of this node's share of one organisation."""

    __slots__ = ("capacity", "refilled_at", "level", "rate")

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.refilled_at = now

    def refill(self, now: float) -> None:
        accrued = max(0.0, now - self.refilled_at) * self.rate
        self.level = min(self.capacity, self.level + accrued)
        self.refilled_at = now

    def resize(self, rate: float, capacity: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def time_to_token_s(self) -> float:
        """Return the seconds until one token is there."""
        if self.rate <= 0.0:
            return DEFAULT_RETRY_AFTER_S
        return max(0.0, (1.0 - self.level) / self.rate)


class OrganisationDemand:
    """Requests per second of one organisation at this node, averaged."""

    __slots__ = (
        "_recent_requests",
        "_recent_refusals",
        "_last_refusal_at",
        "_last_request_at",
        "empty_until",
        "fetched_tokens",
        "fetched_at",
    )

    def __init__(self, now: float) -> None:
        self._recent_requests = 0.0
        self._last_request_at = now
        self._recent_refusals = 0.0
        self._last_refusal_at = now
        # Times until which holders had nothing to lend, by what they said.
        self.empty_until: dict[str, float] = {}
        # Tokens from other nodes that are still valid, and when they came.
        self.fetched_tokens = 0
        self.fetched_at = now

    def record_request(self, now: float) -> None:
        self._recent_requests = (
            self._recent_requests * math.exp(self._last_request_at - now) + 1.0
        )
        self._last_request_at = now

    def record_refusal(self, now: float) -> float:
        """Count a refusal; return the recent ones, decayed over a second."""
        self._recent_refusals = (
            self._recent_refusals * math.exp(self._last_refusal_at - now) + 1.0
        )
        self._last_refusal_at = now
        return self._recent_refusals

    def choose_batch_size(self) -> int:
        return min(MAX_BATCH_TOKENS, 1 + int(self._recent_requests * BATCH_DEMAND_S))

    def rank_holders(self, holders: list[str], own: str, now: float) -> list[str]:
        """Return the holders to ask: those that may have tokens, longest first."""
        empty_until = self.empty_until
        candidates = [
            holder
            for holder in holders
            if holder != own and empty_until.get(holder, 0.0) <= now
        ]
        # Holders that were never asked come first; nodes begin at different ones.
        candidates.sort(key=lambda h: (empty_until.get(h, 0.0), hash((own, h))))
        return candidates[:MAX_HOLDERS_ASKED]

    def spend_fetched_token(self, now: float) -> bool:
        if now - self.fetched_at > FETCHED_TOKEN_TTL_S:
            self.fetched_tokens = 0
        if self.fetched_tokens < 1:
            return False
        self.fetched_tokens -= 1
        return True


class QuotaShares:
    """Spends and lends tokens of this node's shares.

    Each token is made at one node, so that all nodes together never exceed an
    organisation's limits while they agree on the holders. A node that starts
    while the fleet runs begins with empty shares, because its last incarnation
    may have spent them.
    """

    __slots__ = (
        "_request_tokens",
        "_buckets",
        "_clock",
        "_demands",
        "_held_before",
        "_start_full",
        "_holders",
        "_node",
        "_nodes",
        "_started_at",
    )

    def __init__(
        self, node: str, clock: Clock, request_tokens: RequestTokens, start_full: bool
    ) -> None:
        self._node = node
        self._clock = clock
        self._request_tokens = request_tokens
        # Whether new shares start full: only when the whole fleet starts.
        self._start_full = start_full
        self._started_at = clock.monotonic()
        # Organisations of which this node has held a share.
        self._held_before: set[str] = set()
        self._nodes: list[str] = [node]
        self._holders: dict[str, tuple[OrganisationEntry, list[str]]] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._demands: dict[str, OrganisationDemand] = {}

    def update_nodes(self, nodes: Sequence[str]) -> None:
        """Divide the limits anew over these nodes."""
        if sorted(nodes) != self._nodes:
            self._nodes = sorted(nodes)
            self._holders.clear()

    def start_new_shares_empty(self) -> None:
        """Let shares that this node takes from now on start without tokens."""
        self._start_full = False

    def count_holders(self, organisation: str) -> int:
        """Return among how many nodes an organisation's limits are divided."""
        cached = self._holders.get(organisation)
        return len(cached[1]) if cached is not None else 0

    async def acquire(
        self, organisation: OrganisationEntry, longest_wait_s: float = MAX_RETRY_AFTER_S
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
            demand = self._demands[name] = OrganisationDemand(now)
        demand.record_request(now)
        if demand.spend_fetched_token(now):
            return
        bucket, holders = self._refresh_share(organisation, now)
        if bucket is not None and bucket.level >= 1.0:
            bucket.level -= 1.0
            return
        wait_s = (
            bucket.time_to_token_s() if bucket is not None else DEFAULT_RETRY_AFTER_S
        )
        wait_s = min(wait_s, await self._fetch_tokens(name, demand, holders))
        if demand.spend_fetched_token(self._clock.monotonic()):
            return
        wait_s = max(wait_s, self._estimate_backlog_wait(organisation, demand))
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, longest_wait_s))
        raise make_refusal(Reason.OVER_RATE, Outcome.NOT_RUN, wait_s)

    def _estimate_backlog_wait(
        self, organisation: OrganisationEntry, demand: OrganisationDemand
    ) -> float:
        """Return when this node could serve those that it refused lately.

        Answers an organisation that sends more than its rate: clients that all
        came back for the next token would mostly be refused again.
        """
        own_rate = organisation.rate / len(self._nodes)
        refused = demand.record_refusal(self._clock.monotonic())
        # A single refusal means a short gap, which the next token closes.
        return min(MAX_RETRY_AFTER_S, (refused - 1.0) / own_rate)

    def refund(self, organisation: OrganisationEntry) -> None:
        """Return the token of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        demand = self._demands.get(organisation.name)
        if bucket is not None:
            bucket.level = min(bucket.capacity, bucket.level + 1.0)
        elif demand is not None:
            demand.fetched_tokens += 1

    def grant_tokens(self, organisation: OrganisationEntry, amount: int) -> TokenGrant:
        """Give tokens to another node: at most half of what is here, or one."""
        bucket, _ = self._refresh_share(organisation, self._clock.monotonic())
        if bucket is None:
            return TokenGrant(0, DEFAULT_RETRY_AFTER_S)
        granted = min(amount, max(int(bucket.level / 2), int(bucket.level >= 1.0)))
        bucket.level -= granted
        return TokenGrant(granted, bucket.time_to_token_s(), bucket.level)

    async def _fetch_tokens(
        self, name: str, demand: OrganisationDemand, holders: list[str]
    ) -> float:
        """Ask other holders for tokens; return the shortest wait they state."""
        wait_s = DEFAULT_RETRY_AFTER_S
        for holder in demand.rank_holders(holders, self._node, self._clock.monotonic()):
            try:
                grant = await self._request_tokens(
                    holder, TokenRequest(name, demand.choose_batch_size())
                )
            except PeerError:
                # A holder that cannot be reached lends nothing; ask the next one.
                demand.empty_until[holder] = (
                    self._clock.monotonic() + DEFAULT_RETRY_AFTER_S
                )
                continue
            wait_s = min(wait_s, grant.retry_after_s)
            if grant.level < 1.0:
                again_at = self._clock.monotonic() + grant.retry_after_s
                demand.empty_until[holder] = again_at
            if grant.amount > 0:
                demand.fetched_tokens += grant.amount
                demand.fetched_at = self._clock.monotonic()
                return 0.0
        return wait_s

    def _refresh_share(
        self, organisation: OrganisationEntry, now: float
    ) -> tuple[TokenBucket | None, list[str]]:
        """Return this node's filled bucket, if it is a holder, and all holders."""
        name = organisation.name
        cached = self._holders.get(name)
        if cached is None or cached[0] is not organisation:
            cached = (organisation, choose_holders(organisation, self._nodes))
            self._holders[name] = cached
            self._resize_share(organisation, cached[1], now)
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.refill(now)
        return bucket, cached[1]

    def _compute_initial_tokens(self, name: str, rate: float, now: float) -> float:
        """Return what a new share holds: what came in since this node started.

        An earlier incarnation of this node spends nothing any more. A share that
        comes from another holder starts empty, because that one may still spend.
        """
        if name in self._held_before:
            return 0.0
        return rate * min(MAX_INITIAL_ACCRUAL_S, now - self._started_at)

    def _resize_share(
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
            level = (
                capacity
                if self._start_full
                else self._compute_initial_tokens(name, rate, now)
            )
            self._buckets[name] = TokenBucket(rate, capacity, level, now)
            self._held_before.add(name)
            return
        bucket.refill(now)
        bucket.resize(rate, capacity)
