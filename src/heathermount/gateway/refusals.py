"""Refusals and their conversion to answers and HTTP responses."""

from typing import Final

from heathermount.errors import Refusal
from heathermount.gateway.http_server import HttpResponse
from heathermount.gateway.messages import Answer
from heathermount.values import Outcome, Reason

__all__ = [
    "incomplete_response_to_answer",
    "refusal_to_answer",
    "make_refusal",
    "answer_to_refusal",
    "refusal_to_response",
]

# Statuses of refusals that do not depend on the state of the fleet. Others are 503
# if the request has certainly not run, and 502 or 504 if it may have.
STATUS_BY_REASON: Final[dict[Reason, int]] = {
    Reason.MALFORMED: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.OVER_RATE: 429,
}

REMEDY_BY_REASON: Final[dict[Reason, str]] = {
    Reason.MALFORMED: "correct the request",
    Reason.KEY_MISSING: "send one key",
    Reason.KEY_UNKNOWN: "use a key that an operator issued",
    Reason.ROUTE_UNKNOWN: "check the host and the path",
    Reason.QUARANTINED: "do not send it again: backend servers crashed running it",
}

# Retry-After of refusals that do not set their own.
DEFAULT_RETRY_AFTER_S: Final = 0.5


def make_refusal(
    reason: Reason, outcome: Outcome, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal with the status and remedy of its reason."""
    status = STATUS_BY_REASON.get(reason)
    if status is None:
        status = choose_status(reason, outcome)
        if retry_after_s is None and outcome is Outcome.NOT_RUN:
            retry_after_s = DEFAULT_RETRY_AFTER_S
    remedy = REMEDY_BY_REASON.get(reason, "send it again later")
    return Refusal(status, reason, outcome, remedy, retry_after_s)


def choose_status(reason: Reason, outcome: Outcome) -> int:
    if outcome is Outcome.NOT_RUN:
        return 503
    return 504 if reason is Reason.DEADLINE else 502


def refusal_to_answer(refusal: Refusal, sent: bool = False) -> Answer:
    """Convert a refusal to an answer for a peer."""
    return Answer(
        refusal.status,
        [],
        b"",
        refusal.outcome,
        refusal.reason,
        refusal.retry_after_s or 0.0,
        sent,
    )


def incomplete_response_to_answer(response_started: bool) -> Answer:
    """Return the answer for a sent request without a complete response.

    The server may have crashed if its response had not started.
    """
    reason = Reason.ANSWER_BROKEN if response_started else Reason.SERVER_FAILED
    answer = refusal_to_answer(make_refusal(reason, Outcome.UNKNOWN), sent=True)
    answer.server_crashed = not response_started
    return answer


def answer_to_refusal(answer: Answer) -> Refusal:
    """Convert a peer's answer back to the refusal that it carries."""
    return make_refusal(
        Reason(answer.reason), Outcome(answer.outcome), answer.retry_after_s or None
    )


def refusal_to_response(refusal: Refusal) -> HttpResponse:
    """Convert a refusal to a response for a client."""
    headers = [
        (b"content-type", b"text/plain"),
        (b"heathermount-outcome", refusal.outcome.encode()),
        (b"heathermount-reason", refusal.reason.encode()),
    ]
    if refusal.retry_after_s is not None and refusal.outcome is Outcome.NOT_RUN:
        headers.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    return HttpResponse(refusal.status, headers, refusal.remedy.encode() + b"\n")
