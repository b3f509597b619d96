"""Messages on the links between gateway nodes."""

from typing import Final

import msgspec

from heathermount.values import Headers, Load, ServiceThreshold
from heathermount.wire.messages import Suspicion

__all__ = [
    "MESSAGE_DECODER",
    "MESSAGE_ENCODER",
    "Answer",
    "Execute",
    "Message",
    "Ping",
    "Pong",
    "TokenGrant",
    "TokenRequest",
]


class Execute(msgspec.Struct, tag=1, array_like=True):
    """Ask the node beside a backend server to run a request."""

    request_id: bytes
    service: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # Organisation and digest of its key; empty for requests without a key.
    organisation: str
    key_digest: bytes
    # Organisation on whose behalf a request without a key runs, if known.
    account: str
    importance: int
    cohort: int
    # Remaining time when the message was sent, in seconds.
    deadline_s: float
    idempotent: bool
    configuration_version: int
    # What equal requests of one organisation have in common.
    fingerprint: bytes


class Answer(msgspec.Struct, tag=2, array_like=True):
    """Result of Execute: the backend server's answer or a refusal."""

    status: int
    headers: Headers
    body: bytes
    outcome: str
    # Empty when the answer is the backend server's own.
    reason: str = ""
    retry_after_s: float = 0.0
    # True when the request was sent to the backend server at all.
    sent_to_server: bool = False
    # True when the connection to the backend server broke while it ran.
    server_crashed: bool = False
    # Calls that the run made itself, and whether one of them failed.
    nested_calls: int = 0
    nested_call_failed: bool = False
    load: Load | None = None
    thresholds: list[ServiceThreshold] = []


class Ping(msgspec.Struct, tag=3, array_like=True):
    """Probe of a link; it carries what the sender knows of the configuration."""

    node: str
    version: int
    # Age of the sender's last proof that its version is the newest, in seconds.
    age_s: float
    suspicions: list[Suspicion] = []


class Pong(msgspec.Struct, tag=4, array_like=True):
    """Answer to Ping; `configuration` is set when the sender of the ping is behind."""

    version: int
    age_s: float
    load: Load | None
    serving: bool
    configuration: bytes = b""
    suspicions: list[Suspicion] = []


class TokenRequest(msgspec.Struct, tag=5, array_like=True):
    """Ask a quota holder for tokens of one organisation."""

    organisation: str
    amount: int


class TokenGrant(msgspec.Struct, tag=6, array_like=True):
    """Tokens granted, the wait until one more, in seconds, and what is left."""

    amount: int
    retry_after_s: float
    level: float = 0.0


Message = Execute | Answer | Ping | Pong | TokenRequest | TokenGrant

MESSAGE_ENCODER: Final = msgspec.msgpack.Encoder()
MESSAGE_DECODER: Final[msgspec.msgpack.Decoder[Message]] = msgspec.msgpack.Decoder(
    Message
)
