"""The backend server's announcement, drains, and place in the roster."""

from enum import Enum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.entry.roster_updater import RosterUpdater
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.execution.announcements import Announcement
from heathermount.execution.executor import Executor
from heathermount.membership import Group, MemberRecord
from heathermount.node.parts import Parts

__all__ = ["DrainCause", "ServerLifecycle"]

MEMBERSHIP_CHECK_INTERVAL_S: Final = 0.25
# Calls notice a backend server that refuses connections at once; this finds one
# that gets no calls.
SERVER_CHECK_INTERVAL_S: Final = 5.0
MAX_LEAVE_ATTEMPTS: Final = 3
# Members that do not answer for this long do not keep a new node from serving.
MAX_SYNCHRONISATION_S: Final = 2.0


class DrainCause(Enum):
    """Who took the backend server out of service."""

    SERVER = "server"
    OPERATOR = "operator"
    NODE = "node"


class ServerLifecycle:
    """Takes the backend server into service and out of it."""

    __slots__ = (
        "_drain_causes",
        "_executor",
        "_first_joined_at",
        "_group",
        "_parts",
        "_roster_updater",
        "_tasks",
        "own_record",
    )

    def __init__(
        self,
        parts: Parts,
        executor: Executor,
        group: Group,
        roster_updater: RosterUpdater,
        tasks: TaskGroup,
    ) -> None:
        self._parts = parts
        self._executor = executor
        self._group = group
        self._roster_updater = roster_updater
        self._tasks = tasks
        self._drain_causes: set[DrainCause] = set()
        # What the roster should say; None while the server is not in service.
        self.own_record: MemberRecord | None = None
        # Monotonic time of the first join.
        self._first_joined_at: float | None = None

    async def maintain_membership(self) -> None:
        """Join the roster, and join again if removed meanwhile."""
        checked_at = self._parts.clock.monotonic()
        while True:
            now = self._parts.clock.monotonic()
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
                self._check_synchronised(now)
            self._roster_updater.accept(self._group.roster.record)
            await anyio.sleep(MEMBERSHIP_CHECK_INTERVAL_S)

    def _check_synchronised(self, now: float) -> None:
        """Begin to serve once the group has answered, or after a short time.

        A node that starts knows no crash suspicions: it could be the third
        that a request takes down.
        """
        if self._executor.suspicions_synchronised:
            return
        if self._first_joined_at is None:
            self._first_joined_at = now
        waited_s = now - self._first_joined_at
        if self._group.has_heard_from_all() or waited_s > MAX_SYNCHRONISATION_S:
            self._executor.suspicions_synchronised = True

    async def accept_announcement(self, announcement: Announcement) -> None:
        """Take the server into service; an announcement ends the server's own drain."""
        is_new = self._executor.accept_announcement(announcement)
        self.end_drain(DrainCause.SERVER)
        if not is_new and self.own_record is not None:
            return
        settings = self._parts.settings
        self.own_record = MemberRecord(
            node=settings.node.name,
            incarnation=self._parts.identity.incarnation,
            peers=settings.listen.peers,
            control=settings.listen.control,
            failure_domain=settings.node.failure_domain,
            slots=announcement.slots,
            cold_start_s=announcement.cold_start_s,
            joined_at=self._parts.clock.wall(),
        )

    async def withdraw(self) -> None:
        """Take the server out of service at its own request."""
        self.start_drain(DrainCause.SERVER)
        await self.leave_roster()
        self._executor.withdraw()

    def start_server_drain(self) -> None:
        """Send no new work; the server asked for it."""
        self.start_drain(DrainCause.SERVER)
        self._tasks.start_soon(self.leave_roster)

    def set_operator_drain(self, draining: bool) -> None:
        """Follow an operator's request to drain, or to end the drain."""
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
        self._parts.events.record("draining", draining=draining)

    def get_drain_state(self) -> tuple[bool, int]:
        """Return whether the server drains and how many requests it still has."""
        load = self._executor.load()
        return self._executor.draining, load.running + load.queued

    async def leave_roster(self) -> None:
        """Take the server out of the roster, if the store can be reached.

        While it cannot, the group and callers learn of the drain from
        heartbeats and refusals.
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
