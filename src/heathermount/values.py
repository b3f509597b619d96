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

# Root requests are hashed to this many cohorts within a class.
COHORT_COUNT: Final = 256

# Names and values of HTTP headers in their order.
Headers = list[tuple[bytes, bytes]]

# Calls that a backend server makes on its own account run for this organisation.
INTERNAL_ORGANISATION: Final = "internal"


class Importance(IntEnum):
    """Class of a request; a lower value is shed later."""

    CRITICAL = 0
    NORMAL = 1
    BACKGROUND = 2


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(StrEnum):
    """Stable code that says why the system answered a request itself."""

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
    """The least important class and highest cohort that is still admitted."""

    importance: int = max(Importance)
    cohort: int = COHORT_COUNT - 1

    def admits(self, importance: int, cohort: int) -> bool:
        return (importance, cohort) <= (self.importance, self.cohort)


class ServiceThreshold(msgspec.Struct, frozen=True, array_like=True):
    """Threshold reported by one service on the path of a call."""

    service: str
    threshold: Threshold


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Concurrency state of one backend server, in requests."""

    running: int = 0
    queued: int = 0
    limit: int = 1
