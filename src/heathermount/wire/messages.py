"""Messages between nodes."""

import msgspec

from heathermount.values import Headers, Load, ServiceThreshold

__all__ = [
    "Answer",
    "Claim",
    "ClaimReply",
    "ClaimUpdated",
    "Execute",
    "Heartbeat",
    "HeartbeatReply",
    "Message",
    "QuarantineNotice",
    "Acknowledgement",
    "Settle",
    "Suspicion",
    "TokenGrant",
    "TokenReply",
    "TokenRequest",
    "TokenDemand",
    "UnclaimKey",
]


class Execute(msgspec.Struct, tag=1, array_like=True):
    """Ask the node beside a backend server to run a request."""

    call_id: bytes
    root: str
    service: str
    route: str
    method: str
    target: str
    headers: Headers
    body: bytes
    organisation: str
    key_id: str
    importance: int
    cohort: int
    weight: int
    # Remaining time when the message was sent, in seconds, and that time in
    # seconds since the Unix epoch.
    deadline_s: float
    sent_at: float
    # Extra attempts that the callee may spend on its own deeper calls.
    allowance: int
    depth: int
    fingerprint: bytes
    repeatable: bool
    resend: bool
    revision: int


class Answer(msgspec.Struct, tag=2, array_like=True):
    """Result of Execute: the backend server's answer or a refusal."""

    status: int
    headers: Headers
    body: bytes
    outcome: str
    # Empty when the answer is the backend server's own.
    reason: str = ""
    remedy: str = ""
    retry_after_s: float = 0.0
    # Extra attempts spent at this node and below.
    spent: int = 0
    # True when the request was already retried below this node.
    retried: bool = False
    # True when the connection to the backend server broke while it ran.
    crashed: bool = False
    load: Load | None = None
    thresholds: list[ServiceThreshold] = []
    revision: int = 0
    roster_revision: int = 0
    # Time that the backend server took, in seconds.
    server_time_s: float = 0.0


class Claim(msgspec.Struct, tag=3, array_like=True):
    """Ask a claim owner whether this call may run."""

    partition: str
    key: bytes
    caller: str
    call_id: bytes
    # Time the idempotency key was issued, in seconds since the Unix epoch;
    # zero when the key does not tell.
    issued_at: float
    # What identifies the request itself: a key must not be reused for another.
    request_digest: bytes


class ClaimReply(msgspec.Struct, tag=4, array_like=True):
    """Decision of a claim owner.

    `state` is one of granted, running, settled, unknown, mismatch, moved.
    """

    state: str
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    outcome: str = ""
    answer_held: bool = False


class Settle(msgspec.Struct, tag=5, array_like=True):
    """Tell a claim owner how a claimed call ended."""

    partition: str
    key: bytes
    caller: str
    call_id: bytes
    outcome: str
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    answer_held: bool = False


class UnclaimKey(msgspec.Struct, tag=6, array_like=True):
    """Release a claim whose call provably did not run."""

    partition: str
    key: bytes
    caller: str
    call_id: bytes


class ClaimUpdated(msgspec.Struct, tag=7, array_like=True):
    """Acknowledge Settle or UnclaimKey; `known` is false for an unknown claim."""

    known: bool


class TokenDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one organisation, in tokens."""

    organisation: str
    amount: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted, their lifetime, and the wait until one more, in seconds."""

    organisation: str
    amount: int
    validity_s: float
    retry_after_s: float


class TokenRequest(msgspec.Struct, tag=8, array_like=True):
    """Ask an allocator for tokens of several organisations."""

    partition: str
    demands: list[TokenDemand]


class TokenReply(msgspec.Struct, tag=9, array_like=True):
    """Grants of an allocator; `owned` is false if it does not own the partition."""

    owned: bool
    grants: list[TokenGrant]


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request fingerprint under which a backend server was lost."""

    fingerprint: bytes
    server: str
    # Age of the suspicion when the message was sent, in seconds.
    age_s: float


class Heartbeat(msgspec.Struct, tag=10, array_like=True):
    """Periodic state of a group member."""

    service: str
    node: str
    incarnation: str
    load: Load
    draining: bool
    serving: bool
    revision: int
    change_id: str
    roster_revision: int
    suspicions: list[Suspicion]
    timestamp: tuple[int, int]


class HeartbeatReply(msgspec.Struct, tag=11, array_like=True):
    """State of the member that received a heartbeat."""

    node: str
    incarnation: str
    load: Load
    draining: bool
    serving: bool
    revision: int
    change_id: str
    roster_revision: int
    # Age of the store's last confirmation of the configuration, in seconds.
    confirmed_age_s: float
    # Age of the last contact with each failure domain, in seconds.
    domain_ages_s: dict[str, float]
    # For a member that joined after the suspicions were shared.
    suspicions: list[Suspicion]
    timestamp: tuple[int, int]


class QuarantineNotice(msgspec.Struct, tag=12, array_like=True):
    """Tell the group about a crash suspicion, or that one was unfounded.

    A suspicion is shared before the answer is given. When `cleared` is set, a
    request with the fingerprint has completed.
    """

    suspicion: Suspicion
    cleared: bool = False


class Acknowledgement(msgspec.Struct, tag=13, array_like=True):
    """Acknowledge a message without a result."""


Message = (
    Execute
    | Answer
    | Claim
    | ClaimReply
    | Settle
    | UnclaimKey
    | ClaimUpdated
    | TokenRequest
    | TokenReply
    | Heartbeat
    | HeartbeatReply
    | QuarantineNotice
    | Acknowledgement
)
