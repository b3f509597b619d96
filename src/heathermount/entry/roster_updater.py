"""Keeps the balancer's members of each called service up to date."""

import anyio
from anyio.abc import TaskGroup

from heathermount.membership import Directory, MemberRecord, RosterRecord
from heathermount.routing import Balancer, Member

__all__ = ["RosterUpdater", "to_member"]


class RosterUpdater:
    """Refreshes rosters of called services and passes them to the balancer.

    At most one refresh of each service runs at a time.
    """

    __slots__ = (
        "_applied_revisions",
        "_balancer",
        "_directory",
        "_running_refreshes",
        "_tasks",
    )

    def __init__(
        self, directory: Directory, balancer: Balancer, tasks: TaskGroup
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._tasks = tasks
        self._running_refreshes: dict[str, anyio.Event] = {}
        self._applied_revisions: dict[str, int] = {}

    async def ensure_loaded(self, service: str) -> None:
        """Wait for the first roster of a service.

        A roster that is stale is refreshed in the background.
        """
        known = self._applied_revisions.get(service, 0) > 0
        if known and not self._directory.is_stale(service):
            return
        refreshed = self._start_refresh(service)
        if not known:
            await refreshed.wait()

    def accept(self, record: RosterRecord) -> None:
        """Apply a roster that another component has read."""
        self._directory.accept(record)
        self._apply(record.service)

    def refresh_if_newer(self, service: str, revision: int) -> None:
        """Start a refresh if `revision` is newer than the roster, or one is due."""
        if self._directory.is_stale(service, revision):
            self._start_refresh(service)

    def refresh_after_failure(self, service: str) -> None:
        """Start a refresh after a failure that suggests a stale roster."""
        self.refresh_if_newer(service, self._applied_revisions.get(service, 0) + 1)

    def _start_refresh(self, service: str) -> anyio.Event:
        running_refresh = self._running_refreshes.get(service)
        if running_refresh is not None:
            return running_refresh
        done_event = self._running_refreshes[service] = anyio.Event()
        self._tasks.start_soon(self._refresh, service, done_event)
        return done_event

    async def _refresh(self, service: str, done_event: anyio.Event) -> None:
        try:
            await self._directory.refresh(service)
            self._apply(service)
        finally:
            self._running_refreshes.pop(service, None)
            done_event.set()

    def _apply(self, service: str) -> None:
        record = self._directory.get(service)
        if record is None or record.revision == self._applied_revisions.get(service):
            return
        self._applied_revisions[service] = record.revision
        self._balancer.update(service, [to_member(m) for m in record.members])


def to_member(record: MemberRecord) -> Member:
    return Member(
        node=record.node,
        incarnation=record.incarnation,
        peer_address=record.peers,
        failure_domain=record.failure_domain,
        slots=record.slots,
        cold_start_s=record.cold_start_s,
        joined_at=record.joined_at,
    )
