"""Keeps this node's configuration and rosters up to date."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.entry.roster_updater import RosterUpdater
from heathermount.errors import (
    InvalidMessage,
    PeerError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.membership import Directory, Group, MemberRecord, RosterRecord
from heathermount.node.components import NodeComponents
from heathermount.routing import Member
from heathermount.wire.control import (
    ConfigurationReply,
    ConfigurationRequest,
    RosterReply,
    RosterRequest,
)
from heathermount.wire.messages import Answer, Heartbeat, HeartbeatReply

__all__ = ["FleetStateUpdater"]

# A member that is not its group's reader reads the store itself when nothing has
# confirmed its configuration for this many polling periods.
MAX_UNCONFIRMED_POLLS: Final = 2.0
MAX_STORE_BACKOFF_S: Final = 16.0


class FleetStateUpdater:
    """Fetches newer configurations and rosters from the store and from peers.

    One member of a group, its reader, polls the store. The others learn of newer
    revisions from heartbeats and answers, and fetch them from peers.
    """

    __slots__ = (
        "_clock",
        "_control_clients",
        "_directory",
        "_events",
        "_fetching_from",
        "_group",
        "_is_reading_roster",
        "_is_store_down",
        "_next_store_read_at",
        "_quarantine",
        "_rng",
        "_roster_updater",
        "_settings",
        "_store_backoff_s",
        "_tasks",
        "_tracker",
    )

    def __init__(self, components: NodeComponents, tasks: TaskGroup) -> None:
        self._settings = components.settings
        self._tracker = components.tracker
        self._control_clients = components.control_clients
        self._clock = components.clock
        self._events = components.events
        self._tasks = tasks
        self._group: Group
        self._directory: Directory
        self._roster_updater: RosterUpdater
        # Control addresses from which a fetch is running.
        self._fetching_from: set[str] = set()
        self._quarantine = components.quarantine
        self._rng = components.rng
        self._store_backoff_s = components.settings.timings.config_poll_s
        self._next_store_read_at = 0.0
        self._is_store_down = False
        self._is_reading_roster = False

    def set_dependencies(
        self, group: Group, directory: Directory, roster_updater: RosterUpdater
    ) -> None:
        """Set the components that are built after this one; call it before `run`."""
        self._group = group
        self._directory = directory
        self._roster_updater = roster_updater

    async def run(self) -> None:
        """Poll the configuration as the group's reader, or when it is unconfirmed."""
        period_s = self._settings.timings.config_poll_s
        while True:
            if self._group.is_reader() or self._is_confirmation_due():
                await self.read_store()
            if not self._tracker.is_fresh():
                await self._fetch_from_other_domains()
            await anyio.sleep(period_s)

    def _is_confirmation_due(self) -> bool:
        """Return whether a member that is not the reader reads the store now.

        It does when its configuration is unconfirmed, since the reader may be
        cut off from the store. If the store itself is down, this holds for all
        members: exponential backoff with jitter keeps the load of their reads
        from growing with the size of the fleet.
        """
        now = self._clock.monotonic()
        period_s = self._settings.timings.config_poll_s
        if self._tracker.is_forked:
            return True
        if self._tracker.confirmed_age_s() <= MAX_UNCONFIRMED_POLLS * period_s:
            self._store_backoff_s = period_s
            self._next_store_read_at = 0.0
            return False
        if now < self._next_store_read_at:
            return False
        self._next_store_read_at = now + self._store_backoff_s * (
            1 + self._rng.random()
        )
        self._store_backoff_s = min(MAX_STORE_BACKOFF_S, 2 * self._store_backoff_s)
        return True

    async def read_store(self) -> None:
        """Read the configuration's head; record when a store outage starts and ends."""
        is_down = False
        try:
            await self._tracker.sync_with_store()
        except (StoreUnavailable, StoreOutcomeUnknown):
            is_down = True
        if is_down != self._is_store_down:
            self._is_store_down = is_down
            self._events.record("store-reachable", reachable=not is_down)

    @property
    def is_store_down(self) -> bool:
        return self._is_store_down

    async def _fetch_from_other_domains(self) -> None:
        """Fetch from the seeds and from nodes of other services until fresh.

        The heartbeats of a small group do not reach enough failure domains, and
        a node that starts knows only the seeds.
        """
        addresses = [*self._settings.peers.seeds, *self._list_domain_addresses()]
        for address in dict.fromkeys(addresses):
            if self._tracker.is_fresh():
                return
            await self._fetch_configuration(address)

    def _list_domain_addresses(self) -> list[str]:
        """Return the control address of one known node in each failure domain."""
        own_node = self._settings.node.name
        address_by_domain: dict[str, str] = {}
        for service in self._directory.services():
            record = self._directory.get(service)
            for member in record.members if record is not None else ():
                if member.node != own_node:
                    address_by_domain[member.failure_domain] = member.control
        return list(address_by_domain.values())

    async def handle_heartbeat_reply(
        self, member: MemberRecord, reply: HeartbeatReply, sent_at: float
    ) -> None:
        """Apply the state that a peer sent in reply to a heartbeat."""
        self._quarantine.merge(reply.suspicions)
        self._tracker.record_contact(member.failure_domain, sent_at)
        for domain, age_s in reply.domain_ages_s.items():
            self._tracker.record_contact(domain, sent_at - age_s)
        if self._matches_configuration(reply.revision, reply.change_id):
            self._tracker.record_confirmation(sent_at - reply.confirmed_age_s)
        elif reply.revision >= self._tracker.revision:
            self._start_configuration_fetch(member.control)
        if reply.roster_revision > self._group.roster.record.revision:
            await self._fetch_own_roster(member.control)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Fetch what a peer's heartbeat shows to be newer."""
        member = self._group.roster.record.find(heartbeat.node)
        is_ahead = heartbeat.revision >= self._tracker.revision
        is_current = self._matches_configuration(
            heartbeat.revision, heartbeat.change_id
        )
        if member is not None and is_ahead and not is_current:
            self._start_configuration_fetch(member.control)
        is_roster_newer = heartbeat.roster_revision > self._group.roster.record.revision
        if is_roster_newer and not self._is_reading_roster:
            self._is_reading_roster = True
            self._tasks.start_soon(self.read_own_roster)

    def _matches_configuration(self, revision: int, change_id: str) -> bool:
        """Return whether a peer has the same configuration as this node.

        The revision alone is not enough: a store that was restored from older
        data can accept another change under the same revision. The tracker
        merges the two.
        """
        document = self._tracker.document
        return (revision, change_id) == (document.revision, document.change_id)

    def handle_answer(self, service: str, member: Member, answer: Answer) -> None:
        """Fetch what an answer shows to be newer."""
        self._roster_updater.refresh_if_newer(service, answer.roster_revision)
        if answer.revision > self._tracker.revision:
            record = self._directory.get(service)
            recorded_member = record.find(member.node) if record is not None else None
            if recorded_member is not None:
                self._start_configuration_fetch(recorded_member.control)

    def _start_configuration_fetch(self, address: str) -> None:
        if address not in self._fetching_from:
            self._fetching_from.add(address)
            self._tasks.start_soon(self._fetch_configuration, address)

    async def _fetch_configuration(self, address: str) -> None:
        """Fetch newer changes from a peer, or its whole configuration.

        The whole configuration is requested when the changes lead to no newer revision.
        """
        try:
            revision = self._tracker.revision
            if not await self._fetch_changes_since(address, revision) or (
                revision and self._tracker.revision == revision
            ):
                await self._fetch_changes_since(address, 0)
        except (PeerError, InvalidMessage):
            return
        finally:
            self._fetching_from.discard(address)

    async def _fetch_changes_since(self, address: str, revision: int) -> bool:
        sent_at = self._clock.monotonic()
        reply = await self._control_clients.call(
            address, ConfigurationRequest(revision), ConfigurationReply
        )
        if reply.failure_domain:
            self._tracker.record_contact(reply.failure_domain, sent_at)
        return self._tracker.accept_reply(reply, sent_at)

    async def fetch_roster(self, address: str, service: str) -> RosterRecord | None:
        """Ask the node at a control address for a service's roster."""
        reply = await self._control_clients.call(
            address, RosterRequest(service), RosterReply
        )
        return RosterRecord.decode(reply.roster) if reply.roster else None

    async def _fetch_own_roster(self, address: str) -> None:
        try:
            record = await self.fetch_roster(address, self._group.roster.service)
        except (PeerError, InvalidMessage):
            return
        if record is not None:
            self.accept_own_roster(record)

    async def read_own_roster(self) -> None:
        """Read the group's roster from the store.

        It is not fetched from the known members, because they may not have the
        roster with the new member yet.
        """
        try:
            record = await self._directory.read_store(self._group.roster.service)
        finally:
            self._is_reading_roster = False
        if record is not None:
            self.accept_own_roster(record)

    def accept_own_roster(self, record: RosterRecord) -> None:
        self._group.roster.accept(record)
        self._roster_updater.accept(self._group.roster.record)

    def list_record_sources(self) -> list[str]:
        """Return the control addresses to ask for records before the store.

        That is the address of the group's reader. The reader itself reads the
        store; while the store is down, it asks other nodes that it knows.
        """
        reader = self._group.roster.record.find(self._group.reader())
        if reader is not None and reader.node != self._settings.node.name:
            return [reader.control]
        if not self._is_store_down:
            return []
        addresses = [*self._list_domain_addresses(), *self._settings.peers.seeds]
        return list(dict.fromkeys(addresses))

    async def load_quota_rosters(self, services: list[str]) -> None:
        """Load the rosters of services that share quota partitions with this one."""
        for service in services:
            if service != self._group.roster.service:
                await self._roster_updater.ensure_loaded(service)
