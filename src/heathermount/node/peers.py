"""Answers messages from other nodes."""

from collections.abc import Callable
from functools import singledispatchmethod

from heathermount.errors import InvalidMessage
from heathermount.events import EventLog
from heathermount.execution.executor import Executor
from heathermount.node.partitions import OwnedPartitions
from heathermount.routing import Quarantine
from heathermount.wire.link import PeerHello
from heathermount.wire.messages import (
    Answer,
    Claim,
    ClaimReply,
    ClaimUpdated,
    Execute,
    Heartbeat,
    HeartbeatReply,
    Message,
    QuarantineNotice,
    Received,
    Settle,
    TokenReply,
    TokenRequest,
    UnclaimKey,
)

__all__ = ["PeerHandlers"]


class PeerHandlers:
    """One handler for each kind of message."""

    __slots__ = (
        "_events",
        "_executor",
        "_heard",
        "_owned",
        "_quarantine",
        "_reply",
        "control_messages",
    )

    def __init__(
        self,
        executor: Executor,
        owned: OwnedPartitions,
        quarantine: Quarantine,
        events: EventLog,
        heard: Callable[[Heartbeat], None],
        reply: Callable[[], HeartbeatReply],
    ) -> None:
        self._executor = executor
        self._owned = owned
        self._quarantine = quarantine
        self._events = events
        # Takes what a heartbeat tells about revisions.
        self._heard = heard
        self._reply = reply
        self.control_messages = 0

    async def answer(self, message: Message, peer: PeerHello) -> Message:
        """Answer one message; raise a typed error to reject it."""
        if not isinstance(message, Execute):
            self.control_messages += 1
        return await self._answer(message)

    @singledispatchmethod
    async def _answer(self, message: Message) -> Message:
        raise InvalidMessage(f"{type(message).__name__} is not a request")

    @_answer.register
    async def _(self, message: Execute) -> Answer:
        return await self._executor.execute(message)

    @_answer.register
    async def _(self, message: Claim) -> ClaimReply:
        return self._owned.decide(message)

    @_answer.register
    async def _(self, message: Settle) -> ClaimUpdated:
        return self._owned.update(message)

    @_answer.register
    async def _(self, message: UnclaimKey) -> ClaimUpdated:
        return self._owned.update(message)

    @_answer.register
    async def _(self, message: TokenRequest) -> TokenReply:
        return self._owned.grant(message)

    @_answer.register
    async def _(self, message: Heartbeat) -> HeartbeatReply:
        self._events.observe(*message.stamp)
        self._quarantine.merge(message.suspicions)
        self._heard(message)
        return self._reply()

    @_answer.register
    async def _(self, message: QuarantineNotice) -> Received:
        if message.cleared:
            self._quarantine.clear(message.suspicion.fingerprint)
        else:
            self._quarantine.merge([message.suspicion])
        return Received()
