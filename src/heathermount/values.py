"""Value types shared by all packages."""

from enum import IntEnum, StrEnum
from typing import Final

import msgspec

__all__ = [
    "COHORT_COUNT",
    "INTERNAL_ORGANISATION",
    "Headers",
    "Importance",
    "Load",
    "Outcome",
    "Reason",
    "ServiceThreshold",
    "Threshold",
]

# Number of cohorts in each class; a root request's id is hashed to one of them.
COHORT_COUNT: Final = 256

# HTTP headers as (name, value) pairs in the order of the message.
Headers = list[tuple[bytes, bytes]]

# Organisation of calls that a backend server makes outside any incoming request.
INTERNAL_ORGANISATION: Final = "internal"


class Importance(IntEnum):
    """Priority class of a request; classes with higher values are shed first."""

    CRITICAL = 0
    NORMAL = 1
    BACKGROUND = 2


class Outcome(StrEnum):
    """Whether the backend server has executed a request, as far as is known."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(StrEnum):
    """Stable code for why a node answered a request instead of the backend server."""

    MALFORMED = "malformed"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency-key-required"
    INVALID_CONTEXT = "invalid-context"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_WITHDRAWN = "key-withdrawn"
    ROUTE_UNKNOWN = "route-unknown"
    ALREADY_RAN = "already-ran"
    OUTCOME_UNKNOWN = "outcome-unknown"
    BODY_TOO_LARGE = "body-too-large"
    HEADER_TOO_LARGE = "header-too-large"
    OVER_RATE = "over-rate"
    SERVER_FAILED = "server-failed"
    ANSWER_BROKEN = "answer-broken"
    ANSWER_TOO_LARGE = "answer-too-large"
    SHED = "shed"
    NO_SERVER = "no-server"
    DRAINING = "draining"
    CONFIGURATION_STALE = "configuration-stale"
    QUARANTINED = "quarantined"
    QUOTA_UNREACHABLE = "quota-unreachable"
    CLAIMS_UNREACHABLE = "claims-unreachable"
    STARTING = "starting"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Threshold(msgspec.Struct, frozen=True, array_like=True):
    """Admission threshold of a service.

    More important classes are admitted completely, `importance` is admitted up
    to and including `cohort`, and less important classes are rejected.
    """

    importance: int = max(Importance)
    cohort: int = COHORT_COUNT - 1

    def admits(self, importance: int, cohort: int) -> bool:
        return (importance, cohort) <= (self.importance, self.cohort)


class ServiceThreshold(msgspec.Struct, frozen=True, array_like=True):
    """Threshold reported by one service on the path of a call."""

    service: str
    threshold: Threshold


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Running and queued requests of a backend server, and its limits."""

    running: int = 0
    queued: int = 0
    limit: int = 1
    # Requests per second that the server states it takes, 0 without such a limit, and
    # the seconds that one more request would wait because of it.
    rate: float = 0.0
    rate_wait_s: float = 0.0
