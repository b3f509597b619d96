"""Refusals made by nodes, and their conversion to answers and HTTP responses."""

import json
from typing import Final

from heathermount.errors import Refusal
from heathermount.values import Headers, Outcome, Reason
from heathermount.wire.messages import Answer

__all__ = [
    "answer_to_refusal",
    "make_deadline_refusal",
    "make_refusal",
    "make_refusal_body",
    "make_refusal_headers",
    "refusal_to_answer",
]

REMEDY_BY_REASON: Final[dict[Reason, str]] = {
    Reason.MALFORMED: "correct the request",
    Reason.IDEMPOTENCY_KEY_REQUIRED: (
        "send an Idempotency-Key header, a UUIDv7 if possible"
    ),
    Reason.INVALID_CONTEXT: (
        "copy the Heathermount-Context header of the request that is running"
    ),
    Reason.KEY_MISSING: "send the key as Authorization: Bearer <key>",
    Reason.KEY_WITHDRAWN: "ask the operators for a new key",
    Reason.ROUTE_UNKNOWN: "check the path and the method",
    Reason.BODY_TOO_LARGE: "send a smaller body",
    Reason.HEADER_TOO_LARGE: "send smaller headers",
    Reason.SERVER_FAILED: "send it again if it may run twice",
    Reason.ANSWER_BROKEN: "send it again if it may run twice",
    Reason.ANSWER_TOO_LARGE: "ask for less at once",
    Reason.NO_SERVER: "send it again later",
    Reason.DRAINING: "send it again",
    Reason.CONFIGURATION_STALE: "send it to another node",
    Reason.QUARANTINED: "do not send it again: backend servers crashed running it",
    Reason.CLAIMS_UNREACHABLE: "send it again with the same Idempotency-Key",
    Reason.OUTCOME_UNKNOWN: "check whether it took effect before using a new key",
    Reason.ALREADY_RAN: "do not send it again",
    Reason.STARTING: "send it to another node",
    Reason.DEADLINE: "send it again when the system is less busy",
}

STATUS_BY_REASON: Final[dict[Reason, int]] = {
    Reason.MALFORMED: 400,
    Reason.IDEMPOTENCY_KEY_REQUIRED: 400,
    Reason.INVALID_CONTEXT: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.ALREADY_RAN: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.OVER_RATE: 429,
    Reason.HEADER_TOO_LARGE: 431,
    Reason.SERVER_FAILED: 502,
    Reason.ANSWER_BROKEN: 502,
    Reason.ANSWER_TOO_LARGE: 502,
    Reason.DEADLINE: 504,
}


def make_refusal(
    reason: Reason, outcome: Outcome, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal for a reason with the status and remedy that belong to it."""
    return Refusal(
        STATUS_BY_REASON.get(reason, 503),
        reason,
        outcome,
        REMEDY_BY_REASON.get(reason, "send it again later"),
        retry_after_s,
    )


def make_deadline_refusal(outcome: Outcome) -> Refusal:
    return make_refusal(Reason.DEADLINE, outcome)


def make_refusal_body(status: int, reason: str, outcome: str, remedy: str) -> bytes:
    return json.dumps(
        {"error": status, "outcome": outcome, "reason": reason, "remedy": remedy}
    ).encode()


def make_refusal_headers(refusal: Refusal) -> Headers:
    headers = [
        (b"content-type", b"application/json"),
        (b"heathermount-outcome", refusal.outcome.encode()),
        (b"heathermount-reason", refusal.reason.encode()),
    ]
    if refusal.retry_after_s is not None:
        # HTTP allows whole seconds only; rounded up.
        seconds = max(1, int(-(-refusal.retry_after_s // 1)))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


def refusal_to_answer(refusal: Refusal) -> Answer:
    """Return the answer that carries a refusal to another node."""
    return Answer(
        status=refusal.status,
        headers=[],
        body=b"",
        outcome=refusal.outcome,
        reason=refusal.reason,
        remedy=refusal.remedy,
        retry_after_s=refusal.retry_after_s or 0.0,
    )


def answer_to_refusal(answer: Answer) -> Refusal:
    """Return the refusal that an answer of another node carries."""
    return Refusal(
        answer.status,
        Reason(answer.reason),
        Outcome(answer.outcome),
        answer.remedy,
        answer.retry_after_s or None,
    )
