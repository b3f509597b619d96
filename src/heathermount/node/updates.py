"""Keeps the configuration and rosters of this node up to date."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.entry.routes import RouteTable
from heathermount.errors import (
    InvalidMessage,
    PeerError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.membership import Directory, Group, MemberRecord, RosterRecord
from heathermount.node.parts import Parts
from heathermount.routing import Member
from heathermount.wire.control import (
    ConfigurationReply,
    ConfigurationRequest,
    RosterReply,
    RosterRequest,
)
from heathermount.wire.messages import Answer, Heartbeat, HeartbeatReply

__all__ = ["Updates"]

# A member that is not the reader reads the store itself when nothing confirmed
# its revision for this many polling periods.
UNCONFIRMED_POLLS: Final = 2.0
MAX_DOUBT_PAUSE_S: Final = 16.0


class Updates:
    """Reads revisions from the store, from heartbeats and from answers."""

    __slots__ = (
        "_clients",
        "_clock",
        "_directory",
        "_doubt_pause_s",
        "_events",
        "_fetching",
        "_group",
        "_next_doubt_read",
        "_quarantine",
        "_reading_roster",
        "_rng",
        "_routes",
        "_settings",
        "_store_down",
        "_tasks",
        "_tracker",
    )

    def __init__(self, parts: Parts, tasks: TaskGroup) -> None:
        self._settings = parts.settings
        self._tracker = parts.tracker
        self._clients = parts.clients
        self._clock = parts.clock
        self._events = parts.events
        self._tasks = tasks
        self._group: Group
        self._directory: Directory
        self._routes: RouteTable
        # Addresses that a configuration is being fetched from.
        self._fetching: set[str] = set()
        self._quarantine = parts.quarantine
        self._rng = parts.rng
        self._doubt_pause_s = parts.settings.timings.config_poll_s
        self._next_doubt_read = 0.0
        self._store_down = False
        self._reading_roster = False

    def connect(self, group: Group, directory: Directory, routes: RouteTable) -> None:
        """Set what is built with this object's methods; call it before `run`."""
        self._group = group
        self._directory = directory
        self._routes = routes

    async def run(self) -> None:
        """Poll the configuration's head, as the group's reader or if in doubt."""
        period_s = self._settings.timings.config_poll_s
        while True:
            if self._group.is_reader() or self._reads_in_doubt():
                await self.read_store()
            if not self._tracker.is_fresh():
                await self._ask_other_domains()
            await anyio.sleep(period_s)

    def _reads_in_doubt(self) -> bool:
        """Tell whether a member that is not the reader reads the store now.

        The reader may be cut off from the store. While the store is down,
        though, all members are in doubt; they wait longer after each attempt,
        so that their reads do not add up with the size of the fleet.
        """
        now = self._clock.monotonic()
        period_s = self._settings.timings.config_poll_s
        if self._tracker.is_forked:
            return True
        if self._tracker.confirmed_age_s() <= UNCONFIRMED_POLLS * period_s:
            self._doubt_pause_s = period_s
            self._next_doubt_read = 0.0
            return False
        if now < self._next_doubt_read:
            return False
        self._next_doubt_read = now + self._doubt_pause_s * (1 + self._rng.random())
        self._doubt_pause_s = min(MAX_DOUBT_PAUSE_S, 2 * self._doubt_pause_s)
        return True

    async def read_store(self) -> None:
        """Read the head once; an outage is recorded when it starts and ends."""
        down = False
        try:
            await self._tracker.sync_with_store()
        except (StoreUnavailable, StoreOutcomeUnknown):
            down = True
        if down != self._store_down:
            self._store_down = down
            self._events.record("store-reachable", reachable=not down)

    @property
    def store_down(self) -> bool:
        return self._store_down

    async def _ask_other_domains(self) -> None:
        """Ask nodes of other services, and the seeds, while the store is silent.

        The group's heartbeats do not reach enough failure domains if the group
        is small, and a node that starts knows nobody else.
        """
        addresses = [*self._settings.peers.seeds, *self._known_addresses()]
        for address in dict.fromkeys(addresses):
            if self._tracker.is_fresh():
                return
            await self._fetch(address)

    def _known_addresses(self) -> list[str]:
        """Return the control address of one known node in each failure domain."""
        own = self._settings.node.name
        found: dict[str, str] = {}
        for service in self._directory.services():
            record = self._directory.get(service)
            for member in record.members if record is not None else ():
                if member.node != own:
                    found[member.failure_domain] = member.control
        return list(found.values())

    async def heard(
        self, member: MemberRecord, reply: HeartbeatReply, sent_at: float
    ) -> None:
        """Take what a peer's answer to a heartbeat tells."""
        self._quarantine.merge(reply.suspicions)
        self._tracker.record_contact(member.failure_domain, sent_at)
        for domain, age_s in reply.domain_ages_s.items():
            self._tracker.record_contact(domain, sent_at - age_s)
        if self._is_current(reply.revision, reply.change_id):
            self._tracker.record_confirmation(sent_at - reply.confirmed_age_s)
        elif reply.revision >= self._tracker.revision:
            self._start_fetch(member.control)
        if reply.roster_revision > self._group.roster.record.revision:
            await self._fetch_own_roster(member.control)

    def heartbeat_received(self, heartbeat: Heartbeat) -> None:
        """Take what a peer's heartbeat tells."""
        member = self._group.roster.record.find(heartbeat.node)
        ahead = heartbeat.revision >= self._tracker.revision
        current = self._is_current(heartbeat.revision, heartbeat.change_id)
        if member is not None and ahead and not current:
            self._start_fetch(member.control)
        newer = heartbeat.roster_revision > self._group.roster.record.revision
        if newer and not self._reading_roster:
            self._reading_roster = True
            self._tasks.start_soon(self.read_own_roster)

    def _is_current(self, revision: int, change_id: str) -> bool:
        """Compare with a peer's configuration.

        Equal revisions of different changes come from a store that came back
        with older data and took another change; the tracker merges them.
        """
        document = self._tracker.document
        return (revision, change_id) == (document.revision, document.change_id)

    def answer_seen(self, service: str, member: Member, answer: Answer) -> None:
        """Take what an answer tells about revisions."""
        self._routes.notice(service, answer.roster_revision)
        if answer.revision > self._tracker.revision:
            record = self._directory.get(service)
            found = record.find(member.node) if record is not None else None
            if found is not None:
                self._start_fetch(found.control)

    def _start_fetch(self, address: str) -> None:
        if address not in self._fetching:
            self._fetching.add(address)
            self._tasks.start_soon(self._fetch, address)

    async def _fetch(self, address: str) -> None:
        """Fetch the changes after the own revision from a peer."""
        try:
            revision = self._tracker.revision
            if not await self._fetch_since(address, revision) or (
                revision and self._tracker.revision == revision
            ):
                await self._fetch_since(address, 0)
        except (PeerError, InvalidMessage):
            return
        finally:
            self._fetching.discard(address)

    async def _fetch_since(self, address: str, revision: int) -> bool:
        sent_at = self._clock.monotonic()
        reply = await self._clients.call(
            address, ConfigurationRequest(revision), ConfigurationReply
        )
        if reply.failure_domain:
            self._tracker.record_contact(reply.failure_domain, sent_at)
        return self._tracker.accept_reply(reply, sent_at)

    async def fetch_roster(self, address: str, service: str) -> RosterRecord | None:
        """Ask the node at a control address for a service's roster."""
        reply = await self._clients.call(address, RosterRequest(service), RosterReply)
        return RosterRecord.decode(reply.roster) if reply.roster else None

    async def _fetch_own_roster(self, address: str) -> None:
        try:
            record = await self.fetch_roster(address, self._group.roster.service)
        except (PeerError, InvalidMessage):
            return
        if record is not None:
            self.take_own_roster(record)

    async def read_own_roster(self) -> None:
        """Read the own group's roster from the store.

        The members known so far may not know the one that joined.
        """
        try:
            record = await self._directory.read_store(self._group.roster.service)
        finally:
            self._reading_roster = False
        if record is not None:
            self.take_own_roster(record)

    def take_own_roster(self, record: RosterRecord) -> None:
        self._group.roster.accept(record)
        self._routes.accept(self._group.roster.record)

    def reader_addresses(self) -> list[str]:
        """Return the control addresses to ask for records before the store.

        That is the group's reader. The reader itself asks the store, and while
        the store is down other nodes that it knows.
        """
        reader = self._group.roster.record.find(self._group.reader())
        if reader is not None and reader.node != self._settings.node.name:
            return [reader.control]
        if not self._store_down:
            return []
        addresses = [*self._known_addresses(), *self._settings.peers.seeds]
        return list(dict.fromkeys(addresses))

    async def follow_home_services(self, services: list[str]) -> None:
        """Keep the rosters of services that share quota partitions with this one."""
        for service in services:
            if service != self._group.roster.service:
                await self._routes.ensure(service)
