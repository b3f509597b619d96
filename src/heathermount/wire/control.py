"""gRPC service that a node offers to other nodes and to the operators' tool."""

import hmac
import secrets
import socket
import ssl
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Protocol, TypeVar

import anyio
import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from heathermount.clocks import Clock
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
from heathermount.events import Event
from heathermount.wire.frames import decode_body

__all__ = [
    "ConfigurationReply",
    "ConfigurationRequest",
    "ControlClient",
    "ControlServer",
    "ControlService",
    "DrainReply",
    "DrainRequest",
    "HandOverReply",
    "HandOverRequest",
    "OwnerReply",
    "OwnerRequest",
    "PushReply",
    "PushRequest",
    "RosterReply",
    "RosterRequest",
    "StatusReply",
    "StatusRequest",
    "TimelineReply",
    "TimelineRequest",
]

SERVICE_PATH: Final = "/heathermount.Control/"
TOKEN_HEADER: Final = "heathermount-token"
# Clocks of operators' machines may differ more than those of the fleet.
MAX_TOKEN_AGE_S: Final = 300.0


class StatusRequest(msgspec.Struct, array_like=True):
    """Ask for the state of one node."""


class StatusReply(msgspec.Struct, array_like=True):
    """State of one node."""

    node: str
    incarnation: str
    service: str
    failure_domain: str
    revision: int
    change_id: str
    # Time since this node adopted the revision, in seconds.
    revision_age_s: float
    fresh: bool
    draining: bool
    members: list[str]
    owned: list[str]
    violations: dict[str, int]


class TimelineRequest(msgspec.Struct, array_like=True):
    """Ask for the events since a time, in microseconds since the Unix epoch."""

    since_us: int = 0


class TimelineReply(msgspec.Struct, array_like=True):
    """Recent events of one node."""

    events: list[Event]


class ConfigurationRequest(msgspec.Struct, array_like=True):
    """Ask for the configuration changes after a revision."""

    since_revision: int


class ConfigurationReply(msgspec.Struct, array_like=True):
    """Encoded changes in order, or an encoded document.

    The document replaces changes that the node no longer keeps.
    """

    revision: int
    changes: list[bytes]
    document: bytes = b""
    # Time since the store confirmed the revision; 1e9 if it never has.
    confirmed_age_s: float = 1e9
    # Failure domain of the node that replies.
    failure_domain: str = ""


class PushRequest(msgspec.Struct, array_like=True):
    """Send a node an accepted change, so that it need not wait for the store."""

    change: bytes


class PushReply(msgspec.Struct, array_like=True):
    """Revision of the node after a push."""

    revision: int


class RosterRequest(msgspec.Struct, array_like=True):
    """Ask a node for its service's roster record."""

    service: str


class RosterReply(msgspec.Struct, array_like=True):
    """An encoded roster record; empty when the node does not have it."""

    roster: bytes


class OwnerRequest(msgspec.Struct, array_like=True):
    """Ask for the ownership record of a partition, instead of reading the store.

    Nodes send this to the member that reads the store for their group.
    """

    partition: str


class OwnerReply(msgspec.Struct, array_like=True):
    """An encoded ownership record; empty when there is none."""

    record: bytes


class DrainRequest(msgspec.Struct, array_like=True):
    """Take a node's backend server out of service, or put it back."""

    draining: bool


class DrainReply(msgspec.Struct, array_like=True):
    """Requests that still run at the node."""

    running: int


class HandOverRequest(msgspec.Struct, array_like=True):
    """State of a partition, sent to its next owner before the record changes."""

    partition: str
    epoch: int
    state: bytes


class HandOverReply(msgspec.Struct, array_like=True):
    """Whether the next owner takes the partition."""

    accepted: bool


class ControlService(Protocol):
    """Calls that a node answers for other nodes and for operators."""

    async def status(self, request: StatusRequest) -> StatusReply: ...

    async def timeline(self, request: TimelineRequest) -> TimelineReply: ...

    async def fetch_configuration(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply: ...

    async def push(self, request: PushRequest) -> PushReply: ...

    async def fetch_roster(self, request: RosterRequest) -> RosterReply: ...

    async def find_owner(self, request: OwnerRequest) -> OwnerReply: ...

    async def drain(self, request: DrainRequest) -> DrainReply: ...

    async def hand_over(self, request: HandOverRequest) -> HandOverReply: ...


METHODS_BY_REQUEST: Final[dict[type, tuple[str, type]]] = {
    StatusRequest: ("status", StatusReply),
    TimelineRequest: ("timeline", TimelineReply),
    ConfigurationRequest: ("fetch_configuration", ConfigurationReply),
    PushRequest: ("push", PushReply),
    RosterRequest: ("fetch_roster", RosterReply),
    OwnerRequest: ("find_owner", OwnerReply),
    DrainRequest: ("drain", DrainReply),
    HandOverRequest: ("hand_over", HandOverReply),
}


class MsgpackCodec(CodecBase):
    """gRPC message codec over msgspec structs."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        return decode_body(msgspec.msgpack.Decoder(message_type), data)


def make_token(secret: bytes, path: str, clock: Clock) -> str:
    """Return a bearer token for calls to `path`, valid for a few minutes."""
    issued = f"{int(clock.wall())}.{secrets.token_hex(8)}"
    proof = hmac.digest(secret, f"{path} {issued}".encode(), "sha256").hex()
    return f"{issued}.{proof}"


def check_token(secret: bytes, path: str, clock: Clock, token: str) -> bool:
    """Return whether a token was made for `path` with the fleet secret, recently."""
    issued, _, proof = token.rpartition(".")
    seconds = issued.partition(".")[0]
    # The token is untrusted: compare_digest accepts ASCII strings only, and int
    # rejects digits such as "²" and very long numbers.
    if not (token.isascii() and seconds.isdecimal() and len(seconds) <= 20):
        return False
    if abs(clock.wall() - int(seconds)) > MAX_TOKEN_AGE_S:
        return False
    expected = hmac.digest(secret, f"{path} {issued}".encode(), "sha256").hex()
    return hmac.compare_digest(proof, expected)


class ControlServer:
    """Serves a ControlService over gRPC."""

    __slots__ = ("_clock", "_secret", "_server", "_service", "_tls")

    def __init__(
        self,
        service: ControlService,
        secret: bytes,
        clock: Clock,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._service = service
        self._secret = secret
        self._clock = clock
        self._tls = tls
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> str:
        """Open the listener and return its address as "ip:port"."""
        listener = socket.create_server((host, port), backlog=256)
        listener.setblocking(False)
        self._server = Server([self], codec=MsgpackCodec())
        await self._server.start(sock=listener, ssl=self._tls)
        return f"{host}:{listener.getsockname()[1]}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def __mapping__(self) -> Mapping[str, Handler]:
        # grpclib looks up the methods of a service by this name.
        return {
            SERVICE_PATH + name: Handler(
                self._make_handler(SERVICE_PATH + name, getattr(self._service, name)),
                Cardinality.UNARY_UNARY,
                request_type,
                reply_type,
            )
            for request_type, (name, reply_type) in METHODS_BY_REQUEST.items()
        }

    def _make_handler(
        self, path: str, method: Callable[[Any], Awaitable[Any]]
    ) -> Callable[[Stream[Any, Any]], Awaitable[None]]:
        async def handle(stream: Stream[Any, Any]) -> None:
            metadata: Mapping[Any, Any] = stream.metadata or {}
            token = str(metadata.get(TOKEN_HEADER, ""))
            if not check_token(self._secret, path, self._clock, token):
                raise GRPCError(Status.UNAUTHENTICATED, "use the fleet secret")
            try:
                request = await stream.recv_message()
            except InvalidMessage as error:
                raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "the request is missing")
            try:
                reply = await method(request)
            except HeathermountError as error:
                raise GRPCError(Status.FAILED_PRECONDITION, str(error)) from error
            await stream.send_message(reply)

        return handle


Reply = TypeVar("Reply")


class ControlClient:
    """Calls the ControlService of one node at "ip:port"."""

    __slots__ = ("_channel", "_clock", "_secret", "address")

    def __init__(
        self,
        address: str,
        secret: bytes,
        clock: Clock,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._secret = secret
        self._clock = clock
        self._channel = Channel(host, int(port), ssl=tls, codec=MsgpackCodec())

    async def call(
        self, request: Any, reply_type: type[Reply], timeout_s: float = 2.0
    ) -> Reply:
        """Call the method that takes `request`.

        Raises PeerRefused when nothing listens at the address, PeerUnreachable
        when the node cannot be reached, PeerTimeout when it does not answer
        within `timeout_s` seconds, PeerLost when the connection ends and
        PeerRejected when the node refuses the request.
        """
        name, _ = METHODS_BY_REQUEST[type(request)]
        path = SERVICE_PATH + name
        method: UnaryUnaryMethod[Any, Reply] = UnaryUnaryMethod(
            self._channel, path, type(request), reply_type
        )
        token = make_token(self._secret, path, self._clock)
        started_at = self._clock.monotonic()
        await self._connect(timeout_s)
        remaining_s = max(0.001, timeout_s - (self._clock.monotonic() - started_at))
        try:
            return await method(
                request, timeout=remaining_s, metadata={TOKEN_HEADER: token}
            )
        except GRPCError as error:
            raise make_peer_error(self.address, error) from error
        except TimeoutError as error:
            raise PeerTimeout(f"{self.address} did not answer in time") from error
        except InvalidMessage as error:
            raise PeerLost(f"{self.address}: {error}") from error
        except Exception as error:
            # grpclib raises its own connection errors (ProtocolError,
            # StreamTerminatedError), which share no base class.
            raise PeerLost(f"{self.address}: {error!r}") from error

    async def _connect(self, timeout_s: float) -> None:
        """Connect before the call: a failure here proves that nothing was sent."""
        try:
            with anyio.fail_after(timeout_s):
                await self._channel.__connect__()
        except ConnectionRefusedError as error:
            raise PeerRefused(f"nothing listens at {self.address}") from error
        except TimeoutError as error:
            raise PeerUnreachable(
                f"{self.address} did not accept a connection in time"
            ) from error
        except ssl.SSLError as error:
            rejected = PeerRejected("tls", f"{self.address}: {error}")
            rejected.sent = False
            raise rejected from error
        except OSError as error:
            raise PeerUnreachable(f"{self.address}: {error!r}") from error

    def close(self) -> None:
        self._channel.close()


def make_peer_error(address: str, error: GRPCError) -> PeerError:
    """Return the package's error for a gRPC status that the peer sent."""
    if error.status is Status.DEADLINE_EXCEEDED:
        return PeerTimeout(f"{address}: {error.message}")
    if error.status is Status.UNAVAILABLE:
        return PeerUnreachable(f"{address}: {error.message}")
    return PeerRejected(error.status.name, error.message or "")
