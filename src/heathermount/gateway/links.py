"""Framed TCP links between gateway nodes, each multiplexing many calls."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Final, cast

import msgspec
from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import PeerLost, PeerTimeout, PeerUnreachable
from heathermount.framing import FRAME_HEADER, MAX_FRAME_BYTES, FrameKind
from heathermount.gateway.messages import (
    MESSAGE_DECODER,
    MESSAGE_ENCODER,
    Message,
    Ping,
    Pong,
)

__all__ = [
    "Link",
    "LinkTable",
    "PeerConnection",
    "PeerHandler",
    "configure_socket",
]

CONNECT_TIMEOUT_S: Final = 1.0

# Short enough to detect a silent connection well within a request's latency objective.
PING_INTERVAL_S: Final = 0.5

# A link on which no answer has arrived for UNRESPONSIVE_AFTER_S gets no new calls.
# After DEAD_AFTER_S its connection is closed and replaced.
UNRESPONSIVE_AFTER_S: Final = 1.0
DEAD_AFTER_S: Final = 2.0

# Exponential backoff between connection attempts.
INITIAL_RECONNECT_DELAY_S: Final = 0.2
MAX_RECONNECT_DELAY_S: Final = 1.0

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


class LinkProtocol(FrameProtocol):
    """An outgoing connection to a peer."""

    __slots__ = ("_link",)

    def __init__(self, link: "Link") -> None:
        super().__init__()
        self._link = link

    def handle_frame(self, call_id: int, kind: int, body: bytes) -> None:
        self._link.handle_answer(call_id, kind, body)

    def handle_disconnect(self) -> None:
        self._link.handle_disconnect()


class Link:
    """Keeps one connection to a peer open; calls fail while it is down."""

    __slots__ = (
        "_close_when_idle",
        "_host",
        "_last_received_at",
        "_loop",
        "_next_call_id",
        "_pending_calls",
        "_port",
        "_protocol",
        "_table",
        "_task",
        "address",
        "connected",
    )

    def __init__(self, address: str, table: "LinkTable") -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._table = table
        self._loop = asyncio.get_running_loop()
        self._protocol: LinkProtocol | None = None
        self._pending_calls: dict[int, asyncio.Future[Message]] = {}
        self._next_call_id = 1
        self._last_received_at = 0.0
        self._close_when_idle = False
        self.connected = asyncio.Event()
        self._task = self._loop.create_task(self._maintain_connection())

    @property
    def usable(self) -> bool:
        """Whether the link is connected and the peer has answered recently."""
        if self._protocol is None:
            return False
        return self._loop.time() - self._last_received_at < UNRESPONSIVE_AFTER_S

    def close(self) -> None:
        self._task.cancel()
        if self._protocol is not None:
            self._protocol.close()

    def close_when_idle(self) -> None:
        """Close the link once no call is pending on it."""
        self._close_when_idle = True
        if not self._pending_calls:
            self.close()

    def start_call(self, message: Message) -> tuple[int, asyncio.Future[Message]]:
        """Send a message; return the call's id and the future of its answer.

        Raises PeerUnreachable if there is no connection.
        """
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            raise PeerUnreachable(f"there is no connection to {self.address}")
        call_id, self._next_call_id = self._next_call_id, self._next_call_id + 1
        future: asyncio.Future[Message] = self._loop.create_future()
        self._pending_calls[call_id] = future
        protocol.send_frame(call_id, FrameKind.REQUEST, MESSAGE_ENCODER.encode(message))
        return call_id, future

    def cancel_call(self, call_id: int) -> None:
        """Tell the peer to cancel a call, unless it has been answered."""
        if (
            self._pending_calls.pop(call_id, None) is not None
            and self._protocol is not None
        ):
            self._protocol.send_frame(call_id, FrameKind.CANCEL)

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        Raises PeerUnreachable if the message was not sent, PeerLost if the peer
        disconnected or failed, and PeerTimeout after `timeout_s` seconds.
        """
        call_id, future = self.start_call(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise PeerTimeout(f"{self.address} did not answer in time") from None
        finally:
            self.cancel_call(call_id)

    def handle_answer(self, call_id: int, kind: int, body: bytes) -> None:
        self._last_received_at = self._loop.time()
        future = self._pending_calls.pop(call_id, None)
        if self._close_when_idle and not self._pending_calls:
            self.close()
        if future is None or future.done():
            return
        if kind == FrameKind.ANSWER:
            future.set_result(MESSAGE_DECODER.decode(body))
        else:
            future.set_exception(PeerLost(f"{self.address} failed to answer"))

    def handle_disconnect(self) -> None:
        self._protocol = None
        self.connected.clear()
        error = PeerLost(f"the connection to {self.address} ended")
        pending_calls, self._pending_calls = self._pending_calls, {}
        for future in pending_calls.values():
            if not future.done():
                future.set_exception(error)
                # Mark the error as retrieved: asyncio would otherwise report it
                # if no caller awaits the future any more.
                future.exception()

    async def _maintain_connection(self) -> None:
        """Connect, and reconnect with backoff, until cancelled."""
        reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await self._loop.create_connection(
                        lambda: LinkProtocol(self), self._host, self._port
                    )
            except (OSError, TimeoutError) as error:
                self._table.log_connect_failure(self.address, error)
                await asyncio.sleep(reconnect_delay_s)
                reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2 * reconnect_delay_s)
                continue
            self._protocol = protocol
            opened_at = self._last_received_at = self._loop.time()
            self.connected.set()
            logging.info("event=link-opened peer=%s", self.address)
            await self._ping_until_closed()
            logging.info("event=link-lost peer=%s", self.address)
            if self._loop.time() - opened_at > MAX_RECONNECT_DELAY_S:
                # Reconnect at once if the lost connection had been stable.
                reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
                continue
            await asyncio.sleep(reconnect_delay_s)
            reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2 * reconnect_delay_s)

    async def _ping_until_closed(self) -> None:
        """Ping the peer until the connection ends or no answer arrives any more."""
        while self._protocol is not None:
            sent_at = self._table.clock.monotonic()
            try:
                answer = await self.call(self._table.make_ping(), DEAD_AFTER_S)
            except PeerTimeout:
                # The connection is silent; a new one may work.
                if self._loop.time() - self._last_received_at > DEAD_AFTER_S:
                    if self._protocol is not None:
                        self._protocol.close()
                        self.handle_disconnect()
                    return
                continue
            except (PeerLost, PeerUnreachable):
                return
            if isinstance(answer, Pong):
                self._table.handle_pong(self.address, answer, sent_at)
            await asyncio.sleep(PING_INTERVAL_S)


class LinkTable:
    """This node's links to its peers, by address."""

    __slots__ = ("_links", "clock", "handle_pong", "make_ping")

    def __init__(
        self,
        clock: Clock,
        make_ping: Callable[[], Ping],
        handle_pong: Callable[[str, Pong, float], None],
    ) -> None:
        self.clock = clock
        self._links: dict[str, Link] = {}
        self.make_ping = make_ping
        self.handle_pong = handle_pong

    def get(self, address: str) -> Link:
        """Return the link to an address; open it on first use."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address, self)
        return link

    def usable(self, address: str) -> bool:
        link = self._links.get(address)
        return link is not None and link.usable

    def count_usable(self) -> int:
        return sum(link.usable for link in self._links.values())

    def close_all_except(self, addresses: set[str]) -> None:
        """Close all links to other addresses once their calls have finished."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).close_when_idle()

    def addresses(self) -> list[str]:
        return list(self._links)

    def log_connect_failure(self, address: str, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.INFO, 'event=link-refused peer=%s error="%s"', 1, address, error
        )

    def close(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()
