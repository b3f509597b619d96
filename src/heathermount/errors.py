"""Typed errors. Each message names the remedy."""

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
    """The store did not take effect of a call: it was not reached."""


class StoreOutcomeUnknown(HeathermountError):
    """A write was sent and its answer was lost; read back before repeating it."""


class InvalidMessage(HeathermountError):
    """A peer sent bytes that are not a valid message; check its version."""


class PeerError(HeathermountError):
    """Base of failures between nodes. `sent` tells whether the peer may have acted."""

    sent = True


class PeerRefused(PeerError):
    """Nothing listens at the address: the process there has ended."""

    sent = False


class PeerUnreachable(PeerError):
    """No connection could be made in time; check the network to the peer."""

    sent = False


class PeerLost(PeerError):
    """The connection ended before the answer came."""


class PeerTimeout(PeerError):
    """The answer did not come in time."""


class PeerRejected(PeerError):
    """The peer refused the message or the handshake."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"peer rejected the message: {code}: {detail}")
        self.code = code


class Refusal(HeathermountError):
    """An answer which the system makes itself instead of the backend server."""

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
