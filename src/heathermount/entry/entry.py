"""The node a call enters at: authentication, limits, claims, dispatch."""

import hashlib
from functools import partial

from heathermount.admission import FairCohortScaler, ThresholdTable
from heathermount.config.policy import Policy, Route
from heathermount.entry.calls import Call, CallContext, Origin
from heathermount.entry.claiming import ClaimedCalls
from heathermount.entry.dispatcher import Dispatcher
from heathermount.entry.http import HttpRequest, find_header
from heathermount.entry.identifiers import cohort_of, derive_key, make_root
from heathermount.entry.refusals import make_refusal
from heathermount.errors import Refusal
from heathermount.node.parts import Parts
from heathermount.quota import QuotaClient
from heathermount.routing import AttemptBudget, ResendTracker
from heathermount.values import (
    INTERNAL_ORGANISATION,
    Headers,
    Importance,
    Outcome,
    Reason,
)
from heathermount.wire.messages import Answer

__all__ = ["Entry"]


class Entry:
    """Takes calls from callers and from the local backend server."""

    __slots__ = (
        "_claimed",
        "_clock",
        "_dispatcher",
        "_fair_cohorts",
        "_metrics",
        "_policy",
        "_quota",
        "_resends",
        "_thresholds",
        "_tracker",
    )

    def __init__(
        self,
        parts: Parts,
        quota: QuotaClient,
        claimed: ClaimedCalls,
        thresholds: ThresholdTable,
        resends: ResendTracker[Answer | Refusal],
        dispatcher: Dispatcher,
    ) -> None:
        self._policy = parts.settings.policy
        self._tracker = parts.tracker
        self._clock = parts.clock
        self._quota = quota
        self._claimed = claimed
        self._thresholds = thresholds
        self._resends = resends
        self._dispatcher = dispatcher
        self._fair_cohorts = FairCohortScaler(parts.clock)
        self._metrics = parts.metrics

    async def call_from_caller(self, request: HttpRequest) -> Answer:
        """Run a caller's request; raise Refusal when it is not answered."""
        started = self._clock.monotonic()
        answer = await self._enter(self._authenticate(request))
        self._metrics.observe_call(self._clock.monotonic() - started, answer.server_s)
        return answer

    def _authenticate(self, request: HttpRequest) -> Call:
        """Return the call of the organisation whose key came with the request."""
        policy = self._current_policy()
        if not self._tracker.is_fresh():
            raise make_refusal(Reason.CONFIGURATION_STALE, Outcome.NOT_RUN)
        owner = policy.authenticate(find_key(request.headers))
        route = policy.match(request.method, request.path)
        if route is None or not route.open:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)
        organisation = owner.organisation
        treatment = policy.classify(route, organisation, request.method)
        weight = policy.get_limits(organisation).weight
        root = make_root(self._clock.wall())
        origin = Origin(
            root=root,
            organisation=organisation,
            key_id=owner.key_id,
            importance=treatment.importance,
            cohort=self._choose_cohort(
                root, organisation, weight, treatment.importance
            ),
            weight=weight,
            depth=1,
            deadline=self._clock.monotonic() + treatment.deadline_s,
            attempt_budget=AttemptBudget(treatment.extra_attempts),
            note=partial(self._thresholds.observe, route.name),
        )
        key = find_header(request.headers, b"idempotency-key")
        if not treatment.repeatable and not key:
            raise make_refusal(Reason.IDEMPOTENCY_KEY_REQUIRED, Outcome.NOT_RUN)
        return Call(request, route, treatment, origin, key)

    async def _enter(self, call: Call) -> Answer:
        # Equal requests of two callers may expect different answers (one may
        # have read its own write in between), so only a request that says it is
        # the same one attaches to the one that runs.
        attaches = call.repeatable and bool(call.idempotency_key)
        arrival = self._resends.arrive(identify(call), attaches)
        while not arrival.is_leader:
            shared = await arrival.result()
            if isinstance(shared, Refusal):
                raise shared
            if shared is not None:
                return shared
            arrival = self._resends.rejoin(arrival)
        call.origin.resend = arrival.resend
        result: Answer | Refusal | None = None
        try:
            result = await self._charge_and_run(call)
            return result
        except Refusal as refusal:
            result = refusal
            raise
        finally:
            self._resends.finish(arrival, result)

    async def _charge_and_run(self, call: Call) -> Answer:
        self._reject_early(call)
        token = await self._quota.acquire(
            call.origin.organisation, call.origin.deadline - self._clock.monotonic()
        )
        self._metrics.count_tokens("spent")
        try:
            return await self._run(call)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._quota.give_back(token)
                self._metrics.count_tokens("returned")
            raise

    async def call_from_server(
        self, context: CallContext | None, request: HttpRequest
    ) -> Answer:
        """Run a call of the backend server beside this node.

        `context` is that of the request it runs for; None for work on its own
        account.
        """
        policy = self._current_policy()
        route = policy.match(request.method, request.path)
        if route is None:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)
        if context is None:
            return await self._run(self._make_background_call(policy, route, request))
        call = self._make_deeper_call(context, policy, route, request)
        permit = context.permit
        before = context.attempt_budget.remaining
        if permit is not None:
            permit.start_downstream_call(self._clock.monotonic())
        try:
            return await self._run(call)
        finally:
            if context.attempt_budget.remaining < before:
                context.retried = True
            if permit is not None:
                permit.end_downstream_call(self._clock.monotonic())

    def _make_deeper_call(
        self, context: CallContext, policy: Policy, route: Route, request: HttpRequest
    ) -> Call:
        parent = context.message
        treatment = policy.classify(route, parent.organisation, request.method)
        deadline = self._clock.monotonic() + treatment.deadline_s
        origin = Origin(
            root=parent.root,
            organisation=parent.organisation,
            key_id=parent.key_id,
            importance=parent.importance,
            cohort=parent.cohort,
            weight=parent.weight,
            depth=parent.depth + 1,
            deadline=min(context.deadline, deadline),
            attempt_budget=context.attempt_budget,
            note=context.note,
            resend=parent.resend,
        )
        return Call(
            request,
            route,
            treatment,
            origin,
            find_or_derive_key(request, origin, route),
        )

    def _make_background_call(
        self, policy: Policy, route: Route, request: HttpRequest
    ) -> Call:
        treatment = policy.classify(route, INTERNAL_ORGANISATION, request.method)
        root = make_root(self._clock.wall())
        origin = Origin(
            root=root,
            organisation=INTERNAL_ORGANISATION,
            key_id="",
            importance=Importance.BACKGROUND,
            cohort=cohort_of(root) if self._policy.cohorts else 0,
            weight=1,
            depth=1,
            deadline=self._clock.monotonic() + treatment.deadline_s,
            attempt_budget=AttemptBudget(treatment.extra_attempts),
            note=partial(self._thresholds.observe, route.name),
        )
        return Call(
            request,
            route,
            treatment,
            origin,
            find_or_derive_key(request, origin, route),
        )

    async def _run(self, call: Call) -> Answer:
        if not call.repeatable:
            return await self._claimed.run(call)
        return await self._dispatcher.dispatch(call)

    def _choose_cohort(
        self, root: str, organisation: str, weight: int, importance: Importance
    ) -> int:
        if not self._policy.cohorts:
            return 0
        cohort = cohort_of(root)
        if not self._policy.fair_queueing:
            return cohort
        return self._fair_cohorts.scale(organisation, weight, importance, cohort)

    def _reject_early(self, call: Call) -> None:
        if not self._policy.early_rejection:
            return
        origin = call.origin
        rejecting = self._thresholds.find_rejection(
            call.route, origin.importance, origin.cohort
        )
        if rejecting is not None:
            raise make_refusal(Reason.SHED, Outcome.NOT_RUN, retry_after_s=1.0)

    def _current_policy(self) -> Policy:
        policy = self._tracker.policy
        if policy is None:
            raise make_refusal(Reason.STARTING, Outcome.NOT_RUN)
        return policy


def find_key(headers: Headers) -> str:
    """Return the caller's key, or an empty string."""
    scheme, _, key = find_header(headers, b"authorization").partition(" ")
    if scheme.lower() == "bearer" and key:
        return key.strip()
    return find_header(headers, b"x-api-key")


def find_or_derive_key(request: HttpRequest, origin: Origin, route: Route) -> str:
    """Return the idempotency key of a backend server's call."""
    given = find_header(request.headers, b"idempotency-key")
    return given or derive_key(
        origin.root, route.name, request.method, request.target, request.body
    )


def identify(call: Call) -> bytes:
    """Return what a resend has in common with its request, headers included."""
    digest = hashlib.blake2b(call.fingerprint, digest_size=16)
    for name, value in call.headers:
        digest.update(b"%d %d " % (len(name), len(value)) + name + value)
    return digest.digest()
