"""Calls in progress and the contexts that tie deeper calls to their root."""

import secrets
from collections.abc import Callable
from typing import Final

from heathermount.admission import Permit
from heathermount.clocks import Clock
from heathermount.config.policy import CallPolicy, Route
from heathermount.entry.http import HttpRequest, passed_headers
from heathermount.routing import AttemptBudget, compute_fingerprint
from heathermount.values import ServiceThreshold
from heathermount.wire.messages import Execute

__all__ = ["Call", "CallContext", "ContextTable", "Origin"]

# A finished request's context stays valid this long for calls that it started
# before it answered, in seconds.
LINGER_S: Final = 1.0


class Origin:
    """On whose behalf a call runs: what it inherits from its root request."""

    __slots__ = (
        "attempt_budget",
        "cohort",
        "deadline",
        "depth",
        "importance",
        "key_id",
        "note",
        "organisation",
        "resend",
        "root",
        "weight",
    )

    def __init__(
        self,
        *,
        root: str,
        organisation: str,
        key_id: str,
        importance: int,
        cohort: int,
        weight: int,
        depth: int,
        deadline: float,
        attempt_budget: AttemptBudget,
        note: Callable[[list[ServiceThreshold]], None],
        resend: bool = False,
    ) -> None:
        self.root = root
        self.organisation = organisation
        self.key_id = key_id
        self.importance = importance
        self.cohort = cohort
        self.weight = weight
        self.depth = depth
        # Monotonic time after which nobody waits for the answer.
        self.deadline = deadline
        self.attempt_budget = attempt_budget
        # Takes the thresholds of each answer, also of refusals.
        self.note = note
        self.resend = resend


class Call:
    """One call on its way from the node it entered to a backend server."""

    __slots__ = (
        "body",
        "fingerprint",
        "headers",
        "idempotency_key",
        "method",
        "origin",
        "repeatable",
        "route",
        "service",
        "target",
    )

    def __init__(
        self,
        request: HttpRequest,
        route: Route,
        treatment: CallPolicy,
        origin: Origin,
        idempotency_key: str,
    ) -> None:
        self.service = route.service
        self.route = route.name
        self.method = request.method
        self.target = request.target
        self.headers = passed_headers(request.headers)
        self.body = request.body
        self.repeatable = treatment.repeatable
        self.origin = origin
        self.idempotency_key = idempotency_key
        self.fingerprint = compute_fingerprint(
            origin.organisation, request.method, request.target, request.body
        )

    def to_message(
        self, now: float, wall: float, allowance: int, revision: int
    ) -> Execute:
        """Return the message for one attempt."""
        origin = self.origin
        return Execute(
            call_id=secrets.token_bytes(16),
            root=origin.root,
            service=self.service,
            route=self.route,
            method=self.method,
            target=self.target,
            headers=self.headers,
            body=self.body,
            organisation=origin.organisation,
            key_id=origin.key_id,
            importance=origin.importance,
            cohort=origin.cohort,
            weight=origin.weight,
            deadline_s=origin.deadline - now,
            sent_at=wall,
            allowance=allowance,
            depth=origin.depth,
            fingerprint=self.fingerprint,
            repeatable=self.repeatable,
            resend=origin.resend,
            revision=revision,
        )


class CallContext:
    """A request that runs at this node's backend server."""

    __slots__ = (
        "attempt_budget",
        "deadline",
        "message",
        "permit",
        "retried",
        "sent",
        "thresholds",
    )

    def __init__(self, message: Execute, deadline: float) -> None:
        self.message = message
        self.deadline = deadline
        self.attempt_budget = AttemptBudget(message.allowance)
        self.thresholds: dict[str, ServiceThreshold] = {}
        # Set while the request runs at the backend server.
        self.permit: Permit | None = None
        self.retried = False
        # True while the request may have reached the backend server.
        self.sent = False

    def note(self, thresholds: list[ServiceThreshold]) -> None:
        """Remember thresholds of services below, the strictest of each."""
        for reported in thresholds:
            known = self.thresholds.get(reported.service)
            if known is None or rank(reported) < rank(known):
                self.thresholds[reported.service] = reported


def rank(reported: ServiceThreshold) -> tuple[int, int]:
    return reported.threshold.importance, reported.threshold.cohort


class ContextTable:
    """Contexts by the opaque token that the backend server was handed."""

    __slots__ = ("_clock", "_contexts", "_finished")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._contexts: dict[str, CallContext] = {}
        self._finished: list[tuple[float, str]] = []

    def add(self, context: CallContext) -> str:
        # Hexadecimal: text with underscores could look like a caller's key.
        token = secrets.token_hex(16)
        self._contexts[token] = context
        return token

    def find(self, token: str) -> CallContext | None:
        return self._contexts.get(token)

    def finish(self, token: str) -> None:
        """Drop the context a little later."""
        now = self._clock.monotonic()
        self._finished.append((now + LINGER_S, token))
        due = 0
        for expires_at, finished in self._finished:
            if expires_at > now:
                break
            self._contexts.pop(finished, None)
            due += 1
        del self._finished[:due]
