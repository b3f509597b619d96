"""One node: its listeners, its tasks, and its graceful stop."""

from collections.abc import Callable
from enum import Enum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.admission import ThresholdTable
from heathermount.claims import ClaimClient
from heathermount.errors import PeerError, StoreOutcomeUnknown, StoreUnavailable
from heathermount.membership import (
    Directory,
    Group,
    MemberRecord,
    Roster,
    RosterRecord,
)
from heathermount.node.callers import CallerApp
from heathermount.node.claiming import ClaimedCalls
from heathermount.node.control import NodeControl
from heathermount.node.dispatcher import Dispatcher
from heathermount.node.entry import Entry
from heathermount.node.executor import Announcement, Executor
from heathermount.node.hosting import NodeHost
from heathermount.node.listeners import HttpListener
from heathermount.node.local import LocalApp, LocalServerControl
from heathermount.node.observer import Observer
from heathermount.node.partitions import home_services, wanted_partitions
from heathermount.node.parts import Parts
from heathermount.node.peers import PeerHandlers
from heathermount.node.routes import RouteTable
from heathermount.node.updates import Updates
from heathermount.ownership import NodeIdentity, OwnerRecord, OwnershipManager
from heathermount.quota import QuotaClient
from heathermount.routing import ResendTracker, RetryBudget
from heathermount.values import Load
from heathermount.wire.control import ControlServer, HandOverReply, HandOverRequest
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import (
    Claim,
    Heartbeat,
    HeartbeatReply,
    Message,
    QuarantineNotice,
    Settle,
    Suspicion,
    TokenReply,
    TokenRequest,
    UnclaimKey,
)
from heathermount.wire.server import LinkServer

__all__ = ["Node"]

# Longest wait for the group to take a crash suspicion before the answer.
SHARE_TIMEOUT_S: Final = 0.25
# Callers get this long to move their connections before idle ones are closed.
MOVE_S: Final = 1.0
CHECK_PERIOD_S: Final = 0.5
TLS_CHECK_S: Final = 10.0


class Drain(Enum):
    """Who took the backend server out of service."""

    SERVER = "server"
    OPERATOR = "operator"
    NODE = "node"


class Node:
    """Everything that runs in the daemon."""

    __slots__ = (
        "_app",
        "_claims",
        "_control",
        "_control_server",
        "_directory",
        "_drains",
        "_entry",
        "_executor",
        "_group",
        "_links",
        "_listeners",
        "_member",
        "_ownership",
        "_parts",
        "_peers",
        "_routes",
        "_stopping",
        "_tasks",
        "_updates",
    )

    def __init__(self, parts: Parts, tasks: TaskGroup) -> None:
        self._parts = parts
        self._tasks = tasks
        self._stopping = anyio.Event()
        self._member: MemberRecord | None = None
        self._drains: set[Drain] = set()
        self._build_membership()
        self._build_execution()
        self._build_entry()
        self._build_listeners()

    def _build_membership(self) -> None:
        parts, settings = self._parts, self._parts.settings
        self._links = LinkPool(parts.identity, self._tasks, parts.metrics.traffic)
        roster = Roster(settings.node.service, parts.store, parts.events, parts.rng)
        self._group = Group(
            settings.node.name,
            roster,
            self._links,
            parts.clock,
            parts.events,
            settings.timings.heartbeat_s,
            self._make_heartbeat,
            self._heard,
        )
        self._directory = Directory(
            parts.store, parts.clock, parts.rng, self._fetch_roster, self._helpers
        )
        self._routes = RouteTable(self._directory, parts.balancer, self._tasks)
        self._updates = Updates(
            settings,
            parts.tracker,
            self._group,
            self._directory,
            self._routes,
            parts.clients,
            parts.clock,
            parts.events,
            self._tasks,
        )

    def _build_execution(self) -> None:
        parts, settings = self._parts, self._parts.settings
        self._executor = Executor(
            settings,
            parts.tracker,
            parts.quarantine,
            parts.contexts,
            parts.clock,
            parts.rng,
            parts.events,
            parts.invariants,
            self._share_suspicion,
            lambda: self._group.roster.record.revision,
        )
        host = NodeHost(
            settings,
            parts.identity,
            parts.tracker,
            parts.owned,
            self._group,
            self._directory,
            parts.clients,
            parts.clock,
            parts.invariants,
        )
        self._ownership = OwnershipManager.from_config(
            settings.timings,
            parts.store,
            parts.clock,
            NodeIdentity(
                settings.node.name,
                parts.identity.incarnation,
                settings.listen.peers,
                settings.listen.control,
            ),
            host,
            parts.events,
            parts.invariants,
        )

    def _build_entry(self) -> None:
        parts, settings = self._parts, self._parts.settings
        dispatcher = Dispatcher(
            settings.node.name,
            settings.policy,
            parts.tracker,
            self._routes,
            parts.balancer,
            RetryBudget(parts.clock),
            parts.quarantine,
            self._links,
            parts.clock,
            parts.metrics,
            self._executor.execute,
            self._updates.answer_seen,
        )
        self._claims = ClaimClient.from_config(
            self._ownership,
            self._send_to_owner,
            lambda: f"{parts.identity.node}/{parts.identity.incarnation}",
            parts.owned.retention_s,
            parts.clock,
            parts.events,
            self._tasks,
        )
        quota = QuotaClient.from_config(
            settings.node.failure_domain,
            self._ownership,
            self._ask_allocator,
            parts.owned.find_allotment,
            parts.owned.find_domains,
            parts.clock,
            parts.invariants,
            self._tasks,
        )
        self._entry = Entry(
            settings.policy,
            parts.tracker,
            quota,
            ClaimedCalls(self._claims, dispatcher.dispatch, self._tasks),
            ThresholdTable.from_config(settings.policy, parts.clock),
            ResendTracker(parts.clock),
            dispatcher,
            parts.clock,
        )

    def _build_listeners(self) -> None:
        parts, settings = self._parts, self._parts.settings
        listen, limits = settings.listen, settings.limits
        handlers = PeerHandlers(
            self._executor,
            parts.owned,
            parts.quarantine,
            parts.events,
            self._updates.heartbeat_received,
            self._make_reply,
        )
        self._peers = LinkServer(parts.identity, handlers.answer, parts.metrics.traffic)
        self._control = NodeControl(
            settings,
            parts.identity,
            parts.tracker,
            self._executor,
            self._ownership,
            self._group,
            self._directory,
            parts.events,
            parts.invariants,
            self._updates.read_store,
            self._set_draining,
        )
        tls = parts.tls.control_server if parts.tls is not None else None
        self._control_server = ControlServer(
            self._control, settings.secret, parts.clock, tls
        )
        self._app = CallerApp(self._entry, limits, parts.metrics)
        local = LocalApp(
            settings.node.service,
            self._entry,
            parts.contexts,
            limits,
            LocalServerControl(
                self._announce, self._withdraw, self._drain, self._drain_state
            ),
        )
        observer = Observer(parts.metrics, parts.events, self.unready_reasons)
        grace_s = settings.timings.shutdown_grace_s
        size = limits.max_header_bytes
        self._listeners = {
            key: HttpListener(app, key, getattr(listen, key), grace_s, size)
            for key, app in (
                ("callers", self._app),
                ("local", local),
                ("observe", observer),
            )
        }
        self._connect_readings()

    def _connect_readings(self) -> None:
        parts = self._parts
        readings = parts.metrics.readings
        readings.load = self._load
        readings.configuration = lambda: (
            parts.tracker.revision,
            parts.tracker.confirmed_age_s(),
        )
        readings.late_answers = self._links.late_answers
        readings.owned_partitions = lambda: len(self._ownership.owned())
        readings.ready = lambda: not self.unready_reasons()

    # Life cycle.

    async def run(self, started: Callable[[], None]) -> None:
        """Serve until `stop`, then stop without cutting a request."""
        listen = self._parts.settings.listen
        host, _, port = listen.peers.rpartition(":")
        await self._peers.bind(host, int(port))
        host, _, port = listen.control.rpartition(":")
        await self._control_server.start(host, int(port))
        for task in (
            self._peers.run,
            self._updates.run,
            self._group.run,
            self._ownership.run,
            self._keep_membership,
            self._follow_changes,
            *(listener.run for listener in self._listeners.values()),
        ):
            self._tasks.start_soon(task)
        if self._parts.tls is not None:
            self._tasks.start_soon(self._reload_tls)
        self._parts.events.record(
            "node-started",
            service=self._parts.settings.node.service,
            incarnation=self._parts.identity.incarnation,
        )
        started()
        await self._stopping.wait()
        await self._shut_down()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    async def _shut_down(self) -> None:
        parts = self._parts
        parts.events.record("node-stopping")
        self._drains.add(Drain.NODE)
        self._apply_drains()
        self._app.closing = True
        with anyio.move_on_after(parts.settings.timings.shutdown_grace_s):
            await self._leave_group()
            await anyio.sleep(MOVE_S)
            self._listeners["callers"].stop()
            await self._wait_for_calls()
            await self._ownership.release_all(self._hand_over)
        # An owner keeps its listener open for as long as it decides, because a
        # refused connection proves to others that it has ended.
        self._ownership.stop()
        await self._peers.close()
        await self._control_server.close()
        for listener in self._listeners.values():
            listener.stop()
        parts.clients.close()
        parts.events.record("node-stopped")

    async def _wait_for_calls(self) -> None:
        """Wait for calls that entered here and for those that run here."""
        admission = self._executor.admission
        if admission is not None:
            await admission.drain()
        await self._app.finish()
        await self._claims.flush(self._parts.settings.timings.shutdown_grace_s)

    async def _leave_group(self) -> None:
        if self._member is None:
            return
        member, self._member = self._member, None
        for _ in range(3):
            try:
                if await self._group.roster.remove(member.node, member.incarnation):
                    return
            except (StoreUnavailable, StoreOutcomeUnknown):
                return

    def unready_reasons(self) -> list[str]:
        """Return why the node takes no calls; empty when it is ready."""
        reasons = []
        if self._parts.tracker.policy is None:
            reasons.append("no configuration yet: the store and the seeds have none")
        elif not self._parts.tracker.fresh():
            reasons.append("the configuration may be outdated: store and peers silent")
        if self._updates.store_down and self._parts.tracker.policy is None:
            reasons.append("the store does not answer")
        if self._executor.announcement is None:
            reasons.append("no backend server has announced itself")
        elif self._member is None:
            reasons.append("the backend server is not in the roster yet")
        if self._executor.draining:
            reasons.append("draining")
        return reasons

    # Background tasks.

    async def _keep_membership(self) -> None:
        """Join when the server is announced; join again if removed meanwhile."""
        while not self._stopping.is_set():
            await self._executor.check_server()
            self._routes.accept(self._group.roster.record)
            member = self._member
            if member is not None and not self._executor.draining:
                known = self._group.roster.record.find(member.node)
                if known != member:
                    await self._join(member)
            await anyio.sleep(CHECK_PERIOD_S)

    async def _join(self, member: MemberRecord) -> None:
        await self._group.roster.join(member)
        self._routes.accept(self._group.roster.record)

    async def _follow_changes(self) -> None:
        """Load rosters of the services that share quota partitions with this one."""
        while True:
            await self._parts.tracker.wait_changed(0)
            policy = self._parts.tracker.policy
            if policy is not None:
                own = self._parts.settings.node.service
                shared = {
                    service
                    for name in self._ownership_names()
                    if own in home_services(name, policy.services)
                    for service in home_services(name, policy.services)
                }
                await self._updates.follow_home_services(sorted(shared))
            await anyio.sleep(CHECK_PERIOD_S * 4)

    def _ownership_names(self) -> list[str]:
        own = self._parts.settings.node.service
        return [
            name
            for name in wanted_partitions(own, self._parts.tracker)
            if name.startswith("quota/")
        ]

    async def _reload_tls(self) -> None:
        while self._parts.tls is not None:
            await anyio.sleep(TLS_CHECK_S)
            if self._parts.tls.reload_if_changed():
                self._parts.events.record("tls-reloaded")

    # The backend server.

    async def _announce(self, announcement: Announcement) -> None:
        """Take the server into service; an announcement ends the server's own drain."""
        new = self._executor.announce(announcement)
        self._drains.discard(Drain.SERVER)
        self._apply_drains()
        if not new and self._member is not None:
            return
        settings = self._parts.settings
        self._member = MemberRecord(
            node=settings.node.name,
            incarnation=self._parts.identity.incarnation,
            peers=settings.listen.peers,
            control=settings.listen.control,
            failure_domain=settings.node.failure_domain,
            slots=announcement.slots,
            cold_start_s=announcement.cold_start_s,
            joined_at=self._parts.clock.wall(),
        )
        self._tasks.start_soon(self._join, self._member)

    async def _withdraw(self) -> None:
        self._drains.add(Drain.SERVER)
        self._apply_drains()
        await self._leave_group()
        self._executor.withdraw()

    def _drain(self) -> None:
        self._drains.add(Drain.SERVER)
        self._apply_drains()
        self._tasks.start_soon(self._leave_group)

    def _drain_state(self) -> tuple[bool, int]:
        load = self._load()
        return self._executor.draining, load.running + load.queued

    def _set_draining(self, draining: bool) -> None:
        """Follow an operator's request."""
        if draining:
            self._drains.add(Drain.OPERATOR)
        else:
            self._drains.discard(Drain.OPERATOR)
        self._apply_drains()

    def _apply_drains(self) -> None:
        draining = bool(self._drains)
        if draining == self._executor.draining:
            return
        self._executor.draining = draining
        self._parts.events.record("draining", draining=draining)

    def _load(self) -> Load:
        admission = self._executor.admission
        return admission.load() if admission is not None else Load()

    # Heartbeats and other messages.

    def _make_heartbeat(self) -> Heartbeat:
        parts = self._parts
        return Heartbeat(
            service=parts.settings.node.service,
            node=parts.identity.node,
            incarnation=parts.identity.incarnation,
            load=self._load(),
            draining=self._executor.draining,
            serving=self._executor.serving,
            revision=parts.tracker.revision,
            roster_revision=self._group.roster.record.revision,
            suspicions=parts.quarantine.recent(),
            stamp=parts.events.stamp(),
        )

    def _make_reply(self) -> HeartbeatReply:
        parts = self._parts
        return HeartbeatReply(
            node=parts.identity.node,
            incarnation=parts.identity.incarnation,
            load=self._load(),
            draining=self._executor.draining,
            serving=self._executor.serving,
            revision=parts.tracker.revision,
            roster_revision=self._group.roster.record.revision,
            confirmed_age_s=parts.tracker.confirmed_age_s(),
            domain_ages_s=parts.tracker.domain_ages_s(),
            stamp=parts.events.stamp(),
        )

    async def _heard(
        self, member: MemberRecord, reply: HeartbeatReply, sent_at: float
    ) -> None:
        await self._updates.heard(member, reply, sent_at)

    async def _fetch_roster(self, address: str, service: str) -> RosterRecord | None:
        return await self._updates.fetch_roster(address, service)

    def _helpers(self) -> list[str]:
        """Return the control address of the group's reader, if it is another node."""
        reader = self._group.roster.record.find(self._group.reader())
        if reader is None or reader.node == self._parts.identity.node:
            return []
        return [reader.control]

    async def _share_suspicion(self, suspicion: Suspicion) -> None:
        """Tell the group before the failed answer is given."""
        with anyio.move_on_after(SHARE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for peer in list(self._group.peers.values()):
                    tasks.start_soon(self._tell, peer.member.peers, suspicion)

    async def _tell(self, address: str, suspicion: Suspicion) -> None:
        try:
            await self._links.call(
                address, QuarantineNotice(suspicion), SHARE_TIMEOUT_S
            )
        except PeerError:
            return

    async def _send_to_owner(
        self, record: OwnerRecord, message: Message, timeout_s: float
    ) -> Message:
        if record.node == self._parts.identity.node:
            return self._answer_own(message)
        return await self._links.call(record.address, message, timeout_s)

    def _answer_own(self, message: Message) -> Message:
        if isinstance(message, Claim):
            return self._parts.owned.decide(message)
        if isinstance(message, Settle | UnclaimKey):
            return self._parts.owned.update(message)
        raise TypeError(f"{type(message).__name__} is not for a claim owner")

    async def _ask_allocator(
        self, record: OwnerRecord, request: TokenRequest, timeout_s: float
    ) -> TokenReply:
        if record.node == self._parts.identity.node:
            return self._parts.owned.grant(request)
        reply = await self._links.call(record.address, request, timeout_s)
        return reply if isinstance(reply, TokenReply) else TokenReply(False, [])

    async def _hand_over(
        self, successor: NodeIdentity, partition: str, epoch: int, state: bytes
    ) -> bool:
        reply = await self._parts.clients.call(
            successor.control,
            HandOverRequest(partition, epoch, state),
            HandOverReply,
        )
        return reply.accepted
