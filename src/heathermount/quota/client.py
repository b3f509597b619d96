"""Gets tokens for requests: from the wallet, else from the allocators."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Final, Self

import anyio
from anyio.abc import TaskGroup

from heathermount.clocks import Clock
from heathermount.errors import Refusal
from heathermount.invariants import Invariants
from heathermount.ownership import OwnerDirectory
from heathermount.quota.mailbox import Ask, Mailbox
from heathermount.quota.shares import Allotment, partition_of, share_domains
from heathermount.quota.wallet import Token, Wallet
from heathermount.values import Outcome, Reason
from heathermount.wire.messages import TokenGrant

__all__ = ["QuotaClient"]

PARTITIONS: Final = 8
# Longest wait for tokens before a refusal, in seconds.
WAIT_S: Final = 0.05
# Longest wait while no allocator has answered at all: a first connection, or a
# busy owner, takes longer than a refusal for an empty bucket should.
SILENCE_S: Final = 0.5
# Part of the wait after which the other failure domains are asked as well.
OWN_DOMAIN_SHARE: Final = 0.4
# An empty allocator is not asked again for at least and at most this time.
MIN_EMPTY_S: Final = 0.02
MAX_EMPTY_S: Final = 1.0
# A failure domain that did not answer is asked again after this time.
UNREACHABLE_S: Final = 0.25
# Suggested wait when no allocator could be asked: a takeover takes seconds.
UNREACHABLE_RETRY_S: Final = 1.0
# Suggested wait for an organisation whose allotment is zero.
NO_ALLOTMENT_RETRY_S: Final = 60.0


class Waiter:
    """A request that waits for a token.

    `answered` tells whether an allocator said how many tokens it has.
    """

    __slots__ = ("answered", "token", "wake")

    def __init__(self) -> None:
        self.token: Token | None = None
        self.answered = False
        self.wake = anyio.Event()


class QuotaClient:
    """Charges requests to organisations."""

    __slots__ = (
        "_clock",
        "_domain",
        "_empty_until",
        "_find_allotment",
        "_find_domains",
        "_lines",
        "_mailbox",
        "_max_wait_s",
        "_count_partitions",
        "_unreachable_until",
        "wallet",
    )

    def __init__(
        self,
        domain: str,
        owners: OwnerDirectory,
        ask: Ask,
        find_allotment: Callable[[str], Allotment | None],
        find_domains: Callable[[], Sequence[str]],
        clock: Clock,
        invariants: Invariants,
        tasks: TaskGroup,
        count_partitions: Callable[[], int] = lambda: PARTITIONS,
        max_wait_s: float = WAIT_S,
    ) -> None:
        self.wallet = Wallet(clock, invariants)
        self._domain = domain
        self._find_allotment = find_allotment
        self._find_domains = find_domains
        self._clock = clock
        self._count_partitions = count_partitions
        self._max_wait_s = max_wait_s
        self._mailbox = Mailbox(
            owners, ask, clock, tasks, self._settle, self._count_wanted
        )
        self._lines: dict[str, deque[Waiter]] = {}
        self._empty_until: dict[tuple[str, str], float] = {}
        self._unreachable_until: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        domain: str,
        owners: OwnerDirectory,
        ask: Ask,
        find_allotment: Callable[[str], Allotment | None],
        find_domains: Callable[[], Sequence[str]],
        clock: Clock,
        invariants: Invariants,
        tasks: TaskGroup,
        count_partitions: Callable[[], int] = lambda: PARTITIONS,
    ) -> Self:
        """Make a client for a node in failure domain `domain`.

        `find_allotment` returns an organisation's rate and burst now, and
        `find_domains` the declared failure domains, `count_partitions` the
        declared number of partitions in each.
        """
        return cls(
            domain,
            owners,
            ask,
            find_allotment,
            find_domains,
            clock,
            invariants,
            tasks,
            count_partitions=count_partitions,
        )

    @property
    def messages(self) -> int:
        """Return the number of messages sent to allocators."""
        return self._mailbox.messages

    async def acquire(self, organisation: str, wait_s: float = float("inf")) -> Token:
        """Return a token, waiting at most `wait_s` seconds.

        The wait ends after 50 ms if an allocator has answered, else after 500 ms.

        Raises Refusal 429 `over-rate` when the allocators that could be asked
        have no token, and 503 `quota-unreachable` when none could be asked.
        """
        line = self._lines.setdefault(organisation, deque())
        token = None if line else self.wallet.take(organisation)
        if token is not None:
            self._prefetch(organisation)
            return token
        if line:
            self.wallet.note_demand(organisation)
        return await self._wait(organisation, line, wait_s)

    async def _wait(
        self, organisation: str, line: deque[Waiter], wait_s: float
    ) -> Token:
        waiter = Waiter()
        line.append(waiter)
        try:
            first_wait_s = min(wait_s, self._max_wait_s)
            with anyio.move_on_after(first_wait_s):
                await self._ask_in_order(organisation, waiter, first_wait_s)
            if waiter.token is None and not waiter.answered:
                with anyio.move_on_after(min(wait_s, SILENCE_S) - first_wait_s):
                    await self._ask_every_domain(organisation, waiter)
        except BaseException:
            if waiter.token is not None:
                self.give_back(waiter.token)
            raise
        finally:
            if waiter in line:
                line.remove(waiter)
        if waiter.token is not None:
            return waiter.token
        raise self._refuse(organisation, waiter.answered)

    def give_back(self, token: Token) -> None:
        """Return the token of a request that ended as not-run."""
        self.wallet.give_back(token)
        self._serve_line(token.organisation)

    def _holders(self, organisation: str) -> list[str]:
        allotment = self._find_allotment(organisation)
        if allotment is None:
            return []
        return share_domains(organisation, allotment, self._find_domains())

    def _partition(self, organisation: str, domain: str) -> str:
        return partition_of(organisation, domain, self._count_partitions())

    def _prefetch(self, organisation: str) -> None:
        if not self.wallet.low(organisation):
            return
        if self._domain not in self._holders(organisation):
            return
        partition = self._partition(organisation, self._domain)
        if self._is_usable(organisation, partition):
            self._mailbox.inquire(partition, organisation)

    def _count_wanted(self, organisation: str) -> int:
        waiting = len(self._lines.get(organisation, ()))
        return max(waiting, self.wallet.wanted(organisation))

    def _is_empty(self, organisation: str, partition: str) -> bool:
        until = self._empty_until.get((organisation, partition), float("-inf"))
        return self._clock.monotonic() < until

    def _is_usable(self, organisation: str, partition: str) -> bool:
        until = self._unreachable_until.get(partition, float("-inf"))
        if self._clock.monotonic() < until:
            return False
        return not self._is_empty(organisation, partition)

    async def _ask_in_order(
        self, organisation: str, waiter: Waiter, wait_s: float
    ) -> None:
        """Ask the own domain, then all that hold a share."""
        partitions = {
            domain: self._partition(organisation, domain)
            for domain in self._holders(organisation)
        }
        own = partitions.get(self._domain)
        own_wait_s = wait_s * OWN_DOMAIN_SHARE
        if own is not None and self._mailbox.age(own, organisation) < own_wait_s:
            with anyio.move_on_after(own_wait_s):
                await self._ask_all(organisation, [own], waiter)
        if waiter.token is None:
            await self._ask_all(organisation, list(partitions.values()), waiter)

    async def _ask_every_domain(self, organisation: str, waiter: Waiter) -> None:
        partitions = [
            self._partition(organisation, domain)
            for domain in self._holders(organisation)
        ]
        while waiter.token is None and not waiter.answered and partitions:
            await self._ask_all(organisation, partitions, waiter)
            await anyio.sleep(MIN_EMPTY_S)

    async def _ask_all(
        self, organisation: str, partitions: list[str], waiter: Waiter
    ) -> None:
        """Ask until the waiter has a token or no partition is worth asking."""
        waiter.answered |= any(self._is_empty(organisation, p) for p in partitions)
        usable = [p for p in partitions if self._is_usable(organisation, p)]
        if not usable and not waiter.answered:
            # None answered a moment ago: asking again is better than refusing.
            usable = partitions
        while waiter.token is None and usable:
            for partition in usable:
                self._mailbox.inquire(partition, organisation)
            await waiter.wake.wait()
            waiter.wake = anyio.Event()
            usable = [
                p
                for p in usable
                if self._is_usable(organisation, p)
                or self._mailbox.is_asking(p, organisation)
            ]

    def _settle(
        self, partition: str, organisation: str, grant: TokenGrant | None, at: float
    ) -> None:
        """Take the result of an inquiry that was sent at `at` (monotonic)."""
        line = self._lines.get(organisation, deque())
        if grant is None:
            until = self._clock.monotonic() + UNREACHABLE_S
            self._unreachable_until[partition] = until
        else:
            self._deposit(partition, grant, at)
            for waiter in line:
                waiter.answered = True
        self._serve_line(organisation)
        for waiter in line:
            waiter.wake.set()

    def _deposit(self, partition: str, grant: TokenGrant, asked_at: float) -> None:
        self._unreachable_until.pop(partition, None)
        key = (grant.organisation, partition)
        if grant.retry_after_s > 0:
            pause_s = min(MAX_EMPTY_S, max(MIN_EMPTY_S, grant.retry_after_s))
            self._empty_until[key] = self._clock.monotonic() + pause_s
        else:
            self._empty_until.pop(key, None)
        self.wallet.deposit(grant, asked_at)

    def _serve_line(self, organisation: str) -> None:
        """Give held tokens to the requests that have waited longest."""
        line = self._lines.get(organisation)
        while line:
            token = self.wallet.take_waiting(organisation)
            if token is None:
                return
            waiter = line.popleft()
            waiter.token = token
            waiter.wake.set()

    def _refuse(self, organisation: str, answered: bool) -> Refusal:
        holders = self._holders(organisation)
        if holders and not answered:
            return Refusal(
                503,
                Reason.QUOTA_UNREACHABLE,
                Outcome.NOT_RUN,
                "no allocator of the organisation's limit answers; send it again later",
                UNREACHABLE_RETRY_S,
            )
        now = self._clock.monotonic()
        keys = [(organisation, self._partition(organisation, d)) for d in holders]
        waits = [self._empty_until.get(key, now) - now for key in keys]
        retry_after_s = min(waits) if holders else NO_ALLOTMENT_RETRY_S
        return Refusal(
            429,
            Reason.OVER_RATE,
            Outcome.NOT_RUN,
            "the organisation's rate is used up; send it again after the wait",
            max(MIN_EMPTY_S, retry_after_s),
        )
