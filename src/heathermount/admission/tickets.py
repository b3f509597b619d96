"""Requests that ask for admission, permits to run, and typed refusals."""

from enum import Enum
from typing import Final

from heathermount.errors import Refusal
from heathermount.values import Outcome, Reason

__all__ = [
    "AdmissionCounts",
    "DeadlinePassed",
    "Draining",
    "Permit",
    "RunResult",
    "Shed",
    "Ticket",
]

# A refused caller may try another server of the group at once, this one later.
DRAINING_RETRY_S: Final = 1.0


class RunResult(Enum):
    """How an admitted request ended at the backend server."""

    OK = "ok"
    FAILED = "failed"
    # The backend server refused the request itself before running it.
    SHED_BY_SERVER = "shed-by-server"
    CANCELLED = "cancelled"
    # The connection to the backend server broke while the request ran.
    CRASHED = "crashed"


class Ticket:
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
        "_deeper_calls",
        "_deeper_s",
        "_deeper_since",
        "granted_at",
        "released",
        "ticket",
    )

    def __init__(self, ticket: Ticket, granted_at: float) -> None:
        self.ticket = ticket
        self.granted_at = granted_at
        self.released = False
        self._deeper_calls = 0
        self._deeper_since = 0.0
        self._deeper_s = 0.0

    def enter_deeper(self, now: float) -> None:
        """Note that a deeper call of this request starts; `now` is monotonic."""
        if self._deeper_calls == 0:
            self._deeper_since = now
        self._deeper_calls += 1

    def leave_deeper(self, now: float) -> None:
        """Note that a deeper call of this request ended."""
        self._deeper_calls -= 1
        if self._deeper_calls == 0:
            self._deeper_s += now - self._deeper_since

    def own_time(self, now: float) -> float:
        """Return seconds since the grant without the waits for deeper calls."""
        deeper_s = self._deeper_s
        if self._deeper_calls > 0:
            deeper_s += now - self._deeper_since
        return max(0.0, now - self.granted_at - deeper_s)


class AdmissionCounts:
    """Decisions of one controller since it started, in requests."""

    __slots__ = ("admitted", "cancelled", "draining", "late", "shed")

    def __init__(self) -> None:
        self.admitted = 0
        # Refused by shedding, because of the deadline, and during a drain.
        self.shed = 0
        self.late = 0
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
            DRAINING_RETRY_S,
        )
