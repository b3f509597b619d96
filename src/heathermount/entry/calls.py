"""Calls, and the contexts that link downstream calls to their root request."""

import secrets
from collections.abc import Callable
from typing import Final

from heathermount.admission import Permit
from heathermount.clocks import Clock
from heathermount.config.policy import CallPolicy, Route
from heathermount.entry.asgi import HttpRequest, select_forwarded_headers
from heathermount.routing import AttemptBudget, compute_fingerprint
from heathermount.values import ServiceThreshold
from heathermount.wire.messages import Execute

__all__ = ["Call", "CallContext", "CallOrigin", "ContextTable"]

# Downstream calls that a request started before it ended may still arrive for
# this time. Their context token remains valid.
CONTEXT_GRACE_S: Final = 1.0


class CallOrigin:
    """Properties that a call takes over from the request it is made for."""

    __slots__ = (
        "attempt_budget",
        "cohort",
        "deadline",
        "depth",
        "importance",
        "key_id",
        "organisation",
        "record_thresholds",
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
        record_thresholds: Callable[[list[ServiceThreshold]], None],
        resend: bool = False,
    ) -> None:
        self.root = root
        self.organisation = organisation
        self.key_id = key_id
        self.importance = importance
        self.cohort = cohort
        self.weight = weight
        self.depth = depth
        # Monotonic time after which the caller no longer waits for the answer.
        self.deadline = deadline
        self.attempt_budget = attempt_budget
        # Called with the thresholds in each answer, including refusals.
        self.record_thresholds = record_thresholds
        self.resend = resend


class Call:
    """One call that this node sends to a backend server of the route's service."""

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
        call_policy: CallPolicy,
        origin: CallOrigin,
        idempotency_key: str,
    ) -> None:
        self.service = route.service
        self.route = route.name
        self.method = request.method
        self.target = request.target
        self.headers = select_forwarded_headers(request.headers)
        self.body = request.body
        self.repeatable = call_policy.repeatable
        self.origin = origin
        self.idempotency_key = idempotency_key
        self.fingerprint = compute_fingerprint(
            origin.organisation, request.method, request.target, request.body
        )

    def to_message(
        self, now: float, wall_time: float, allowance: int, revision: int
    ) -> Execute:
        """Return the message for one attempt.

        `now` is monotonic, `wall_time` in seconds since the Unix epoch.
        """
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
            sent_at=wall_time,
            allowance=allowance,
            depth=origin.depth,
            fingerprint=self.fingerprint,
            repeatable=self.repeatable,
            resend=origin.resend,
            revision=revision,
        )


class CallContext:
    """State of a request that the local backend server is to run."""

    __slots__ = (
        "attempt_budget",
        "deadline",
        "may_have_run",
        "message",
        "permit",
        "retried_downstream",
        "thresholds",
    )

    def __init__(self, message: Execute, deadline: float) -> None:
        self.message = message
        self.deadline = deadline
        self.attempt_budget = AttemptBudget(message.allowance)
        self.thresholds: dict[str, ServiceThreshold] = {}
        # None unless the request is running at the backend server.
        self.permit: Permit | None = None
        self.retried_downstream = False
        # True once the request is sent, until it is known that it did not run.
        self.may_have_run = False

    def record_thresholds(self, thresholds: list[ServiceThreshold]) -> None:
        """Keep the strictest threshold reported by each downstream service."""
        for reported in thresholds:
            known = self.thresholds.get(reported.service)
            if known is None or make_strictness_key(reported) < make_strictness_key(
                known
            ):
                self.thresholds[reported.service] = reported


def make_strictness_key(reported: ServiceThreshold) -> tuple[int, int]:
    """Return a sort key that puts the strictest threshold first."""
    return reported.threshold.importance, reported.threshold.cohort


class ContextTable:
    """Contexts by the opaque token that the backend server receives in a header."""

    __slots__ = ("_clock", "_contexts", "_finished_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._contexts: dict[str, CallContext] = {}
        self._finished_tokens: list[tuple[float, str]] = []

    def add(self, context: CallContext) -> str:
        # Hexadecimal, because a token with underscores could be taken for an API
        # key.
        token = secrets.token_hex(16)
        self._contexts[token] = context
        return token

    def find(self, token: str) -> CallContext | None:
        return self._contexts.get(token)

    def finish(self, token: str) -> None:
        """Let the token expire after `CONTEXT_GRACE_S`; drop the expired ones."""
        now = self._clock.monotonic()
        self._finished_tokens.append((now + CONTEXT_GRACE_S, token))
        expired_count = 0
        for expires_at, expired_token in self._finished_tokens:
            if expires_at > now:
                break
            self._contexts.pop(expired_token, None)
            expired_count += 1
        del self._finished_tokens[:expired_count]
