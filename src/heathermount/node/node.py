"""One node: its listeners, its tasks, and its graceful stop."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.claims import ClaimClient
from heathermount.entry.callers import CallerApp
from heathermount.entry.owners import Owners
from heathermount.errors import ConfigurationProblem
from heathermount.execution.executor import Executor
from heathermount.execution.serving import Drain, Serving
from heathermount.membership import Group
from heathermount.node.listeners import HttpListener
from heathermount.node.parts import Parts
from heathermount.node.updates import Updates
from heathermount.ownership import OwnershipManager
from heathermount.wire.control import ControlServer
from heathermount.wire.server import LinkServer

__all__ = ["Node"]

# Callers get this long to move their connections before idle ones are closed.
MOVE_S: Final = 1.0
FOLLOW_PERIOD_S: Final = 2.0
TLS_CHECK_S: Final = 10.0


class Node:
    """Everything that runs in the daemon; `assemble_node` builds it."""

    __slots__ = (
        "_app",
        "_claims",
        "_control",
        "_executor",
        "_group",
        "_listeners",
        "_owners",
        "_ownership",
        "_parts",
        "_peers",
        "_serving",
        "_stopping",
        "_tasks",
        "_updates",
    )

    def __init__(
        self,
        *,
        parts: Parts,
        tasks: TaskGroup,
        app: CallerApp,
        claims: ClaimClient,
        control: ControlServer,
        executor: Executor,
        group: Group,
        listeners: dict[str, HttpListener],
        owners: Owners,
        ownership: OwnershipManager,
        peers: LinkServer,
        serving: Serving,
        updates: Updates,
    ) -> None:
        self._parts = parts
        self._tasks = tasks
        self._app = app
        self._claims = claims
        self._control = control
        self._executor = executor
        self._group = group
        self._listeners = listeners
        self._owners = owners
        self._ownership = ownership
        self._peers = peers
        self._serving = serving
        self._updates = updates
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop`, then stop without cutting a request."""
        await self._open_listeners()
        for task in (
            self._peers.run,
            self._updates.run,
            self._group.run,
            self._ownership.run,
            self._serving.keep_membership,
            self._owners.warm_up,
            self._follow_home_services,
            self._reload_tls,
            *(listener.run for listener in self._listeners.values()),
        ):
            self._tasks.start_soon(task)
        self._parts.events.record(
            "node-started",
            service=self._parts.settings.node.service,
            incarnation=self._parts.identity.incarnation,
        )
        await self._stopping.wait()
        await self._shut_down()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    async def _open_listeners(self) -> None:
        listen = self._parts.settings.listen
        host, _, port = listen.peers.rpartition(":")
        await self._peers.bind(host, int(port))
        host, _, port = listen.control.rpartition(":")
        await self._control.start(host, int(port))

    async def _shut_down(self) -> None:
        grace_s = self._parts.settings.timings.shutdown_grace_s
        self._parts.events.record("node-stopping")
        self._serving.drain(Drain.NODE)
        self._app.closing = True
        with anyio.move_on_after(grace_s):
            await self._serving.leave()
            await anyio.sleep(MOVE_S)
            self._listeners["callers"].stop()
            await self._wait_for_calls(grace_s)
            await self._ownership.release_all(self._owners.hand_over)
        # An owner keeps its listener open for as long as it decides, because a
        # refused connection proves to others that it has ended.
        self._ownership.stop()
        await self._peers.close()
        await self._control.close()
        for listener in self._listeners.values():
            listener.stop()
        self._parts.clients.close()
        self._parts.events.record("node-stopped")

    async def _wait_for_calls(self, grace_s: float) -> None:
        """Wait for calls that entered here, for those that run here, and claims."""
        if self._executor.admission is not None:
            await self._executor.admission.drain()
        await self._app.finish()
        await self._claims.flush(grace_s)

    def unready_reasons(self) -> list[str]:
        """Return why the node takes no calls; empty when it is ready."""
        tracker = self._parts.tracker
        reasons = []
        if tracker.policy is None and self._updates.store_down:
            reasons.append("no configuration yet: the store does not answer")
        elif tracker.policy is None:
            reasons.append("no configuration yet: apply a declaration")
        elif not tracker.is_fresh():
            reasons.append("the configuration may be outdated: store and peers silent")
        elif not self._owners.warm:
            reasons.append("looking for the allocators of the organisations' limits")
        if self._executor.announcement is None:
            reasons.append("no backend server has announced itself")
        elif self._group.roster.record.find(self._parts.identity.node) is None:
            reasons.append("the backend server is not in the roster yet")
        elif not self._executor.synchronised:
            reasons.append("waiting for the group's crash suspicions")
        elif not self._executor.reachable:
            reasons.append("the backend server does not accept connections")
        if self._executor.draining:
            reasons.append("draining")
        return reasons

    async def _follow_home_services(self) -> None:
        """Load rosters of the services that share quota partitions with this one."""
        own = self._parts.settings.node.service
        while True:
            await self._parts.tracker.wait_for_revision(0)
            owned = self._parts.owned
            shared = {
                service
                for name in owned.wanted_by(own)
                if name.startswith("quota/")
                for service in owned.home_services(name)
            }
            await self._updates.follow_home_services(sorted(shared))
            await anyio.sleep(FOLLOW_PERIOD_S)

    async def _reload_tls(self) -> None:
        """Take changed certificate files into use without a restart."""
        while self._parts.tls is not None:
            await anyio.sleep(TLS_CHECK_S)
            try:
                if self._parts.tls.reload_if_changed():
                    self._parts.events.record("tls-reloaded")
            except ConfigurationProblem as problem:
                # A certificate may be replaced before its key is; the contexts
                # in force remain until both fit.
                self._parts.events.record("tls-unusable", error=str(problem))
