"""Requests for admission, permits to run, and the refusals of admission."""

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

# The caller may try another server of the group at once; this delay applies to
# this server.
DRAINING_RETRY_AFTER_S: Final = 1.0


class RunResult(Enum):
    """How an admitted request ended at the backend server."""

    OK = "ok"
    FAILED = "failed"
    # The backend server itself refused the request before running it.
    SHED_BY_SERVER = "shed-by-server"
    CANCELLED = "cancelled"
    # The connection to the backend server broke while the request ran.
    CRASHED = "crashed"


class AdmissionRequest:
    """The properties of one request that admission depends on.

    `root` is the id of the root request. `weight` is the organisation's share
    relative to others. `resend` marks a repeated request of a client, which is
    served later and shed earlier. `deadline` is in seconds of the node's
    monotonic clock. A request that must not wait is shed if the server limits its
    rate, because another server can take it.
    """

    __slots__ = (
        "cohort",
        "deadline",
        "importance",
        "may_wait",
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
        may_wait: bool = True,
    ) -> None:
        self.root = root
        self.organisation = organisation
        self.weight = weight
        self.importance = importance
        self.cohort = cohort
        self.deadline = deadline
        self.resend = resend
        self.may_wait = may_wait


class Permit:
    """Permission to run one request; must be released exactly once.

    The node reports the downstream calls of the running request through
    `start_downstream_call` and `end_downstream_call`. Time during which any of
    them runs is not counted as service time of this backend server.
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
        """Record the start of a downstream call; `now` is monotonic."""
        if self._downstream_calls == 0:
            self._downstream_wait_started_at = now
        self._downstream_calls += 1

    def end_downstream_call(self, now: float) -> None:
        """Record the end of a downstream call."""
        self._downstream_calls -= 1
        if self._downstream_calls == 0:
            self._downstream_wait_s += now - self._downstream_wait_started_at

    def compute_own_time_s(self, now: float) -> float:
        """Return the seconds since the grant without waits for downstream calls."""
        downstream_wait_s = self._downstream_wait_s
        if self._downstream_calls > 0:
            downstream_wait_s += now - self._downstream_wait_started_at
        return max(0.0, now - self.granted_at - downstream_wait_s)


class AdmissionCounts:
    """Numbers of requests by admission decision since the controller started."""

    __slots__ = ("admitted", "cancelled", "deadline_passed", "draining", "shed")

    def __init__(self) -> None:
        self.admitted = 0
        # Refused because of overload, the deadline, and a drain.
        self.shed = 0
        self.deadline_passed = 0
        self.draining = 0
        # Removed from the queue because the caller cancelled.
        self.cancelled = 0


class Shed(Refusal):
    """The server is overloaded and prefers more important requests."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(
            503,
            Reason.SHED,
            Outcome.NOT_RUN,
            "the service is overloaded; send the request again after Retry-After",
            retry_after_s,
        )


class DeadlinePassed(Refusal):
    """The request cannot be answered before its deadline."""

    def __init__(self) -> None:
        super().__init__(
            504,
            Reason.DEADLINE,
            Outcome.NOT_RUN,
            "the deadline would pass before an answer; allow the route more time",
        )


class Draining(Refusal):
    """The server is draining and accepts no new requests."""

    def __init__(self) -> None:
        super().__init__(
            503,
            Reason.DRAINING,
            Outcome.NOT_RUN,
            "the server is shutting down; send the request to another server",
            DRAINING_RETRY_AFTER_S,
        )
