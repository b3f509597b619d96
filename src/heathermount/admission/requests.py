"""Requests that ask for admission, permits to run, and typed refusals."""

from enum import Enum
from typing import Final

from heathermount.errors import Refusal
from heathermount.values import Outcome, Reason

__all__ = [
    "AdmissionCounts",
    "AdmissionRequest",
    "DeadlinePassed",
    "Draining",
    "Permit",
    "RunResult",
    "Shed",
]

# A refused caller may try another server of the group at once, this one later.
DRAINING_RETRY_AFTER_S: Final = 1.0


class RunResult(Enum):
    """How an admitted request ended at the backend server."""

    OK = "ok"
    FAILED = "failed"
    # The backend server refused the request itself before running it.
    SHED_BY_SERVER = "shed-by-server"
    CANCELLED = "cancelled"
    # The connection to the backend server broke while the request ran.
    CRASHED = "crashed"


class AdmissionRequest:
    """What admission needs to know about one request.

    `deadline` is a time of the node's monotonic clock, in seconds.
    """

    __slots__ = (
        "cohort",
        "deadline",
        "importance",
        "organisation",
        "resend",
        "root",
        "weight",
    )

    def __init__(
        self,
        root: str,
        organisation: str,
        weight: int,
        importance: int,
        cohort: int,
        deadline: float,
        resend: bool = False,
    ) -> None:
        self.root = root
        self.organisation = organisation
        self.weight = weight
        self.importance = importance
        self.cohort = cohort
        self.deadline = deadline
        self.resend = resend


class Permit:
    """Permission to run one request; must be released exactly once.

    The node reports deeper calls of the running request through
    `enter_deeper` and `leave_deeper`. Time spent only waiting for deeper
    services is not counted as service time of this backend server.
    """

    __slots__ = (
        "_downstream_calls",
        "_downstream_wait_s",
        "_downstream_wait_started_at",
        "granted_at",
        "released",
        "request",
    )

    def __init__(self, request: AdmissionRequest, granted_at: float) -> None:
        self.request = request
        self.granted_at = granted_at
        self.released = False
        self._downstream_calls = 0
        self._downstream_wait_started_at = 0.0
        self._downstream_wait_s = 0.0

    def start_downstream_call(self, now: float) -> None:
        """Note that a deeper call of this request starts; `now` is monotonic."""
        if self._downstream_calls == 0:
            self._downstream_wait_started_at = now
        self._downstream_calls += 1

    def end_downstream_call(self, now: float) -> None:
        """Note that a deeper call of this request ended."""
        self._downstream_calls -= 1
        if self._downstream_calls == 0:
            self._downstream_wait_s += now - self._downstream_wait_started_at

    def compute_own_time_s(self, now: float) -> float:
        """Return seconds since the grant without the waits for deeper calls."""
        downstream_wait_s = self._downstream_wait_s
        if self._downstream_calls > 0:
            downstream_wait_s += now - self._downstream_wait_started_at
        return max(0.0, now - self.granted_at - downstream_wait_s)


class AdmissionCounts:
    """Decisions of one controller since it started, in requests."""

    __slots__ = ("admitted", "cancelled", "deadline_passed", "draining", "shed")

    def __init__(self) -> None:
        self.admitted = 0
        # Refused by shedding, because of the deadline, and during a drain.
        self.shed = 0
        self.deadline_passed = 0
        self.draining = 0
        # Left the queue because the caller gave up.
        self.cancelled = 0


class Shed(Refusal):
    """The server is overloaded and more important requests come first."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(
            503,
            Reason.SHED,
            Outcome.NOT_RUN,
            "the service is overloaded; send the request again after Retry-After",
            retry_after_s,
        )


class DeadlinePassed(Refusal):
    """The request could not have been answered before its deadline."""

    def __init__(self) -> None:
        super().__init__(
            504,
            Reason.DEADLINE,
            Outcome.NOT_RUN,
            "the deadline would pass before an answer; allow the route more time",
        )


class Draining(Refusal):
    """The server is leaving and takes no new work."""

    def __init__(self) -> None:
        super().__init__(
            503,
            Reason.DRAINING,
            Outcome.NOT_RUN,
            "the server is shutting down; send the request to another server",
            DRAINING_RETRY_AFTER_S,
        )
