"""A loopback proxy that delays, withholds or resets traffic between processes."""

import asyncio
import socket
import struct
from enum import Enum
from typing import Final

__all__ = ["LoopbackProxy", "NetworkFault"]

CHUNK_BYTES: Final = 65_536

# SO_LINGER with a timeout of zero seconds, so that a close sends a TCP reset.
LINGER_ZERO: Final = struct.pack("ii", 1, 0)


class NetworkFault(Enum):
    """What the proxy does with the traffic."""

    NONE = "none"
    # Forwards each chunk after `delay_s` seconds.
    DELAY = "delay"
    # Withholds the bytes of both directions.
    SILENT = "silent"
    # Withholds bytes to the target and forwards its responses.
    ONE_WAY = "one-way"
    # Resets all connections, including new ones.
    RESET = "reset"


class LoopbackProxy:
    """Forwards connections to one address, subject to an injected fault."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self._fault = NetworkFault.NONE
        self._fault_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Reset all connections and wait until their tasks have ended."""
        if self._server is not None:
            self._server.close()
        self.set_fault(NetworkFault.RESET)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def set_fault(self, fault: NetworkFault, delay_s: float = 0.0) -> None:
        """Inject a fault; `NetworkFault.NONE` ends it."""
        self._fault = fault
        self.delay_s = delay_s
        changed, self._fault_changed = self._fault_changed, asyncio.Event()
        changed.set()
        if fault is NetworkFault.RESET:
            self._reset_connections()

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            reset_connection(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._fault is NetworkFault.RESET:
            reset_connection(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            # The target process is down; its clients see a reset as well.
            reset_connection(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, towards_target=True),
                self._copy(target_reader, writer, towards_target=False),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_target: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_forwarded(towards_target)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One side ended the connection abnormally; reset the other one as well.
            reset_connection(writer)
        finally:
            writer.close()

    async def _wait_until_forwarded(self, towards_target: bool) -> None:
        if self._fault is NetworkFault.DELAY:
            await asyncio.sleep(self.delay_s)
        while self._fault is NetworkFault.SILENT or (
            self._fault is NetworkFault.ONE_WAY and towards_target
        ):
            await self._fault_changed.wait()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
