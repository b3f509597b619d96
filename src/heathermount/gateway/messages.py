"""Messages between gateway nodes."""

from typing import Final

import msgspec

from heathermount.gateway.node_records import NodeChange
from heathermount.values import Headers, Load, Reason, ServiceThreshold
from heathermount.wire.messages import Suspicion

__all__ = [
    "MESSAGE_DECODER",
    "MESSAGE_ENCODER",
    "REQUEST_TYPES",
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
    # Organisation and digest of its API key; empty for requests without a key.
    organisation: str
    key_digest: bytes
    # Organisation that fair queueing charges; also set for nested calls, if known.
    account: str
    importance: int
    cohort: int
    # Remaining time when the message was sent, in seconds.
    deadline_s: float
    idempotent: bool
    configuration_version: int
    # Hash that identical requests of one organisation share.
    fingerprint: bytes
    # False if another server can take the request at once: a server that limits its
    # rate then refuses it instead of letting it wait.
    may_wait: bool = True


class Answer(msgspec.Struct, tag=2, array_like=True):
    """Result of Execute: the backend server's response or a refusal."""

    status: int
    headers: Headers
    body: bytes
    outcome: str
    # Reason for a refusal; empty for a response of the backend server.
    reason: str = ""
    retry_after_s: float = 0.0
    sent_to_server: bool = False
    # The connection to the backend server, or to the node beside it, broke before a
    # response began.
    server_crashed: bool = False
    # Calls that the run made to other services, and whether one of them failed.
    nested_calls: int = 0
    nested_call_failed: bool = False
    load: Load | None = None
    thresholds: list[ServiceThreshold] = []
    # The start of the backend server that stated in its response that it leaves.
    departed_server: str = ""
    departed_born_ms: int = 0

    @property
    def limited(self) -> bool:
        """Whether the executing node refused the request to keep the server's rate."""
        rate = self.load.rate if self.load is not None else 0.0
        return self.reason == Reason.SHED and not self.sent_to_server and rate > 0.0


class Ping(msgspec.Struct, tag=3, array_like=True):
    """Link heartbeat, or with `wait_s` a follower's request for news."""

    node: str
    version: int
    # Time since the sender last confirmed that its version is the newest, in seconds.
    age_s: float
    suspicions: list[Suspicion] = []
    # How long the answer may be held back until there is news; 0 for a heartbeat.
    wait_s: float = 0.0
    # Revision up to which the sender knows the entries of all nodes.
    revision: int = 0


class Pong(msgspec.Struct, tag=4, array_like=True):
    """Answer to Ping; `configuration` is set if the pinging node's is outdated."""

    version: int
    age_s: float
    load: Load | None
    serving: bool
    configuration: bytes = b""
    suspicions: list[Suspicion] = []
    # How long the answer was held back, in seconds.
    held_s: float = 0.0
    # Revision up to which `changes` lead; 0 in the answer to a heartbeat.
    revision: int = 0
    changes: list[NodeChange] = []
    # Whether `changes` are the entries of all nodes, not only the newer ones.
    complete: bool = False


class TokenRequest(msgspec.Struct, tag=5, array_like=True):
    """Ask a holder of an organisation's quota share for tokens."""

    organisation: str
    amount: int


class TokenGrant(msgspec.Struct, tag=6, array_like=True):
    """Tokens granted, seconds until the next one, and the holder's remaining level."""

    amount: int
    retry_after_s: float
    level: float = 0.0


Message = Execute | Answer | Ping | Pong | TokenRequest | TokenGrant

# Messages that a node answers.
REQUEST_TYPES: Final = (Execute, Ping, TokenRequest)

MESSAGE_ENCODER: Final = msgspec.msgpack.Encoder()
MESSAGE_DECODER: Final[msgspec.msgpack.Decoder[Message]] = msgspec.msgpack.Decoder(
    Message
)
