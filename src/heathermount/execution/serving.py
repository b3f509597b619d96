"""The backend server's announcement, drains, and place in the roster."""

from enum import Enum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.entry.routes import RouteTable
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.execution.announcements import Announcement
from heathermount.execution.executor import Executor
from heathermount.membership import Group, MemberRecord
from heathermount.node.components import NodeComponents

__all__ = ["Drain", "Serving"]

CHECK_PERIOD_S: Final = 0.25
# Calls notice a backend server that refuses connections at once; this finds one
# that gets no calls.
SERVER_CHECK_S: Final = 5.0
LEAVE_ATTEMPTS: Final = 3
# Members that do not answer for this long do not keep a new node from serving.
SYNCHRONISE_S: Final = 2.0


class Drain(Enum):
    """Who took the backend server out of service."""

    SERVER = "server"
    OPERATOR = "operator"
    NODE = "node"


class Serving:
    """Takes the backend server into service and out of it."""

    __slots__ = (
        "_drains",
        "_executor",
        "_group",
        "_joined_at",
        "_parts",
        "_routes",
        "_tasks",
        "member",
    )

    def __init__(
        self,
        parts: NodeComponents,
        executor: Executor,
        group: Group,
        routes: RouteTable,
        tasks: TaskGroup,
    ) -> None:
        self._parts = parts
        self._executor = executor
        self._group = group
        self._routes = routes
        self._tasks = tasks
        self._drains: set[Drain] = set()
        # What the roster should say; None while the server is not in service.
        self.member: MemberRecord | None = None
        # Monotonic time of the first join.
        self._joined_at: float | None = None

    async def keep_membership(self) -> None:
        """Join the roster, and join again if removed meanwhile."""
        checked_at = self._parts.clock.monotonic()
        while True:
            now = self._parts.clock.monotonic()
            if not self._executor.reachable or now - checked_at >= SERVER_CHECK_S:
                checked_at = now
                await self._executor.check_server()
            member = self.member
            if member is not None and not self._drains:
                known = self._group.roster.record.find(member.node)
                if known != member:
                    await self._group.roster.join(member)
                self._synchronise(now)
            self._routes.accept(self._group.roster.record)
            await anyio.sleep(CHECK_PERIOD_S)

    def _synchronise(self, now: float) -> None:
        """Begin to serve once the group has answered, or after a short time.

        A node that starts knows no crash suspicions: it could be the third
        that a request takes down.
        """
        if self._executor.synchronised:
            return
        if self._joined_at is None:
            self._joined_at = now
        waited_s = now - self._joined_at
        if self._group.has_heard_from_all() or waited_s > SYNCHRONISE_S:
            self._executor.synchronised = True

    async def announce(self, announcement: Announcement) -> None:
        """Take the server into service; an announcement ends the server's own drain."""
        new = self._executor.announce(announcement)
        self.undrain(Drain.SERVER)
        if not new and self.member is not None:
            return
        settings = self._parts.settings
        self.member = MemberRecord(
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
        self.drain(Drain.SERVER)
        await self.leave()
        self._executor.withdraw()

    def drain_server(self) -> None:
        """Send no new work; the server asked for it."""
        self.drain(Drain.SERVER)
        self._tasks.start_soon(self.leave)

    def set_operator_drain(self, draining: bool) -> None:
        """Follow an operator's request to drain, or to end the drain."""
        if draining:
            self.drain(Drain.OPERATOR)
        else:
            self.undrain(Drain.OPERATOR)

    def drain(self, cause: Drain) -> None:
        self._drains.add(cause)
        self._apply()

    def undrain(self, cause: Drain) -> None:
        self._drains.discard(cause)
        self._apply()

    def _apply(self) -> None:
        draining = bool(self._drains)
        if draining == self._executor.draining:
            return
        self._executor.draining = draining
        self._parts.events.record("draining", draining=draining)

    def drain_state(self) -> tuple[bool, int]:
        """Return whether the server drains and how many requests it still has."""
        load = self._executor.load()
        return self._executor.draining, load.running + load.queued

    async def leave(self) -> None:
        """Take the server out of the roster, if the store can be reached.

        While it cannot, the group and callers learn of the drain from
        heartbeats and refusals.
        """
        if self.member is None:
            return
        member, self.member = self.member, None
        roster = self._group.roster
        for _ in range(LEAVE_ATTEMPTS):
            try:
                if await roster.remove({(member.node, member.incarnation)}):
                    return
            except (StoreUnavailable, StoreOutcomeUnknown):
                return
