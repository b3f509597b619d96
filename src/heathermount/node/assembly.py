"""Builds a node from its parts."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from heathermount.admission import ThresholdTable
from heathermount.claims import ClaimClient
from heathermount.entry.asgi import ASGIApp
from heathermount.entry.call_handler import CallHandler
from heathermount.entry.caller_app import CallerApp
from heathermount.entry.claimed_calls import ClaimedCallRunner
from heathermount.entry.dispatcher import Dispatcher
from heathermount.entry.owner_client import OwnerClient
from heathermount.entry.roster_updater import RosterUpdater
from heathermount.execution.executor import Executor
from heathermount.execution.local_app import LocalApp, LocalServerCallbacks
from heathermount.execution.server_lifecycle import ServerLifecycle
from heathermount.membership import Directory, Group, Roster
from heathermount.node.control import NodeControl
from heathermount.node.heartbeats import Heartbeats
from heathermount.node.hosting import NodeHost
from heathermount.node.listeners import HttpListener
from heathermount.node.node import Node
from heathermount.node.observer import Observer
from heathermount.node.parts import Parts
from heathermount.node.peers import PeerHandlers
from heathermount.node.updates import Updates
from heathermount.ownership import NodeIdentity, OwnershipManager
from heathermount.quota import QuotaClient
from heathermount.routing import ResendTracker, RetryBudget
from heathermount.wire.control import ControlServer
from heathermount.wire.link import LinkPool
from heathermount.wire.server import LinkServer

__all__ = ["assemble_node"]


def assemble_node(parts: Parts, tasks: TaskGroup) -> Node:
    """Connect the parts; background work of calls runs in `tasks`."""
    settings = parts.settings
    links = LinkPool(parts.identity, tasks, parts.metrics.traffic)
    beats = Heartbeats(parts, links)
    updates, group, directory, routes = build_membership(parts, tasks, links, beats)
    executor = Executor(
        parts, beats.share_suspicion, beats.run_at, lambda: group.roster.record
    )
    beats.group, beats.executor = group, executor
    ownership = build_ownership(parts, group, directory, updates)
    owners = OwnerClient(parts, links, ownership)
    claims = build_claims(parts, tasks, ownership, owners)
    entry = build_entry(
        parts, tasks, links, routes, updates, executor, ownership, owners, claims
    )
    serving = ServerLifecycle(parts, executor, group, routes, tasks)
    handlers = PeerHandlers(
        executor,
        parts.owned,
        parts.quarantine,
        parts.events,
        updates.heartbeat_received,
        beats.make_reply,
    )
    control = NodeControl(
        parts,
        executor,
        ownership,
        group,
        directory,
        updates.read_store,
        serving.set_operator_drain,
    )
    tls = parts.tls.control_server if parts.tls is not None else None
    app = CallerApp(entry, settings.limits, parts.metrics)
    local = LocalApp(
        settings.node.service,
        entry,
        parts.contexts,
        settings.limits,
        LocalServerCallbacks(
            serving.accept_announcement,
            serving.withdraw,
            serving.start_server_drain,
            serving.get_drain_state,
        ),
    )
    # The observer is needed before the node whose readiness it shows.
    readiness: list[Callable[[], list[str]]] = []
    observer = Observer(parts.metrics, parts.events, lambda: readiness[0]())
    node = Node(
        parts=parts,
        tasks=tasks,
        app=app,
        claims=claims,
        control=ControlServer(control, settings.secret, parts.clock, tls),
        executor=executor,
        group=group,
        listeners=open_http(parts, app, local, observer),
        owners=owners,
        ownership=ownership,
        peers=LinkServer(parts.identity, handlers.answer, parts.metrics.traffic),
        serving=serving,
        updates=updates,
    )
    readiness.append(node.unready_reasons)
    connect_readings(parts, node, executor, links, ownership)
    return node


def build_membership(
    parts: Parts, tasks: TaskGroup, links: LinkPool, beats: Heartbeats
) -> tuple[Updates, Group, Directory, RosterUpdater]:
    settings = parts.settings
    updates = Updates(parts, tasks)
    group = Group(
        settings.node.name,
        Roster(settings.node.service, parts.store, parts.events, parts.rng),
        links,
        parts.clock,
        parts.events,
        settings.timings.heartbeat_s,
        beats.make_heartbeat,
        updates.heard,
    )
    directory = Directory(
        parts.store,
        parts.clock,
        parts.rng,
        updates.fetch_roster,
        updates.reader_addresses,
    )
    routes = RosterUpdater(directory, parts.balancer, tasks)
    updates.connect(group, directory, routes)
    return updates, group, directory, routes


def build_ownership(
    parts: Parts, group: Group, directory: Directory, updates: Updates
) -> OwnershipManager:
    settings = parts.settings
    identity = NodeIdentity(
        settings.node.name,
        parts.identity.incarnation,
        settings.listen.peers,
        settings.listen.control,
    )
    return OwnershipManager.from_config(
        settings.timings,
        parts.store,
        parts.clock,
        identity,
        NodeHost(parts, group, directory, updates.reader_addresses),
        parts.events,
        parts.invariants,
    )


def build_claims(
    parts: Parts, tasks: TaskGroup, ownership: OwnershipManager, owners: OwnerClient
) -> ClaimClient:
    return ClaimClient.from_config(
        ownership,
        owners.send_to_claim_owner,
        lambda: f"{parts.identity.node}/{parts.identity.incarnation}",
        parts.owned.retention_s,
        parts.clock,
        parts.events,
        tasks,
    )


def build_entry(
    parts: Parts,
    tasks: TaskGroup,
    links: LinkPool,
    routes: RosterUpdater,
    updates: Updates,
    executor: Executor,
    ownership: OwnershipManager,
    owners: OwnerClient,
    claims: ClaimClient,
) -> CallHandler:
    settings = parts.settings
    dispatcher = Dispatcher(
        parts,
        routes,
        RetryBudget(parts.clock),
        links,
        executor.execute,
        updates.answer_seen,
    )
    quota = QuotaClient.from_config(
        settings.node.failure_domain,
        ownership,
        owners.request_tokens,
        parts.owned.find_allotment,
        parts.owned.find_domains,
        parts.clock,
        parts.invariants,
        tasks,
        parts.owned.count_quota_partitions,
    )
    return CallHandler(
        parts,
        quota,
        ClaimedCallRunner(claims, dispatcher.dispatch, tasks, parts.metrics),
        ThresholdTable.from_config(settings.policy, parts.clock),
        ResendTracker(parts.clock),
        dispatcher,
    )


def open_http(
    parts: Parts, callers: ASGIApp, local: ASGIApp, observer: ASGIApp
) -> dict[str, HttpListener]:
    """Open the HTTP listeners; raise ConfigurationProblem for a taken address."""
    settings = parts.settings
    apps = {"callers": callers, "local": local, "observe": observer}
    return {
        key: HttpListener(
            app,
            key,
            getattr(settings.listen, key),
            settings.timings.shutdown_grace_s,
            settings.limits.max_header_bytes,
        )
        for key, app in apps.items()
    }


def connect_readings(
    parts: Parts,
    node: Node,
    executor: Executor,
    links: LinkPool,
    ownership: OwnershipManager,
) -> None:
    """Let the metrics read the state of the parts when they are collected."""
    tracker, readings = parts.tracker, parts.metrics.readings
    readings.load = executor.load
    readings.configuration = lambda: (tracker.revision, tracker.confirmed_age_s())
    readings.late_answers = links.late_answers
    readings.owned_partitions = lambda: len(ownership.list_owned())
    readings.ready = lambda: not node.unready_reasons()
