"""Runs a described fleet as processes on loopback."""

import atexit
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import anyio
import msgspec
import tomli_w
from prometheus_client.parser import text_string_to_metric_families

from heathermount.clocks import Clock, SystemClock
from heathermount.events import Event, EventLog, merge_events
from heathermount.runner.backend_settings import ServerDescription
from heathermount.runner.operators import Operator, StoreOperator
from heathermount.runner.processes import ManagedProcess, PortReservation
from heathermount.runner.topologies import (
    FleetDescription,
    ServiceDescription,
    make_declaration,
)
from heathermount.standins.http_client import (
    ConnectionPool,
    HttpResponse,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.records import RunRecord, read_run_records

__all__ = ["Fleet", "FleetNotReady", "Member"]

SECRET: Final = "secret of a fleet on loopback"
AUTHOR: Final = "fleet-runner"
CALL_TIMEOUT_S: Final = 2.0
READINESS_POLL_S: Final = 0.1
VIOLATIONS_METRIC: Final = "heathermount_invariant_violations"
VIOLATION_LOG_EVENT: Final = "event=invariant-violated "

OperatorFactory = Callable[[str, bytes], Operator]


class FleetNotReady(Exception):
    """Processes did not become ready; the message ends with their last log lines."""


class Member(msgspec.Struct, kw_only=True):
    """One instance: a backend server, the node beside it, and their addresses."""

    name: str
    service: str
    failure_domain: str
    server: str
    callers: str
    local: str
    peers: str
    control: str
    observe: str
    # Name of the process that hosts the backend server.
    backend_process: str = ""


class Fleet:
    """Async context manager that starts all processes and always ends them.

    `overrides` maps sections of the node settings to fields that every node gets.
    """

    __slots__ = (
        "_clock",
        "_collected_events",
        "_operator_factory",
        "_ports",
        "_seed",
        "_settings_overrides",
        "_temporary_directory",
        "declaration",
        "description",
        "events",
        "keys",
        "members",
        "operator",
        "processes",
        "store_address",
    )

    def __init__(
        self,
        description: FleetDescription,
        seed: int = 1,
        overrides: dict[str, dict[str, Any]] | None = None,
        clock: Clock | None = None,
        operator_factory: OperatorFactory = StoreOperator,
    ) -> None:
        self.description = description
        self.declaration = make_declaration(description)
        self.members: dict[str, Member] = {}
        self.processes: dict[str, ManagedProcess] = {}
        # API keys by organisation.
        self.keys: dict[str, str] = {}
        self.store_address = ""
        self._seed = seed
        self._settings_overrides = overrides or {}
        self._clock = clock or SystemClock()
        self._operator_factory = operator_factory
        self._ports = PortReservation()
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="heathermount-")
        self._collected_events: list[list[Event]] = []
        self.events = EventLog("fleet", self._clock, quiet=True)
        self.operator: Operator | None = None

    @property
    def directory(self) -> Path:
        """Temporary directory with settings, logs and records."""
        return Path(self._temporary_directory.name)

    async def __aenter__(self) -> Self:
        atexit.register(self.end_processes)
        try:
            await self.start()
        except BaseException:
            self._clean_up()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._clean_up()

    def _clean_up(self) -> None:
        self.end_processes()
        self._ports.close()
        self._temporary_directory.cleanup()
        atexit.unregister(self.end_processes)

    def end_processes(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes.values():
            process.kill()

    # Start

    async def start(self) -> None:
        """Start all processes, configure the fleet and wait until it is ready."""
        self._prepare_processes()
        self.processes["store"].start()
        await self._wait_for_store()
        await self.configure()
        for name, process in self.processes.items():
            if name != "store":
                process.start()
        await self.wait_ready(self.members)
        self.events.record("fleet-ready", nodes=len(self.members))

    async def configure(self) -> None:
        """Apply the declaration and add one key for each organisation."""
        self.operator = self._operator_factory(self.store_address, SECRET.encode())
        await self.operator.apply(self.declaration, AUTHOR, "first declaration")
        for organisation in self.description.organisations:
            self.keys[organisation.name] = await self.operator.add_key(
                organisation.name, AUTHOR
            )

    def _prepare_processes(self) -> None:
        self.store_address = self._ports.reserve()
        self._add_process(
            "store", "heathermount.standins.store", f"--listen={self.store_address}"
        )
        servers: list[ServerDescription] = []
        for service in self.description.services:
            for number in range(service.servers):
                member = self._make_member(service, number)
                self.members[member.name] = member
                servers.append(make_server_description(service, member))
        self._prepare_backend_processes(servers)
        for member in self.members.values():
            path = self._write_settings(
                f"{member.name}.toml", self._make_node_settings(member)
            )
            self._add_process(
                member.name, "heathermount.cli.daemon", f"--config={path}"
            )

    def _prepare_backend_processes(self, servers: list[ServerDescription]) -> None:
        size = self.description.servers_per_process
        for start in range(0, len(servers), size):
            hosted_servers = servers[start : start + size]
            name = f"backend-{start // size + 1}"
            settings = {
                "seed": self._seed,
                "record_file": f"{name}.records",
                "servers": [msgspec.to_builtins(server) for server in hosted_servers],
            }
            path = self._write_settings(f"{name}.toml", settings)
            self._add_process(name, "heathermount.standins.backend", f"--config={path}")
            for server in hosted_servers:
                self.members[server.name].backend_process = name

    def _make_member(self, service: ServiceDescription, number: int) -> Member:
        domains = self.description.failure_domains
        return Member(
            name=f"{service.name}-{number + 1}",
            service=service.name,
            failure_domain=domains[number % len(domains)],
            server=self._ports.reserve(),
            callers=self._ports.reserve(),
            local=self._ports.reserve(),
            peers=self._ports.reserve(),
            control=self._ports.reserve(),
            observe=self._ports.reserve(),
        )

    def _make_node_settings(self, member: Member) -> dict[str, Any]:
        seeds = [
            other.control
            for other in self.members.values()
            if other.name != member.name
        ]
        settings: dict[str, dict[str, Any]] = {
            "node": {
                "name": member.name,
                "service": member.service,
                "failure_domain": member.failure_domain,
            },
            "listen": {
                "callers": member.callers,
                "local": member.local,
                "peers": member.peers,
                "control": member.control,
                "observe": member.observe,
            },
            "store": {"endpoint": self.store_address},
            "security": {"fleet_secret": SECRET},
            "peers": {"seeds": seeds[:3]},
        }
        for section, fields in self._settings_overrides.items():
            settings.setdefault(section, {}).update(fields)
        return settings

    def _write_settings(self, name: str, settings: dict[str, Any]) -> str:
        path = self.directory / name
        path.write_bytes(tomli_w.dumps(settings).encode())
        return str(path)

    def _add_process(self, name: str, module: str, flag: str) -> None:
        command = [sys.executable, "-m", module, flag]
        self.processes[name] = ManagedProcess(name, command, self.directory)

    # Readiness

    async def _wait_for_store(self, timeout_s: float = 15.0) -> None:
        with anyio.move_on_after(timeout_s):
            while True:
                if await self._get(self.store_address, "/counters") is not None:
                    return
                await anyio.sleep(READINESS_POLL_S)
        raise FleetNotReady(f"store: {self.processes['store'].log_tail()}")

    async def wait_ready(self, names: Iterable[str], timeout_s: float = 30.0) -> None:
        """Wait until the nodes are ready; raise FleetNotReady."""
        waiting = set(names)
        with anyio.move_on_after(timeout_s):
            while waiting:
                ready = {name for name in waiting if await self.is_ready(name)}
                waiting -= ready
                if not all(self.processes[name].running for name in waiting):
                    break
                await anyio.sleep(READINESS_POLL_S if waiting else 0)
        if waiting:
            reports = [await self.describe_readiness(name) for name in sorted(waiting)]
            raise FleetNotReady("; ".join(reports))

    async def is_ready(self, name: str) -> bool:
        answer = await self._get(self.members[name].observe, "/readyz")
        return answer is not None and answer.status == 200

    async def describe_readiness(self, name: str) -> str:
        answer = await self._get(self.members[name].observe, "/readyz")
        reason = answer.body.decode() if answer else "no answer"
        return f"{name}: {reason}: {self.processes[name].log_tail()}"

    # Faults

    async def kill(self, name: str) -> None:
        """Kill a process: a node by its name, "store", or "backend-<n>"."""
        await self._collect_events([name])
        self.events.record("process-killed", process=name)
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        self.events.record("process-paused", process=name)
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        self.events.record("process-resumed", process=name)
        self.processes[name].resume()

    async def terminate(self, name: str, timeout_s: float = 40.0) -> int | None:
        """Shut a process down gracefully; return its exit code, None on timeout."""
        await self._collect_events([name])
        self.events.record("process-terminated", process=name)
        self.processes[name].terminate()
        return await self.processes[name].wait(timeout_s)

    def restart(self, name: str) -> None:
        """Start an ended process again, on the same addresses."""
        self.events.record("process-started", process=name)
        self.processes[name].start()

    async def change_behaviour(self, server: str, **fields: Any) -> bool:
        """Change a backend server's behaviour; return whether it was reached."""
        self.events.record("behaviour-changed", server=server, fields=str(fields))
        answer = await self._call(
            self.members[server].server, "POST", "/behaviour", fields
        )
        return answer is not None and answer.status == 200

    async def drain(self, name: str) -> bool:
        """Start draining a backend server at its node."""
        self.events.record("drain-asked", server=name)
        await self.change_behaviour(name, drain=True)
        path = "/heathermount/v1/drain"
        answer = await self._call(self.members[name].local, "POST", path, {})
        return answer is not None and answer.status == 202

    async def set_store_faults(self, **fields: Any) -> bool:
        """Change the store's faults; return whether it was reached."""
        self.events.record("store-faults", fields=str(fields))
        answer = await self._call(self.store_address, "POST", "/faults", fields)
        return answer is not None and answer.status == 200

    # Observation

    def entry_addresses(self) -> list[str]:
        """Return the addresses of the nodes' listeners for callers."""
        return [member.callers for member in self.members.values()]

    def run_records(self) -> list[RunRecord]:
        """Return all backend servers' records, including those of ended processes."""
        return read_run_records(sorted(self.directory.glob("*.records")))

    async def read_metrics(self, name: str) -> dict[str, float]:
        """Return a node's samples by "name{label=value}"; empty when unreachable."""
        answer = await self._get(self.members[name].observe, "/metrics")
        return parse_metrics(answer.body.decode()) if answer is not None else {}

    async def violations(self) -> dict[str, int]:
        """Return the number of violations of all nodes, by "node/invariant"."""
        counts: Counter[str] = Counter()
        for name in self.members:
            logged_counts = count_logged_violations(self.processes[name].log_path)
            for sample, value in (await self.read_metrics(name)).items():
                if sample.startswith(VIOLATIONS_METRIC) and "_created" not in sample:
                    invariant = sample.partition("=")[2].rstrip("}")
                    logged_counts[invariant] = max(logged_counts[invariant], int(value))
            counts.update(
                {f"{name}/{k}": count for k, count in logged_counts.items() if count}
            )
        return dict(counts)

    def ended_processes(self) -> dict[str, str]:
        """Return the processes that have ended, with exit code and last log line."""
        return {
            name: f"exit code {process.returncode}: {process.log_tail(1)}"
            for name, process in self.processes.items()
            if not process.running
        }

    async def timeline(self) -> list[Event]:
        """Return the events of all nodes and of this runner in causal order."""
        await self._collect_events(self.members)
        return merge_events([*self._collected_events, self.events.events_since()])

    async def _collect_events(self, names: Iterable[str]) -> None:
        for name in names:
            if name not in self.members or self.processes[name].paused:
                continue
            answer = await self._get(self.members[name].observe, "/timeline")
            if answer is not None and answer.status == 200:
                self._collected_events.append(decode_events(answer.body))

    async def _get(self, address: str, path: str) -> HttpResponse | None:
        return await self._call(address, "GET", path)

    async def _call(
        self, address: str, method: str, path: str, fields: dict[str, Any] | None = None
    ) -> HttpResponse | None:
        """Make one call on a new connection; return None when it fails."""
        pool = ConnectionPool(address)
        body = b"" if fields is None else msgspec.json.encode(fields)
        headers = [(b"content-type", b"application/json")]
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                return await pool.request(method, path, headers, body)
        except (RequestNotSent, RequestBroken, TimeoutError):
            return None
        finally:
            pool.close()


def make_server_description(
    service: ServiceDescription, member: Member
) -> ServerDescription:
    """Return the settings of a member's backend server."""
    return ServerDescription(
        name=member.name,
        service=service.name,
        listen=member.server,
        node=member.local,
        slots=service.slots,
        connections=service.connections,
        backlog=service.backlog,
        routes=[route.to_route_description() for route in service.routes],
        cold_start_s=service.cold_start_s,
    )


def parse_metrics(text: str) -> dict[str, float]:
    """Parse the Prometheus text format."""
    samples: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f"{k}={v}" for k, v in sorted(sample.labels.items()))
            name = f"{sample.name}{{{labels}}}" if labels else sample.name
            samples[name] = sample.value
    return samples


def count_logged_violations(path: Path) -> Counter[str]:
    """Count violations by invariant in a log, which outlives a killed node."""
    counts: Counter[str] = Counter()
    if not path.exists():
        return counts
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        if VIOLATION_LOG_EVENT in line:
            fields = dict(part.partition("=")[::2] for part in line.split())
            counts[fields.get("invariant", "unnamed")] += 1
    return counts


def decode_events(body: bytes) -> list[Event]:
    """Decode a node's timeline, one JSON object on each line."""
    lines = [msgspec.json.decode(line) for line in body.splitlines() if line]
    return [Event(**line) for line in lines]
