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

__all__ = ["DRAIN", "GRACE", "REVOCATION", "Instance", "Run"]

# Bounds of the fleet: those that the users' sites state.
DRAIN: Final = "2s"
REVOCATION: Final = "5s"
GRACE: Final = "6s"

# The program that the platform starts, from the checkout of this package.
NODE_PROGRAM: Final = (
    Path(heathermount.__file__).resolve().parents[2] / "deploy" / "heathermount_node.py"
)

# Period of the heartbeats of backend servers, in seconds.
BEAT_S: Final = 1.0

# A heartbeat is this late at most, and a leaving server stays for this long after
# it, in seconds: together well beyond the drain time.
LATEST_BEAT_S: Final = 4.0
MIN_STAY_S: Final = 1.0
MAX_STAY_S: Final = 6.0

# Mean time that a server works on a request, and its slots: four servers of a
# service have room for several times the load of the soak.
WORK_S: Final = 0.03
SLOTS: Final = 8

# A process that was told to stop is given this long beyond its grace period, in
# seconds, before it counts as hanging.
EXIT_MARGIN_S: Final = 1.0


class Run:
    """One run of a request at a backend server."""

    __slots__ = (
        "at",
        "organisation",
        "request_id",
        "server_id",
    )

    def __init__(
        self, request_id: str, organisation: str, server_id: str, at: float
    ) -> None:
        self.request_id = request_id
        self.organisation = organisation
        self.server_id = server_id
        self.at = at


class Instance:
    """A node process with its backend server; both can be stopped and started."""

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
        self.runs: list[Run] = []
        # Times at which the node was told that its server leaves.
        self.drains: list[tuple[str, float]] = []
        # When the node was last stopped, paused or started again.
        self.disturbed_at = time.monotonic()
        self.problems: list[str] = []
        self.server: PlatformServerStandIn | None = None
        self._ports = PortReservation()
        self.outbound = self._ports.reserve()
        self.peers = self._ports.reserve()
        self._readiness = self._ports.reserve()
        self._control = self._ports.reserve()
        self.to_store = LoopbackProxy(store.address)
        self.to_node = LoopbackProxy(self.peers)
        self._random = random
        self._process = ManagedProcess(
            name,
            [sys.executable, str(NODE_PROGRAM)],
            directory,
            {"HEATHERMOUNT_CONFIG": str(self._settings_path)},
        )
        self._starts = 0
        # Number of the server's last heartbeat.
        self._sequence = 0
        # Size of the log before the present process, in bytes.
        self._log_size = 0
        self._beats: asyncio.Task[None] | None = None
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

    async def start(self, first: bool = False) -> None:
        """Start the proxies, the server and the node."""
        await self.to_store.start()
        await self.to_node.start()
        await self.start_server()
        self.start_node(first)

    async def close(self) -> None:
        """End everything that this instance started."""
        self._process.kill()
        self._ports.close()
        self.crash_server()
        await self.to_store.stop()
        await self.to_node.stop()

    def start_node(self, first: bool = False) -> None:
        self._write_settings(first)
        self._stopping = False
        self.disturbed_at = time.monotonic()
        log_path = self._process.log_path
        self._log_size = log_path.stat().st_size if log_path.exists() else 0
        self._process.start()

    def _write_settings(self, first: bool, repeat_ratio: float = 0.2) -> None:
        values: dict[str, dict[str, object]] = {
            "node": {
                "name": self.name,
                "service": self.service,
                "failure_domain": f"d-{int(self.name[2:]) % 3}",
                "application": "127.0.0.1:1",
                "first_start": first,
            },
            "listen": {
                "outbound": self.outbound,
                "peers": self.peers,
                "readiness": self._readiness,
                "control": self._control,
            },
            "store": {"endpoint": self.to_store.address},
            "bounds": {
                "drain": DRAIN,
                "revocation": REVOCATION,
                "grace": GRACE,
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

    def reload(self) -> None:
        """Change the settings file and tell the node."""
        self._write_settings(False, self._random.choice([0.1, 0.15, 0.2]))
        self._process.request_reload()

    def pause(self) -> None:
        self.disturbed_at = time.monotonic()
        self._process.pause()

    def resume(self) -> None:
        self._process.resume()
        self.disturbed_at = time.monotonic()

    def kill(self) -> None:
        self._stopping = True
        self.disturbed_at = time.monotonic()
        self._process.kill()

    async def stop(self) -> None:
        """Stop the node gracefully; note a problem when it does not end in time."""
        self._stopping = True
        self.disturbed_at = time.monotonic()
        stopped, pid = self.disturbed_at, self.pid
        self._process.terminate()
        code = await self._process.wait(parse_duration(GRACE) + EXIT_MARGIN_S)
        if self.pid != pid:
            # Another fault has killed it and started the next process.
            return
        if code is None:
            # A process that was paused meanwhile had less time to end.
            if self.disturbed_at == stopped:
                self.problems.append("still there after the grace period")
            self.kill()
        elif code == -signal.SIGTERM and not self._announced_start():
            # It was still importing and had served nothing.
            return
        elif code not in (0, -signal.SIGKILL):
            self.problems.append(f"exit code {code} after SIGTERM")

    def _announced_start(self) -> bool:
        """Tell whether the present process has logged its start."""
        log = self._process.log_path.read_bytes()
        return b"event=node-started" in log[self._log_size :]

    def check_alive(self) -> None:
        """Note a node that ended by itself."""
        if self._process.returncode is not None and not self._stopping:
            code = self._process.returncode
            self.problems.append(f"ended by itself with {code}")
            self._stopping = True

    async def start_server(self) -> None:
        """Start a new incarnation of the backend server."""
        self._starts += 1
        server_id = f"i-{self.name}-{self._starts}"
        server = PlatformServerStandIn(server_id)

        async def work(request: ServedRequest) -> int:
            organisation = request.organisation
            now = time.monotonic()
            self.runs.append(Run(request.request_id, organisation, server_id, now))
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * WORK_S)
            return 200

        server.work = work
        await server.start()
        self.server = server
        self._beats = asyncio.create_task(self._send_beats(server))

    def crash_server(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self.server is not None:
            self.server.stop()
            self.server = None

    async def drain_server(self, random: Random) -> None:
        """Tell the node that the server leaves; end the server some time later.

        The server says it with a heartbeat or with a DELETE, and goes on serving
        for longer than it has to. A heartbeat from before comes late.
        """
        server, late = self.server, self._sequence
        if server is None:
            return
        if self._beats is not None:
            self._beats.cancel()
        if random.random() < 0.5:
            acknowledged = await self._beat(server, late + 1, "draining")
        else:
            acknowledged = await self._leave(server)
        if acknowledged:
            self.drains.append((server.server_id, time.monotonic()))
        await asyncio.sleep(random.uniform(0.0, LATEST_BEAT_S))
        if self.server is server:
            await self._beat(server, late, "ready")
            await asyncio.sleep(random.uniform(MIN_STAY_S, MAX_STAY_S))
        if self.server is server:
            self.crash_server()

    async def _send_beats(self, server: PlatformServerStandIn) -> None:
        self._sequence = 0
        while True:
            self._sequence += 1
            await self._beat(server, self._sequence, "ready")
            await asyncio.sleep(BEAT_S)

    async def _beat(
        self, server: PlatformServerStandIn, sequence: int, state: str
    ) -> bool:
        """Send a heartbeat; tell whether the node acknowledged it."""
        path, data = server.make_heartbeat(
            self.service, SLOTS, sequence, state, self._starts
        )
        return await self._call_node("PUT", path, data)

    async def _leave(self, server: PlatformServerStandIn) -> bool:
        """Send a DELETE; tell whether the node acknowledged it."""
        path, _ = server.make_heartbeat(self.service, SLOTS, 0, "ready", 0)
        return await self._call_node("DELETE", path, b"")

    async def _call_node(self, method: str, path: str, data: bytes) -> bool:
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await send_request(
                    self._control, method, path, body=data
                )
        except (OSError, EOFError, TimeoutError):
            # The node is down, paused or starting; the next heartbeat follows.
            return False
        return status == 200
