"""Answers control requests of other nodes and of operators."""

from collections.abc import Awaitable, Callable

from heathermount.config.documents import decode_change
from heathermount.execution.executor import Executor
from heathermount.membership import Directory, Group
from heathermount.node.components import NodeComponents
from heathermount.ownership import OwnershipManager, encode_record
from heathermount.wire.control import (
    ConfigurationReply,
    ConfigurationRequest,
    DrainReply,
    DrainRequest,
    HandOverReply,
    HandOverRequest,
    OwnerReply,
    OwnerRequest,
    PushReply,
    PushRequest,
    RosterReply,
    RosterRequest,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)

__all__ = ["NodeControlService"]


class NodeControlService:
    """Implements ControlService for this node."""

    __slots__ = (
        "_directory",
        "_events",
        "_executor",
        "_group",
        "_identity",
        "_invariants",
        "_ownership",
        "_read_store",
        "_set_draining",
        "_settings",
        "_tracker",
    )

    def __init__(
        self,
        components: NodeComponents,
        executor: Executor,
        ownership: OwnershipManager,
        group: Group,
        directory: Directory,
        read_store: Callable[[], Awaitable[None]],
        set_draining: Callable[[bool], None],
    ) -> None:
        self._settings = components.settings
        self._identity = components.identity
        self._tracker = components.tracker
        self._events = components.events
        self._invariants = components.invariants
        self._executor = executor
        self._ownership = ownership
        self._group = group
        self._directory = directory
        # Used when a pushed change does not follow this node's revision.
        self._read_store = read_store
        self._set_draining = set_draining

    async def status(self, request: StatusRequest) -> StatusReply:
        return StatusReply(
            node=self._identity.node,
            incarnation=self._identity.incarnation,
            service=self._settings.node.service,
            failure_domain=self._settings.node.failure_domain,
            revision=self._tracker.revision,
            change_id=self._tracker.document.change_id,
            revision_age_s=self._tracker.revision_age_s(),
            fresh=self._tracker.is_fresh(),
            draining=self._executor.draining,
            members=self._group.live_members(),
            owned=[partition.name for partition in self._ownership.list_owned()],
            violations=self._invariants.violations,
        )

    async def timeline(self, request: TimelineRequest) -> TimelineReply:
        return TimelineReply(self._events.events_since(request.since_us))

    async def fetch_configuration(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        reply = self._tracker.make_reply(request.since_revision)
        reply.failure_domain = self._settings.node.failure_domain
        return reply

    async def push(self, request: PushRequest) -> PushReply:
        change = decode_change(request.change)
        if change.revision > self._tracker.revision and not self._tracker.offer_change(
            change
        ):
            await self._read_store()
        return PushReply(self._tracker.revision)

    async def fetch_roster(self, request: RosterRequest) -> RosterReply:
        if request.service == self._settings.node.service:
            return RosterReply(self._group.roster.record.encode())
        record = self._directory.get(request.service)
        return RosterReply(record.encode() if record is not None else b"")

    async def find_owner(self, request: OwnerRequest) -> OwnerReply:
        record = self._ownership.find_owner(request.partition)
        if record is None:
            record = await self._ownership.refresh(request.partition)
        return OwnerReply(encode_record(record) if record is not None else b"")

    async def drain(self, request: DrainRequest) -> DrainReply:
        self._set_draining(request.draining)
        return DrainReply(self._executor.load().running)

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        accepted = self._ownership.accept_handover(
            request.partition, request.epoch, request.state
        )
        return HandOverReply(accepted)
