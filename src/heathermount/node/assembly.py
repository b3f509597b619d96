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
    fleet_state_updater, group, directory, roster_updater = build_membership(
        components, tasks, links, messenger
    )
    executor = Executor(
        components,
        messenger.share_notice,
        messenger.run_at_member,
        lambda: group.roster.record,
    )
    messenger.group, messenger.executor = group, executor
    ownership = build_ownership(components, group, directory, fleet_state_updater)
    owner_client = OwnerClient(components, links, ownership)
    claims = build_claims(components, tasks, ownership, owner_client)
    call_handler = build_call_handler(
        components,
        tasks,
        links,
        roster_updater,
        fleet_state_updater,
        executor,
        ownership,
        owner_client,
        claims,
    )
    server_lifecycle = ServerLifecycle(
        components, executor, group, roster_updater, tasks
    )
    request_handler = PeerRequestHandler(
        executor,
        components.owned_partitions,
        components.quarantine,
        components.events,
        fleet_state_updater.handle_heartbeat,
        messenger.make_heartbeat_reply,
    )
    control_service = NodeControlService(
        components,
        executor,
        ownership,
        group,
        directory,
        fleet_state_updater.read_store,
        server_lifecycle.set_operator_drain,
    )
    tls = components.tls.control_server if components.tls is not None else None
    caller_app = CallerApp(call_handler, settings.limits, components.metrics)
    local_app = LocalApp(
        settings.node.service,
        call_handler,
        components.call_contexts,
        settings.limits,
        LocalServerCallbacks(
            server_lifecycle.accept_announcement,
            server_lifecycle.withdraw,
            server_lifecycle.start_server_drain,
            server_lifecycle.get_drain_state,
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
        owner_client=owner_client,
        ownership=ownership,
        link_server=LinkServer(
            components.identity, request_handler.handle, components.metrics.traffic
        ),
        server_lifecycle=server_lifecycle,
        fleet_state_updater=fleet_state_updater,
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
    fleet_state_updater = FleetStateUpdater(components, tasks)
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
        fleet_state_updater.handle_heartbeat_reply,
    )
    directory = Directory(
        components.store,
        components.clock,
        components.rng,
        fleet_state_updater.fetch_roster,
        fleet_state_updater.list_record_sources,
    )
    roster_updater = RosterUpdater(directory, components.balancer, tasks)
    fleet_state_updater.set_dependencies(group, directory, roster_updater)
    return fleet_state_updater, group, directory, roster_updater


def build_ownership(
    components: NodeComponents,
    group: Group,
    directory: Directory,
    fleet_state_updater: FleetStateUpdater,
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
        NodePartitionHost(
            components, group, directory, fleet_state_updater.list_record_sources
        ),
        components.events,
        components.invariants,
    )


def build_claims(
    components: NodeComponents,
    tasks: TaskGroup,
    ownership: OwnershipManager,
    owner_client: OwnerClient,
) -> ClaimClient:
    return ClaimClient.from_config(
        ownership,
        owner_client.send_to_claim_owner,
        lambda: f"{components.identity.node}/{components.identity.incarnation}",
        components.owned_partitions.get_retention_s,
        components.clock,
        components.events,
        tasks,
    )


def build_call_handler(
    components: NodeComponents,
    tasks: TaskGroup,
    links: LinkPool,
    roster_updater: RosterUpdater,
    fleet_state_updater: FleetStateUpdater,
    executor: Executor,
    ownership: OwnershipManager,
    owner_client: OwnerClient,
    claims: ClaimClient,
) -> CallHandler:
    settings = components.settings
    dispatcher = Dispatcher(
        components,
        roster_updater,
        RetryBudget(components.clock),
        links,
        executor.execute,
        fleet_state_updater.handle_answer,
    )
    quota = QuotaClient.from_config(
        settings.node.failure_domain,
        ownership,
        owner_client.request_tokens,
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
    caller_app: ASGIApp,
    local_app: ASGIApp,
    observe_app: ASGIApp,
) -> dict[str, HttpListener]:
    """Open the HTTP listeners; raise ConfigurationProblem for an unusable address."""
    settings = components.settings
    apps = {"callers": caller_app, "local": local_app, "observe": observe_app}
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
