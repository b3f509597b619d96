"""Builds a node from its components."""

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
from heathermount.node.components import NodeComponents
from heathermount.node.control_service import NodeControlService
from heathermount.node.fleet_state import FleetStateUpdater
from heathermount.node.group_messenger import GroupMessenger
from heathermount.node.http_listener import HttpListener
from heathermount.node.node import Node
from heathermount.node.observe_app import ObserveApp
from heathermount.node.partition_host import NodePartitionHost
from heathermount.node.peer_requests import PeerRequestHandler
from heathermount.ownership import NodeIdentity, OwnershipManager
from heathermount.quota import QuotaClient
from heathermount.routing import ResendTracker, RetryBudget
from heathermount.wire.control import ControlServer
from heathermount.wire.link import LinkPool
from heathermount.wire.server import LinkServer

__all__ = ["assemble_node"]


def assemble_node(components: NodeComponents, tasks: TaskGroup) -> Node:
    """Build and connect all components; their background work runs in `tasks`."""
    settings = components.settings
    links = LinkPool(components.identity, tasks, components.metrics.traffic)
    messenger = GroupMessenger(components, links)
    updater, group, directory, routes = build_membership(
        components, tasks, links, messenger
    )
    executor = Executor(
        components,
        messenger.share_suspicion,
        messenger.execute_at,
        lambda: group.roster.record,
    )
    messenger.group, messenger.executor = group, executor
    ownership = build_ownership(components, group, directory, updater)
    owners = OwnerClient(components, links, ownership)
    claims = build_claims(components, tasks, ownership, owners)
    entry = build_entry(
        components, tasks, links, routes, updater, executor, ownership, owners, claims
    )
    serving = ServerLifecycle(components, executor, group, routes, tasks)
    request_handler = PeerRequestHandler(
        executor,
        components.owned_partitions,
        components.quarantine,
        components.events,
        updater.handle_heartbeat,
        messenger.make_heartbeat_reply,
    )
    control_service = NodeControlService(
        components,
        executor,
        ownership,
        group,
        directory,
        updater.read_store,
        serving.set_operator_drain,
    )
    tls = components.tls.control_server if components.tls is not None else None
    caller_app = CallerApp(entry, settings.limits, components.metrics)
    local_app = LocalApp(
        settings.node.service,
        entry,
        components.call_contexts,
        settings.limits,
        LocalServerCallbacks(
            serving.accept_announcement,
            serving.withdraw,
            serving.start_server_drain,
            serving.get_drain_state,
        ),
    )
    # The application is built before the node whose readiness it reports.
    unready_reason_sources: list[Callable[[], list[str]]] = []
    observe_app = ObserveApp(
        components.metrics, components.events, lambda: unready_reason_sources[0]()
    )
    node = Node(
        components=components,
        tasks=tasks,
        caller_app=caller_app,
        claims=claims,
        control_server=ControlServer(
            control_service, settings.secret, components.clock, tls
        ),
        executor=executor,
        group=group,
        listeners=open_http_listeners(components, caller_app, local_app, observe_app),
        owners=owners,
        ownership=ownership,
        link_server=LinkServer(
            components.identity, request_handler.handle, components.metrics.traffic
        ),
        serving=serving,
        updater=updater,
    )
    unready_reason_sources.append(node.list_unready_reasons)
    connect_state_readers(components, node, executor, links, ownership)
    return node


def build_membership(
    components: NodeComponents,
    tasks: TaskGroup,
    links: LinkPool,
    messenger: GroupMessenger,
) -> tuple[FleetStateUpdater, Group, Directory, RosterUpdater]:
    settings = components.settings
    updater = FleetStateUpdater(components, tasks)
    group = Group(
        settings.node.name,
        Roster(
            settings.node.service, components.store, components.events, components.rng
        ),
        links,
        components.clock,
        components.events,
        settings.timings.heartbeat_s,
        messenger.make_heartbeat,
        updater.handle_heartbeat_reply,
    )
    directory = Directory(
        components.store,
        components.clock,
        components.rng,
        updater.fetch_roster,
        updater.list_record_sources,
    )
    routes = RosterUpdater(directory, components.balancer, tasks)
    updater.set_dependencies(group, directory, routes)
    return updater, group, directory, routes


def build_ownership(
    components: NodeComponents,
    group: Group,
    directory: Directory,
    updater: FleetStateUpdater,
) -> OwnershipManager:
    settings = components.settings
    identity = NodeIdentity(
        settings.node.name,
        components.identity.incarnation,
        settings.listen.peers,
        settings.listen.control,
    )
    return OwnershipManager.from_config(
        settings.timings,
        components.store,
        components.clock,
        identity,
        NodePartitionHost(components, group, directory, updater.list_record_sources),
        components.events,
        components.invariants,
    )


def build_claims(
    components: NodeComponents,
    tasks: TaskGroup,
    ownership: OwnershipManager,
    owners: OwnerClient,
) -> ClaimClient:
    return ClaimClient.from_config(
        ownership,
        owners.send_to_claim_owner,
        lambda: f"{components.identity.node}/{components.identity.incarnation}",
        components.owned_partitions.get_retention_s,
        components.clock,
        components.events,
        tasks,
    )


def build_entry(
    components: NodeComponents,
    tasks: TaskGroup,
    links: LinkPool,
    routes: RosterUpdater,
    updater: FleetStateUpdater,
    executor: Executor,
    ownership: OwnershipManager,
    owners: OwnerClient,
    claims: ClaimClient,
) -> CallHandler:
    settings = components.settings
    dispatcher = Dispatcher(
        components,
        routes,
        RetryBudget(components.clock),
        links,
        executor.execute,
        updater.handle_answer,
    )
    quota = QuotaClient.from_config(
        settings.node.failure_domain,
        ownership,
        owners.request_tokens,
        components.owned_partitions.find_allotment,
        components.owned_partitions.list_failure_domains,
        components.clock,
        components.invariants,
        tasks,
        components.owned_partitions.count_quota_partitions,
    )
    return CallHandler(
        components,
        quota,
        ClaimedCallRunner(claims, dispatcher.dispatch, tasks, components.metrics),
        ThresholdTable.from_config(settings.policy, components.clock),
        ResendTracker(components.clock),
        dispatcher,
    )


def open_http_listeners(
    components: NodeComponents,
    callers: ASGIApp,
    local_app: ASGIApp,
    observe_app: ASGIApp,
) -> dict[str, HttpListener]:
    """Open the HTTP listeners; raise ConfigurationProblem for an unusable address."""
    settings = components.settings
    apps = {"callers": callers, "local": local_app, "observe": observe_app}
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


def connect_state_readers(
    components: NodeComponents,
    node: Node,
    executor: Executor,
    links: LinkPool,
    ownership: OwnershipManager,
) -> None:
    """Let the metrics read the state of other components on collection."""
    tracker, state_readers = components.tracker, components.metrics.state_readers
    state_readers.load = executor.load
    state_readers.configuration = lambda: (tracker.revision, tracker.confirmed_age_s())
    state_readers.late_answers = links.count_late_answers
    state_readers.owned_partitions = lambda: len(ownership.list_owned())
    state_readers.ready = lambda: not node.list_unready_reasons()
