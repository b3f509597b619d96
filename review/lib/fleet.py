"""A small deployment for the review cases: node processes beside stand-in servers.

Nodes are started with the command of the deploy file. The store and the operator are
the project's own stand-ins; the servers and clients are those of this file. All of
them use loopback addresses and the real clock.
"""

import asyncio
import json
import os
import signal
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from heathermount.runner.processes import PortReservation
from heathermount.standins.platform_store import PlatformStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
# The command of deploy/system.toml, started at the root of the repository.
NODE_COMMAND = ["python3", "deploy/heathermount_node.py"]

HOST = "shop.example"
ZONES = ["seq-a", "nq-a", "cq-a"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "drain": "2000ms",
    "propagation": "2000ms",
    "revocation": "5000ms",
    "grace": "6s",
    "repeat_ratio": 0.2,
    "repeat_window": "10s",
    "repeat_slack": 48.0,
}


class Record:
    """Writes what was sent, answered and run to `record.txt` in the case's folder."""

    def __init__(self, case: str) -> None:
        self.path = Path(case).resolve().parent / "record.txt"
        self._file = self.path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, event: str, **fields: object) -> float:
        """Write an event; return its time in seconds since the start."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        self._file.flush()
        return at

    def finish(self, verdict: str, code: int) -> int:
        self.write("verdict", code=code, text=verdict)
        print(verdict)
        self._file.close()
        return code


class Served:
    """A request as a server got it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = headers.get("x-heathermount-request-id", "")


Work = Callable[["Server", Served], Awaitable[tuple[int, bytes]]]


class Server:
    """A sound backend server beside one node."""

    def __init__(
        self, node: "Node", server_id: str, slots: int, work: Work, record: Record
    ) -> None:
        self.node = node
        self.server_id = server_id
        self.slots = slots
        self.work = work
        self.record = record
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        # Whether the server rejects a request although it has free slots.
        self.rejects: Callable[[Server, Served], bool] = lambda server, request: False
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self, beats: bool = True) -> None:
        """Listen at the address that the node's machine has for its server."""
        self.address = self.node.application
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        if beats:
            self.start_beats()

    def start_beats(self) -> None:
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def stop(self) -> None:
        """End at once, as a crash does: connections are reset, the port is closed."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def make_heartbeat(
        self, state: str = "ready", sequence: int | None = None
    ) -> bytes:
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return json.dumps(
            {
                "Service": self.node.service,
                "Address": self.address,
                "Zone": self.node.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdRemaining": "0ms",
                "Sequence": sequence,
                "born": self.born_ms,
            }
        ).encode()

    async def call_node(self, method: str, body: bytes = b"") -> int | None:
        """Call the node's control address; return the status, None without one."""
        path = f"/heathermount/instances/{self.server_id}"
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await exchange(self.node.control, method, path, {}, body)
                return status
        except (OSError, EOFError, TimeoutError):
            return None

    async def _beat(self) -> None:
        while True:
            await self.call_node("PUT", self.make_heartbeat())
            await asyncio.sleep(1.5)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve(reader, writer):
                pass
        except (OSError, EOFError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await read_request(reader)
        expected = request.headers.get("x-heathermount-expected-instance")
        if expected not in (None, self.server_id):
            writer.write(format_answer(421, request.request_id, b"", False, self))
            return True
        if self.running >= self.slots or self.rejects(self, request):
            writer.write(format_answer(503, request.request_id, b"", False, self))
            return True
        self.running += 1
        try:
            status, body = await self.work(self, request)
        finally:
            self.running -= 1
        writer.write(format_answer(status, request.request_id, body, True, self))
        await writer.drain()
        return True


class Node:
    """A node process as the deploy file starts it, and its server."""

    def __init__(
        self, name: str, service: str, zone: str, store: str, folder: Path
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self._ports = PortReservation()
        self.outbound = self._ports.reserve()
        self.inbound = self._ports.reserve()
        self.readiness = self._ports.reserve()
        self.control = self._ports.reserve()
        self.application = self._ports.reserve()
        self.store = store
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.server: Server | None = None

    def start(self, first_start: bool) -> None:
        """Write the settings as deploy/node.toml.template renders them, and start."""
        sections = {
            "node": {
                "name": self.name,
                "service": self.service,
                "failure_domain": self.zone,
                "application": self.application,
                "first_start": first_start,
            },
            "listen": {
                "outbound": self.outbound,
                "peers": self.inbound,
                "readiness": self.readiness,
                "control": self.control,
            },
            "store": {"endpoint": self.store},
            "bounds": BOUNDS,
        }
        lines = []
        for section, entries in sections.items():
            lines.append(f"[{section}]")
            lines += [
                f"{name} = {json.dumps(value)}" for name, value in entries.items()
            ]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "HEATHERMOUNT_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                NODE_COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await exchange(
                    self.readiness, "GET", "/heathermount/readiness", {}, b""
                )
                return status == 200
        except (OSError, EOFError, TimeoutError):
            return False

    def close(self) -> None:
        self.kill()
        if self.server is not None:
            self.server.stop()
        self._ports.close()


class Fleet:
    """The store, the nodes and their servers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = PlatformStoreStandIn()
        self.nodes: list[Node] = []
        self._folder = tempfile.TemporaryDirectory()
        self._version = 10

    async def start(
        self,
        services: list[str],
        configuration: dict[str, object],
        work: Work,
        slots: int,
    ) -> None:
        """Start a node beside a server for each entry of `services`."""
        await self.store.start()
        self.publish(configuration)
        for number, service in enumerate(services):
            node = self.add_node(service, self.store.address)
            node.server = Server(node, f"i-{number:02}-1", slots, work, self.record)
            await node.server.start()
            node.start(first_start=True)
        deadline = time.monotonic() + 30.0
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f"{node.name} did not become ready")
                await asyncio.sleep(0.1)

    def add_node(self, service: str, store: str) -> Node:
        number = len(self.nodes)
        zone = ZONES[number % len(ZONES)]
        name = f"sidecar-{zone}-{number // len(ZONES) + 1}"
        node = Node(name, service, zone, store, Path(self._folder.name))
        self.nodes.append(node)
        return node

    def publish(self, configuration: dict[str, object]) -> int:
        """Write a configuration as the operator; return its version."""
        self._version += 7
        data = json.dumps(configuration | {"Version": self._version}).encode()
        self.store.put_as_operator("op/config", data)
        self.record.write("configuration", version=self._version)
        return self._version

    async def close(self) -> None:
        for node in self.nodes:
            node.close()
        await self.store.stop()
        self._folder.cleanup()


class CannotRun(Exception):
    """The case could not be set up."""


def make_route(
    name: str, service: str, kind: str, **fields: object
) -> dict[str, object]:
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Service": service,
        "Kind": kind,
        "MaxAttempts": 3,
        "Timeout": "5000ms",
        "TargetLatency": "1500ms",
        "Priority": 1,
    } | fields


def make_configuration(
    routes: list[dict[str, object]], services: list[str], **fields: object
) -> dict[str, object]:
    return {
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": 532}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeout": "5s",
            "IdleTimeout": "30s",
        },
        "Tenants": [{"Name": "tenant-a", "ApiKeys": ["key-a"]}],
    } | fields


def format_answer(
    status: int, request_id: str, body: bytes, ran: bool, server: Server
) -> bytes:
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Heathermount-Request-Id: {request_id}",
        f"X-Heathermount-Server-Load: {server.running},0,{server.slots}",
        f"Content-Length: {len(body)}",
        "Keep-Alive: timeout=10",
    ]
    if ran:
        lines.append(f"X-Heathermount-Response-Stamp: {server.server_id}.1")
    else:
        lines.append("X-Heathermount-Not-Executed: 1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_request(reader: asyncio.StreamReader) -> Served:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = parse_headers(lines[1:])
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Served(method, target, headers, body)


def parse_headers(lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return headers


async def exchange(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return status, headers and body."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer_headers = parse_headers(lines[1:])
        length = int(answer_headers.get("content-length", 0))
        answer = await reader.readexactly(length) if length else b""
        return int(lines[0].split(" ")[1]), answer_headers, answer
    finally:
        writer.close()


async def send(
    node: Node,
    request_id: str,
    method: str,
    target: str,
    record: Record,
    body: bytes = b"",
    key: str = "key-a",
    deadline_ms: int = 5000,
) -> int | None:
    """Send a client's request; return the status, None without a whole answer."""
    headers = {
        "X-Heathermount-Request-Id": request_id,
        "X-Heathermount-Deadline-Milliseconds": str(deadline_ms),
    }
    if key:
        headers["X-Heathermount-Key"] = key
    record.write("sent", id=request_id, node=node.name, target=target)
    status, answer = None, {}
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            status, answer, _ = await exchange(
                node.outbound, method, target, headers, body
            )
    except (OSError, EOFError, TimeoutError) as error:
        record.write("unanswered", id=request_id, error=type(error).__name__)
        return None
    reason = answer.get("heathermount-reason", "")
    record.write("answered", id=request_id, status=status, reason=reason)
    return status


def run_case(case: Callable[[Fleet], Awaitable[tuple[str, int]]], file: str) -> int:
    """Run a case; return 1 if the rule broke, 0 if it held, 2 if it did not run."""

    async def run() -> int:
        record = Record(file)
        record.write("case", trouble=int(TROUBLE))
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(115.0):
                verdict, code = await case(fleet)
        except (CannotRun, TimeoutError, OSError) as error:
            verdict, code = f"could not run: {error!r}", 2
        finally:
            keep_logs(fleet)
            await fleet.close()
        return record.finish(verdict, code)

    return asyncio.run(run())


def keep_logs(fleet: Fleet) -> None:
    """Copy the nodes' logs to the folder that KEEP_LOGS names, if any."""
    folder = os.environ.get("KEEP_LOGS", "")
    if not folder:
        return
    Path(folder).mkdir(parents=True, exist_ok=True)
    for node in fleet.nodes:
        if node.log.exists():
            (Path(folder) / node.log.name).write_bytes(node.log.read_bytes())
