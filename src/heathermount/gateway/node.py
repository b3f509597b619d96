"""A gateway node: its parts, its listeners and its life cycle."""

import asyncio
import secrets
import time
from random import Random
from typing import Final, Self

from absl import logging

from heathermount.admission import ThresholdTable
from heathermount.clocks import Clock
from heathermount.config.durations import parse_duration
from heathermount.errors import PeerUnreachable
from heathermount.events import EventLog
from heathermount.gateway.background import keep_running
from heathermount.gateway.budget import RepeatBudget
from heathermount.gateway.configuration import ConfigurationTracker
from heathermount.gateway.decisions import DecisionLog
from heathermount.gateway.departure_keeper import DepartureKeeper
from heathermount.gateway.departures import Departures
from heathermount.gateway.dialect import Dialect
from heathermount.gateway.entry import Entry
from heathermount.gateway.execution import Execution
from heathermount.gateway.following import (
    ConfigurationFollower,
    ConfigurationReader,
)
from heathermount.gateway.http import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from heathermount.gateway.links import LinkTable
from heathermount.gateway.listeners import Listeners
from heathermount.gateway.messages import (
    Execute,
    Message,
    Ping,
    Pong,
    TokenGrant,
    TokenRequest,
)
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.quota import QuotaShares
from heathermount.gateway.registry import (
    NodeRecord,
    Registry,
    ServerRecord,
    make_member,
)
from heathermount.gateway.runs import RunContext
from heathermount.gateway.settings import GatewaySettings
from heathermount.invariants import Invariants
from heathermount.routing.balancer import Balancer
from heathermount.routing.members import Member
from heathermount.routing.quarantine import Quarantine
from heathermount.store.interface import WatchedStore

__all__ = ["ConfigurationReader", "GatewayNode"]

# Time after which a node offers a version to peers that are behind, in seconds.
OFFER_AFTER_S: Final = 0.7

# Share of the revocation bound for which a proof counts. The rest covers the
# delivery of a request and what the store's watches may miss for a second.
FRESHNESS_SHARE: Final = 0.7

# A stopping node still takes requests for this share of the grace period, until
# its clients have noticed that it is not ready.
SERVE_SHARE: Final = 0.5
# For this share it also stays in the choice of the others: its server is sound,
# and in a roll over a small service it would be missed. Requests that start at
# its end have more than half of the grace period left.
EXECUTE_SHARE: Final = 0.3
# Share of the grace period after which the process ends in any case.
END_SHARE: Final = 0.92

# Pause between looks whether anything still runs, in seconds.
POLL_S: Final = 0.05

METRICS_PATH: Final = b"/metrics"
METRICS_HEADERS: Final = [(b"content-type", b"text/plain; version=0.0.4")]

TOKEN_TIMEOUT_S: Final = 0.25


class GatewayNode:
    """One process beside one backend server."""

    __slots__ = (
        "_balancer",
        "_budget",
        "_clock",
        "_dialect",
        "_entry",
        "_follower",
        "_links",
        "_listeners",
        "_log",
        "_metrics",
        "_offered",
        "_quarantine",
        "_quota",
        "_services",
        "_settings",
        "_stopping",
        "_store",
        "_thresholds",
        "_tracker",
        "departures",
        "execution",
        "registry",
    )

    def __init__(
        self,
        settings: GatewaySettings,
        store: WatchedStore,
        reader: ConfigurationReader,
        dialect: Dialect,
        clock: Clock,
        random: Random,
        log: DecisionLog,
    ) -> None:
        node = settings.node
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._store = store
        self._metrics = GatewayMetrics(self._read_gauges)
        events = EventLog(node.name, clock)
        revocation_s = parse_duration(settings.bounds.revocation)
        self._tracker = ConfigurationTracker(clock, FRESHNESS_SHARE * revocation_s)
        self._balancer = Balancer(clock, random, node.failure_domain)
        self._budget = RepeatBudget(settings.repeat_limits, clock)
        self._links = LinkTable(clock, self._make_ping, self._pinged)
        self._quarantine = Quarantine(clock)
        self._thresholds = ThresholdTable.from_config(settings.policy, clock)
        self._quota = QuotaShares(node.name, clock, self._ask_tokens, node.first_start)
        departures = Departures()
        self.execution = Execution(
            node.service,
            dialect,
            self._tracker,
            clock,
            random,
            events,
            Invariants(events),
            log,
            settings.policy,
            parse_duration(settings.bounds.drain),
            self._quarantine,
            departures,
            self._metrics,
            self._server_changed,
        )
        self.departures = DepartureKeeper(
            store, node.name, departures, self.execution.confirm_departures, random
        )
        self._entry = Entry(
            node.name,
            node.service,
            dialect,
            self._tracker,
            self._quota,
            self._budget,
            self._balancer,
            self._links,
            self._thresholds,
            self.execution.execute,
            self._find_parent,
            clock,
            random,
            log,
            self._metrics,
        )
        record = NodeRecord(
            node.name,
            secrets.token_hex(4),
            settings.listen.peers,
            node.service,
            node.failure_domain,
            None,
        )
        self.registry = Registry(
            store,
            clock,
            record,
            self._nodes_changed,
            lambda other: self._links.usable(other.address),
            random,
        )
        self._follower = ConfigurationFollower(
            reader, self._tracker, self.registry, clock, random
        )
        self._services: set[str] = set()
        self._stopping = asyncio.Event()
        self._listeners = Listeners(self._limits, self._stopping.is_set)
        # Whether other nodes may choose the server beside this node.
        self._offered = True

    @classmethod
    def from_config(
        cls,
        settings: GatewaySettings,
        store: WatchedStore,
        reader: ConfigurationReader,
        dialect: Dialect,
        clock: Clock,
        log: DecisionLog,
    ) -> Self:
        return cls(settings, store, reader, dialect, clock, Random(), log)

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over the bounds of changed settings; the rest needs a new start."""
        logging.info("event=settings-reloaded")
        self._settings.bounds = settings.bounds
        self._tracker.freshness_s = FRESHNESS_SHARE * parse_duration(
            settings.bounds.revocation
        )
        self._budget.limits = settings.repeat_limits

    def close(self) -> None:
        """Close all connections and listeners at once."""
        self._links.close()
        self._listeners.close()

    async def run(self, control: Handler) -> None:
        """Serve until `stop`, then finish what runs; `control` takes heartbeats."""
        logging.info(
            "event=node-started node=%s service=%s",
            self._settings.node.name,
            self._settings.node.service,
        )
        await self._listen(control)
        background = [
            asyncio.create_task(keep_running(loop))
            for loop in (
                self.registry.maintain,
                self.registry.follow,
                self._follower.watch,
                self._follower.prove,
                self.departures.maintain,
            )
        ]
        await self._stopping.wait()
        await self._drain()
        for task in background:
            task.cancel()
        logging.info("event=node-stopped node=%s", self._settings.node.name)

    async def _listen(self, control: Handler) -> None:
        listen, listeners = self._settings.listen, self._listeners
        await listeners.accept_clients(listen.outbound, self._entry.handle)
        await listeners.accept_observers(listen.readiness, self._observe)
        await listeners.accept_observers(listen.control, control)
        await listeners.accept_peers(listen.peers, self._answer_peer)

    def _limits(self) -> HttpLimits:
        policy = self._tracker.policy
        return policy.limits if policy is not None else HttpLimits()

    async def _observe(self, request: HttpRequest) -> HttpResponse:
        if request.target == METRICS_PATH:
            return HttpResponse(200, METRICS_HEADERS, self._metrics.render())
        reasons = self.unready_reasons()
        status = 503 if reasons else 200
        return HttpResponse(status, [], " ".join(reasons).encode())

    def _read_gauges(self) -> dict[str, float]:
        load = self.execution.load()
        gauges = {
            "configuration_version": float(self._tracker.version),
            "configuration_age_seconds": self._tracker.age_s(),
            "nodes": float(len(self.registry.nodes)),
            "links_usable": float(self._links.count_usable()),
            "clients": float(len(self._listeners.clients)),
            "log_lines_dropped": float(self._log.count_dropped()),
        }
        if load is not None:
            gauges["server_running"] = float(load.running)
            gauges["server_queued"] = float(load.queued)
            gauges["server_limit"] = float(load.limit)
        for call, count in self._store.calls.items():
            gauges[f"store_calls_{call.replace('-', '_')}"] = float(count)
        return gauges

    def unready_reasons(self) -> list[str]:
        """Return why clients should not use this node; empty when it is ready."""
        reasons = []
        if self._stopping.is_set():
            reasons.append("stopping")
        if self._tracker.policy is None:
            reasons.append("no-configuration")
        if not self.registry.synchronised:
            reasons.append("no-registry")
        return reasons

    def _find_parent(self, request_id: bytes) -> RunContext | None:
        """Return the running request of the local server that made a call."""
        return self.execution.contexts.get(self._dialect.read_parent_id(request_id))

    # Peers.

    async def _answer_peer(self, message: Message) -> Message:
        if isinstance(message, Execute):
            return await self.execution.execute(message)
        if isinstance(message, Ping):
            return self._make_pong(message)
        if isinstance(message, TokenRequest):
            return self._lend_tokens(message)
        raise ValueError(f"a peer sent {type(message).__name__}, which is no call")

    def _make_ping(self) -> Ping:
        tracker = self._tracker
        return Ping(
            self._settings.node.name,
            tracker.version,
            tracker.age_s(),
            self._quarantine.select_suspicions_to_share(),
        )

    def _make_pong(self, ping: Ping) -> Pong:
        tracker = self._tracker
        # Peers learn a change from the store; only those that did not are told.
        known_s = self._clock.monotonic() - tracker.applied_at
        behind = ping.version < tracker.version and known_s > OFFER_AFTER_S
        self._quarantine.merge(ping.suspicions)
        return Pong(
            tracker.version,
            tracker.age_s(),
            self.execution.load(),
            self.execution.serving,
            tracker.encoded if behind else b"",
            self._quarantine.select_suspicions_to_share(),
        )

    def _pinged(self, address: str, pong: Pong, asked_at: float) -> None:
        self._quarantine.merge(pong.suspicions)
        self._tracker.learn(pong.version, pong.age_s, asked_at, pong.configuration)

    def _lend_tokens(self, request: TokenRequest) -> TokenGrant:
        policy = self._tracker.policy
        organisation = policy and policy.organisation(request.organisation)
        if not organisation:
            return TokenGrant(0, 1.0)
        return self._quota.lend(organisation, request.amount)

    async def _ask_tokens(self, holder: str, request: TokenRequest) -> TokenGrant:
        record = self.registry.nodes.get(holder)
        if record is None:
            raise PeerUnreachable(f"{holder} is not registered")
        link = self._links.get(record.address)
        answer = await link.call(request, TOKEN_TIMEOUT_S)
        if not isinstance(answer, TokenGrant):
            raise PeerUnreachable(f"{holder} sent another message than a grant")
        return answer

    # Membership.

    def _server_changed(self) -> None:
        announcement = self.execution.announcement
        server = None
        if announcement is not None and self.execution.serving and self._offered:
            server = ServerRecord(
                announcement.server_id,
                announcement.slots,
                announcement.cold_start_s,
                time.time(),
            )
        self.registry.update(server)

    def _nodes_changed(self) -> None:
        nodes = self.registry.nodes
        services: dict[str, list[Member]] = {service: [] for service in self._services}
        for record in nodes.values():
            members = services.setdefault(record.service, [])
            if record.server is not None:
                members.append(make_member(record))
        self._services = set(services)
        for service, members in services.items():
            self._balancer.update(service, members)
        self._quota.update_nodes(list(nodes))
        self._budget.nodes = len(nodes)
        own = self._settings.node.name
        addresses = {one.address for one in nodes.values() if one.node != own}
        self._links.retain(addresses)
        for address in addresses:
            self._links.get(address)

    # Stop.

    async def _drain(self) -> None:
        """Serve until the clients have left, then finish what runs."""
        grace_s = parse_duration(self._settings.bounds.grace)
        loop = asyncio.get_running_loop()
        started = loop.time()
        clients = self._listeners.clients
        logging.info("event=node-stopping clients=%d", len(clients))
        for client in list(clients):
            client.close_when_idle()
        await asyncio.sleep(EXECUTE_SHARE * grace_s)
        # Other nodes choose this one no more, but keep their links to it.
        logging.info("event=server-withdrawn cause=stopping")
        self._offered = False
        self._server_changed()
        await asyncio.sleep((SERVE_SHARE - EXECUTE_SHARE) * grace_s)
        self._listeners.stop_accepting()
        await self._finish(started + END_SHARE * grace_s)
        await self.registry.withdraw()
        self._links.close()

    async def _finish(self, until: float) -> None:
        """Wait until nothing runs any more, or until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            busy = any(client.busy for client in self._listeners.clients)
            if not busy and not self.execution.busy:
                return
            await asyncio.sleep(POLL_S)
