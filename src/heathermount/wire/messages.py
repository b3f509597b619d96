"""Messages that nodes exchange over links.

Each message is a msgpack array: the order of its fields is the wire format.
"""

import msgspec

from heathermount.values import Headers, Load, ServiceThreshold

__all__ = [
    "Acknowledgement",
    "Answer",
    "Claim",
    "ClaimReply",
    "ClaimUpdated",
    "Execute",
    "Heartbeat",
    "HeartbeatReply",
    "Message",
    "QuarantineNotice",
    "Settle",
    "Suspicion",
    "TokenDemand",
    "TokenGrant",
    "TokenReply",
    "TokenRequest",
    "UnclaimKey",
]


class Execute(msgspec.Struct, tag=1, array_like=True):
    """Ask the node beside a backend server to run a request."""

    call_id: bytes
    # Id of the root request that this call descends from.
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
    # Time that remained when the message was sent, in seconds, and when it was
    # sent, in seconds since the Unix epoch.
    deadline_s: float
    sent_at: float
    # Extra attempts that the callee may spend on the calls it makes itself.
    allowance: int
    # Position in the call chain; 1 for the root request.
    depth: int
    fingerprint: bytes
    repeatable: bool
    # True for a request that its caller repeats, see ResendTracker.
    resend: bool
    # Configuration revision of the node at which the call entered.
    revision: int


class Answer(msgspec.Struct, tag=2, array_like=True):
    """Result of Execute: the backend server's response or a refusal by a node."""

    status: int
    headers: Headers
    body: bytes
    outcome: str
    # Code of the refusal; empty when the backend server responded.
    reason: str = ""
    remedy: str = ""
    retry_after_s: float = 0.0
    # Extra attempts spent at this node and below.
    spent: int = 0
    # True when the request was already retried deeper in the call graph.
    retried: bool = False
    # True when the connection to the backend server broke while the request ran.
    crashed: bool = False
    load: Load | None = None
    thresholds: list[ServiceThreshold] = []
    revision: int = 0
    roster_revision: int = 0
    # Time that the backend server took for the request, in seconds.
    server_time_s: float = 0.0


class Claim(msgspec.Struct, tag=3, array_like=True):
    """Ask the owner of a claim partition whether this call may run."""

    partition: str
    key: bytes
    # Name and incarnation of the node that claims the key, not an HTTP caller.
    caller: str
    call_id: bytes
    # Time when the idempotency key was issued, in seconds since the Unix epoch;
    # zero when the key does not contain it.
    issued_at: float
    # Digest of the request, so that reuse of the key for another one is detected.
    request_digest: bytes


class ClaimReply(msgspec.Struct, tag=4, array_like=True):
    """Decision of a claim owner.

    `state` is one of granted, running, settled, unknown, mismatch, moved. `mismatch`
    means that the key belongs to another request, and `moved` that the node does
    not own the partition.
    """

    state: str
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    outcome: str = ""
    # False when the response of a settled call is not kept.
    answer_held: bool = False


class Settle(msgspec.Struct, tag=5, array_like=True):
    """Tell the owner of a claim how the claimed call ended."""

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
    """Release a claim whose call provably did not run, so that a retry may."""

    partition: str
    key: bytes
    caller: str
    call_id: bytes


class ClaimUpdated(msgspec.Struct, tag=7, array_like=True):
    """Acknowledge Settle or UnclaimKey; `known` is false for an unknown claim."""

    known: bool


class TokenDemand(msgspec.Struct, frozen=True, array_like=True):
    """Number of tokens that a node asks for on behalf of an organisation."""

    organisation: str
    amount: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted, their lifetime, and the wait until one more is available.

    Both times are in seconds.
    """

    organisation: str
    amount: int
    validity_s: float
    retry_after_s: float


class TokenRequest(msgspec.Struct, tag=8, array_like=True):
    """Ask the allocator of a partition for tokens for several organisations."""

    partition: str
    demands: list[TokenDemand]


class TokenReply(msgspec.Struct, tag=9, array_like=True):
    """Grants of an allocator; `owned` is false if it does not own the partition."""

    owned: bool
    grants: list[TokenGrant]


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Fingerprint of a request that ran on a backend server when it was lost."""

    fingerprint: bytes
    # Identifies one start of the lost backend server, so that the loss of a server
    # that was restarted counts again.
    server: str
    # Age of the suspicion when the message was sent, in seconds.
    age_s: float


class Heartbeat(msgspec.Struct, tag=10, array_like=True):
    """State of a group member, sent to its peers periodically."""

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
    # Time since the store last confirmed the configuration, in seconds.
    confirmed_age_s: float
    # Time since the last contact with each failure domain, in seconds.
    domain_ages_s: dict[str, float]
    # Repeated here for a member that joined after they were shared.
    suspicions: list[Suspicion]
    timestamp: tuple[int, int]


class QuarantineNotice(msgspec.Struct, tag=12, array_like=True):
    """Tell the group about a crash suspicion, or that it was unfounded.

    A suspicion is shared before the lost request is answered. `cleared` means
    that a request with the fingerprint has completed.
    """

    suspicion: Suspicion
    cleared: bool = False


class Acknowledgement(msgspec.Struct, tag=13, array_like=True):
    """Acknowledge a message that has no result."""


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
