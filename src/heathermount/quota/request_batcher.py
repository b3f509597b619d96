"""Token requests to allocators, deduplicated and batched by partition."""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from heathermount.clocks import Clock
from heathermount.errors import HeathermountError
from heathermount.ownership import OwnerDirectory, OwnerRecord
from heathermount.wire.messages import TokenDemand, TokenGrant, TokenReply, TokenRequest

__all__ = ["AskAllocator", "RequestBatcher"]

# Sends a token request to a partition's owner and returns the reply; raises
# PeerError on failure. The last argument is the timeout in seconds.
AskAllocator = Callable[[OwnerRecord, TokenRequest, float], Awaitable[TokenReply]]

# Tokens that arrive after the waiting callers gave up can still be spent by later
# calls, so the timeout is longer than a caller's wait.
REQUEST_TIMEOUT_S: Final = 0.5


# Called with partition, organisation, grant and the monotonic time of the request.
# The grant is None if the request failed.
HandleResult = Callable[[str, str, TokenGrant | None, float], None]


class RequestBatcher:
    """Sends token requests to the allocators of partitions.

    Requests for one partition made in the same iteration of the event loop share a
    message. There is at most one pending request for each partition and
    organisation.
    """

    __slots__ = (
        "_ask_allocator",
        "_clock",
        "_count_wanted",
        "_handle_result",
        "_owners",
        "_requested_at",
        "_tasks",
        "_unsent",
        "sent_message_count",
    )

    def __init__(
        self,
        owners: OwnerDirectory,
        ask_allocator: AskAllocator,
        clock: Clock,
        tasks: TaskGroup,
        handle_result: HandleResult,
        count_wanted: Callable[[str], int],
    ) -> None:
        self._owners = owners
        self._ask_allocator = ask_allocator
        self._clock = clock
        self._tasks = tasks
        self._handle_result = handle_result
        self._count_wanted = count_wanted
        # Organisations to include in the next message, by partition.
        self._unsent: dict[str, list[str]] = {}
        # Start of each pending request, by partition and organisation.
        self._requested_at: dict[tuple[str, str], float] = {}
        # Total for metrics.
        self.sent_message_count = 0

    def is_pending(self, partition: str, organisation: str) -> bool:
        return (partition, organisation) in self._requested_at

    def get_pending_age_s(self, partition: str, organisation: str) -> float:
        """Return the age of the pending request in seconds, or 0 without one."""
        now = self._clock.monotonic()
        return now - self._requested_at.get((partition, organisation), now)

    def request_tokens(self, partition: str, organisation: str) -> None:
        """Request tokens unless such a request is already pending."""
        if self.is_pending(partition, organisation):
            return
        self._requested_at[partition, organisation] = self._clock.monotonic()
        unsent = self._unsent.setdefault(partition, [])
        unsent.append(organisation)
        if len(unsent) == 1:
            self._tasks.start_soon(self._send, partition)

    async def _send(self, partition: str) -> None:
        await checkpoint()
        # Count after the checkpoint, to include callers of the same loop iteration.
        demands = [
            TokenDemand(organisation, self._count_wanted(organisation))
            for organisation in self._unsent.pop(partition)
        ]
        grants: dict[str, TokenGrant] = {}
        try:
            reply = await self._request_from_owner(
                partition, TokenRequest(partition, demands)
            )
            if reply is not None:
                grants = {grant.organisation: grant for grant in reply.grants}
        finally:
            for demand in demands:
                organisation = demand.organisation
                requested_at = self._requested_at.pop((partition, organisation))
                grant = grants.get(organisation)
                self._handle_result(partition, organisation, grant, requested_at)

    async def _request_from_owner(
        self, partition: str, request: TokenRequest
    ) -> TokenReply | None:
        """Return the owner's reply, or None if it failed or timed out.

        If the known owner fails, looks the owner up and retries once with a new one.
        """
        record = self._owners.find_owner(partition)
        with anyio.move_on_after(REQUEST_TIMEOUT_S):
            if record is not None:
                reply = await self._request_once(record, request)
                if reply is not None:
                    return reply
            refreshed_record = await self._refresh_owner(partition)
            if refreshed_record is not None and refreshed_record != record:
                return await self._request_once(refreshed_record, request)
        return None

    async def _request_once(
        self, record: OwnerRecord, request: TokenRequest
    ) -> TokenReply | None:
        self.sent_message_count += 1
        try:
            reply = await self._ask_allocator(record, request, REQUEST_TIMEOUT_S)
        except HeathermountError:
            return None
        return reply if reply.owned else None

    async def _refresh_owner(self, partition: str) -> OwnerRecord | None:
        try:
            return await self._owners.refresh(partition)
        except HeathermountError:
            return None
