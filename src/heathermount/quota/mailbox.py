"""Requests to allocators: shared by all who wait and batched by partition."""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from heathermount.clocks import Clock
from heathermount.errors import HeathermountError
from heathermount.ownership import OwnerDirectory, OwnerRecord
from heathermount.wire.messages import TokenGrant, TokenReply, TokenRequest, TokenWish

__all__ = ["Ask", "Mailbox"]

# Asks the owner of an allocator partition; raises PeerError when it fails.
Ask = Callable[[OwnerRecord, TokenRequest, float], Awaitable[TokenReply]]

# A reply is of use for as long as its tokens are valid, so the request outlives
# the callers that wait for it.
ASK_TIMEOUT_S: Final = 0.5


# Takes the grant for an organisation from a partition, or None when the
# allocator could not be asked, and the monotonic time of the question.
Settle = Callable[[str, str, TokenGrant | None, float], None]


class Mailbox:
    """Sends wishes to the allocators of partitions.

    Wishes for one partition that come up in the same turn of the event loop
    share a message.
    """

    __slots__ = (
        "_ask",
        "_clock",
        "_count_wanted",
        "_due",
        "_asked_at",
        "_owners",
        "_settle",
        "_tasks",
        "messages",
    )

    def __init__(
        self,
        owners: OwnerDirectory,
        ask: Ask,
        clock: Clock,
        tasks: TaskGroup,
        settle: Settle,
        count_wanted: Callable[[str], int],
    ) -> None:
        self._owners = owners
        self._ask = ask
        self._clock = clock
        self._tasks = tasks
        self._settle = settle
        self._count_wanted = count_wanted
        # Organisations to be asked for in this turn, by partition.
        self._due: dict[str, list[str]] = {}
        # Questions without an answer yet, by partition and organisation.
        self._asked_at: dict[tuple[str, str], float] = {}
        # Messages sent, for metrics.
        self.messages = 0

    def is_asking(self, partition: str, organisation: str) -> bool:
        return (partition, organisation) in self._asked_at

    def age(self, partition: str, organisation: str) -> float:
        """Return the age of the question on its way, in seconds; 0 if there is none."""
        now = self._clock.monotonic()
        return now - self._asked_at.get((partition, organisation), now)

    def inquire(self, partition: str, organisation: str) -> None:
        """Ask for tokens, unless the question is already on its way."""
        if self.is_asking(partition, organisation):
            return
        self._asked_at[partition, organisation] = self._clock.monotonic()
        due = self._due.setdefault(partition, [])
        due.append(organisation)
        if len(due) == 1:
            self._tasks.start_soon(self._send, partition)

    async def _send(self, partition: str) -> None:
        await checkpoint()
        # Counted now, so that requests of the same turn are included.
        wishes = [
            TokenWish(organisation, self._count_wanted(organisation))
            for organisation in self._due.pop(partition)
        ]
        grants: dict[str, TokenGrant] = {}
        try:
            reply = await self._ask_owner(partition, TokenRequest(partition, wishes))
            if reply is not None:
                grants = {grant.organisation: grant for grant in reply.grants}
        finally:
            for wish in wishes:
                organisation = wish.organisation
                asked_at = self._asked_at.pop((partition, organisation))
                grant = grants.get(organisation)
                self._settle(partition, organisation, grant, asked_at)

    async def _ask_owner(
        self, partition: str, request: TokenRequest
    ) -> TokenReply | None:
        """Return the owner's reply; looks the owner up again once."""
        record = self._owners.find_owner(partition)
        with anyio.move_on_after(ASK_TIMEOUT_S):
            if record is not None:
                reply = await self._try(record, request)
                if reply is not None:
                    return reply
            fresh = await self._refresh(partition)
            if fresh is not None and fresh != record:
                return await self._try(fresh, request)
        return None

    async def _try(
        self, record: OwnerRecord, request: TokenRequest
    ) -> TokenReply | None:
        self.messages += 1
        try:
            reply = await self._ask(record, request, ASK_TIMEOUT_S)
        except HeathermountError:
            return None
        return reply if reply.owned else None

    async def _refresh(self, partition: str) -> OwnerRecord | None:
        try:
            return await self._owners.refresh(partition)
        except HeathermountError:
            return None
