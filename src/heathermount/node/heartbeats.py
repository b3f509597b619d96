"""Messages that this node sends about itself."""

from typing import Final

import anyio

from heathermount.errors import PeerError
from heathermount.membership import Group
from heathermount.node.executor import Executor
from heathermount.node.parts import Parts
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import (
    Heartbeat,
    HeartbeatReply,
    QuarantineNotice,
    Suspicion,
)

__all__ = ["Heartbeats"]

# Longest wait for the group to take a crash suspicion before the answer.
SHARE_TIMEOUT_S: Final = 0.25


class Heartbeats:
    """Builds heartbeats and their replies, and shares crash suspicions."""

    __slots__ = ("_links", "_parts", "executor", "group")

    def __init__(self, parts: Parts, links: LinkPool) -> None:
        self._parts = parts
        self._links = links
        # Set by the assembly: they are built after the first heartbeat exists.
        self.executor: Executor
        self.group: Group

    def make_heartbeat(self) -> Heartbeat:
        parts, executor = self._parts, self.executor
        return Heartbeat(
            service=parts.settings.node.service,
            node=parts.identity.node,
            incarnation=parts.identity.incarnation,
            load=executor.load(),
            draining=executor.draining,
            serving=executor.serving,
            revision=parts.tracker.revision,
            roster_revision=self.group.roster.record.revision,
            suspicions=parts.quarantine.recent(),
            stamp=parts.events.stamp(),
        )

    def make_reply(self) -> HeartbeatReply:
        parts, executor = self._parts, self.executor
        return HeartbeatReply(
            node=parts.identity.node,
            incarnation=parts.identity.incarnation,
            load=executor.load(),
            draining=executor.draining,
            serving=executor.serving,
            revision=parts.tracker.revision,
            roster_revision=self.group.roster.record.revision,
            confirmed_age_s=parts.tracker.confirmed_age_s(),
            domain_ages_s=parts.tracker.domain_ages_s(),
            stamp=parts.events.stamp(),
        )

    async def share_suspicion(self, suspicion: Suspicion) -> None:
        """Tell the group about a lost server before the failed answer is given."""
        with anyio.move_on_after(SHARE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for peer in list(self.group.peers.values()):
                    tasks.start_soon(self._tell, peer.member.peers, suspicion)

    async def _tell(self, address: str, suspicion: Suspicion) -> None:
        try:
            await self._links.call(
                address, QuarantineNotice(suspicion), SHARE_TIMEOUT_S
            )
        except PeerError:
            return
