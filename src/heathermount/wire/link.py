"""Framed TCP links between nodes: many concurrent calls on one connection.

A frame is a header (length, call number, kind) and a msgpack body. Both sides
prove that they know the fleet secret before the first call.
"""

import hmac
import secrets
import ssl
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import IntEnum
from typing import Final

import anyio
import msgspec
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.tls import TLSStream

from heathermount.errors import (
    HeathermountError,
    InvalidMessage,
    PeerLost,
    PeerRefused,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
)
from heathermount.wire.messages import Message

__all__ = ["Identity", "Link", "LinkPool", "LinkServer", "PeerHello"]

HEADER: Final = struct.Struct(">IQB")
# A frame carries one body of at most a few MiB; anything longer is malformed.
MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
# Unsent bytes above which a link counts as broken instead of growing in memory.
MAX_BUFFER_BYTES: Final = 64 * 1024 * 1024
HANDSHAKE_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0
READ_BYTES: Final = 65536

MESSAGE_DECODER: Final = msgspec.msgpack.Decoder(Message)
ENCODER: Final = msgspec.msgpack.Encoder()


class Kind(IntEnum):
    """Kind of a frame."""

    REQUEST = 0
    ANSWER = 1
    CANCEL = 2
    REJECTED = 3


class PeerHello(msgspec.Struct, frozen=True, array_like=True):
    """First frame of each side."""

    node: str
    incarnation: str
    nonce: bytes


class Rejection(msgspec.Struct, array_like=True):
    """Body of a frame that rejects a request."""

    code: str
    detail: str


class Identity:
    """Who this process is towards its peers, and the secret that proves it."""

    __slots__ = ("client_tls", "incarnation", "node", "secret", "server_tls")

    def __init__(
        self,
        node: str,
        incarnation: str,
        secret: bytes,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.secret = secret
        self.client_tls = client_tls
        self.server_tls = server_tls

    def prove(self, role: bytes, own: PeerHello, peer: PeerHello) -> bytes:
        """Return a proof that binds both hellos to the fleet secret."""
        transcript = msgspec.msgpack.encode([role, own, peer])
        return hmac.digest(self.secret, transcript, "sha256")


class FrameStream:
    """Reads and writes frames on a byte stream."""

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> tuple[int, int, bytes]:
        """Return call number, kind and body of the next frame."""
        await self._fill(HEADER.size)
        length, number, kind = HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise InvalidMessage(
                f"frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}"
            )
        await self._fill(HEADER.size + length)
        body = bytes(self._buffer[HEADER.size : HEADER.size + length])
        del self._buffer[: HEADER.size + length]
        return number, kind, body

    async def _fill(self, size: int) -> None:
        while len(self._buffer) < size:
            self._buffer += await self._stream.receive(READ_BYTES)

    async def write(self, data: bytes) -> None:
        await self._stream.send(data)

    async def close(self) -> None:
        await anyio.aclose_forcefully(self._stream)


def frame(number: int, kind: Kind, body: bytes) -> bytes:
    return HEADER.pack(len(body), number, kind) + body


async def shake_hands(
    stream: FrameStream, identity: Identity, connecting: bool
) -> PeerHello:
    """Exchange hellos and proofs; return the peer's hello."""
    roles = (b"connect", b"accept") if connecting else (b"accept", b"connect")
    own = PeerHello(identity.node, identity.incarnation, secrets.token_bytes(16))
    await stream.write(frame(0, Kind.REQUEST, ENCODER.encode(own)))
    _, _, body = await stream.read()
    try:
        peer = msgspec.msgpack.decode(body, type=PeerHello)
    except msgspec.MsgspecError as error:
        raise InvalidMessage(f"hello: {error}") from error
    await stream.write(frame(0, Kind.ANSWER, identity.prove(roles[0], own, peer)))
    _, _, proof = await stream.read()
    if not hmac.compare_digest(proof, identity.prove(roles[1], peer, own)):
        raise PeerRejected("wrong-secret", "use the same fleet secret on all nodes")
    return peer


class Outbox:
    """Sends frames from one task, so that a cancelled caller cannot cut a frame."""

    __slots__ = ("_frames", "_ready", "_size", "_stream")

    def __init__(self, stream: FrameStream) -> None:
        self._stream = stream
        self._frames: list[bytes] = []
        self._ready = anyio.Event()
        self._size = 0

    def put(self, data: bytes) -> None:
        if self._size > MAX_BUFFER_BYTES:
            raise PeerLost("the peer does not read; check its load")
        self._frames.append(data)
        self._size += len(data)
        self._ready.set()

    async def run(self) -> None:
        while True:
            await self._ready.wait()
            self._ready = anyio.Event()
            frames, self._frames, self._size = self._frames, [], 0
            await self._stream.write(b"".join(frames))


class PendingCall:
    """A call that waits for its answer."""

    __slots__ = ("answer", "done", "error")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: Message | None = None
        self.error: HeathermountError | None = None

    def fail(self, error: HeathermountError) -> None:
        self.error = error
        self.done.set()


class Link:
    """One connection to a peer, made by this node."""

    __slots__ = ("_next", "_outbox", "_pending", "_stream", "closed", "late", "peer")

    def __init__(self, stream: FrameStream, peer: PeerHello) -> None:
        self._stream = stream
        self._outbox = Outbox(stream)
        self._pending: dict[int, PendingCall] = {}
        self._next = 1
        self.peer = peer
        self.closed = False
        # Answers that came after their call was given up.
        self.late = 0

    async def run(self) -> None:
        """Read answers until the connection ends, then fail all calls."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._outbox.run)
                await self._read_answers()
        except* (OSError, EOFError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        except* (anyio.ClosedResourceError, InvalidMessage):
            pass
        finally:
            self.closed = True
            for call in self._pending.values():
                call.fail(PeerLost(f"connection to {self.peer.node} ended"))
            self._pending.clear()
            with anyio.CancelScope(shield=True):
                await self._stream.close()

    async def _read_answers(self) -> None:
        while True:
            number, kind, body = await self._stream.read()
            call = self._pending.pop(number, None)
            if call is None:
                self.late += 1
                continue
            if kind == Kind.REJECTED:
                rejection = msgspec.msgpack.decode(body, type=Rejection)
                call.fail(PeerRejected(rejection.code, rejection.detail))
                continue
            try:
                call.answer = MESSAGE_DECODER.decode(body)
            except msgspec.MsgspecError as error:
                call.fail(PeerLost(f"answer cannot be decoded: {error}"))
                continue
            call.done.set()

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        Raises PeerTimeout after `timeout_s` seconds, PeerLost when the
        connection ends, PeerRejected when the peer refuses the message. The
        peer is told when the caller no longer waits.
        """
        if self.closed:
            raise PeerUnreachable(f"connection to {self.peer.node} is closed")
        number, self._next = self._next, self._next + 1
        call = self._pending[number] = PendingCall()
        try:
            self._outbox.put(frame(number, Kind.REQUEST, ENCODER.encode(message)))
            with anyio.move_on_after(timeout_s):
                await call.done.wait()
        finally:
            if self._pending.pop(number, None) is not None and not self.closed:
                with suppress(PeerLost):
                    self._outbox.put(frame(number, Kind.CANCEL, b""))
        if call.error is not None:
            raise call.error
        if call.answer is None:
            raise PeerTimeout(f"{self.peer.node} did not answer in {timeout_s:.3f} s")
        return call.answer


class LinkPool:
    """Keeps one link to each peer address; connects on first use."""

    __slots__ = ("_identity", "_links", "_locks", "_tasks")

    def __init__(self, identity: Identity, tasks: TaskGroup) -> None:
        self._identity = identity
        self._tasks = tasks
        self._links: dict[str, Link] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Send a message to the node at `address` ("ip:port"); see Link.call."""
        link = self._links.get(address)
        if link is None or link.closed:
            link = await self.connect(address)
        return await link.call(message, timeout_s)

    async def connect(self, address: str) -> Link:
        """Return an open link.

        Raises PeerRefused when nothing listens there, PeerUnreachable when no
        connection could be made in time.
        """
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is not None and not link.closed:
                return link
            link = await open_link(address, self._identity)
            self._links[address] = link
            self._tasks.start_soon(link.run)
            return link

    def forget(self, address: str) -> None:
        """Drop the state of an address that is no longer a member."""
        self._links.pop(address, None)
        self._locks.pop(address, None)

    def late_answers(self) -> int:
        return sum(link.late for link in self._links.values())


async def open_link(address: str, identity: Identity) -> Link:
    """Connect and shake hands; see LinkPool.connect for the errors."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream: ByteStream = await anyio.connect_tcp(host, int(port))
            if identity.client_tls is not None:
                stream = await TLSStream.wrap(
                    stream, ssl_context=identity.client_tls, hostname=host
                )
            frames = FrameStream(stream)
            peer = await shake_hands(frames, identity, connecting=True)
    except TimeoutError as error:
        raise PeerUnreachable(f"{address} did not answer in time") from error
    except OSError as error:
        if is_refused(error):
            raise PeerRefused(f"nothing listens at {address}") from error
        raise PeerUnreachable(f"{address}: {error}") from error
    except (anyio.EndOfStream, anyio.BrokenResourceError, ssl.SSLError) as error:
        raise PeerUnreachable(f"{address} closed the connection") from error
    return Link(frames, peer)


def is_refused(error: BaseException) -> bool:
    """Tell whether an error, or all it was raised from, is a refused connection."""
    if isinstance(error, ConnectionRefusedError):
        return True
    if isinstance(error, BaseExceptionGroup):
        return all(is_refused(part) for part in error.exceptions)
    return error.__cause__ is not None and is_refused(error.__cause__)


Handler = Callable[[Message, PeerHello], Awaitable[Message]]


class LinkServer:
    """Accepts links from other nodes: one task for each connection."""

    __slots__ = ("_handler", "_identity", "_listener", "address")

    def __init__(self, identity: Identity, handler: Handler) -> None:
        self._identity = identity
        self._handler = handler
        self._listener: anyio.abc.Listener[ByteStream] | None = None
        self.address = ""

    async def bind(self, host: str, port: int) -> str:
        """Open the listener and return its address as "ip:port"."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=1024
        )
        bound = listener.extra(SocketAttribute.local_port)
        self._listener = listener
        self.address = f"{host}:{bound}"
        return self.address

    async def run(self) -> None:
        if self._listener is None:
            raise RuntimeError("call bind before run")
        await self._listener.serve(self._serve)

    async def close(self) -> None:
        """Close the listener: from now on a connection attempt is refused."""
        if self._listener is not None:
            await self._listener.aclose()

    async def _serve(self, stream: ByteStream) -> None:
        frames: FrameStream | None = None
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                if self._identity.server_tls is not None:
                    stream = await TLSStream.wrap(
                        stream,
                        server_side=True,
                        ssl_context=self._identity.server_tls,
                    )
                frames = FrameStream(stream)
                peer = await shake_hands(frames, self._identity, connecting=False)
            await ServedLink(frames, peer, self._handler).run()
        except* (OSError, TimeoutError, anyio.EndOfStream, HeathermountError):
            pass
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


class ServedLink:
    """One accepted connection: one task for each request on it."""

    __slots__ = ("_handler", "_outbox", "_peer", "_running", "_stream")

    def __init__(self, stream: FrameStream, peer: PeerHello, handler: Handler) -> None:
        self._stream = stream
        self._outbox = Outbox(stream)
        self._peer = peer
        self._handler = handler
        self._running: dict[int, anyio.CancelScope] = {}

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._outbox.run)
            try:
                await self._read_requests(tasks)
            finally:
                # Nobody waits for the answers any more.
                tasks.cancel_scope.cancel()

    async def _read_requests(self, tasks: TaskGroup) -> None:
        while True:
            number, kind, body = await self._stream.read()
            if kind == Kind.CANCEL:
                scope = self._running.get(number)
                if scope is not None:
                    scope.cancel()
                continue
            try:
                message = MESSAGE_DECODER.decode(body)
            except msgspec.MsgspecError as error:
                self._reject(number, "malformed", str(error))
                continue
            scope = self._running[number] = anyio.CancelScope()
            tasks.start_soon(self._handle, number, message, scope)

    async def _handle(
        self, number: int, message: Message, scope: anyio.CancelScope
    ) -> None:
        try:
            with scope:
                answer = await self._handler(message, self._peer)
                self._outbox.put(frame(number, Kind.ANSWER, ENCODER.encode(answer)))
        except HeathermountError as error:
            self._reject(number, type(error).__name__, str(error))
        finally:
            self._running.pop(number, None)

    def _reject(self, number: int, code: str, detail: str) -> None:
        with suppress(PeerLost):
            body = ENCODER.encode(Rejection(code, detail))
            self._outbox.put(frame(number, Kind.REJECTED, body))
