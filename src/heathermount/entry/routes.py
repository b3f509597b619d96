"""Keeps the balancer's view of each called service up to date."""

import anyio
from anyio.abc import TaskGroup

from heathermount.membership import Directory, MemberRecord, RosterRecord
from heathermount.routing import Balancer, Member

__all__ = ["RouteTable", "to_member"]


class RouteTable:
    """Rosters of called services, refreshed in the background."""

    __slots__ = ("_balancer", "_directory", "_refreshing", "_tasks", "_versions")

    def __init__(
        self, directory: Directory, balancer: Balancer, tasks: TaskGroup
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._tasks = tasks
        self._refreshing: dict[str, anyio.Event] = {}
        self._versions: dict[str, int] = {}

    async def ensure(self, service: str) -> None:
        """Wait for the first roster of a service; refresh an old one meanwhile."""
        known = self._versions.get(service, 0) > 0
        if known and not self._directory.is_stale(service):
            return
        refreshed = self._start_refresh(service)
        if not known:
            await refreshed.wait()

    def accept(self, record: RosterRecord) -> None:
        """Take a roster that was read elsewhere."""
        self._directory.accept(record)
        self._apply(record.service)

    def notice(self, service: str, revision: int) -> None:
        """Refresh when an answer shows a newer roster revision."""
        if self._directory.is_stale(service, revision):
            self._start_refresh(service)

    def doubt(self, service: str) -> None:
        """Refresh after a sign that the roster is outdated."""
        self.notice(service, self._versions.get(service, 0) + 1)

    def _start_refresh(self, service: str) -> anyio.Event:
        running = self._refreshing.get(service)
        if running is not None:
            return running
        done = self._refreshing[service] = anyio.Event()
        self._tasks.start_soon(self._refresh, service, done)
        return done

    async def _refresh(self, service: str, done: anyio.Event) -> None:
        try:
            await self._directory.refresh(service)
            self._apply(service)
        finally:
            self._refreshing.pop(service, None)
            done.set()

    def _apply(self, service: str) -> None:
        record = self._directory.get(service)
        if record is None or record.revision == self._versions.get(service):
            return
        self._versions[service] = record.revision
        self._balancer.update(service, [to_member(m) for m in record.members])


def to_member(record: MemberRecord) -> Member:
    return Member(
        node=record.node,
        incarnation=record.incarnation,
        peers=record.peers,
        failure_domain=record.failure_domain,
        slots=record.slots,
        cold_start_s=record.cold_start_s,
        joined_at=record.joined_at,
    )
