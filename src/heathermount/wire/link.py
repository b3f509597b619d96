"""Links to other nodes: many concurrent calls on one framed TCP connection.

The body of a frame is a msgpack message. Both sides prove that they know the
fleet secret before the first call.
"""

import ssl
from contextlib import suppress
from typing import Final

import anyio
import msgspec
from anyio.abc import ByteStream, TaskGroup

from heathermount.errors import (
    HeathermountError,
    InvalidMessage,
    PeerError,
    PeerLost,
    PeerRefused,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
)
from heathermount.wire.frames import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    FrameKind,
    FrameStream,
    SendQueue,
    decode_body,
    encode_frame,
)
from heathermount.wire.handshake import ENCODER, Identity, PeerHello
from heathermount.wire.messages import Answer, Execute, Message
from heathermount.wire.server import (
    MESSAGE_DECODER,
    Handler,
    LinkServer,
    Rejection,
    authenticate_peer,
)
from heathermount.wire.traffic import TrafficCounters

__all__ = ["Handler", "Identity", "Link", "LinkPool", "LinkServer", "PeerHello"]

CONNECT_TIMEOUT_S: Final = 1.0

REJECTION_DECODER: Final = msgspec.msgpack.Decoder(Rejection)


class PendingCall:
    """A call that waits for its answer."""

    __slots__ = ("answer", "done", "error")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: Message | None = None
        self.error: HeathermountError | None = None

    def succeed(self, answer: Message) -> None:
        self.answer = answer
        self.done.set()

    def fail(self, error: HeathermountError) -> None:
        self.error = error
        self.done.set()


class Link:
    """A connection that this node has opened to a peer."""

    __slots__ = (
        "_closing_when_idle",
        "_next_call_number",
        "_pending",
        "_scope",
        "_send_queue",
        "_stream",
        "_traffic",
        "closed",
        "peer",
    )

    def __init__(
        self,
        stream: FrameStream,
        peer: PeerHello,
        traffic: TrafficCounters | None = None,
    ) -> None:
        self._stream = stream
        self._send_queue = SendQueue(stream)
        self._pending: dict[int, PendingCall] = {}
        self._next_call_number = 1
        self._closing_when_idle = False
        self._scope = anyio.CancelScope()
        self._traffic = traffic or TrafficCounters()
        self.peer = peer
        self.closed = False

    async def run(self) -> None:
        """Read answers until the connection ends, then fail all pending calls."""
        try:
            with self._scope:
                await self._run_until_broken()
        finally:
            self.closed = True
            for call in self._pending.values():
                call.fail(PeerLost(f"connection to {self.peer.node} ended"))
            self._pending.clear()
            with anyio.CancelScope(shield=True):
                await self._stream.close()

    async def _run_until_broken(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_queue.run)
                await self._read_answers()
        except* (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        except* (anyio.ClosedResourceError, InvalidMessage):
            pass

    async def _read_answers(self) -> None:
        while True:
            call_number, kind, body = await self._stream.read()
            if kind not in (FrameKind.ANSWER, FrameKind.REJECTED):
                raise InvalidMessage(f"unexpected frame {call_number} of kind {kind}")
            call = self._pending.pop(call_number, None)
            is_data_path = False
            if call is None:
                self._traffic.late_answers += 1
            elif kind == FrameKind.ANSWER:
                is_data_path = complete_call(call, body)
            else:
                reject_call(call, body)
            self._traffic.count_received(FRAME_HEADER.size + len(body), is_data_path)

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        Raises PeerTimeout after `timeout_s` seconds, PeerLost when the
        connection ends, PeerRejected when the peer rejects the message,
        and PeerUnreachable when nothing was sent. The call is cancelled at the
        peer when the caller stops waiting.
        """
        if self.closed:
            raise PeerUnreachable(f"connection to {self.peer.node} is closed")
        call_number, self._next_call_number = (
            self._next_call_number,
            self._next_call_number + 1,
        )
        self._send_request(call_number, message)
        call = self._pending[call_number] = PendingCall()
        try:
            with anyio.move_on_after(timeout_s):
                await call.done.wait()
        finally:
            self._finish_call(call_number)
        if call.error is not None:
            raise call.error
        if call.answer is None:
            raise PeerTimeout(f"{self.peer.node} did not answer in {timeout_s:.3f} s")
        return call.answer

    def _send_request(self, call_number: int, message: Message) -> None:
        body = ENCODER.encode(message)
        if len(body) > MAX_FRAME_BYTES:
            raise mark_not_sent(
                PeerRejected(
                    "too-large",
                    f"the message has {len(body)} bytes; "
                    f"a frame carries at most {MAX_FRAME_BYTES}",
                )
            )
        self._send_queue.put(encode_frame(call_number, FrameKind.REQUEST, body))
        is_data_path = isinstance(message, Execute)
        self._traffic.count_sent(FRAME_HEADER.size + len(body), is_data_path)

    def _finish_call(self, call_number: int) -> None:
        if self._pending.pop(call_number, None) is not None and not self.closed:
            with suppress(PeerError):
                self._send_queue.put(encode_frame(call_number, FrameKind.CANCEL, b""))
                self._traffic.count_sent(FRAME_HEADER.size, is_data_path=False)
        if self._closing_when_idle and not self._pending:
            self._scope.cancel()

    def close_when_idle(self) -> None:
        """Close the connection as soon as it has no pending call."""
        self._closing_when_idle = True
        if not self._pending:
            self._scope.cancel()


def complete_call(call: PendingCall, body: bytes) -> bool:
    """Pass an answer to its call; return whether it belongs to the data path."""
    try:
        answer: Message = decode_body(MESSAGE_DECODER, body)
    except InvalidMessage as error:
        call.fail(PeerLost(f"the answer cannot be decoded: {error}"))
        return False
    call.succeed(answer)
    return isinstance(answer, Answer)


def reject_call(call: PendingCall, body: bytes) -> None:
    try:
        rejection = decode_body(REJECTION_DECODER, body)
    except InvalidMessage as error:
        call.fail(PeerLost(f"the rejection cannot be decoded: {error}"))
        return
    call.fail(PeerRejected(rejection.code, rejection.detail))


def mark_not_sent(error: PeerError) -> PeerError:
    """Mark an error as raised before the peer got the message."""
    error.sent = False
    return error


class ConnectionAttempt:
    """An attempt to connect, shared by all calls that wait for the link."""

    __slots__ = ("done", "error", "link")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.link: Link | None = None
        self.error: PeerError = PeerUnreachable("the attempt was cancelled")


class LinkPool:
    """Keeps one link for each peer address; connects on first use."""

    __slots__ = ("_attempts", "_identity", "_links", "_tasks", "traffic")

    def __init__(
        self,
        identity: Identity,
        tasks: TaskGroup,
        traffic: TrafficCounters | None = None,
    ) -> None:
        self._identity = identity
        self._tasks = tasks
        self._links: dict[str, Link] = {}
        self._attempts: dict[str, ConnectionAttempt] = {}
        self.traffic = traffic or TrafficCounters()

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Send a message to the node at `address` ("ip:port").

        `timeout_s` includes the time to connect. Raises the errors of `connect`
        and Link.call.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            started_at = anyio.current_time()
            link = await self._connect_within(address, timeout_s)
            timeout_s = max(0.0, timeout_s - (anyio.current_time() - started_at))
        return await link.call(message, timeout_s)

    async def _connect_within(self, address: str, timeout_s: float) -> Link:
        with anyio.move_on_after(timeout_s):
            return await self.connect(address)
        raise PeerUnreachable(f"{address} did not accept a link in {timeout_s:.3f} s")

    async def connect(self, address: str) -> Link:
        """Return an open link.

        Raises PeerRefused when nothing listens at the address, PeerUnreachable
        when no connection could be made in time, and PeerRejected when the
        secret or the certificate is wrong. No message was sent in these cases.
        """
        link = self._links.get(address)
        if link is not None and not link.closed:
            return link
        attempt = self._attempts.get(address)
        if attempt is None:
            attempt = self._attempts[address] = ConnectionAttempt()
            self._tasks.start_soon(self._maintain_link, address, attempt)
        await attempt.done.wait()
        if attempt.link is None:
            raise attempt.error
        return attempt.link

    async def _maintain_link(self, address: str, attempt: ConnectionAttempt) -> None:
        """Connect, then run the link until it ends."""
        try:
            link = await open_link(address, self._identity, self.traffic)
            attempt.link = self._links[address] = link
        except PeerError as error:
            attempt.error = error
            return
        finally:
            del self._attempts[address]
            attempt.done.set()
        await link.run()
        if self._links.get(address) is link:
            del self._links[address]

    def close_link(self, address: str) -> None:
        """Close the link to a former member once it has no pending call."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close_when_idle()

    def count_late_answers(self) -> int:
        """Return how many answers arrived after their caller stopped waiting."""
        return self.traffic.late_answers


async def open_link(
    address: str, identity: Identity, traffic: TrafficCounters | None = None
) -> Link:
    """Connect and perform the handshake; see LinkPool.connect for the errors."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            frames, peer = await open_frame_stream(host, int(port), identity)
    except TimeoutError as error:
        raise PeerUnreachable(f"{address} did not answer in time") from error
    except ssl.SSLError as error:
        raise mark_not_sent(PeerRejected("tls", f"{address}: {error}")) from error
    except OSError as error:
        if is_connection_refused(error):
            raise PeerRefused(f"nothing listens at {address}") from error
        raise PeerUnreachable(f"{address}: {error}") from error
    except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
        raise PeerUnreachable(
            f"{address} closed the connection during the handshake; see its log"
        ) from error
    except InvalidMessage as error:
        raise mark_not_sent(PeerRejected("malformed", f"{address}: {error}")) from error
    except PeerRejected as error:
        raise mark_not_sent(error) from None
    return Link(frames, peer, traffic)


async def open_frame_stream(
    host: str, port: int, identity: Identity
) -> tuple[FrameStream, PeerHello]:
    """Connect and perform the handshake; close the connection when that fails."""
    stream: ByteStream = await anyio.connect_tcp(host, port)
    try:
        return await authenticate_peer(stream, identity, connecting=True)
    except BaseException:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
        raise


def is_connection_refused(error: BaseException) -> bool:
    """Return whether an error is, or was raised only from, refused connections."""
    if isinstance(error, ConnectionRefusedError):
        return True
    if isinstance(error, BaseExceptionGroup):
        return all(
            is_connection_refused(nested_error) for nested_error in error.exceptions
        )
    return error.__cause__ is not None and is_connection_refused(error.__cause__)
