"""Messages that this node sends to the other members of its group."""

from typing import Final

import anyio

from heathermount.entry.refusals import make_refusal
from heathermount.errors import PeerError
from heathermount.execution.executor import Executor
from heathermount.membership import Group
from heathermount.node.components import NodeComponents
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

__all__ = ["GroupMessenger"]

# The answer to a call waits at most this long for the group to get the notice.
QUARANTINE_NOTICE_TIMEOUT_S: Final = 0.25


class GroupMessenger:
    """Builds heartbeats and their replies, and sends notices and requests."""

    __slots__ = (
        "_components",
        "_links",
        "executor",
        "group",
    )

    def __init__(self, components: NodeComponents, links: LinkPool) -> None:
        self._components = components
        self._links = links
        # Set by assembly.py, because they are built after this object.
        self.executor: Executor
        self.group: Group

    def make_heartbeat(self) -> Heartbeat:
        components, executor = self._components, self.executor
        executor.refresh_threshold()
        return Heartbeat(
            service=components.settings.node.service,
            node=components.identity.node,
            incarnation=components.identity.incarnation,
            load=executor.load(),
            draining=executor.draining,
            serving=executor.serving,
            revision=components.tracker.revision,
            change_id=components.tracker.document.change_id,
            roster_revision=self.group.roster.record.revision,
            suspicions=components.quarantine.select_suspicions_to_share(),
            timestamp=components.events.next_timestamp(),
        )

    def make_heartbeat_reply(self) -> HeartbeatReply:
        components, executor = self._components, self.executor
        return HeartbeatReply(
            node=components.identity.node,
            incarnation=components.identity.incarnation,
            load=executor.load(),
            draining=executor.draining,
            serving=executor.serving,
            revision=components.tracker.revision,
            change_id=components.tracker.document.change_id,
            roster_revision=self.group.roster.record.revision,
            confirmed_age_s=components.tracker.confirmed_age_s(),
            domain_ages_s=components.tracker.contact_ages_s(),
            suspicions=components.quarantine.select_suspicions_to_share(),
            timestamp=components.events.next_timestamp(),
        )

    async def share_suspicion(self, notice: QuarantineNotice) -> None:
        """Send the group a crash suspicion, or the notice that it is cleared."""
        with anyio.move_on_after(QUARANTINE_NOTICE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for peer in list(self.group.peers.values()):
                    tasks.start_soon(self._send_notice, peer.member.peers, notice)

    async def execute_at(self, member: Member, message: Execute) -> Answer:
        """Run a request at another member of the group.

        Raises Refusal when no valid answer arrives; its outcome is NOT_RUN only
        if the request certainly did not run there.
        """
        try:
            answer = await self._links.call(
                member.peer_address, message, message.deadline_s
            )
        except PeerError as error:
            if error.sent:
                raise make_refusal(Reason.SERVER_FAILED, Outcome.UNKNOWN) from None
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN) from None
        if not isinstance(answer, Answer):
            raise make_refusal(Reason.ANSWER_BROKEN, Outcome.UNKNOWN)
        return answer

    async def _send_notice(self, address: str, notice: QuarantineNotice) -> None:
        try:
            await self._links.call(address, notice, QUARANTINE_NOTICE_TIMEOUT_S)
        except PeerError:
            return
