"""A small deployment on loopback for the scripts of the second review.

It starts nodes with the command of the deploy file, fills in the settings template
and plays the platform: readiness questions, restarts, heartbeats of the servers and
the operator's configuration. The store is the project's own stand-in.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from heathermount.standins.platform_store import PlatformStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLE = DEPLOY["roles"]["node"]
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.3
BOUNDS = {
    "Drain": "2000ms",
    "Propagation": "2000ms",
    "Revocation": "5000ms",
    "GracePeriod": "6s",
    "RetryBudgetRatio": 0.2,
    "BudgetWindow": "10s",
    "RetryBudgetSlack": 48,
}
HOST = "shop.example"


class Record:
    """The record of a run, `record.txt`."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def reserve_ports(count):
    """Return free ports; the sockets stay bound until they are closed."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    return sockets, [one.getsockname()[1] for one in sockets]


def render(template, fields):
    """Fill in the placeholders of the settings template."""

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[part]
        return json.dumps(found)

    return re.sub(r"\{\{([A-Za-z.]+)\|json\}\}", value, template)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    @property
    def id(self):
        return self.headers.get("x-heathermount-request-id", "")


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return head[0], headers


class Server:
    """A sound backend server: one request at a time on each connection.

    `work` runs a request and returns status and body; `runs` lists what it began.
    """

    def __init__(self, record, service, zone, name, work, slots=100):
        self.record, self.service, self.zone = record, service, zone
        self.name, self.work, self.slots = name, work, slots
        self.id = f"i-{name}-{time.time_ns() % 10**9}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.running = 0
        self.state = "ready"
        self.listener = None
        self.address = ""
        self.writers = set()
        self.tasks = set()

    async def start(self, port=0):
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", port, limit=2**20
        )
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            while await self._serve(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, reader, writer):
        line, headers = await read_head(reader)
        method, target, _ = line.split(" ")
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        request = Request(method, target, headers, body)
        expected = headers.get("x-heathermount-expected-instance")
        if expected not in (None, self.id):
            self._answer(writer, request, 421, b"", stamped=False)
            return True
        if self.running >= self.slots:
            self._answer(writer, request, 503, b"", stamped=False, run=False)
            return True
        self.running += 1
        self.runs.append((time.monotonic(), request))
        try:
            result = await self.work(self, request)
        finally:
            self.running -= 1
        if result is None:
            return False
        status, answer = result
        self._answer(writer, request, status, answer)
        await writer.drain()
        return True

    def _answer(self, writer, request, status, body, stamped=True, run=True):
        lines = [f"HTTP/1.1 {status} Status", f"X-Heathermount-Request-Id: {request.id}"]
        if stamped:
            lines.append("X-Heathermount-Response-Stamp: stamp")
        if not run:
            lines.append("X-Heathermount-Not-Executed: 1")
        if status == 421:
            lines.append(f"X-Heathermount-Instance-Id: {self.id}")
        lines.append(f"X-Heathermount-Server-Load: {self.running},0,{self.slots}")
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def heartbeat(self):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemaining": "0ms",
            "Sequence": self.sequence,
            "born": self.born,
        }


class Machine:
    """A machine: its node process and the server beside it."""

    def __init__(self, fleet, name, service, zone):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.sockets, ports = reserve_ports(4)
        self.outbound, self.inbound, self.readiness, self.control = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.server = None
        self.process = None
        self.bootstrap = True
        # Whether the platform starts the process again when it ends.
        self.kept = True
        self.misses = 0
        self.ready = False
        self.settings = fleet.folder / f"{name}.toml"
        self.log = fleet.folder / f"{name}.log"

    def write_settings(self):
        """Write the settings file, as at each start and whenever settings change."""
        fields = {
            "NodeName": self.name,
            "Service": self.service,
            "Zone": self.zone,
            "Application": self.server.address,
            "Bootstrap": self.bootstrap,
            "Listen": {
                "Outbound": self.outbound,
                "Inbound": self.inbound,
                "Readiness": self.readiness,
                "Control": self.control,
            },
            "Platform": {"Address": self.fleet.store.address},
            "Bounds": self.fleet.bounds,
        }
        template = (ROOT / ROLE["template"]).read_text()
        self.settings.write_text(render(template, fields))

    def start(self):
        self.write_settings()
        self.bootstrap = False
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HEATHERMOUNT_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ROLE["run"].split(), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
            )
        self.fleet.record.write(f"node {self.name} started")

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)
            self.fleet.record.write(f"node {self.name} gets {signal.Signals(number).name}")

    def memory_mb(self):
        """Return the resident memory of the process, in MB."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().split("\n"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Fleet:
    """Nodes, servers, the store and the platform that keeps them running."""

    def __init__(self, record, folder, work, services, zones=("z-a", "z-b", "z-c"),
                 slots=100, bounds=None, memory_mb=None):
        self.record, self.folder, self.work = record, Path(folder), work
        self.bounds = BOUNDS | (bounds or {})
        self.slots = slots
        self.memory_mb = memory_mb
        self.store = PlatformStoreStandIn()
        self.version = 0
        self.machines = []
        self.ends = []
        self.tasks = []
        self.peak_mb = {}
        for index, service in enumerate(services):
            name = f"sidecar-{index + 1}"
            self.machines.append(
                Machine(self, name, service, zones[index % len(zones)])
            )

    async def start(self, configuration):
        await self.store.start()
        self.publish(configuration)
        for machine in self.machines:
            await self.start_server(machine)
            machine.start()
        self.tasks = [asyncio.create_task(self._ask_readiness())]
        self.tasks.append(asyncio.create_task(self._watch_processes()))
        for machine in self.machines:
            self.tasks.append(asyncio.create_task(self._send_heartbeats(machine)))
        await self.wait_until_ready()

    async def start_server(self, machine):
        machine.server = Server(
            self.record, machine.service, machine.zone, machine.name, self.work,
            self.slots,
        )
        await machine.server.start()

    async def wait_until_ready(self, seconds=20.0):
        async with asyncio.timeout(seconds):
            while not all(machine.ready for machine in self.machines):
                await asyncio.sleep(0.05)

    def publish(self, configuration):
        self.version += 1
        document = {"Version": self.version} | configuration
        self.store.put_as_operator("op/config", json.dumps(document).encode())
        self.record.write(f"operator: version {self.version} is acknowledged")
        return time.monotonic()

    async def close(self):
        await cancel(self.tasks)
        for machine in self.machines:
            machine.kept = False
            if machine.running:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
            for one in machine.sockets:
                one.close()
            if machine.server is not None:
                machine.server.stop()
        await self.store.stop()

    async def _ask_readiness(self):
        while True:
            for machine in self.machines:
                status = 0
                try:
                    async with asyncio.timeout(0.5):
                        status, _, _ = await call(
                            machine.readiness, "GET", "/heathermount/readiness"
                        )
                except (OSError, EOFError, TimeoutError):
                    pass
                machine.misses = 0 if status == 200 else machine.misses + 1
                machine.ready = status == 200 or (machine.ready and machine.misses < 2)
            await asyncio.sleep(1.0)

    async def _watch_processes(self):
        """Restart processes that ended; kill those over the memory limit."""
        while True:
            for machine in self.machines:
                if machine.running:
                    used = machine.memory_mb()
                    self.peak_mb[machine.name] = max(
                        self.peak_mb.get(machine.name, 0.0), used
                    )
                    if self.memory_mb is not None and used > self.memory_mb:
                        self.record.write(
                            f"platform: node {machine.name} uses {used:.0f} MB of "
                            f"{self.memory_mb} MB and is killed"
                        )
                        machine.process.kill()
                        machine.process.wait()
                elif machine.kept and machine.process is not None:
                    code = machine.process.returncode
                    self.ends.append((time.monotonic(), machine.name, code))
                    self.record.write(f"node {machine.name} has ended, code {code}")
                    machine.process = None
                    machine.misses = 2
                    machine.ready = False
                    self.tasks.append(asyncio.create_task(self._restart(machine)))
            await asyncio.sleep(0.02)

    async def _restart(self, machine):
        await asyncio.sleep(RESTART_DELAY_S)
        if machine.kept:
            machine.start()

    async def _send_heartbeats(self, machine):
        while True:
            server = machine.server
            if server is not None and server.state == "ready":
                await self.send_heartbeat(machine, server)
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self, machine, server):
        """Send a heartbeat; return whether the node acknowledged it."""
        path = f"/heathermount/instances/{server.id}"
        body = json.dumps(server.heartbeat()).encode()
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await call(machine.control, "PUT", path, body)
        except (OSError, EOFError, TimeoutError):
            return False
        return 200 <= status < 300


async def cancel(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def read_response(reader):
    line, headers = await read_head(reader)
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return int(line.split(" ")[1]), headers, body


def encode_request(method, target, body=b"", headers=None):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, target, body=b"", headers=None):
    """Send a request on a new connection; return status, headers and body."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
    try:
        writer.write(encode_request(method, target, body, headers))
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()


def make_route(name, prefix, kind, service, timeout="5000ms", latency="1500ms",
               attempts=2, public=False, priority=1):
    return {
        "Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind,
        "Timeout": timeout, "TargetLatency": latency, "Priority": priority,
        "Service": service, "MaxAttempts": attempts, "Public": public,
    }


def make_configuration(routes, services, tenants=(), connections=700):
    return {
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": connections}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
        },
        "Tenants": list(tenants),
    }


def run_case(main, limit_s=110.0):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    `main(record)` returns whether the rule was broken.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await main(record)

    try:
        broken = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"the case could not run: {error!r}")
        record.close()
        sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    record.close()
    sys.exit(1 if broken else 0)
