"""Connections between gateway nodes: framing, and the side that answers calls."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Final, cast

import msgspec
from absl import logging

from heathermount.framing import FRAME_HEADER, MAX_FRAME_BYTES, FrameKind
from heathermount.gateway.messages import (
    MESSAGE_DECODER,
    MESSAGE_ENCODER,
    REQUEST_TYPES,
    Message,
)

__all__ = ["FrameProtocol", "PeerConnection", "PeerHandler", "configure_socket"]

# The kernel closes a connection whose sent data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS: Final = 3000

PeerHandler = Callable[[Message], Awaitable[Message]]


def configure_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and bound the time for unacknowledged data."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class FrameProtocol(asyncio.Protocol):
    """Splits a byte stream into frames, and sends frames in batches."""

    __slots__ = ("_buffer", "_loop", "_outgoing_parts", "transport")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._outgoing_parts: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    @property
    def has_unsent_frames(self) -> bool:
        transport = self.transport
        if transport is None:
            return False
        return bool(self._outgoing_parts) or transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        configure_socket(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.handle_disconnect()

    def data_received(self, data: bytes) -> None:
        buffer = self._buffer + data if self._buffer else data
        offset, buffer_end = 0, len(buffer)
        while buffer_end - offset >= FRAME_HEADER.size:
            length, call_id, kind = FRAME_HEADER.unpack_from(buffer, offset)
            if length > MAX_FRAME_BYTES:
                logging.warning("event=frame-too-long bytes=%d", length)
                self.close()
                return
            frame_end = offset + FRAME_HEADER.size + length
            if frame_end > buffer_end:
                break
            body = buffer[offset + FRAME_HEADER.size : frame_end]
            offset = frame_end
            try:
                self.handle_frame(call_id, kind, body)
            except (msgspec.MsgspecError, RecursionError) as error:
                logging.warning('event=message-malformed error="%s"', error)
                self.close()
                return
        self._buffer = buffer[offset:] if offset else buffer

    def send_frame(self, call_id: int, kind: FrameKind, body: bytes = b"") -> None:
        """Queue a frame; all frames of one event loop iteration are sent together."""
        if not self._outgoing_parts:
            self._loop.call_soon(self._flush)
        self._outgoing_parts.append(FRAME_HEADER.pack(len(body), call_id, kind))
        self._outgoing_parts.append(body)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _flush(self) -> None:
        outgoing_parts, self._outgoing_parts = self._outgoing_parts, []
        if self.transport is not None:
            self.transport.write(b"".join(outgoing_parts))

    def handle_frame(self, call_id: int, kind: int, body: bytes) -> None:
        raise NotImplementedError

    def handle_disconnect(self) -> None:
        raise NotImplementedError


class PeerConnection(FrameProtocol):
    """An incoming connection from a peer; each call runs in its own task."""

    __slots__ = ("_connections", "_handler", "_tasks")

    def __init__(
        self, handler: PeerHandler, connections: set["PeerConnection"]
    ) -> None:
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._connections.add(self)

    def handle_frame(self, call_id: int, kind: int, body: bytes) -> None:
        if kind == FrameKind.CANCEL:
            task = self._tasks.get(call_id)
            if task is not None:
                task.cancel()
            return
        message = MESSAGE_DECODER.decode(body)
        if not isinstance(message, REQUEST_TYPES):
            raise msgspec.ValidationError(f"{type(message).__name__} is no request")
        self._tasks[call_id] = self._loop.create_task(self._run_call(call_id, message))

    async def _run_call(self, call_id: int, message: Message) -> None:
        try:
            answer = await self._handler(message)
            self.send_frame(call_id, FrameKind.ANSWER, MESSAGE_ENCODER.encode(answer))
        except asyncio.CancelledError:
            # The peer cancelled the call or disconnected, so it expects no answer.
            return
        except Exception:
            logging.exception("event=peer-call-failed")
            self.send_frame(call_id, FrameKind.REJECTED)
        finally:
            del self._tasks[call_id]

    def handle_disconnect(self) -> None:
        self._connections.discard(self)
        for task in list(self._tasks.values()):
            task.cancel()
