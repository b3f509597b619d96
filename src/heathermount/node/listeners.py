"""HTTP listeners by uvicorn, run inside the node's task group."""

import socket
from collections.abc import Generator
from contextlib import contextmanager

import uvicorn

from heathermount.entry.asgi import ASGIApp
from heathermount.errors import ConfigurationProblem

__all__ = ["HttpListener", "bind_socket"]

BACKLOG = 2048


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the node."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpListener:
    """One HTTP/1.1 listener."""

    __slots__ = ("_server", "_socket", "address")

    def __init__(
        self, app: ASGIApp, key: str, address: str, grace_s: float, header_bytes: int
    ) -> None:
        self._socket = bind_socket(key, address)
        self.address = address
        self._server = EmbeddedServer(
            uvicorn.Config(
                app,
                http="httptools",
                loop="none",
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                # Longer than clients usually keep a connection for reuse, so
                # that the client is the side that closes an idle connection.
                timeout_keep_alive=75,
                timeout_graceful_shutdown=int(grace_s),
                h11_max_incomplete_event_size=header_bytes,
                backlog=BACKLOG,
            )
        )

    async def run(self) -> None:
        """Serve until `stop`; then finish what runs and return."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Close the listener and idle connections; running requests finish."""
        self._server.should_exit = True


def bind_socket(key: str, address: str) -> socket.socket:
    """Open a listening socket; raise ConfigurationProblem when it is taken."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        listener.bind((host.strip("[]"), int(port)))
    except OSError as error:
        listener.close()
        raise ConfigurationProblem(
            "settings",
            f"listen.{key}",
            f"{address}: {error.strerror}",
            "set a free address of this instance",
        ) from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
