"""Exceptions of the package; their messages say how to resolve the problem."""

from heathermount.values import Outcome, Reason

__all__ = [
    "ConfigurationProblem",
    "ConflictingChange",
    "HeathermountError",
    "InvalidMessage",
    "PeerError",
    "PeerLost",
    "PeerRefused",
    "PeerRejected",
    "PeerTimeout",
    "PeerUnreachable",
    "Refusal",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
]


class HeathermountError(Exception):
    """Base of all errors raised by this package."""


class ConfigurationProblem(HeathermountError):
    """One problem in a settings or declaration file."""

    def __init__(self, source: str, key: str, problem: str, remedy: str) -> None:
        super().__init__(f"{source}: {key}: {problem}; {remedy}")
        self.source = source
        self.key = key
        self.problem = problem
        self.remedy = remedy


class ConflictingChange(HeathermountError):
    """Another operator changed the configuration first."""

    def __init__(self, revision: int, change_id: str, author: str) -> None:
        super().__init__(
            f"change {change_id} by {author} made revision {revision} first; "
            "run diff against the new revision and apply again"
        )
        self.revision = revision
        self.change_id = change_id
        self.author = author


class StoreUnavailable(HeathermountError):
    """The store could not be reached or refused the call, which had no effect."""


class StoreOutcomeUnknown(HeathermountError):
    """A write was sent but its answer was lost; read the key before a retry."""


class InvalidMessage(HeathermountError):
    """Bytes from a peer or the store do not decode; check the sender's version."""


class PeerError(HeathermountError):
    """Base of communication failures between nodes.

    `sent` is false when the message certainly did not reach the peer, so that
    a retry cannot execute the request twice.
    """

    sent = True


class PeerRefused(PeerError):
    """The connection was refused: no process listens at the peer's address."""

    sent = False


class PeerUnreachable(PeerError):
    """The connection attempt timed out; check the network to the peer."""

    sent = False


class PeerLost(PeerError):
    """The connection was closed before the answer arrived."""


class PeerTimeout(PeerError):
    """The answer did not arrive before the timeout."""


class PeerRejected(PeerError):
    """The peer rejected the message or the handshake."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"peer rejected the message: {code}: {detail}")
        self.code = code


class Refusal(HeathermountError):
    """An answer that a node gives itself instead of the backend server."""

    def __init__(
        self,
        status: int,
        reason: Reason,
        outcome: Outcome,
        remedy: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{reason}: {remedy}")
        self.status = status
        self.reason = reason
        self.outcome = outcome
        self.remedy = remedy
        self.retry_after_s = retry_after_s
