"""Builders of gateway nodes, their configuration and their environment."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from random import Random
from typing import Any
from unittest.mock import patch

from heathermount.clocks import Clock, SystemClock
from heathermount.config.settings import PolicySettings
from heathermount.events import EventLog
from heathermount.gateway.announcements import Announcement
from heathermount.gateway.configuration_document import (
    GatewayDocument,
    OrganisationEntry,
    RouteEntry,
    RouteTarget,
    ServiceEntry,
    digest_key,
)
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.departures import Departures
from heathermount.gateway.graceful_stop import GracefulStop
from heathermount.gateway.http_server import (
    HttpConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from heathermount.gateway.lifecycle import ServerLifecycle
from heathermount.gateway.messages import Execute
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.node import GatewayNode
from heathermount.gateway.request_executor import RequestExecutor
from heathermount.gateway.settings import GatewaySettings
from heathermount.invariants import Invariants
from heathermount.platform.configuration import PlatformConfigurationReader
from heathermount.platform.dialect import PlatformDialect
from heathermount.platform.heartbeats import HeartbeatHandler
from heathermount.platform.store import PlatformStore
from heathermount.routing.quarantine import Quarantine
from heathermount.standins import platform_client
from heathermount.standins.platform_client import HOST, send_request
from heathermount.standins.platform_operator import encode_configuration
from heathermount.standins.platform_server import PlatformServerStandIn
from heathermount.standins.platform_store import PlatformStoreStandIn
from heathermount.store.interface import WatchedStore

KEY = platform_client.KEY.encode()

# Bound of the users' pages for a change of the configuration to be in force.
PROPAGATION_S = 2.0


def run_async(body: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test body on its own event loop with a timeout of 30 s."""

    async def bounded() -> None:
        async with asyncio.timeout(30):
            await body()

    asyncio.run(bounded())


async def wait_for(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    """Poll until a condition holds; raise TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - conditions have no event
            await asyncio.sleep(0.01)


def make_route(
    name: str = "stock",
    prefix: str = "/stock/",
    services: tuple[str, ...] = ("pantry",),
    **fields: Any,
) -> RouteEntry:
    values: dict[str, Any] = {
        "host": HOST,
        "targets": [RouteTarget(service) for service in services],
        "idempotent": True,
        "timeout_s": 2.0,
        "objective_s": 1.0,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    } | fields
    return RouteEntry(name=name, prefix=prefix, **values)


def make_organisation(name: str = "anna", **fields: Any) -> OrganisationEntry:
    values: dict[str, Any] = {"keys": [f"key-of-{name}"], "priority": 1} | fields
    return OrganisationEntry(name, **values)


def make_document(
    version: int = 1,
    routes: list[RouteEntry] | None = None,
    organisations: list[OrganisationEntry] | None = None,
) -> GatewayDocument:
    if routes is None:
        routes = [make_route()]
    if organisations is None:
        organisations = [make_organisation()]
    return GatewayDocument(
        version,
        routes,
        [
            ServiceEntry("pantry", "/health", 100),
            ServiceEntry("orders", "/health", 100),
        ],
        organisations,
        HttpLimits(),
    )


def make_tracker(
    clock: Clock, document: GatewayDocument | None = None, freshness_s: float = 3.0
) -> ConfigurationTracker:
    tracker = ConfigurationTracker(clock, freshness_s, PROPAGATION_S)
    tracker.apply(document or make_document(), "test")
    tracker.confirm(clock.monotonic())
    return tracker


def make_announcement(address: str, **fields: Any) -> Announcement:
    values: dict[str, Any] = {
        "server_id": "i-1",
        "service": "pantry",
        "slots": 8,
        "draining": False,
        "cold_start_s": 0.0,
        "born_ms": 1,
        "sequence": 1,
    } | fields
    return Announcement(address=address, **values)


def make_lifecycle(
    clock: Clock, departures: Departures | None = None
) -> ServerLifecycle:
    """Return the life cycle of a server whose stored departures are not loaded."""
    return ServerLifecycle(clock, departures or Departures(), DecisionLog(clock))


def make_executor(
    clock: Clock,
    tracker: ConfigurationTracker,
    drain_s: float = 2.0,
    departures: Departures | None = None,
) -> RequestExecutor:
    """Return an executor; without `departures` it has loaded an empty record."""
    events = EventLog("n-1", clock, quiet=True)
    executor = RequestExecutor(
        "pantry",
        PlatformDialect(),
        tracker,
        clock,
        Random(1),
        events,
        Invariants(events),
        DecisionLog(clock),
        PolicySettings(),
        drain_s,
        Quarantine(clock),
        departures if departures is not None else Departures(),
        GracefulStop(clock),
        True,
        GatewayMetrics(dict),
        lambda: None,
    )
    if departures is None:
        executor.handle_departures_loaded()
    return executor


def make_execute(request_id: bytes = b"r-1", **fields: Any) -> Execute:
    values: dict[str, Any] = {
        "service": "pantry",
        "method": b"GET",
        "target": b"/stock/1",
        "headers": [
            (b"host", HOST.encode()),
            (b"x-heathermount-request-id", request_id),
        ],
        "body": b"",
        "organisation": "anna",
        "key_digest": digest_key(KEY),
        "account": "anna",
        "importance": 1,
        "cohort": 0,
        "deadline_s": 1.0,
        "idempotent": True,
        "configuration_version": 1,
        "fingerprint": b"f-1",
    } | fields
    return Execute(request_id=request_id, **values)


def find_free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [int(one.getsockname()[1]) for one in sockets]
    finally:
        for one in sockets:
            one.close()


def make_settings(
    name: str, service: str, store: str, **bounds: Any
) -> GatewaySettings:
    ports = find_free_ports(4)
    listen = ("outbound", "peers", "readiness", "control")
    return GatewaySettings.from_config(
        {
            "node": {
                "name": name,
                "service": service,
                "failure_domain": "a",
                "application": "127.0.0.1:1",
                "first_start": True,
            },
            "listen": {
                key: f"127.0.0.1:{port}"
                for key, port in zip(listen, ports, strict=True)
            },
            "store": {"endpoint": store, "first_read_delay_s": 0.0},
            "bounds": bounds,
        },
        "test",
    )


class StoreProxy:
    """Forwards one node's connections to the store until it is disconnected."""

    def __init__(self, address: str) -> None:
        self.target = address
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def disconnect(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, store_writer}
        await asyncio.gather(
            copy_bytes(reader, store_writer), copy_bytes(store_reader, writer)
        )


async def copy_bytes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(65536):
            writer.write(data)
    except OSError:
        # The proxy was disconnected.
        pass
    writer.close()


class RunningNode:
    """A node that runs in this process, with its backend server."""

    def __init__(
        self,
        settings: GatewaySettings,
        server: PlatformServerStandIn,
        proxy: StoreProxy,
    ) -> None:
        self.settings = settings
        self.server = server
        self._proxy = proxy
        self.node: GatewayNode
        self.task: asyncio.Task[None] | None = None
        self.sequence = 0

    async def start(self) -> None:
        await self.start_process()
        assert await self.send_heartbeat() == 200

    async def start_process(self) -> None:
        """Start the node without sending a heartbeat of its server."""
        store = PlatformStore.from_config(self.settings.store.endpoint, 1.0)
        self.node = GatewayNode(
            self.settings,
            store,
            PlatformConfigurationReader(store),
            PlatformDialect(),
            SystemClock(),
            Random(1),
            DecisionLog(SystemClock()),
        )
        # The platform reports the first start of the fleet only once.
        self.settings.node.first_start = False
        service = self.settings.node.service
        heartbeats = HeartbeatHandler(
            self.node.executor, service, self.node.departure_store.save
        )
        self.task = asyncio.create_task(self.node.run(heartbeats.handle))
        await wait_for(lambda: not self.node.unready_reasons())

    async def kill(self) -> None:
        """Stop the node immediately; its server keeps running."""
        await self.stop()

    async def disconnect_from_store(self) -> None:
        """Disconnect only this node from the store."""
        self._proxy.disconnect()

    async def send_heartbeat(self, state: str = "ready") -> int:
        """Send a heartbeat of the backend server; return the response status."""
        self.sequence += 1
        path, body = self.server.make_heartbeat(
            self.settings.node.service, 8, self.sequence, state, 1
        )
        status, _, _ = await send_request(
            self.settings.listen.control, "PUT", path, body=body
        )
        return status

    async def request(
        self, target: str = "/stock/1", request_id: str = "r-1", **fields: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a client request to this node."""
        return await send_request(
            self.settings.listen.outbound,
            fields.pop("method", "GET"),
            target,
            request_id=request_id,
            **fields,
        )

    async def stop(self) -> None:
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.wait([self.task])
        self.node.close()


@asynccontextmanager
async def run_fleet(
    services: tuple[str, ...] = ("pantry", "pantry"),
    document: GatewayDocument | None = None,
    **bounds: Any,
) -> AsyncIterator[tuple[PlatformStoreStandIn, list[RunningNode]]]:
    """Run a store, and a node with a backend server for each named service."""
    store = PlatformStoreStandIn()
    await store.start()
    store.put_as_operator(
        "op/config", encode_configuration(document or make_document())
    )
    nodes: list[RunningNode] = []
    try:
        for i, service in enumerate(services):
            server = PlatformServerStandIn(f"i-{i}")
            await server.start()
            proxy = StoreProxy(store.address)
            await proxy.start()
            settings = make_settings(f"n-{i}", service, proxy.address, **bounds)
            nodes.append(RunningNode(settings, server, proxy))
            await nodes[-1].start()
        await wait_for(lambda: all(knows_all_servers(one, nodes) for one in nodes))
        yield store, nodes
    finally:
        for one in nodes:
            await one.stop()
            await one.disconnect_from_store()
            one.server.stop()
        await store.stop()


def knows_all_servers(one: RunningNode, nodes: list[RunningNode]) -> bool:
    """Return whether a node knows the servers of all nodes."""
    records = one.node.registry.nodes
    return len(records) == len(nodes) and all(
        record.server is not None for record in records.values()
    )


@contextmanager
def delay_connections(wait: Callable[[], Awaitable[None]]) -> Iterator[None]:
    """Delay each outgoing connection of this event loop until `wait` returns."""
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def connect_late(*arguments: Any, **options: Any) -> Any:
        await wait()
        return await connect(*arguments, **options)

    with patch.object(loop, "create_connection", connect_late):
        yield


@asynccontextmanager
async def serve_platform(_: object) -> AsyncIterator[WatchedStore]:
    """Run the platform's store stand-in and yield a client of it."""
    store = PlatformStoreStandIn()
    await store.start()
    try:
        yield PlatformStore.from_config(store.address, 1.0)
    finally:
        await store.stop()


@asynccontextmanager
async def serve_http(
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]], limits: HttpLimits
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Serve a handler and yield one connection to it."""
    connections: set[HttpConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: HttpConnection(handler, lambda: limits, connections, lambda: False),
        "127.0.0.1",
        0,
    )
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        yield reader, writer
    finally:
        writer.close()
        server.close()
