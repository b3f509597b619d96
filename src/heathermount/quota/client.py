"""Acquires tokens for requests from the token cache or the allocators."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Final, Self

import anyio
from anyio.abc import TaskGroup

from heathermount.clocks import Clock
from heathermount.errors import Refusal
from heathermount.invariants import Invariants
from heathermount.ownership import OwnerDirectory
from heathermount.quota.request_batcher import AskAllocator, RequestBatcher
from heathermount.quota.shares import (
    Allotment,
    get_partition_name,
    select_share_domains,
)
from heathermount.quota.token_cache import Token, TokenCache
from heathermount.values import Outcome, Reason
from heathermount.wire.messages import TokenGrant

__all__ = ["QuotaClient"]

DEFAULT_PARTITIONS_PER_DOMAIN: Final = 8
# Longest wait for a token if an allocator has answered.
MAX_TOKEN_WAIT_S: Final = 0.05
# Longest wait if no allocator has answered. It exceeds MAX_TOKEN_WAIT_S, because
# opening a connection or an answer from a busy owner may take longer than that.
MAX_UNANSWERED_WAIT_S: Final = 0.5
# Ratio of the wait after which the other failure domains are asked as well.
OWN_DOMAIN_WAIT_RATIO: Final = 0.4
# Bounds of the pause before an allocator without tokens is asked again.
MIN_EMPTY_PAUSE_S: Final = 0.02
MAX_EMPTY_PAUSE_S: Final = 1.0
# Pause before an allocator that did not answer is asked again.
UNREACHABLE_PAUSE_S: Final = 0.25
# Suggested wait when no allocator answered, because a takeover takes seconds.
UNREACHABLE_RETRY_AFTER_S: Final = 1.0
# Suggested wait for an organisation whose allotment is zero.
NO_ALLOTMENT_RETRY_AFTER_S: Final = 60.0


class Waiter:
    """A request that waits for a token.

    `allocator_answered` is true once an allocator has replied, even with no tokens,
    or if one is already known to be empty.
    """

    __slots__ = ("allocator_answered", "token", "wake_event")

    def __init__(self) -> None:
        self.token: Token | None = None
        self.allocator_answered = False
        self.wake_event = anyio.Event()


class QuotaClient:
    """Acquires a token of the calling organisation for each root request."""

    __slots__ = (
        "_batcher",
        "_clock",
        "_count_partitions",
        "_domain",
        "_empty_until",
        "_find_allotment",
        "_find_domains",
        "_max_wait_s",
        "_queues",
        "_unreachable_until",
        "token_cache",
    )

    def __init__(
        self,
        domain: str,
        owners: OwnerDirectory,
        ask_allocator: AskAllocator,
        find_allotment: Callable[[str], Allotment | None],
        find_domains: Callable[[], Sequence[str]],
        clock: Clock,
        invariants: Invariants,
        tasks: TaskGroup,
        count_partitions: Callable[[], int] = lambda: DEFAULT_PARTITIONS_PER_DOMAIN,
        max_wait_s: float = MAX_TOKEN_WAIT_S,
    ) -> None:
        self.token_cache = TokenCache(clock, invariants)
        self._domain = domain
        self._find_allotment = find_allotment
        self._find_domains = find_domains
        self._clock = clock
        self._count_partitions = count_partitions
        self._max_wait_s = max_wait_s
        self._batcher = RequestBatcher(
            owners, ask_allocator, clock, tasks, self._handle_result, self._count_wanted
        )
        self._queues: dict[str, deque[Waiter]] = {}
        self._empty_until: dict[tuple[str, str], float] = {}
        self._unreachable_until: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        domain: str,
        owners: OwnerDirectory,
        ask_allocator: AskAllocator,
        find_allotment: Callable[[str], Allotment | None],
        find_domains: Callable[[], Sequence[str]],
        clock: Clock,
        invariants: Invariants,
        tasks: TaskGroup,
        count_partitions: Callable[[], int] = lambda: DEFAULT_PARTITIONS_PER_DOMAIN,
    ) -> Self:
        """Make a client for a node in failure domain `domain`.

        `find_allotment` returns an organisation's current rate and burst,
        `find_domains` the declared failure domains, and `count_partitions` the
        declared number of partitions in each domain.
        """
        return cls(
            domain,
            owners,
            ask_allocator,
            find_allotment,
            find_domains,
            clock,
            invariants,
            tasks,
            count_partitions=count_partitions,
        )

    @property
    def sent_message_count(self) -> int:
        """Return the number of messages sent to allocators."""
        return self._batcher.sent_message_count

    async def acquire(self, organisation: str, wait_s: float = float("inf")) -> Token:
        """Return a token, waiting at most `wait_s` seconds.

        The wait ends after 50 ms if an allocator has answered, else after 500 ms.

        Raises Refusal 429 `over-rate` if an allocator answered but no token became
        available, and 503 `quota-unreachable` if no allocator answered.
        """
        queue = self._queues.setdefault(organisation, deque())
        token = None if queue else self.token_cache.take(organisation)
        if token is not None:
            self._prefetch(organisation)
            return token
        if queue:
            self.token_cache.record_demand(organisation)
        return await self._wait_for_token(organisation, queue, wait_s)

    async def _wait_for_token(
        self, organisation: str, queue: deque[Waiter], wait_s: float
    ) -> Token:
        waiter = Waiter()
        queue.append(waiter)
        try:
            first_wait_s = min(wait_s, self._max_wait_s)
            with anyio.move_on_after(first_wait_s):
                await self._ask_in_order(organisation, waiter, first_wait_s)
            if waiter.token is None and not waiter.allocator_answered:
                with anyio.move_on_after(
                    min(wait_s, MAX_UNANSWERED_WAIT_S) - first_wait_s
                ):
                    await self._ask_every_domain(organisation, waiter)
        except BaseException:
            if waiter.token is not None:
                self.give_back(waiter.token)
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)
        if waiter.token is not None:
            return waiter.token
        raise self._make_refusal(organisation, waiter.allocator_answered)

    def give_back(self, token: Token) -> None:
        """Put back the token of a request that ended as `not-run`."""
        self.token_cache.give_back(token)
        self._serve_queue(token.organisation)

    def _find_share_holders(self, organisation: str) -> list[str]:
        allotment = self._find_allotment(organisation)
        if allotment is None:
            return []
        return select_share_domains(organisation, allotment, self._find_domains())

    def _get_partition(self, organisation: str, domain: str) -> str:
        return get_partition_name(organisation, domain, self._count_partitions())

    def _prefetch(self, organisation: str) -> None:
        if not self.token_cache.needs_prefetch(organisation):
            return
        if self._domain not in self._find_share_holders(organisation):
            return
        partition = self._get_partition(organisation, self._domain)
        if self._is_usable(organisation, partition):
            self._batcher.request_tokens(partition, organisation)

    def _count_wanted(self, organisation: str) -> int:
        waiting = len(self._queues.get(organisation, ()))
        return max(waiting, self.token_cache.count_wanted(organisation))

    def _is_known_empty(self, organisation: str, partition: str) -> bool:
        until = self._empty_until.get((organisation, partition), float("-inf"))
        return self._clock.monotonic() < until

    def _is_usable(self, organisation: str, partition: str) -> bool:
        until = self._unreachable_until.get(partition, float("-inf"))
        if self._clock.monotonic() < until:
            return False
        return not self._is_known_empty(organisation, partition)

    async def _ask_in_order(
        self, organisation: str, waiter: Waiter, wait_s: float
    ) -> None:
        """Ask the own domain's allocator first, then those of all share holders."""
        partitions = {
            domain: self._get_partition(organisation, domain)
            for domain in self._find_share_holders(organisation)
        }
        own_partition = partitions.get(self._domain)
        own_wait_s = wait_s * OWN_DOMAIN_WAIT_RATIO
        if (
            own_partition is not None
            and self._batcher.get_pending_age_s(own_partition, organisation)
            < own_wait_s
        ):
            with anyio.move_on_after(own_wait_s):
                await self._ask_partitions(organisation, [own_partition], waiter)
        if waiter.token is None:
            await self._ask_partitions(organisation, list(partitions.values()), waiter)

    async def _ask_every_domain(self, organisation: str, waiter: Waiter) -> None:
        partitions = [
            self._get_partition(organisation, domain)
            for domain in self._find_share_holders(organisation)
        ]
        while waiter.token is None and not waiter.allocator_answered and partitions:
            await self._ask_partitions(organisation, partitions, waiter)
            await anyio.sleep(MIN_EMPTY_PAUSE_S)

    async def _ask_partitions(
        self, organisation: str, partitions: list[str], waiter: Waiter
    ) -> None:
        """Request tokens until the waiter has one or no partition can be asked."""
        waiter.allocator_answered |= any(
            self._is_known_empty(organisation, p) for p in partitions
        )
        usable = [p for p in partitions if self._is_usable(organisation, p)]
        if not usable and not waiter.allocator_answered:
            # None of them answered lately. Retrying at once is better than refusing.
            usable = partitions
        while waiter.token is None and usable:
            for partition in usable:
                self._batcher.request_tokens(partition, organisation)
            await waiter.wake_event.wait()
            waiter.wake_event = anyio.Event()
            usable = [
                p
                for p in usable
                if self._is_usable(organisation, p)
                or self._batcher.is_pending(p, organisation)
            ]

    def _handle_result(
        self,
        partition: str,
        organisation: str,
        grant: TokenGrant | None,
        requested_at: float,
    ) -> None:
        """Record an allocator's answer and wake the organisation's waiters.

        `grant` is None if the request failed. `requested_at` (monotonic) is the time
        of the request, from which the lifetime of granted tokens counts.
        """
        queue = self._queues.get(organisation, deque())
        if grant is None:
            until = self._clock.monotonic() + UNREACHABLE_PAUSE_S
            self._unreachable_until[partition] = until
        else:
            self._add_grant(partition, grant, requested_at)
            for waiter in queue:
                waiter.allocator_answered = True
        self._serve_queue(organisation)
        for waiter in queue:
            waiter.wake_event.set()

    def _add_grant(
        self, partition: str, grant: TokenGrant, requested_at: float
    ) -> None:
        self._unreachable_until.pop(partition, None)
        key = (grant.organisation, partition)
        if grant.retry_after_s > 0:
            pause_s = min(
                MAX_EMPTY_PAUSE_S, max(MIN_EMPTY_PAUSE_S, grant.retry_after_s)
            )
            self._empty_until[key] = self._clock.monotonic() + pause_s
        else:
            self._empty_until.pop(key, None)
        self.token_cache.add_grant(grant, requested_at)

    def _serve_queue(self, organisation: str) -> None:
        """Assign cached tokens to the longest waiting requests."""
        queue = self._queues.get(organisation)
        while queue:
            token = self.token_cache.take_for_waiter(organisation)
            if token is None:
                return
            waiter = queue.popleft()
            waiter.token = token
            waiter.wake_event.set()

    def _make_refusal(self, organisation: str, allocator_answered: bool) -> Refusal:
        share_holders = self._find_share_holders(organisation)
        if share_holders and not allocator_answered:
            return Refusal(
                503,
                Reason.QUOTA_UNREACHABLE,
                Outcome.NOT_RUN,
                "no allocator of the organisation's rate limit answers; retry later",
                UNREACHABLE_RETRY_AFTER_S,
            )
        now = self._clock.monotonic()
        keys = [
            (organisation, self._get_partition(organisation, d)) for d in share_holders
        ]
        waits = [self._empty_until.get(key, now) - now for key in keys]
        retry_after_s = min(waits) if share_holders else NO_ALLOTMENT_RETRY_AFTER_S
        return Refusal(
            429,
            Reason.OVER_RATE,
            Outcome.NOT_RUN,
            "the organisation's rate limit is used up; retry after the suggested wait",
            max(MIN_EMPTY_PAUSE_S, retry_after_s),
        )
