"""Process that runs one or more backend server stand-ins.

Run as `python -m heathermount.standins.backend --config=FILE`.
"""

import os
import signal
import socket
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from typing import BinaryIO, Final

import anyio
import msgspec
import uvicorn
import uvloop
from absl import flags, logging

from heathermount.clocks import Clock, SystemClock
from heathermount.runner.backend_settings import BackendSettings, ServerDescription
from heathermount.standins.backend_server import HEALTH_PATH, LOAD_PATH, BackendServer
from heathermount.standins.commandline import make_flag_values, require_flag
from heathermount.standins.http_client import RequestBroken, RequestNotSent

__all__ = ["ServerSupervisor", "main", "run", "serve_backends"]

ANNOUNCE_PATH: Final = "/heathermount/v1/announce"
DRAIN_PATH: Final = "/heathermount/v1/drain"

# Pause before an announcement that the node did not accept is sent again.
ANNOUNCE_RETRY_S: Final = 0.3
NODE_CALL_TIMEOUT_S: Final = 2.0
CRASH_EXIT_CODE: Final = 70
RESERVED_CONTROL_CONNECTIONS: Final = 8


class EmbeddedUvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class ServerSupervisor:
    """Runs a backend server: listens, announces it, and restarts it after a crash."""

    __slots__ = (
        "_http_server",
        "_listening_event",
        "_port",
        "_stopping",
        "description",
        "server",
    )

    def __init__(
        self,
        description: ServerDescription,
        clock: Clock,
        random: Random,
        record_file: BinaryIO | None = None,
    ) -> None:
        self.description = description
        self.server = BackendServer(description, clock, random, record_file)
        self.server.on_crash = self._handle_crash
        self._http_server: EmbeddedUvicornServer | None = None
        self._port = int(description.listen.rpartition(":")[2])
        self._stopping = False
        self._listening_event = anyio.Event()

    @property
    def address(self) -> str:
        """Address of the listener; valid once `wait_listening` has returned."""
        return f"{self.description.listen.rpartition(':')[0]}:{self._port}"

    async def wait_listening(self) -> None:
        await self._listening_event.wait()

    async def run(self) -> None:
        """Serve requests until `stop` is called or the task is cancelled."""
        async with anyio.create_task_group() as group:
            if self.description.node:
                group.start_soon(self._announce_periodically)
            await self._serve_until_stopped()
            group.cancel_scope.cancel()

    async def stop(self, grace_s: float) -> None:
        """Drain through the node, wait for running requests, withdraw and close.

        Draining and waiting take at most `grace_s` seconds.
        """
        self.server.draining = True
        with anyio.move_on_after(grace_s):
            await self._drain_through_node()
            await self.server.wait_idle()
        await self._call_node("DELETE", ANNOUNCE_PATH)
        self._stopping = True
        if self._http_server is not None:
            self._http_server.should_exit = True

    async def _serve_until_stopped(self) -> None:
        while True:
            listener = self._bind()
            self._http_server = make_http_server(self.server, self.description)
            self._listening_event.set()
            try:
                await self._http_server.serve(sockets=[listener])
            finally:
                # A cancelled uvicorn server does not close its listener.
                self._close_listeners(listener)
            if self._stopping or not self.server.down:
                return
            logging.info("event=server-down server=%s", self.description.name)
            await anyio.sleep(self.description.crash_s)
            self.server.start()

    def _bind(self) -> socket.socket:
        host = self.description.listen.rpartition(":")[0]
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, self._port))
        self._port = listener.getsockname()[1]
        return listener

    def _close_listeners(self, *sockets: socket.socket) -> None:
        # uvicorn sets `servers` only once it has started.
        for listener in (*getattr(self._http_server, "servers", ()), *sockets):
            listener.close()

    def _handle_crash(self) -> None:
        """Stop listening and abort all connections, or exit the process."""
        if self.description.crash == "exit":
            os._exit(CRASH_EXIT_CODE)
        assert self._http_server is not None
        self._close_listeners()
        for connection in list(self._http_server.server_state.connections):
            connection.transport.abort()
        self._http_server.force_exit = True
        self._http_server.should_exit = True

    async def _announce_periodically(self) -> None:
        await self._listening_event.wait()
        while True:
            acknowledged = True
            if not self.server.down and not self.server.draining:
                acknowledged = await self._call_node(
                    "POST", ANNOUNCE_PATH, self._encode_announcement()
                )
            await anyio.sleep(
                self.description.announce_s if acknowledged else ANNOUNCE_RETRY_S
            )

    def _encode_announcement(self) -> bytes:
        return msgspec.json.encode(
            {
                "address": self.address,
                "slots": self.description.slots,
                "connections": self.description.connections,
                "cold_start_s": self.description.cold_start_s,
                "health_path": HEALTH_PATH,
                "load_path": LOAD_PATH,
            }
        )

    async def _drain_through_node(self) -> None:
        """Ask the node to drain and wait until it has no running requests.

        Returns early if the node cannot be reached.
        """
        if not await self._call_node("POST", DRAIN_PATH):
            return
        while True:
            if not await self._count_running_at_node():
                return
            await anyio.sleep(0.1)

    async def _count_running_at_node(self) -> int:
        assert self.server.node_client is not None
        try:
            with anyio.fail_after(NODE_CALL_TIMEOUT_S):
                response = await self.server.node_client.request("GET", DRAIN_PATH)
            status = msgspec.json.decode(response.body)
            return int(status["running"])
        except (
            RequestNotSent,
            RequestBroken,
            TimeoutError,
            msgspec.DecodeError,
            KeyError,
        ):
            return 0

    async def _call_node(self, method: str, path: str, body: bytes = b"") -> bool:
        """Call the local listener of the node; return whether it reported success."""
        if self.server.node_client is None:
            return False
        headers = [(b"content-type", b"application/json")]
        try:
            with anyio.fail_after(NODE_CALL_TIMEOUT_S):
                response = await self.server.node_client.request(
                    method, path, headers, body
                )
        except (RequestNotSent, RequestBroken, TimeoutError):
            return False
        return 200 <= response.status < 300


def make_http_server(
    server: BackendServer, description: ServerDescription
) -> EmbeddedUvicornServer:
    config = uvicorn.Config(
        server,
        http="httptools",
        ws="none",
        lifespan="off",
        # uvicorn would log an error for each truncated response.
        log_level="critical",
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
        backlog=description.connections,
        # Beyond this limit uvicorn itself responds with 503, like a server that has
        # no connections left. The control endpoints need a few extra connections.
        limit_concurrency=description.connections + RESERVED_CONTROL_CONNECTIONS,
    )
    return EmbeddedUvicornServer(config)


async def serve_backends(settings: BackendSettings, clock: Clock) -> None:
    """Run the servers of one process until SIGTERM or SIGINT."""
    with ExitStack() as stack:
        record_file: BinaryIO | None = None
        if settings.record_file:
            # Unbuffered, so that no record is lost when the process is killed.
            record_file = stack.enter_context(
                open(settings.record_file, "ab", buffering=0)  # noqa: ASYNC230
            )
        supervisors = [
            ServerSupervisor(
                server, clock, Random(f"{settings.seed}/{server.name}"), record_file
            )
            for server in settings.servers
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(stop_on_signal, supervisors, settings.grace_s)
            async with anyio.create_task_group() as listeners:
                for supervisor in supervisors:
                    listeners.start_soon(supervisor.run)
            group.cancel_scope.cancel()


async def stop_on_signal(supervisors: list[ServerSupervisor], grace_s: float) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for number in received:
            logging.info("event=backend-stopping signal=%s", number.name)
            break
    async with anyio.create_task_group() as group:
        for supervisor in supervisors:
            group.start_soon(supervisor.stop, grace_s)


def main(arguments: list[str]) -> None:
    """Parse the flags and run the servers."""
    values = make_flag_values()
    flags.DEFINE_string("config", None, "Settings file (TOML).", flag_values=values)
    require_flag("config", values)
    values(arguments)
    settings = BackendSettings.from_file(values.config)
    uvloop.run(serve_backends(settings, SystemClock()))


def run() -> None:
    """Entry point of the command."""
    main(sys.argv)


if __name__ == "__main__":
    run()
