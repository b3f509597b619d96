"""Links that other nodes open: one task for each connection and each request."""

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
    SendQueue,
    decode_body,
    encode_frame,
)
from heathermount.wire.handshake import ENCODER, Identity, PeerHello, perform_handshake
from heathermount.wire.messages import Answer, Execute, Message
from heathermount.wire.traffic import TrafficCounters

__all__ = [
    "MESSAGE_DECODER",
    "Handler",
    "LinkServer",
    "Rejection",
    "authenticate_peer",
]

HANDSHAKE_TIMEOUT_S: Final = 2.0
# Delay after a failed accept, for example without free file descriptors.
ACCEPT_RETRY_DELAY_S: Final = 0.1
REJECTION_LOG_INTERVAL_S: Final = 10

MESSAGE_DECODER: Final = msgspec.msgpack.Decoder(Message)


class Rejection(msgspec.Struct, array_like=True):
    """Body of a REJECTED frame."""

    code: str
    detail: str


Handler = Callable[[Message, PeerHello], Awaitable[Message]]


async def authenticate_peer(
    stream: ByteStream, identity: Identity, connecting: bool
) -> tuple[FrameStream, PeerHello]:
    """Start TLS if the identity has it, then perform the handshake.

    With TLS, the name in the peer's hello is checked against its certificate.
    """
    check_hello: Callable[[PeerHello], None] | None = None
    tls_context = identity.client_tls if connecting else identity.server_tls
    if tls_context is not None:
        ip_address = str(stream.extra(SocketAttribute.remote_address)[0])
        tls_stream = await TLSStream.wrap(
            stream,
            server_side=not connecting,
            hostname=ip_address if connecting else None,
            ssl_context=tls_context,
        )
        certificate: Any = tls_stream.extra(TLSAttribute.peer_certificate) or {}

        def check_name(hello: PeerHello) -> None:
            if identity.check_peer_name is not None:
                identity.check_peer_name(certificate, hello.node, ip_address)

        stream, check_hello = tls_stream, check_name
    frames = FrameStream(stream)
    return frames, await perform_handshake(frames, identity, connecting, check_hello)


class LinkServer:
    """Accepts links from other nodes: one task for each connection.

    `rejected_connections` counts the connections whose handshake failed.
    """

    __slots__ = (
        "_closed",
        "_handler",
        "_identity",
        "_listener",
        "address",
        "rejected_connections",
        "traffic",
    )

    def __init__(
        self,
        identity: Identity,
        handler: Handler,
        traffic: TrafficCounters | None = None,
    ) -> None:
        self._identity = identity
        self._handler = handler
        self._listener: anyio.abc.Listener[ByteStream] | None = None
        self._closed = False
        self.address = ""
        self.rejected_connections = 0
        self.traffic = traffic or TrafficCounters()

    async def bind(self, host: str, port: int) -> str:
        """Open the listener and return its address as "ip:port"."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=1024
        )
        bound_port = listener.extra(SocketAttribute.local_port)
        self._listener = listener
        self.address = f"{host}:{bound_port}"
        return self.address

    async def run(self) -> None:
        """Accept links until `close`, then serve the open links until they end."""
        if self._listener is None:
            raise RuntimeError("call bind before run")
        async with anyio.create_task_group() as tasks:
            while not self._closed:
                try:
                    await self._listener.serve(self._serve_connection, tasks)
                except* anyio.ClosedResourceError:
                    self._closed = True
                except* OSError as errors:
                    logging.error("event=accept-failed error=%r", errors.exceptions)
                if not self._closed:
                    await anyio.sleep(ACCEPT_RETRY_DELAY_S)

    async def close(self) -> None:
        """Close the listener, so that new connections are refused.

        Open links and the requests on them continue until `run` is cancelled.
        """
        self._closed = True
        if self._listener is not None:
            await self._listener.aclose()

    async def _serve_connection(self, stream: ByteStream) -> None:
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                frames, peer = await authenticate_peer(
                    stream, self._identity, connecting=False
                )
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            HeathermountError,
        ) as error:
            self.rejected_connections += 1
            await self._log_and_close(stream, error)
            return
        except BaseException:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            raise
        await InboundLink(frames, peer, self._handler, self.traffic).run()

    async def _log_and_close(self, stream: ByteStream, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            'event=link-rejected error="%s: %s"',
            REJECTION_LOG_INTERVAL_S,
            type(error).__name__,
            error,
        )
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


class InboundLink:
    """An accepted connection, with one task for each request on it."""

    __slots__ = (
        "_handler",
        "_peer",
        "_request_scopes",
        "_send_queue",
        "_stream",
        "_traffic",
    )

    def __init__(
        self,
        stream: FrameStream,
        peer: PeerHello,
        handler: Handler,
        traffic: TrafficCounters,
    ) -> None:
        self._stream = stream
        self._send_queue = SendQueue(stream)
        self._peer = peer
        self._handler = handler
        self._traffic = traffic
        self._request_scopes: dict[int, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Serve requests until the connection ends or a frame is malformed."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_queue.run)
                try:
                    await self._read_requests(tasks)
                finally:
                    # The connection has ended: nobody waits for the answers.
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
            call_number, kind, body = await self._stream.read()
            if kind == FrameKind.CANCEL:
                self._traffic.count_received(FRAME_HEADER.size, is_data_path=False)
                scope = self._request_scopes.get(call_number)
                if scope is not None:
                    scope.cancel()
                continue
            if kind != FrameKind.REQUEST or call_number in self._request_scopes:
                raise InvalidMessage(f"unexpected frame {call_number} of kind {kind}")
            try:
                message: Message = decode_body(MESSAGE_DECODER, body)
            except InvalidMessage as error:
                self._reject(call_number, "malformed", str(error))
                continue
            is_data_path = isinstance(message, Execute)
            self._traffic.count_received(FRAME_HEADER.size + len(body), is_data_path)
            scope = self._request_scopes[call_number] = anyio.CancelScope()
            tasks.start_soon(self._handle, call_number, message, scope)

    async def _handle(
        self, call_number: int, message: Message, scope: anyio.CancelScope
    ) -> None:
        try:
            with scope:
                answer = await self._handler(message, self._peer)
                self._send_answer(call_number, answer)
        except HeathermountError as error:
            self._reject(call_number, type(error).__name__, str(error))
        except Exception as error:
            # A fault in the handling of one message must not stop the node.
            logging.exception("event=handler-failed message=%s", type(message).__name__)
            self._reject(call_number, "internal-error", repr(error))
        finally:
            self._request_scopes.pop(call_number, None)

    def _send_answer(self, call_number: int, answer: Message) -> None:
        body = ENCODER.encode(answer)
        if len(body) > MAX_FRAME_BYTES:
            raise InvalidMessage(f"the answer has {len(body)} bytes; make it smaller")
        is_data_path = isinstance(answer, Answer)
        self._traffic.count_sent(FRAME_HEADER.size + len(body), is_data_path)
        self._send_queue.put(encode_frame(call_number, FrameKind.ANSWER, body))

    def _reject(self, call_number: int, code: str, detail: str) -> None:
        body = ENCODER.encode(Rejection(code, detail))
        self._traffic.count_sent(FRAME_HEADER.size + len(body), is_data_path=False)
        with suppress(PeerError):
            self._send_queue.put(encode_frame(call_number, FrameKind.REJECTED, body))
