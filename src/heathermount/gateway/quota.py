"""Distributed rate limits: token buckets of organisations, split over nodes."""

import heapq
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from heathermount.clocks import Clock
from heathermount.errors import PeerError
from heathermount.gateway.configuration_document import OrganisationEntry
from heathermount.gateway.messages import TokenGrant, TokenRequest
from heathermount.gateway.refusals import make_refusal
from heathermount.rendezvous import compute_rank
from heathermount.values import Outcome, Reason

__all__ = ["QuotaShares", "choose_holders"]

# Target rate of one share. A limit has as many holders as it has such shares, but at
# most one per node. A node that briefly considers itself a holder by mistake adds at
# most one share; on the other hand, each share may hold back a part of a token.
SHARE_RATE_PER_S: Final = 20.0

# Holders asked for tokens per request before it is refused.
MAX_HOLDERS_ASKED: Final = 3

# A token request asks for one token, and for the recent demand of this period.
BATCH_DEMAND_S: Final = 0.2
MAX_BATCH_TOKENS: Final = 20

# Tokens fetched from other nodes expire, so that they do not add to a later burst.
FETCHED_TOKEN_TTL_S: Final = 0.5

# Retry-After when no holder is reachable or the rate is zero.
DEFAULT_RETRY_AFTER_S: Final = 1.0
MIN_RETRY_AFTER_S: Final = 0.05

# A new share starts with at most the tokens that accrue in this time. The node may
# have taken the share over from another holder, which may have spent older ones.
MAX_INITIAL_ACCRUAL_S: Final = 0.5

# Time after the fleet's first start in which its nodes find each other. The holders
# of that time start with full shares.
FIRST_START_S: Final = 8.0

# Longest Retry-After, because clients wait only a few seconds in total.
MAX_RETRY_AFTER_S: Final = 2.0

RequestTokens = Callable[[str, TokenRequest], Awaitable[TokenGrant]]


def choose_holders(organisation: OrganisationEntry, nodes: Sequence[str]) -> list[str]:
    """Return the nodes that hold shares of an organisation's limits.

    Rendezvous hashing: all nodes with the same membership view choose the same
    holders.
    """
    count = max(1, math.ceil(organisation.rate / SHARE_RATE_PER_S))
    if count >= len(nodes):
        return sorted(nodes)
    return heapq.nsmallest(
        count, nodes, key=lambda node: compute_rank(organisation.name, node)
    )


class TokenBucket:
    """Token bucket of this node's share of one organisation."""

    __slots__ = (
        "capacity",
        "level",
        "rate",
        "refilled_at",
    )

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
        """Return the seconds until one token is available."""
        if self.rate <= 0.0:
            return DEFAULT_RETRY_AFTER_S
        return max(0.0, (1.0 - self.level) / self.rate)


class OrganisationDemand:
    """Recent demand of one organisation at this node, and tokens fetched for it."""

    __slots__ = (
        "_last_refusal_at",
        "_last_request_at",
        "_recent_refusals",
        "_recent_requests",
        "empty_until",
        "fetched_at",
        "fetched_tokens",
    )

    def __init__(self, now: float) -> None:
        self._recent_requests = 0.0
        self._last_request_at = now
        self._recent_refusals = 0.0
        self._last_refusal_at = now
        # Time until which each holder expects to have no tokens to grant.
        self.empty_until: dict[str, float] = {}
        # Tokens fetched from other nodes, and when the last ones arrived.
        self.fetched_tokens = 0
        self.fetched_at = now

    def record_request(self, now: float) -> None:
        self._recent_requests = (
            self._recent_requests * math.exp(self._last_request_at - now) + 1.0
        )
        self._last_request_at = now

    def record_refusal(self, now: float) -> float:
        """Count a refusal; return recent refusals, decayed over a second."""
        self._recent_refusals = (
            self._recent_refusals * math.exp(self._last_refusal_at - now) + 1.0
        )
        self._last_refusal_at = now
        return self._recent_refusals

    def choose_batch_size(self) -> int:
        return min(MAX_BATCH_TOKENS, 1 + int(self._recent_requests * BATCH_DEMAND_S))

    def rank_holders(self, holders: list[str], own_node: str, now: float) -> list[str]:
        """Return other holders that may have tokens, least recently empty first."""
        empty_until = self.empty_until
        candidates = [
            holder
            for holder in holders
            if holder != own_node and empty_until.get(holder, 0.0) <= now
        ]
        # Holders never found empty come first. The rank spreads nodes over them.
        return heapq.nsmallest(
            MAX_HOLDERS_ASKED,
            candidates,
            key=lambda h: (empty_until.get(h, 0.0), compute_rank(own_node, h)),
        )

    def time_to_token_s(self, holders: list[str], now: float) -> float:
        """Return the time until a holder that was empty expects to have a token."""
        waits = [
            self.empty_until[holder] - now
            for holder in holders
            if self.empty_until.get(holder, 0.0) > now
        ]
        return min(waits, default=DEFAULT_RETRY_AFTER_S)

    def spend_fetched_token(self, now: float) -> bool:
        if now - self.fetched_at > FETCHED_TOKEN_TTL_S:
            self.fetched_tokens = 0
        if self.fetched_tokens < 1:
            return False
        self.fetched_tokens -= 1
        return True


class QuotaShares:
    """Spends this node's shares of token buckets and grants tokens to other nodes.

    Each token is generated at exactly one node, so the nodes together never exceed
    an organisation's limits while they agree on the holders. A node that starts
    while the fleet is running begins with empty shares, because its previous
    incarnation may have spent them. Without a call of `update_nodes` it holds none.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_demands",
        "_first_start",
        "_held_before",
        "_holders",
        "_initial_nodes",
        "_node",
        "_nodes",
        "_request_tokens",
        "_started_at",
    )

    def __init__(
        self, node: str, clock: Clock, request_tokens: RequestTokens, first_start: bool
    ) -> None:
        self._node = node
        self._clock = clock
        self._request_tokens = request_tokens
        self._first_start = first_start
        # Nodes at the first start of the whole fleet; empty if this start is another.
        self._initial_nodes: list[str] = []
        self._started_at = clock.monotonic()
        # Organisations of which this node has held a share before.
        self._held_before: set[str] = set()
        self._nodes: list[str] = []
        self._holders: dict[str, tuple[OrganisationEntry, list[str]]] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._demands: dict[str, OrganisationDemand] = {}

    def update_nodes(self, nodes: Sequence[str]) -> None:
        """Redistribute the limits over the given nodes."""
        if sorted(nodes) != self._nodes:
            self._nodes = sorted(nodes)
            self._holders.clear()
        first_start_age_s = self._clock.monotonic() - self._started_at
        if self._first_start and first_start_age_s < FIRST_START_S:
            self._initial_nodes = self._nodes

    def count_holders(self, organisation: str) -> int:
        """Return the number of nodes that hold shares of an organisation's limits."""
        cached = self._holders.get(organisation)
        return len(cached[1]) if cached is not None else 0

    async def acquire(
        self, organisation: OrganisationEntry, longest_wait_s: float = MAX_RETRY_AFTER_S
    ) -> None:
        """Spend one token; raise Refusal if none is available.

        The refusal's Retry-After is at most `longest_wait_s` seconds.
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
        wait_s = max(wait_s, self._estimate_backlog_wait_s(organisation, demand))
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, longest_wait_s))
        raise make_refusal(Reason.OVER_RATE, Outcome.NOT_RUN, wait_s)

    def _estimate_backlog_wait_s(
        self, organisation: OrganisationEntry, demand: OrganisationDemand
    ) -> float:
        """Return how long this node needs to serve its recent refusals, in seconds.

        If an organisation exceeds its rate and all refused clients retried when the
        next token is available, most of them would be refused again.
        """
        own_rate = organisation.rate / max(1, len(self._nodes))
        refused = demand.record_refusal(self._clock.monotonic())
        # After a single refusal, the next token is sufficient.
        return min(MAX_RETRY_AFTER_S, (refused - 1.0) / own_rate)

    def refund(self, organisation: OrganisationEntry) -> None:
        """Put back the token of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        demand = self._demands.get(organisation.name)
        if bucket is not None:
            bucket.level = min(bucket.capacity, bucket.level + 1.0)
        elif demand is not None:
            demand.fetched_tokens += 1

    def grant_tokens(self, organisation: OrganisationEntry, amount: int) -> TokenGrant:
        """Grant another node up to half of the available tokens, or the last one."""
        bucket, _ = self._refresh_share(organisation, self._clock.monotonic())
        if bucket is None:
            return TokenGrant(0, DEFAULT_RETRY_AFTER_S)
        granted = min(amount, max(int(bucket.level / 2), int(bucket.level >= 1.0)))
        bucket.level -= granted
        return TokenGrant(granted, bucket.time_to_token_s(), bucket.level)

    async def _fetch_tokens(
        self, name: str, demand: OrganisationDemand, holders: list[str]
    ) -> float:
        """Request tokens from other holders; return the shortest reported wait."""
        now = self._clock.monotonic()
        wait_s = demand.time_to_token_s(holders, now)
        for holder in demand.rank_holders(holders, self._node, now):
            try:
                grant = await self._request_tokens(
                    holder, TokenRequest(name, demand.choose_batch_size())
                )
            except PeerError:
                # The holder is unreachable; ask the next one.
                demand.empty_until[holder] = (
                    self._clock.monotonic() + DEFAULT_RETRY_AFTER_S
                )
                continue
            wait_s = min(wait_s, grant.retry_after_s)
            if grant.level < 1.0:
                next_token_at = self._clock.monotonic() + grant.retry_after_s
                demand.empty_until[holder] = next_token_at
            if grant.amount > 0:
                demand.fetched_tokens += grant.amount
                demand.fetched_at = self._clock.monotonic()
                return 0.0
        return wait_s

    def _refresh_share(
        self, organisation: OrganisationEntry, now: float
    ) -> tuple[TokenBucket | None, list[str]]:
        """Return this node's refilled bucket, if it is a holder, and all holders."""
        name = organisation.name
        cached = self._holders.get(name)
        if cached is None or cached[0] is not organisation:
            cached = (organisation, choose_holders(organisation, self._nodes))
            self._holders[name] = cached
            self._update_share(organisation, cached[1], now)
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.refill(now)
        return bucket, cached[1]

    def _compute_initial_tokens(
        self, organisation: OrganisationEntry, rate: float, capacity: float, now: float
    ) -> float:
        """Return the initial tokens of a new share.

        A share that this node has held since the fleet's first start is full. One
        that it has held before starts empty, because another holder may be spending
        it. Any other one has the tokens accrued since the node's start, which were
        not spent by the node's previous incarnation.
        """
        if organisation.name in self._held_before:
            return 0.0
        if self._node in choose_holders(organisation, self._initial_nodes):
            return capacity
        return rate * min(MAX_INITIAL_ACCRUAL_S, now - self._started_at)

    def _update_share(
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
            level = self._compute_initial_tokens(organisation, rate, capacity, now)
            self._buckets[name] = TokenBucket(rate, capacity, level, now)
            self._held_before.add(name)
            return
        bucket.refill(now)
        bucket.resize(rate, capacity)
