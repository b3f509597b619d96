"""Announcement, drains and roster membership of the local backend server."""

from enum import Enum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.entry.roster_updater import RosterUpdater
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.execution.announcements import Announcement
from heathermount.execution.executor import Executor
from heathermount.membership import Group, MemberRecord
from heathermount.node.components import NodeComponents

__all__ = ["DrainCause", "ServerLifecycle"]

MEMBERSHIP_CHECK_INTERVAL_S: Final = 0.25
# A failed call shows immediately that the backend server refuses connections. The
# periodic check detects this when the server receives no calls.
SERVER_CHECK_INTERVAL_S: Final = 5.0
MAX_LEAVE_ATTEMPTS: Final = 3
# A new node starts to serve after this time, even if some members of the group have
# not answered.
MAX_SYNCHRONISATION_S: Final = 2.0


class DrainCause(Enum):
    """Who requested that the backend server is drained."""

    SERVER = "server"
    OPERATOR = "operator"
    NODE = "node"


class ServerLifecycle:
    """Takes the backend server into and out of service.

    The server is draining as long as at least one cause for a drain remains.
    """

    __slots__ = (
        "_components",
        "_drain_causes",
        "_executor",
        "_first_joined_at",
        "_group",
        "_roster_updater",
        "_tasks",
        "own_record",
    )

    def __init__(
        self,
        components: NodeComponents,
        executor: Executor,
        group: Group,
        roster_updater: RosterUpdater,
        tasks: TaskGroup,
    ) -> None:
        self._components = components
        self._executor = executor
        self._group = group
        self._roster_updater = roster_updater
        self._tasks = tasks
        self._drain_causes: set[DrainCause] = set()
        # The record to keep in the roster; None while the server is not in service.
        self.own_record: MemberRecord | None = None
        # Monotonic time of the first join.
        self._first_joined_at: float | None = None

    async def maintain_membership(self) -> None:
        """Join the roster, and join again after a removal by another member.

        Also checks the reachability of the backend server.
        """
        checked_at = self._components.clock.monotonic()
        while True:
            now = self._components.clock.monotonic()
            if (
                not self._executor.server_reachable
                or now - checked_at >= SERVER_CHECK_INTERVAL_S
            ):
                checked_at = now
                await self._executor.check_server()
            member = self.own_record
            if member is not None and not self._drain_causes:
                known = self._group.roster.record.find(member.node)
                if known != member:
                    await self._group.roster.join(member)
                self._update_synchronised(now)
            self._roster_updater.accept(self._group.roster.record)
            await anyio.sleep(MEMBERSHIP_CHECK_INTERVAL_S)

    def _update_synchronised(self, now: float) -> None:
        """Allow requests once the group has answered or the wait has timed out.

        A node that has just started knows no crash suspicions. It could run a
        request that has already crashed two servers.
        """
        if self._executor.suspicions_synchronised:
            return
        if self._first_joined_at is None:
            self._first_joined_at = now
        waited_s = now - self._first_joined_at
        if self._group.has_heard_from_all() or waited_s > MAX_SYNCHRONISATION_S:
            self._executor.suspicions_synchronised = True

    async def accept_announcement(self, announcement: Announcement) -> None:
        """Take the server into service, and end a drain that it requested itself."""
        is_new = self._executor.accept_announcement(announcement)
        self.end_drain(DrainCause.SERVER)
        if not is_new and self.own_record is not None:
            return
        settings = self._components.settings
        self.own_record = MemberRecord(
            node=settings.node.name,
            incarnation=self._components.identity.incarnation,
            peers=settings.listen.peers,
            control=settings.listen.control,
            failure_domain=settings.node.failure_domain,
            slots=announcement.slots,
            cold_start_s=announcement.cold_start_s,
            joined_at=self._components.clock.wall(),
        )

    async def withdraw(self) -> None:
        """Take the server out of service because it withdrew its announcement."""
        self.start_drain(DrainCause.SERVER)
        await self.leave_roster()
        self._executor.withdraw()

    def start_server_drain(self) -> None:
        """Start a drain that the server requested, and leave the roster."""
        self.start_drain(DrainCause.SERVER)
        self._tasks.start_soon(self.leave_roster)

    def set_operator_drain(self, draining: bool) -> None:
        """Start or end the operator's drain."""
        if draining:
            self.start_drain(DrainCause.OPERATOR)
        else:
            self.end_drain(DrainCause.OPERATOR)

    def start_drain(self, cause: DrainCause) -> None:
        self._drain_causes.add(cause)
        self._apply_drains()

    def end_drain(self, cause: DrainCause) -> None:
        self._drain_causes.discard(cause)
        self._apply_drains()

    def _apply_drains(self) -> None:
        draining = bool(self._drain_causes)
        if draining == self._executor.draining:
            return
        self._executor.draining = draining
        self._components.events.record("draining", draining=draining)

    def get_drain_state(self) -> tuple[bool, int]:
        """Return whether the server is draining, and how many requests remain."""
        load = self._executor.load()
        return self._executor.draining, load.running + load.queued

    async def leave_roster(self) -> None:
        """Remove the server from the roster, if the store is available.

        If it is not, the group learns of the drain from heartbeats, and entry nodes
        from refusals.
        """
        if self.own_record is None:
            return
        member, self.own_record = self.own_record, None
        roster = self._group.roster
        for _ in range(MAX_LEAVE_ATTEMPTS):
            try:
                if await roster.remove({(member.node, member.incarnation)}):
                    return
            except (StoreUnavailable, StoreOutcomeUnknown):
                return
