"""Handles the requests that other nodes send over links."""

from collections.abc import Callable
from functools import singledispatchmethod

from heathermount.errors import InvalidMessage
from heathermount.events import EventLog
from heathermount.execution.executor import Executor
from heathermount.node.owned_partitions import OwnedPartitions
from heathermount.routing import Quarantine
from heathermount.wire.link import PeerHello
from heathermount.wire.messages import (
    Acknowledgement,
    Answer,
    Claim,
    ClaimReply,
    ClaimUpdated,
    Execute,
    Heartbeat,
    HeartbeatReply,
    Message,
    QuarantineNotice,
    Settle,
    TokenReply,
    TokenRequest,
    UnclaimKey,
)

__all__ = ["PeerRequestHandler"]


class PeerRequestHandler:
    """Handles each kind of request message."""

    __slots__ = (
        "_events",
        "_executor",
        "_make_heartbeat_reply",
        "_on_heartbeat",
        "_owned_partitions",
        "_quarantine",
        "control_messages",
    )

    def __init__(
        self,
        executor: Executor,
        owned_partitions: OwnedPartitions,
        quarantine: Quarantine,
        events: EventLog,
        on_heartbeat: Callable[[Heartbeat], None],
        make_heartbeat_reply: Callable[[], HeartbeatReply],
    ) -> None:
        self._executor = executor
        self._owned_partitions = owned_partitions
        self._quarantine = quarantine
        self._events = events
        self._on_heartbeat = on_heartbeat
        self._make_heartbeat_reply = make_heartbeat_reply
        self.control_messages = 0

    async def handle(self, message: Message, peer: PeerHello) -> Message:
        """Return the answer to a message; raise a HeathermountError to reject it."""
        if not isinstance(message, Execute):
            self.control_messages += 1
        return await self._dispatch(message)

    @singledispatchmethod
    async def _dispatch(self, message: Message) -> Message:
        raise InvalidMessage(f"{type(message).__name__} is not a request")

    @_dispatch.register
    async def _(self, message: Execute) -> Answer:
        return await self._executor.execute(message)

    @_dispatch.register
    async def _(self, message: Claim) -> ClaimReply:
        return self._owned_partitions.decide_claim(message)

    @_dispatch.register
    async def _(self, message: Settle) -> ClaimUpdated:
        return self._owned_partitions.finish_claim(message)

    @_dispatch.register
    async def _(self, message: UnclaimKey) -> ClaimUpdated:
        return self._owned_partitions.finish_claim(message)

    @_dispatch.register
    async def _(self, message: TokenRequest) -> TokenReply:
        return self._owned_partitions.grant_tokens(message)

    @_dispatch.register
    async def _(self, message: Heartbeat) -> HeartbeatReply:
        self._events.observe(*message.timestamp)
        self._quarantine.merge(message.suspicions)
        self._on_heartbeat(message)
        return self._make_heartbeat_reply()

    @_dispatch.register
    async def _(self, message: QuarantineNotice) -> Acknowledgement:
        if message.cleared:
            self._quarantine.clear(message.suspicion.fingerprint)
        else:
            self._quarantine.merge([message.suspicion])
        return Acknowledgement()
