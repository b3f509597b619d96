"""Client of the nodes that own quota and claim partitions."""

from typing import Final

import anyio

from heathermount.errors import HeathermountError
from heathermount.node.components import NodeComponents
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

__all__ = ["OwnerClient"]

ALLOCATOR_RETRY_DELAY_S: Final = 0.25
# A node that has not found its allocators by then becomes ready without them.
ALLOCATOR_LOOKUP_TIMEOUT_S: Final = 10.0


class OwnerClient:
    """Sends messages to partition owners; handles those to this node in-process."""

    __slots__ = (
        "_components",
        "_links",
        "_ownership",
        "allocator_lookup_done",
    )

    def __init__(
        self, components: NodeComponents, links: LinkPool, ownership: OwnershipManager
    ) -> None:
        self._components = components
        self._links = links
        self._ownership = ownership
        # True once the allocators of the own failure domain are found or the
        # lookup has timed out.
        self.allocator_lookup_done = False

    async def find_allocators(self) -> None:
        """Find the allocators of the own failure domain before the first call."""
        await self._components.tracker.wait_for_revision(0)
        with anyio.move_on_after(ALLOCATOR_LOOKUP_TIMEOUT_S):
            for partition in self._list_quota_partitions():
                while self._ownership.find_owner(partition) is None:
                    await self._refresh_owner(partition)
        self.allocator_lookup_done = True

    def _list_quota_partitions(self) -> list[str]:
        policy = self._components.tracker.policy
        domain = self._components.settings.node.failure_domain
        if policy is None or domain not in policy.failure_domains:
            return []
        names = {
            get_partition_name(organisation, domain, policy.quota_partitions)
            for organisation in policy.organisations
        }
        return sorted(names)

    async def _refresh_owner(self, partition: str) -> None:
        try:
            found = await self._ownership.refresh(partition)
        except HeathermountError:
            found = None
        if found is None:
            await anyio.sleep(ALLOCATOR_RETRY_DELAY_S)

    async def send_to_claim_owner(
        self, record: OwnerRecord, message: Message, timeout_s: float
    ) -> Message:
        """Send a claim message to the owner of its partition.

        Raises the errors of `LinkPool.call`.
        """
        if not self._is_this_node(record):
            return await self._links.call(record.address, message, timeout_s)
        if isinstance(message, Claim):
            return self._components.owned_partitions.decide_claim(message)
        if isinstance(message, Settle | UnclaimKey):
            return self._components.owned_partitions.finish_claim(message)
        raise TypeError(f"{type(message).__name__} is not for a claim owner")

    async def request_tokens(
        self, record: OwnerRecord, request: TokenRequest, timeout_s: float
    ) -> TokenReply:
        """Ask an allocator for tokens; raise the errors of `LinkPool.call`."""
        if self._is_this_node(record):
            return self._components.owned_partitions.grant_tokens(request)
        reply = await self._links.call(record.address, request, timeout_s)
        return reply if isinstance(reply, TokenReply) else TokenReply(False, [])

    async def hand_over(
        self, successor: NodeIdentity, partition: str, epoch: int, state: bytes
    ) -> bool:
        """Send a partition's state; return whether the successor accepts it."""
        reply = await self._components.control_clients.call(
            successor.control,
            HandOverRequest(partition, epoch, state),
            HandOverReply,
        )
        return reply.accepted

    def _is_this_node(self, record: OwnerRecord) -> bool:
        identity = self._components.identity
        return (record.node, record.incarnation) == (
            identity.node,
            identity.incarnation,
        )
