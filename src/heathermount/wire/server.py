"""Accepting side of links: one task for each connection and each request."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Final

import anyio
import msgspec
from absl import logging
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.tls import TLSAttribute, TLSStream

from heathermount.errors import HeathermountError, InvalidMessage, PeerError
from heathermount.wire.frames import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    FrameKind,
    FrameStream,
    Outbox,
    decode_body,
    frame,
)
from heathermount.wire.handshake import ENCODER, Identity, PeerHello, shake_hands
from heathermount.wire.messages import Answer, Execute, Message
from heathermount.wire.traffic import Traffic

__all__ = [
    "MESSAGE_DECODER",
    "Handler",
    "LinkServer",
    "Rejection",
    "greet",
]

HANDSHAKE_TIMEOUT_S: Final = 2.0
# Pause after a failed accept, for example without free file descriptors.
ACCEPT_RETRY_S: Final = 0.1
LOG_INTERVAL_S: Final = 10

MESSAGE_DECODER: Final = msgspec.msgpack.Decoder(Message)


class Rejection(msgspec.Struct, array_like=True):
    """Body of a frame that rejects a request."""

    code: str
    detail: str


Handler = Callable[[Message, PeerHello], Awaitable[Message]]


async def greet(
    stream: ByteStream, identity: Identity, connecting: bool
) -> tuple[FrameStream, PeerHello]:
    """Start TLS when the identity has it, shake hands, check the peer's name."""
    check_hello: Callable[[PeerHello], None] | None = None
    context = identity.client_tls if connecting else identity.server_tls
    if context is not None:
        ip_number = str(stream.extra(SocketAttribute.remote_address)[0])
        secured = await TLSStream.wrap(
            stream,
            server_side=not connecting,
            hostname=ip_number if connecting else None,
            ssl_context=context,
        )
        certificate: Any = secured.extra(TLSAttribute.peer_certificate) or {}

        def check_name(hello: PeerHello) -> None:
            if identity.check_peer_name is not None:
                identity.check_peer_name(certificate, hello.node, ip_number)

        stream, check_hello = secured, check_name
    frames = FrameStream(stream)
    return frames, await shake_hands(frames, identity, connecting, check_hello)


class LinkServer:
    """Accepts links from other nodes: one task for each connection.

    `rejected` counts the connections whose handshake failed.
    """

    __slots__ = (
        "_closed",
        "_handler",
        "_identity",
        "_listener",
        "address",
        "rejected",
        "traffic",
    )

    def __init__(
        self, identity: Identity, handler: Handler, traffic: Traffic | None = None
    ) -> None:
        self._identity = identity
        self._handler = handler
        self._listener: anyio.abc.Listener[ByteStream] | None = None
        self._closed = False
        self.address = ""
        self.rejected = 0
        self.traffic = traffic or Traffic()

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
        """Serve until `close`, and then until the open links end."""
        if self._listener is None:
            raise RuntimeError("call bind before run")
        async with anyio.create_task_group() as tasks:
            while not self._closed:
                try:
                    await self._listener.serve(self._serve, tasks)
                except* anyio.ClosedResourceError:
                    self._closed = True
                except* OSError as errors:
                    logging.error("event=accept-failed error=%r", errors.exceptions)
                if not self._closed:
                    await anyio.sleep(ACCEPT_RETRY_S)

    async def close(self) -> None:
        """Close the listener: from now on a connection attempt is refused.

        Open links and the requests on them continue until `run` is cancelled.
        """
        self._closed = True
        if self._listener is not None:
            await self._listener.aclose()

    async def _serve(self, stream: ByteStream) -> None:
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                frames, peer = await greet(stream, self._identity, connecting=False)
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            HeathermountError,
        ) as error:
            self.rejected += 1
            await self._refuse(stream, error)
            return
        except BaseException:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            raise
        await ServedLink(frames, peer, self._handler, self.traffic).run()

    async def _refuse(self, stream: ByteStream, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            'event=link-rejected error="%s: %s"',
            LOG_INTERVAL_S,
            type(error).__name__,
            error,
        )
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


class ServedLink:
    """One accepted connection: one task for each request on it."""

    __slots__ = ("_handler", "_outbox", "_peer", "_running", "_stream", "_traffic")

    def __init__(
        self,
        stream: FrameStream,
        peer: PeerHello,
        handler: Handler,
        traffic: Traffic,
    ) -> None:
        self._stream = stream
        self._outbox = Outbox(stream)
        self._peer = peer
        self._handler = handler
        self._traffic = traffic
        self._running: dict[int, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Serve requests until the connection ends or a frame is malformed."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._outbox.run)
                try:
                    await self._read_requests(tasks)
                finally:
                    # Nobody waits for the answers any more.
                    tasks.cancel_scope.cancel()
        except* (OSError, anyio.EndOfStream, InvalidMessage):
            pass
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await self._stream.close()

    async def _read_requests(self, tasks: TaskGroup) -> None:
        while True:
            number, kind, body = await self._stream.read()
            if kind == FrameKind.CANCEL:
                self._traffic.count_received(FRAME_HEADER.size, data=False)
                scope = self._running.get(number)
                if scope is not None:
                    scope.cancel()
                continue
            if kind != FrameKind.REQUEST or number in self._running:
                raise InvalidMessage(f"unexpected frame {number} of kind {kind}")
            try:
                message: Message = decode_body(MESSAGE_DECODER, body)
            except InvalidMessage as error:
                self._reject(number, "malformed", str(error))
                continue
            data = isinstance(message, Execute)
            self._traffic.count_received(FRAME_HEADER.size + len(body), data)
            scope = self._running[number] = anyio.CancelScope()
            tasks.start_soon(self._handle, number, message, scope)

    async def _handle(
        self, number: int, message: Message, scope: anyio.CancelScope
    ) -> None:
        try:
            with scope:
                answer = await self._handler(message, self._peer)
                self._send_answer(number, answer)
        except HeathermountError as error:
            self._reject(number, type(error).__name__, str(error))
        except Exception as error:
            # A fault in the handling of one message must not end the node.
            logging.exception("event=handler-failed message=%s", type(message).__name__)
            self._reject(number, "internal-error", repr(error))
        finally:
            self._running.pop(number, None)

    def _send_answer(self, number: int, answer: Message) -> None:
        body = ENCODER.encode(answer)
        if len(body) > MAX_FRAME_BYTES:
            raise InvalidMessage(f"the answer has {len(body)} bytes; make it smaller")
        data = isinstance(answer, Answer)
        self._traffic.count_sent(FRAME_HEADER.size + len(body), data)
        self._outbox.put(frame(number, FrameKind.ANSWER, body))

    def _reject(self, number: int, code: str, detail: str) -> None:
        body = ENCODER.encode(Rejection(code, detail))
        self._traffic.count_sent(FRAME_HEADER.size + len(body), data=False)
        with suppress(PeerError):
            self._outbox.put(frame(number, FrameKind.REJECTED, body))
