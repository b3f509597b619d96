"""Messages to the owners of quota and claim partitions."""

from typing import Final

import anyio

from heathermount.errors import HeathermountError
from heathermount.node.parts import Parts
from heathermount.ownership import NodeIdentity, OwnerRecord, OwnershipManager
from heathermount.quota import get_partition_name
from heathermount.wire.control import HandOverReply, HandOverRequest
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import (
    Claim,
    Message,
    Settle,
    TokenReply,
    TokenRequest,
    UnclaimKey,
)

__all__ = ["Owners"]

WARM_PERIOD_S: Final = 0.25
# A node that cannot find an allocator serves anyway after this time.
WARM_LIMIT_S: Final = 10.0


class Owners:
    """Sends messages to owners; a message to this node itself stays in the process."""

    __slots__ = ("_links", "_ownership", "_parts", "warm")

    def __init__(
        self, parts: Parts, links: LinkPool, ownership: OwnershipManager
    ) -> None:
        self._parts = parts
        self._links = links
        self._ownership = ownership
        # True once the allocators of the own failure domain are known.
        self.warm = False

    async def warm_up(self) -> None:
        """Find the allocators before the first call needs one."""
        await self._parts.tracker.wait_for_revision(0)
        with anyio.move_on_after(WARM_LIMIT_S):
            for partition in self._needed():
                while self._ownership.find_owner(partition) is None:
                    await self._refresh(partition)
        self.warm = True

    def _needed(self) -> list[str]:
        policy = self._parts.tracker.policy
        domain = self._parts.settings.node.failure_domain
        if policy is None or domain not in policy.failure_domains:
            return []
        names = {
            get_partition_name(organisation, domain, policy.quota_partitions)
            for organisation in policy.organisations
        }
        return sorted(names)

    async def _refresh(self, partition: str) -> None:
        try:
            found = await self._ownership.refresh(partition)
        except HeathermountError:
            found = None
        if found is None:
            await anyio.sleep(WARM_PERIOD_S)

    async def send(
        self, record: OwnerRecord, message: Message, timeout_s: float
    ) -> Message:
        """Send a claim message; see LinkPool.call for the errors."""
        if not self._is_own(record):
            return await self._links.call(record.address, message, timeout_s)
        if isinstance(message, Claim):
            return self._parts.owned.decide(message)
        if isinstance(message, Settle | UnclaimKey):
            return self._parts.owned.update(message)
        raise TypeError(f"{type(message).__name__} is not for a claim owner")

    async def ask(
        self, record: OwnerRecord, request: TokenRequest, timeout_s: float
    ) -> TokenReply:
        """Ask an allocator for tokens; see LinkPool.call for the errors."""
        if self._is_own(record):
            return self._parts.owned.grant(request)
        reply = await self._links.call(record.address, request, timeout_s)
        return reply if isinstance(reply, TokenReply) else TokenReply(False, [])

    async def hand_over(
        self, successor: NodeIdentity, partition: str, epoch: int, state: bytes
    ) -> bool:
        """Send a partition's state; return whether the successor takes it."""
        reply = await self._parts.clients.call(
            successor.control,
            HandOverRequest(partition, epoch, state),
            HandOverReply,
        )
        return reply.accepted

    def _is_own(self, record: OwnerRecord) -> bool:
        identity = self._parts.identity
        return (record.node, record.incarnation) == (
            identity.node,
            identity.incarnation,
        )
