"""Framed TCP links between gateway nodes: many calls on one connection."""

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

# Period of pings on an open link, in seconds: a silent connection must be
# noticed well within the objective of a request.
PING_S: Final = 0.5

# A link without an answer to its ping for this long gets no new calls, in
# seconds, and after the longer time it is given up.
SUSPECT_S: Final = 1.0
LOST_S: Final = 2.0

# Pauses between attempts to connect, in seconds.
RECONNECT_S: Final = 0.2
MAX_RECONNECT_S: Final = 1.0

# Milliseconds after which unacknowledged bytes end a connection.
USER_TIMEOUT_MS: Final = 3000

PeerHandler = Callable[[Message], Awaitable[Message]]


def configure_socket(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once and end connections that went silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class FrameProtocol(asyncio.Protocol):
    """Splits a byte stream into frames and writes frames in batches."""

    __slots__ = ("_buffer", "_loop", "_outgoing", "transport")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._outgoing: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        configure_socket(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.disconnected()

    def data_received(self, data: bytes) -> None:
        buffer = self._buffer + data if self._buffer else data
        offset, end = 0, len(buffer)
        while end - offset >= FRAME_HEADER.size:
            length, number, kind = FRAME_HEADER.unpack_from(buffer, offset)
            if length > MAX_FRAME_BYTES:
                logging.warning("event=frame-too-long bytes=%d", length)
                self.close()
                return
            stop = offset + FRAME_HEADER.size + length
            if stop > end:
                break
            body = buffer[offset + FRAME_HEADER.size : stop]
            offset = stop
            try:
                self.frame_received(number, kind, body)
            except (msgspec.MsgspecError, RecursionError) as error:
                logging.warning('event=message-malformed error="%s"', error)
                self.close()
                return
        self._buffer = buffer[offset:] if offset else buffer

    def send(self, number: int, kind: FrameKind, body: bytes = b"") -> None:
        """Queue a frame; all frames of one turn of the loop are written at once."""
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        self._outgoing.append(FRAME_HEADER.pack(len(body), number, kind))
        self._outgoing.append(body)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, []
        if self.transport is not None:
            self.transport.write(b"".join(outgoing))

    def frame_received(self, number: int, kind: int, body: bytes) -> None:
        raise NotImplementedError

    def disconnected(self) -> None:
        raise NotImplementedError


class PeerConnection(FrameProtocol):
    """A connection that a peer made to this node; each call is a task."""

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

    def frame_received(self, number: int, kind: int, body: bytes) -> None:
        if kind == FrameKind.CANCEL:
            task = self._tasks.get(number)
            if task is not None:
                task.cancel()
            return
        message = MESSAGE_DECODER.decode(body)
        self._tasks[number] = self._loop.create_task(self._answer(number, message))

    async def _answer(self, number: int, message: Message) -> None:
        try:
            answer = await self._handler(message)
            self.send(number, FrameKind.ANSWER, MESSAGE_ENCODER.encode(answer))
        except asyncio.CancelledError:
            # The caller has left and needs no answer.
            return
        except Exception:
            logging.exception("event=peer-call-failed")
            self.send(number, FrameKind.REJECTED)
        finally:
            del self._tasks[number]

    def disconnected(self) -> None:
        self._connections.discard(self)
        for task in list(self._tasks.values()):
            task.cancel()


class LinkProtocol(FrameProtocol):
    """A connection that this node made to a peer."""

    __slots__ = ("_link",)

    def __init__(self, link: "Link") -> None:
        super().__init__()
        self._link = link

    def frame_received(self, number: int, kind: int, body: bytes) -> None:
        self._link.answered(number, kind, body)

    def disconnected(self) -> None:
        self._link.disconnected()


class Link:
    """Keeps one connection to a peer; calls fail while there is none."""

    __slots__ = (
        "_heard_at",
        "_host",
        "_loop",
        "_next",
        "_pending",
        "_port",
        "_protocol",
        "_retired",
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
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._next = 1
        self._heard_at = 0.0
        self._retired = False
        self.connected = asyncio.Event()
        self._task = self._loop.create_task(self._run())

    @property
    def usable(self) -> bool:
        """Tell whether the peer answered lately."""
        if self._protocol is None:
            return False
        return self._loop.time() - self._heard_at < SUSPECT_S

    def close(self) -> None:
        self._task.cancel()
        if self._protocol is not None:
            self._protocol.close()

    def retire(self) -> None:
        """Close the connection as soon as no call waits on it."""
        self._retired = True
        if not self._pending:
            self.close()

    def start_call(self, message: Message) -> tuple[int, asyncio.Future[Message]]:
        """Send a message; raise PeerUnreachable when there is no connection."""
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            raise PeerUnreachable(f"there is no connection to {self.address}")
        number, self._next = self._next, self._next + 1
        future: asyncio.Future[Message] = self._loop.create_future()
        self._pending[number] = future
        protocol.send(number, FrameKind.REQUEST, MESSAGE_ENCODER.encode(message))
        return number, future

    def cancel_call(self, number: int) -> None:
        """Tell the peer that an answer is no longer needed."""
        if self._pending.pop(number, None) is not None and self._protocol is not None:
            self._protocol.send(number, FrameKind.CANCEL)

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        Raises PeerUnreachable when it was not sent, PeerLost when the
        connection ended, PeerTimeout after `timeout_s` seconds.
        """
        number, future = self.start_call(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise PeerTimeout(f"{self.address} did not answer in time") from None
        finally:
            self.cancel_call(number)

    def answered(self, number: int, kind: int, body: bytes) -> None:
        self._heard_at = self._loop.time()
        future = self._pending.pop(number, None)
        if self._retired and not self._pending:
            self.close()
        if future is None or future.done():
            return
        if kind == FrameKind.ANSWER:
            future.set_result(MESSAGE_DECODER.decode(body))
        else:
            future.set_exception(PeerLost(f"{self.address} failed to answer"))

    def disconnected(self) -> None:
        self._protocol = None
        self.connected.clear()
        error = PeerLost(f"the connection to {self.address} ended")
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(error)
                # The caller may have left; its error is not lost then.
                future.exception()

    async def _run(self) -> None:
        pause_s = RECONNECT_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await self._loop.create_connection(
                        lambda: LinkProtocol(self), self._host, self._port
                    )
            except (OSError, TimeoutError) as error:
                self._table.failed(self.address, error)
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_RECONNECT_S, 2 * pause_s)
                continue
            self._protocol = protocol
            opened_at = self._heard_at = self._loop.time()
            self.connected.set()
            logging.info("event=link-opened peer=%s", self.address)
            await self._ping()
            logging.info("event=link-lost peer=%s", self.address)
            if self._loop.time() - opened_at > MAX_RECONNECT_S:
                # A connection that lasted is replaced at once.
                pause_s = RECONNECT_S
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RECONNECT_S, 2 * pause_s)

    async def _ping(self) -> None:
        """Probe the peer until the connection ends."""
        while self._protocol is not None:
            asked_at = self._table.clock.monotonic()
            try:
                answer = await self.call(self._table.make_ping(), LOST_S)
            except PeerTimeout:
                # A connection that went silent: a new one may work.
                if self._loop.time() - self._heard_at > LOST_S:
                    if self._protocol is not None:
                        self._protocol.close()
                        self.disconnected()
                    return
                continue
            except (PeerLost, PeerUnreachable):
                return
            if isinstance(answer, Pong):
                self._table.pinged(self.address, answer, asked_at)
            await asyncio.sleep(PING_S)


class LinkTable:
    """Links of this node by address."""

    __slots__ = ("_links", "clock", "make_ping", "pinged")

    def __init__(
        self,
        clock: Clock,
        make_ping: Callable[[], Ping],
        pinged: Callable[[str, Pong, float], None],
    ) -> None:
        self.clock = clock
        self._links: dict[str, Link] = {}
        self.make_ping = make_ping
        self.pinged = pinged

    def get(self, address: str) -> Link:
        """Return the link to an address; it starts to connect on first use."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address, self)
        return link

    def usable(self, address: str) -> bool:
        link = self._links.get(address)
        return link is not None and link.usable

    def count_usable(self) -> int:
        return sum(link.usable for link in self._links.values())

    def retain(self, addresses: set[str]) -> None:
        """Close the links to all other addresses."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).retire()

    def addresses(self) -> list[str]:
        return list(self._links)

    def failed(self, address: str, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.INFO, 'event=link-refused peer=%s error="%s"', 1, address, error
        )

    def close(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()
