"""A node: its listeners, its tasks and its graceful shutdown."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.claims import ClaimClient
from heathermount.entry.caller_app import CallerApp
from heathermount.entry.owner_client import OwnerClient
from heathermount.errors import ConfigurationProblem
from heathermount.execution.executor import Executor
from heathermount.execution.server_lifecycle import DrainCause, ServerLifecycle
from heathermount.membership import Group
from heathermount.node.components import NodeComponents
from heathermount.node.fleet_state import FleetStateUpdater
from heathermount.node.http_listener import HttpListener
from heathermount.ownership import OwnershipManager
from heathermount.wire.control import ControlServer
from heathermount.wire.server import LinkServer

__all__ = ["Node"]

# Time for callers to move to other nodes before idle connections are closed.
CONNECTION_MOVE_S: Final = 1.0
ROSTER_LOAD_PERIOD_S: Final = 2.0
TLS_CHECK_PERIOD_S: Final = 10.0


class Node:
    """Everything that runs in the daemon; `assemble_node` builds it."""

    __slots__ = (
        "_caller_app",
        "_claims",
        "_components",
        "_control_server",
        "_executor",
        "_fleet_state_updater",
        "_group",
        "_link_server",
        "_listeners",
        "_owner_client",
        "_ownership",
        "_server_lifecycle",
        "_stopping",
        "_tasks",
    )

    def __init__(
        self,
        *,
        components: NodeComponents,
        tasks: TaskGroup,
        caller_app: CallerApp,
        claims: ClaimClient,
        control_server: ControlServer,
        executor: Executor,
        group: Group,
        listeners: dict[str, HttpListener],
        owner_client: OwnerClient,
        ownership: OwnershipManager,
        link_server: LinkServer,
        server_lifecycle: ServerLifecycle,
        fleet_state_updater: FleetStateUpdater,
    ) -> None:
        self._components = components
        self._tasks = tasks
        self._caller_app = caller_app
        self._claims = claims
        self._control_server = control_server
        self._executor = executor
        self._group = group
        self._listeners = listeners
        self._owner_client = owner_client
        self._ownership = ownership
        self._link_server = link_server
        self._server_lifecycle = server_lifecycle
        self._fleet_state_updater = fleet_state_updater
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop`, then shut down without interrupting a request."""
        await self._open_listeners()
        for task in (
            self._link_server.run,
            self._fleet_state_updater.run,
            self._group.run,
            self._ownership.run,
            self._server_lifecycle.maintain_membership,
            self._owner_client.find_allocators,
            self._load_quota_rosters,
            self._reload_tls,
            *(listener.run for listener in self._listeners.values()),
        ):
            self._tasks.start_soon(task)
        self._components.events.record(
            "node-started",
            service=self._components.settings.node.service,
            incarnation=self._components.identity.incarnation,
        )
        await self._stopping.wait()
        await self._shut_down()

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    async def _open_listeners(self) -> None:
        listen = self._components.settings.listen
        host, _, port = listen.peers.rpartition(":")
        await self._link_server.bind(host, int(port))
        host, _, port = listen.control.rpartition(":")
        await self._control_server.start(host, int(port))

    async def _shut_down(self) -> None:
        grace_s = self._components.settings.timings.shutdown_grace_s
        self._components.events.record("node-stopping")
        self._server_lifecycle.start_drain(DrainCause.NODE)
        self._caller_app.closing = True
        with anyio.move_on_after(grace_s):
            await self._server_lifecycle.leave_roster()
            await anyio.sleep(CONNECTION_MOVE_S)
            self._listeners["callers"].stop()
            await self._wait_for_calls(grace_s)
            await self._ownership.release_all(self._owner_client.hand_over)
        # An owner keeps its listener open while it decides, because a refused
        # connection proves to other nodes that its process has ended.
        self._ownership.stop()
        await self._link_server.close()
        await self._control_server.close()
        for listener in self._listeners.values():
            listener.stop()
        self._components.control_clients.close()
        self._components.events.record("node-stopped")

    async def _wait_for_calls(self, grace_s: float) -> None:
        """Wait for calls that run here or entered here, and for their claims."""
        if self._executor.admission is not None:
            await self._executor.admission.drain()
        await self._caller_app.wait_until_idle()
        await self._claims.flush(grace_s)

    def list_unready_reasons(self) -> list[str]:
        """Return why the node takes no calls; empty when it is ready."""
        tracker = self._components.tracker
        reasons = []
        if tracker.policy is None and self._fleet_state_updater.is_store_down:
            reasons.append("no configuration yet: the store does not answer")
        elif tracker.policy is None:
            reasons.append("no configuration yet: apply a declaration")
        elif not tracker.is_fresh():
            reasons.append(
                "the configuration may be stale: store and peers do not answer"
            )
        elif not self._owner_client.allocator_lookup_done:
            reasons.append("looking for the allocators of the organisations' limits")
        if self._executor.announcement is None:
            reasons.append("no backend server has announced itself")
        elif self._group.roster.record.find(self._components.identity.node) is None:
            reasons.append("the backend server is not in the roster yet")
        elif not self._executor.suspicions_synchronised:
            reasons.append("waiting for the group's crash suspicions")
        elif not self._executor.server_reachable:
            reasons.append("the backend server does not accept connections")
        if self._executor.draining:
            reasons.append("draining")
        return reasons

    async def _load_quota_rosters(self) -> None:
        """Load rosters of the services that share quota partitions with this one."""
        own_service = self._components.settings.node.service
        while True:
            await self._components.tracker.wait_for_revision(0)
            owned_partitions = self._components.owned_partitions
            quota_services = {
                service
                for name in owned_partitions.list_eligible_partitions(own_service)
                if name.startswith("quota/")
                for service in owned_partitions.list_quota_services(name)
            }
            await self._fleet_state_updater.load_quota_rosters(sorted(quota_services))
            await anyio.sleep(ROSTER_LOAD_PERIOD_S)

    async def _reload_tls(self) -> None:
        """Reload changed certificate files without a restart."""
        while self._components.tls is not None:
            await anyio.sleep(TLS_CHECK_PERIOD_S)
            try:
                if self._components.tls.reload_if_changed():
                    self._components.events.record("tls-reloaded")
            except ConfigurationProblem as problem:
                # A certificate may be replaced before its key is: the current
                # contexts stay in use until both fit.
                self._components.events.record("tls-unusable", error=str(problem))
