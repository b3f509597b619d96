"""A gateway node: its components, its listeners and its life cycle."""

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
from heathermount.gateway.background import restart_on_error
from heathermount.gateway.call_preparation import CallPreparer
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.configuration_updater import ConfigurationReader
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.departure_store import DepartureStore
from heathermount.gateway.departures import Departures
from heathermount.gateway.dialect import Dialect
from heathermount.gateway.entry_handler import EntryHandler
from heathermount.gateway.fleet_view import FleetView
from heathermount.gateway.graceful_stop import GracefulStop
from heathermount.gateway.http_server import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from heathermount.gateway.links import LinkTable
from heathermount.gateway.listeners import Listeners
from heathermount.gateway.membership import MembershipUpdater
from heathermount.gateway.messages import (
    Execute,
    Message,
    Ping,
    Pong,
    TokenGrant,
    TokenRequest,
)
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.node_records import NodeRecord, ServerRecord
from heathermount.gateway.quota import QuotaShares
from heathermount.gateway.request_executor import RequestExecutor
from heathermount.gateway.retry_budget import RetryBudget
from heathermount.gateway.run_context import RunContext
from heathermount.gateway.settings import GatewaySettings
from heathermount.invariants import Invariants
from heathermount.routing.balancer import Balancer
from heathermount.routing.quarantine import Quarantine
from heathermount.store.interface import WatchedStore

__all__ = ["ConfigurationReader", "GatewayNode"]

# Peers normally get a new configuration from the store. A node sends it to those
# that still lack it after this time.
PUSH_CONFIGURATION_AFTER_S: Final = 0.7

# Part of the revocation bound for which a configuration counts as fresh after it was
# confirmed. The rest covers the delivery of a request and changes that the store's
# watches may miss for a second.
FRESHNESS_REVOCATION_RATIO: Final = 0.7

# Interval at which a stopping node checks for running requests.
IDLE_POLL_INTERVAL_S: Final = 0.05

METRICS_PATH: Final = b"/metrics"
METRICS_HEADERS: Final = [(b"content-type", b"text/plain; version=0.0.4")]

TOKEN_REQUEST_TIMEOUT_S: Final = 0.25


class GatewayNode:
    """The node process beside one backend server."""

    __slots__ = (
        "_balancer",
        "_clock",
        "_decision_log",
        "_dialect",
        "_entry",
        "_fleet",
        "_graceful_stop",
        "_links",
        "_listeners",
        "_membership",
        "_metrics",
        "_quarantine",
        "_quota",
        "_retry_budget",
        "_server_offered",
        "_settings",
        "_stopping",
        "_store",
        "_thresholds",
        "_tracker",
        "departure_store",
        "executor",
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
        decision_log: DecisionLog,
    ) -> None:
        node = settings.node
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._decision_log = decision_log
        self._store = store
        self._metrics = GatewayMetrics(self._read_gauges)
        events = EventLog(node.name, clock)
        bounds = settings.bounds
        self._tracker = ConfigurationTracker(
            clock,
            FRESHNESS_REVOCATION_RATIO * parse_duration(bounds.revocation),
            parse_duration(bounds.propagation),
        )
        self._balancer = Balancer(clock, random, node.failure_domain)
        self._retry_budget = RetryBudget(settings.retry_limits, clock)
        self._links = LinkTable(
            clock, lambda: self._fleet.make_ping(), self._handle_pong
        )
        self._quarantine = Quarantine(clock)
        self._thresholds = ThresholdTable.from_config(settings.policy, clock)
        self._quota = QuotaShares(
            node.name, clock, self._request_tokens, node.first_start
        )
        self._membership = MembershipUpdater(
            node.name,
            lambda: self.registry,
            self._balancer,
            self._quota,
            self._retry_budget,
            self._links,
        )
        self._graceful_stop = GracefulStop(clock)
        departures = Departures()
        self.executor = RequestExecutor(
            node.service,
            dialect,
            self._tracker,
            clock,
            random,
            events,
            Invariants(events),
            decision_log,
            settings.policy,
            parse_duration(settings.bounds.drain),
            self._quarantine,
            departures,
            self._graceful_stop,
            node.first_start,
            self._metrics,
            self._publish_server,
        )
        self.departure_store = DepartureStore(
            store,
            node.name,
            departures,
            self.executor.handle_departures_loaded,
            random,
            node.first_start,
        )
        self._entry = EntryHandler(
            node.name,
            dialect,
            CallPreparer(
                node.service,
                dialect,
                self._tracker,
                self._find_parent_run,
                self._graceful_stop,
                clock,
                random,
            ),
            self._tracker,
            self._quota,
            self._retry_budget,
            self._balancer,
            self._links,
            self._thresholds,
            self.executor.execute,
            self._membership.handle_stated_departure,
            clock,
            random,
            decision_log,
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
        self._fleet = FleetView(
            record,
            store,
            reader,
            self._tracker,
            self._quarantine,
            self._links,
            lambda other: not self._links.suspected(other.address),
            self._membership.update,
            settings.store.first_read_delay_s if node.first_start else 0.0,
            clock,
            random,
        )
        self.registry = self._fleet.registry
        self._stopping = asyncio.Event()
        self._listeners = Listeners(self._current_http_limits, self._stopping.is_set)
        # Whether other nodes may choose the backend server beside this node.
        self._server_offered = True

    @classmethod
    def from_config(
        cls,
        settings: GatewaySettings,
        store: WatchedStore,
        reader: ConfigurationReader,
        dialect: Dialect,
        clock: Clock,
        decision_log: DecisionLog,
    ) -> Self:
        return cls(settings, store, reader, dialect, clock, Random(), decision_log)

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the bounds of changed settings; other changes need a restart."""
        logging.info("event=settings-reloaded")
        bounds = self._settings.bounds = settings.bounds
        self._tracker.freshness_s = FRESHNESS_REVOCATION_RATIO * parse_duration(
            bounds.revocation
        )
        self._tracker.propagation_s = parse_duration(bounds.propagation)
        self._retry_budget.limits = settings.retry_limits

    def close(self) -> None:
        """Close all connections and listeners at once."""
        self._links.close()
        self._listeners.close()

    async def run(self, control_handler: Handler) -> None:
        """Serve until `stop` is called, then shut down gracefully.

        `control_handler` answers the backend server's heartbeats.
        """
        logging.info(
            "event=node-started node=%s service=%s first_start=%s",
            self._settings.node.name,
            self._settings.node.service,
            str(self._settings.node.first_start).lower(),
        )
        await self._listen(control_handler)
        background_tasks = [
            asyncio.create_task(restart_on_error(loop))
            for loop in (
                *self._fleet.loops(),
                self.departure_store.maintain,
            )
        ]
        await self._stopping.wait()
        await self._drain()
        for task in background_tasks:
            task.cancel()
        logging.info("event=node-stopped node=%s", self._settings.node.name)

    async def _listen(self, control_handler: Handler) -> None:
        listen, listeners = self._settings.listen, self._listeners
        await listeners.accept_clients(listen.outbound, self._entry.handle)
        await listeners.accept_management_clients(
            listen.readiness, self._handle_management_request
        )
        await listeners.accept_management_clients(listen.control, control_handler)
        await listeners.accept_peers(listen.peers, self._handle_peer_message)

    def _current_http_limits(self) -> HttpLimits:
        policy = self._tracker.policy
        return policy.limits if policy is not None else HttpLimits()

    async def _handle_management_request(self, request: HttpRequest) -> HttpResponse:
        if request.target == METRICS_PATH:
            return HttpResponse(200, METRICS_HEADERS, self._metrics.render())
        reasons = self.unready_reasons()
        status = 503 if reasons else 200
        return HttpResponse(status, [], " ".join(reasons).encode())

    def _read_gauges(self) -> dict[str, float]:
        load = self.executor.load()
        gauges = {
            **self._tracker.read_gauges(),
            "nodes": float(len(self.registry.nodes)),
            "links": float(self._links.count()),
            "links_usable": float(self._links.count_usable()),
            "news_reading_store": float(self._fleet.follower.reading.is_set()),
            "news_requests_sent": float(self._fleet.follower.requests),
            "news_requests_answered": float(self._fleet.board.answered),
            "pings_sent": float(self._links.pings_sent),
            "registry_revision": float(self.registry.directory.revision),
            "clients": float(len(self._listeners.clients)),
            "log_lines_dropped": float(self._decision_log.count_dropped()),
        }
        if load is not None:
            gauges["server_running"] = float(load.running)
            gauges["server_queued"] = float(load.queued)
            gauges["server_limit"] = float(load.limit)
            gauges["server_rate_limit"] = load.rate
            gauges["server_requests_sent"] = float(self.executor.requests_sent)
        for call, count in self._store.calls.items():
            gauges[f"store_calls_{call.replace('-', '_')}"] = float(count)
        return gauges

    def unready_reasons(self) -> list[str]:
        """Return why clients should not use this node; empty if it is ready."""
        reasons = []
        if self._stopping.is_set():
            reasons.append("stopping")
        if self._tracker.policy is None:
            reasons.append("no-configuration")
        if not self.registry.synchronised:
            reasons.append("no-registry")
        return reasons

    def _find_parent_run(self, request_id: bytes) -> RunContext | None:
        """Return the running request that made a nested call, if it runs here."""
        return self.executor.run_contexts.get(self._dialect.parse_parent_id(request_id))

    # Peers.

    async def _handle_peer_message(self, message: Message) -> Message:
        if isinstance(message, Execute):
            return await self.executor.execute(message)
        if isinstance(message, Ping):
            pong = self._make_pong(message)
            if message.wait_s:
                return await self._fleet.board.complete_answer(message, pong)
            return pong
        if isinstance(message, TokenRequest):
            return self._grant_tokens(message)
        raise ValueError(
            f"a peer sent {type(message).__name__}, which is not a request"
        )

    def _make_pong(self, ping: Ping) -> Pong:
        tracker = self._tracker
        # Push the configuration only to peers that have not got it from the store.
        applied_for_s = self._clock.monotonic() - tracker.applied_at
        peer_is_behind = (
            ping.version < tracker.version
            and applied_for_s > PUSH_CONFIGURATION_AFTER_S
        )
        self._quarantine.merge(ping.suspicions)
        return Pong(
            tracker.version,
            tracker.age_s(),
            self.executor.load(),
            self.executor.serving,
            tracker.encoded_document if peer_is_behind else b"",
            self._quarantine.select_suspicions_to_share(),
        )

    def _handle_pong(self, address: str, pong: Pong, sent_at: float) -> None:
        self._quarantine.merge(pong.suspicions)
        self._tracker.update_from_peer(
            pong.version, pong.age_s, sent_at, pong.configuration
        )

    def _grant_tokens(self, request: TokenRequest) -> TokenGrant:
        policy = self._tracker.policy
        organisation = policy and policy.get_organisation(request.organisation)
        if not organisation:
            return TokenGrant(0, 1.0)
        return self._quota.grant_tokens(organisation, request.amount)

    async def _request_tokens(self, holder: str, request: TokenRequest) -> TokenGrant:
        record = self.registry.nodes.get(holder)
        if record is None:
            raise PeerUnreachable(f"{holder} is not registered")
        link = await self._links.connect(record.address, TOKEN_REQUEST_TIMEOUT_S)
        answer = await link.call(request, TOKEN_REQUEST_TIMEOUT_S)
        if not isinstance(answer, TokenGrant):
            raise PeerUnreachable(f"{holder} did not answer with a token grant")
        return answer

    # Membership.

    def _publish_server(self) -> None:
        """Register the backend server beside this node if peers may choose it."""
        announcement = self.executor.announcement
        server = None
        if announcement is not None and self.executor.serving and self._server_offered:
            server = ServerRecord(
                announcement.server_id,
                announcement.slots,
                announcement.cold_start_s,
                time.time(),
                announcement.born_ms,
            )
        self._fleet.registration.update_server(server)

    # Graceful stop.

    async def _drain(self) -> None:
        """Stop gracefully: withdraw the server, refuse requests, finish the others."""
        stop = self._graceful_stop
        stop.begin(parse_duration(self._settings.bounds.grace))
        logging.info("event=node-stopping clients=%d", len(self._listeners.clients))
        self._close_idle_clients()
        await asyncio.sleep(stop.time_until_withdrawal_s())
        # Other nodes stop choosing this one but keep their links to it.
        logging.info("event=server-withdrawn cause=stopping")
        self._server_offered = False
        self._publish_server()
        await asyncio.sleep(stop.time_until_refusal_s())
        # The listener stays open: requests that run at the server still make calls.
        logging.info("event=requests-refused cause=stopping")
        self._close_idle_clients()
        await self._wait_until_idle()
        await self._fleet.registration.deregister()
        self._links.close()

    def _close_idle_clients(self) -> None:
        """Close client connections now, or after their pending responses."""
        for client in list(self._listeners.clients):
            client.close_when_idle()

    async def _wait_until_idle(self) -> None:
        """Wait until all responses are read, or until the process must exit."""
        while not self._graceful_stop.exit_due:
            if not self._listeners.has_pending_responses() and not self.executor.busy:
                return
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
