"""Messages that this node sends about itself."""

from typing import Final

import anyio

from heathermount.entry.refusals import make_refusal
from heathermount.errors import PeerError
from heathermount.execution.executor import Executor
from heathermount.membership import Group
from heathermount.node.parts import Parts
from heathermount.routing import Member
from heathermount.values import Outcome, Reason
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import (
    Answer,
    Execute,
    Heartbeat,
    HeartbeatReply,
    QuarantineNotice,
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
        executor.refresh_threshold()
        return Heartbeat(
            service=parts.settings.node.service,
            node=parts.identity.node,
            incarnation=parts.identity.incarnation,
            load=executor.load(),
            draining=executor.draining,
            serving=executor.serving,
            revision=parts.tracker.revision,
            change_id=parts.tracker.document.change_id,
            roster_revision=self.group.roster.record.revision,
            suspicions=parts.quarantine.select_suspicions_to_share(),
            stamp=parts.events.next_timestamp(),
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
            change_id=parts.tracker.document.change_id,
            roster_revision=self.group.roster.record.revision,
            confirmed_age_s=parts.tracker.confirmed_age_s(),
            domain_ages_s=parts.tracker.contact_ages_s(),
            suspicions=parts.quarantine.select_suspicions_to_share(),
            stamp=parts.events.next_timestamp(),
        )

    async def share_suspicion(self, notice: QuarantineNotice) -> None:
        """Tell the group about a lost server, or about a cleared fingerprint."""
        with anyio.move_on_after(SHARE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for peer in list(self.group.peers.values()):
                    tasks.start_soon(self._tell, peer.member.peers, notice)

    async def run_at(self, member: Member, message: Execute) -> Answer:
        """Run a request at another member of the group.

        Raises Refusal when it certainly did not run there.
        """
        try:
            answer = await self._links.call(member.peers, message, message.deadline_s)
        except PeerError as error:
            if error.sent:
                raise make_refusal(Reason.SERVER_FAILED, Outcome.UNKNOWN) from None
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN) from None
        if not isinstance(answer, Answer):
            raise make_refusal(Reason.ANSWER_BROKEN, Outcome.UNKNOWN)
        return answer

    async def _tell(self, address: str, notice: QuarantineNotice) -> None:
        try:
            await self._links.call(address, notice, SHARE_TIMEOUT_S)
        except PeerError:
            return
