"""Base class of stand-ins that accept TCP connections on the loopback interface."""

import asyncio
from typing import Final

__all__ = ["LoopbackServerStandIn"]

READ_LIMIT_BYTES: Final = 1_048_576


class LoopbackServerStandIn:
    """Accepts connections until it is stopped; subclasses implement the protocol."""

    def __init__(self) -> None:
        self.address = ""
        # Number of connections since the start, and of those that are open.
        self.accepted_connections = 0
        self.open_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=READ_LIMIT_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Close the listener and abort all connections, like a crash of the process."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_connections += 1
        self.open_connections += 1
        self._writers.add(writer)
        try:
            await self._serve_connection(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The client has closed the connection.
            return
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError
