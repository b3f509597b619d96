"""Answers that gateway nodes make themselves."""

from typing import Final

from heathermount.errors import Refusal
from heathermount.gateway.http_server import HttpResponse
from heathermount.gateway.messages import Answer
from heathermount.values import Outcome, Reason

__all__ = [
    "refusal_to_answer",
    "make_refusal",
    "answer_to_refusal",
    "refusal_to_response",
]

# Statuses of refusals that are not about the state of the fleet. All others are
# 503 when the request has certainly not run, and make no promise otherwise.
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

# Wait before the next attempt where no better figure is known, in seconds.
DEFAULT_RETRY_AFTER_S: Final = 0.5


def make_refusal(
    reason: Reason, outcome: Outcome, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal for a reason, with its status and remedy."""
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
    """Return a refusal as an answer to a peer."""
    return Answer(
        refusal.status,
        [],
        b"",
        refusal.outcome,
        refusal.reason,
        refusal.retry_after_s or 0.0,
        sent,
    )


def answer_to_refusal(answer: Answer) -> Refusal:
    """Return the refusal that a peer answered with."""
    return make_refusal(
        Reason(answer.reason), Outcome(answer.outcome), answer.retry_after_s or None
    )


def refusal_to_response(refusal: Refusal) -> HttpResponse:
    """Return a refusal as a response to a client."""
    headers = [
        (b"content-type", b"text/plain"),
        (b"heathermount-outcome", refusal.outcome.encode()),
        (b"heathermount-reason", refusal.reason.encode()),
    ]
    if refusal.retry_after_s is not None and refusal.outcome is Outcome.NOT_RUN:
        headers.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    return HttpResponse(refusal.status, headers, refusal.remedy.encode() + b"\n")
