"""HTTP listeners: uvicorn servers that run in the node's task group."""

import socket
from collections.abc import Generator
from contextlib import contextmanager

import uvicorn

from heathermount.entry.asgi import ASGIApp
from heathermount.errors import ConfigurationProblem

__all__ = ["HttpListener", "bind_socket"]

LISTEN_BACKLOG = 2048


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpListener:
    """One HTTP/1.1 listener."""

    __slots__ = (
        "_server",
        "_socket",
        "address",
    )

    def __init__(
        self,
        app: ASGIApp,
        setting_name: str,
        address: str,
        grace_s: float,
        max_header_bytes: int,
    ) -> None:
        self._socket = bind_socket(setting_name, address)
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
                # Longer than the usual keep-alive timeout of clients, so that
                # the client is the side that closes an idle connection.
                timeout_keep_alive=75,
                timeout_graceful_shutdown=int(grace_s),
                h11_max_incomplete_event_size=max_header_bytes,
                backlog=LISTEN_BACKLOG,
            )
        )

    async def run(self) -> None:
        """Serve until `stop`; then finish running requests and return."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Close the listener and idle connections; running requests finish."""
        self._server.should_exit = True


def bind_socket(setting_name: str, address: str) -> socket.socket:
    """Open a listening socket; raise ConfigurationProblem if that fails."""
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
            f"listen.{setting_name}",
            f"{address}: {error.strerror}",
            "set a free address of this instance",
        ) from error
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
