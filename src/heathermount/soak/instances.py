"""Instances of a gateway soak: a node process, its backend server and proxies."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Final

import heathermount
from heathermount.config.durations import parse_duration
from heathermount.runner.processes import ManagedProcess, PortReservation
from heathermount.soak.proxy import LoopbackProxy
from heathermount.standins.platform_client import send_request
from heathermount.standins.platform_server import PlatformServerStandIn, ServedRequest
from heathermount.standins.platform_store import PlatformStoreStandIn

__all__ = [
    "DRAIN_BOUND",
    "GRACE_BOUND",
    "PROPAGATION_BOUND",
    "REVOCATION_BOUND",
    "Instance",
    "RequestRun",
    "StatedLimit",
]

# Time bounds in the settings of the nodes, equal to those of the users' sites.
DRAIN_BOUND: Final = "2s"
PROPAGATION_BOUND: Final = "2s"
REVOCATION_BOUND: Final = "5s"
GRACE_BOUND: Final = "6s"

# The program that the platform starts as a node, in the checkout of this package.
NODE_PROGRAM: Final = (
    Path(heathermount.__file__).resolve().parents[2] / "deploy" / "heathermount_node.py"
)

LIMIT_HEADER: Final = "Server-Limit"

HEARTBEAT_PERIOD_S: Final = 1.0

# Longest delay of a stale heartbeat, and how long a draining server keeps serving
# after it. Together they can exceed the drain bound by far.
MAX_LATE_HEARTBEAT_DELAY_S: Final = 4.0
MIN_STAY_AFTER_HEARTBEAT_S: Final = 1.0
MAX_STAY_AFTER_HEARTBEAT_S: Final = 6.0

# Mean service time, and slots of a server. Four servers of a service have a
# capacity of several times the load of the soak.
MEAN_WORK_S: Final = 0.03
SERVER_SLOTS: Final = 8

# Time beyond the grace period after which a process that got SIGTERM counts as
# hanging.
EXIT_MARGIN_S: Final = 1.0


class RequestRun:
    """One execution of a request by a backend server."""

    __slots__ = (
        "organisation",
        "request_id",
        "server_id",
        "started_at",
    )

    def __init__(
        self, request_id: str, organisation: str, server_id: str, started_at: float
    ) -> None:
        self.request_id = request_id
        self.organisation = organisation
        self.server_id = server_id
        self.started_at = started_at


class StatedLimit:
    """A time in which a backend server stated a limit of its rate."""

    __slots__ = ("ended_at", "rate", "server_id", "started_at")

    def __init__(
        self, server_id: str, rate: float, started_at: float, ended_at: float
    ) -> None:
        self.server_id = server_id
        self.rate = rate
        self.started_at = started_at
        self.ended_at = ended_at


class Instance:
    """A node process with its backend server; each can be stopped and restarted."""

    def __init__(
        self,
        name: str,
        service: str,
        store: PlatformStoreStandIn,
        directory: Path,
        random: Random,
    ) -> None:
        self.name = name
        self.service = service
        self.directory = directory
        self.runs: list[RequestRun] = []
        # Server identifiers with the time at which the node acknowledged the drain.
        self.acknowledged_drains: list[tuple[str, float]] = []
        self.stated_limits: list[StatedLimit] = []
        # When the node was last started, stopped, paused or resumed.
        self.last_disturbed_at = time.monotonic()
        self.problems: list[str] = []
        self.server: PlatformServerStandIn | None = None
        self._ports = PortReservation()
        self.outbound_address = self._ports.reserve()
        self.peer_address = self._ports.reserve()
        self._readiness_address = self._ports.reserve()
        self._control_address = self._ports.reserve()
        self.store_proxy = LoopbackProxy(store.address)
        self.node_proxy = LoopbackProxy(self.peer_address)
        self._random = random
        self._process = ManagedProcess(
            name,
            [sys.executable, str(NODE_PROGRAM)],
            directory,
            {"HEATHERMOUNT_CONFIG": str(self._settings_path)},
        )
        self._server_starts = 0
        # Sequence number of the last heartbeat of the server.
        self._heartbeat_sequence = 0
        # Position in the log file at which the current process began.
        self._log_start_bytes = 0
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._stopping = False

    @property
    def running(self) -> bool:
        return self._process.running

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def paused(self) -> bool:
        return self._process.paused

    async def start(self, first_start: bool = False) -> None:
        """Start the proxies, the server and the node."""
        await self.store_proxy.start()
        await self.node_proxy.start()
        await self.start_server()
        self.start_node(first_start)

    async def close(self) -> None:
        """Stop the node, the backend server and the proxies."""
        self._process.kill()
        self._ports.close()
        self.crash_server()
        await self.store_proxy.stop()
        await self.node_proxy.stop()

    def start_node(self, first_start: bool = False) -> None:
        self._write_settings(first_start)
        self._stopping = False
        self.last_disturbed_at = time.monotonic()
        log_path = self._process.log_path
        self._log_start_bytes = log_path.stat().st_size if log_path.exists() else 0
        self._process.start()

    def _write_settings(self, first_start: bool, repeat_ratio: float = 0.2) -> None:
        values: dict[str, dict[str, object]] = {
            "node": {
                "name": self.name,
                "service": self.service,
                "failure_domain": f"d-{int(self.name[2:]) % 3}",
                "application": "127.0.0.1:1",
                "first_start": first_start,
            },
            "listen": {
                "outbound": self.outbound_address,
                "peers": self.peer_address,
                "readiness": self._readiness_address,
                "control": self._control_address,
            },
            "store": {"endpoint": self.store_proxy.address},
            "bounds": {
                "drain": DRAIN_BOUND,
                "propagation": PROPAGATION_BOUND,
                "revocation": REVOCATION_BOUND,
                "grace": GRACE_BOUND,
                "repeat_ratio": repeat_ratio,
            },
        }
        lines = []
        for section, entries in values.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in entries.items()]
        self._settings_path.write_text("\n".join(lines) + "\n")

    @property
    def _settings_path(self) -> Path:
        return self.directory / f"{self.name}.toml"

    def reload_settings(self) -> None:
        """Change the settings file and send SIGHUP to the node."""
        self._write_settings(False, self._random.choice([0.1, 0.15, 0.2]))
        self._process.request_reload()

    def pause(self) -> None:
        self.last_disturbed_at = time.monotonic()
        self._process.pause()

    def resume(self) -> None:
        self._process.resume()
        self.last_disturbed_at = time.monotonic()

    def kill(self) -> None:
        self._stopping = True
        self.last_disturbed_at = time.monotonic()
        self._process.kill()

    async def stop(self) -> None:
        """Stop the node gracefully; record a problem if it does not exit in time."""
        self._stopping = True
        self.last_disturbed_at = time.monotonic()
        stopped_at, pid = self.last_disturbed_at, self.pid
        self._process.terminate()
        code = await self._process.wait(parse_duration(GRACE_BOUND) + EXIT_MARGIN_S)
        if self.pid != pid:
            # Another fault has killed and restarted the node meanwhile.
            return
        if code is None:
            # A process that was paused meanwhile had less time to exit.
            if self.last_disturbed_at == stopped_at:
                self.problems.append("still running after the grace period")
            self.kill()
        elif code == -signal.SIGTERM and not self._has_logged_start():
            # SIGTERM came during the imports, before the node served any request.
            return
        elif code not in (0, -signal.SIGKILL):
            self.problems.append(f"exit code {code} after SIGTERM")

    def _has_logged_start(self) -> bool:
        """Return whether the current process has logged its start."""
        log = self._process.log_path.read_bytes()
        return b"event=node-started" in log[self._log_start_bytes :]

    def check_unexpected_exit(self) -> None:
        """Record a problem if the node exited without being stopped."""
        if self._process.returncode is not None and not self._stopping:
            code = self._process.returncode
            self.problems.append(f"exited unexpectedly with code {code}")
            self._stopping = True

    async def start_server(self) -> None:
        """Start a new incarnation of the backend server."""
        self._server_starts += 1
        server_id = f"i-{self.name}-{self._server_starts}"
        server = PlatformServerStandIn(server_id)

        async def work(request: ServedRequest) -> int:
            organisation = request.organisation
            now = time.monotonic()
            self.runs.append(
                RequestRun(request.request_id, organisation, server_id, now)
            )
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * MEAN_WORK_S)
            return 200

        server.work = work
        await server.start()
        self.server = server
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats(server))

    def crash_server(self) -> None:
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self.server is not None:
            self.server.stop()
            self.server = None

    async def drain_server(self, random: Random) -> None:
        """Announce to the node that the server drains, and stop the server later.

        The announcement is a heartbeat or a DELETE request. The server keeps serving
        for longer than required, and a stale heartbeat arrives after the announcement.
        """
        server, stale_sequence = self.server, self._heartbeat_sequence
        if server is None:
            return
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if random.random() < 0.5:
            acknowledged = await self._send_heartbeat(
                server, stale_sequence + 1, "draining"
            )
        else:
            acknowledged = await self._withdraw_server(server)
        if acknowledged:
            self.acknowledged_drains.append((server.server_id, time.monotonic()))
        await asyncio.sleep(random.uniform(0.0, MAX_LATE_HEARTBEAT_DELAY_S))
        if self.server is server:
            await self._send_heartbeat(server, stale_sequence, "ready")
            await asyncio.sleep(
                random.uniform(MIN_STAY_AFTER_HEARTBEAT_S, MAX_STAY_AFTER_HEARTBEAT_S)
            )
        if self.server is server:
            self.crash_server()

    async def limit_server(self, rate: float, duration_s: float) -> None:
        """Let the server state a limit, in requests per second, for some time."""
        server = self.server
        if server is None or LIMIT_HEADER in server.headers:
            return
        server.headers[LIMIT_HEADER] = str(rate)
        started_at = time.monotonic()
        await asyncio.sleep(duration_s)
        self.stated_limits.append(
            StatedLimit(server.server_id, rate, started_at, time.monotonic())
        )
        del server.headers[LIMIT_HEADER]

    async def _send_heartbeats(self, server: PlatformServerStandIn) -> None:
        self._heartbeat_sequence = 0
        while True:
            self._heartbeat_sequence += 1
            await self._send_heartbeat(server, self._heartbeat_sequence, "ready")
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _send_heartbeat(
        self, server: PlatformServerStandIn, sequence: int, state: str
    ) -> bool:
        """Send a heartbeat; return whether the node acknowledged it."""
        path, data = server.make_heartbeat(
            self.service, SERVER_SLOTS, sequence, state, self._server_starts
        )
        return await self._call_node("PUT", path, data)

    async def _withdraw_server(self, server: PlatformServerStandIn) -> bool:
        """Send a DELETE request; return whether the node acknowledged it."""
        path, _ = server.make_heartbeat(self.service, SERVER_SLOTS, 0, "ready", 0)
        return await self._call_node("DELETE", path, b"")

    async def _call_node(self, method: str, path: str, data: bytes) -> bool:
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await send_request(
                    self._control_address, method, path, body=data
                )
        except (OSError, EOFError, TimeoutError):
            # The node is down, paused or starting. The next heartbeat is the retry.
            return False
        return status == 200
