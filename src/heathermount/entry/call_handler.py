"""Handles the calls that enter at this node: authentication, quota, dispatch."""

import hashlib
from functools import partial

from heathermount.admission import FairCohortScaler, ThresholdTable
from heathermount.config.policy import Policy, Route
from heathermount.entry.asgi import HttpRequest, find_header
from heathermount.entry.calls import Call, CallContext, CallOrigin
from heathermount.entry.claimed_calls import ClaimedCallRunner
from heathermount.entry.dispatcher import Dispatcher
from heathermount.entry.identifiers import (
    compute_cohort,
    derive_idempotency_key,
    make_root_id,
)
from heathermount.entry.refusals import make_refusal
from heathermount.errors import Refusal
from heathermount.node.components import NodeComponents
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

__all__ = ["CallHandler"]


class CallHandler:
    """Handles requests of callers and downstream calls of the local backend server."""

    __slots__ = (
        "_claimed_calls",
        "_clock",
        "_dispatcher",
        "_fair_cohort_scaler",
        "_metrics",
        "_policy_settings",
        "_quota",
        "_resends",
        "_thresholds",
        "_tracker",
    )

    def __init__(
        self,
        components: NodeComponents,
        quota: QuotaClient,
        claimed_calls: ClaimedCallRunner,
        thresholds: ThresholdTable,
        resends: ResendTracker[Answer | Refusal],
        dispatcher: Dispatcher,
    ) -> None:
        self._policy_settings = components.settings.policy
        self._tracker = components.tracker
        self._clock = components.clock
        self._quota = quota
        self._claimed_calls = claimed_calls
        self._thresholds = thresholds
        self._resends = resends
        self._dispatcher = dispatcher
        self._fair_cohort_scaler = FairCohortScaler(components.clock)
        self._metrics = components.metrics

    async def handle_caller_request(self, request: HttpRequest) -> Answer:
        """Run a caller's request; raise Refusal if no backend server answers it."""
        started_at = self._clock.monotonic()
        answer = await self._coalesce_and_run(self._authenticate(request))
        self._metrics.observe_call(
            self._clock.monotonic() - started_at, answer.server_time_s
        )
        return answer

    def _authenticate(self, request: HttpRequest) -> Call:
        """Check API key and route, and return the call to run.

        Raises Refusal if the request is not allowed or the configuration is stale.
        """
        policy = self._get_policy()
        if not self._tracker.is_fresh():
            raise make_refusal(Reason.CONFIGURATION_STALE, Outcome.NOT_RUN)
        key_owner = policy.authenticate(find_api_key(request.headers))
        route = policy.match(request.method, request.path)
        if route is None or not route.open:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)
        organisation = key_owner.organisation
        call_policy = policy.classify(route, organisation, request.method)
        weight = policy.get_limits(organisation).weight
        root = make_root_id(self._clock.wall())
        origin = CallOrigin(
            root=root,
            organisation=organisation,
            key_id=key_owner.key_id,
            importance=call_policy.importance,
            cohort=self._choose_cohort(
                root, organisation, weight, call_policy.importance
            ),
            weight=weight,
            depth=1,
            deadline=self._clock.monotonic() + call_policy.deadline_s,
            attempt_budget=AttemptBudget(call_policy.extra_attempts),
            record_thresholds=partial(self._thresholds.observe, route.name),
        )
        idempotency_key = find_header(request.headers, b"idempotency-key")
        if not call_policy.repeatable and not idempotency_key:
            raise make_refusal(Reason.IDEMPOTENCY_KEY_REQUIRED, Outcome.NOT_RUN)
        return Call(request, route, call_policy, origin, idempotency_key)

    async def _coalesce_and_run(self, call: Call) -> Answer:
        """Run a call, or share the result of an equal call that is running."""
        # Only a request with an idempotency key attaches to an equal running one.
        # Without a key, equal requests may come from two callers that expect
        # different answers, for example because one has written in between.
        may_attach = call.repeatable and bool(call.idempotency_key)
        arrival = self._resends.arrive(compute_coalescing_key(call), may_attach)
        while not arrival.is_leader:
            shared_result = await arrival.result()
            if isinstance(shared_result, Refusal):
                raise shared_result
            if shared_result is not None:
                return shared_result
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
        """Spend a quota token and run a call; return the token if it did not run."""
        self._reject_early(call)
        token = await self._quota.acquire(
            call.origin.organisation, call.origin.deadline - self._clock.monotonic()
        )
        self._metrics.count_tokens("spent")
        try:
            return await self._claim_or_dispatch(call)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._quota.give_back(token)
                self._metrics.count_tokens("returned")
            raise

    async def handle_server_request(
        self, context: CallContext | None, request: HttpRequest
    ) -> Answer:
        """Run a downstream call of the local backend server.

        `context` belongs to the incoming request that the call is part of; it is
        None for background work outside any incoming request.
        """
        policy = self._get_policy()
        route = policy.match(request.method, request.path)
        if route is None:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)
        if context is None:
            return await self._claim_or_dispatch(
                self._make_background_call(policy, route, request)
            )
        call = self._make_downstream_call(context, policy, route, request)
        permit = context.permit
        remaining_before = context.attempt_budget.remaining
        if permit is not None:
            permit.start_downstream_call(self._clock.monotonic())
        try:
            return await self._claim_or_dispatch(call)
        finally:
            if context.attempt_budget.remaining < remaining_before:
                context.retried_downstream = True
            if permit is not None:
                permit.end_downstream_call(self._clock.monotonic())

    def _make_downstream_call(
        self, context: CallContext, policy: Policy, route: Route, request: HttpRequest
    ) -> Call:
        incoming = context.message
        call_policy = policy.classify(route, incoming.organisation, request.method)
        deadline = self._clock.monotonic() + call_policy.deadline_s
        origin = CallOrigin(
            root=incoming.root,
            organisation=incoming.organisation,
            key_id=incoming.key_id,
            importance=incoming.importance,
            cohort=incoming.cohort,
            weight=incoming.weight,
            depth=incoming.depth + 1,
            deadline=min(context.deadline, deadline),
            attempt_budget=context.attempt_budget,
            record_thresholds=context.record_thresholds,
            resend=incoming.resend,
        )
        return Call(
            request,
            route,
            call_policy,
            origin,
            find_or_derive_idempotency_key(request, origin, route),
        )

    def _make_background_call(
        self, policy: Policy, route: Route, request: HttpRequest
    ) -> Call:
        call_policy = policy.classify(route, INTERNAL_ORGANISATION, request.method)
        root = make_root_id(self._clock.wall())
        origin = CallOrigin(
            root=root,
            organisation=INTERNAL_ORGANISATION,
            key_id="",
            importance=Importance.BACKGROUND,
            cohort=compute_cohort(root) if self._policy_settings.cohorts else 0,
            weight=1,
            depth=1,
            deadline=self._clock.monotonic() + call_policy.deadline_s,
            attempt_budget=AttemptBudget(call_policy.extra_attempts),
            record_thresholds=partial(self._thresholds.observe, route.name),
        )
        return Call(
            request,
            route,
            call_policy,
            origin,
            find_or_derive_idempotency_key(request, origin, route),
        )

    async def _claim_or_dispatch(self, call: Call) -> Answer:
        """Run a call, after claiming its key if it is not repeatable."""
        if not call.repeatable:
            return await self._claimed_calls.run(call)
        return await self._dispatcher.dispatch(call)

    def _choose_cohort(
        self, root: str, organisation: str, weight: int, importance: Importance
    ) -> int:
        if not self._policy_settings.cohorts:
            return 0
        cohort = compute_cohort(root)
        if not self._policy_settings.fair_queueing:
            return cohort
        return self._fair_cohort_scaler.scale(organisation, weight, importance, cohort)

    def _reject_early(self, call: Call) -> None:
        """Raise Refusal if a service on the call's path would shed it."""
        if not self._policy_settings.early_rejection:
            return
        origin = call.origin
        rejecting_threshold = self._thresholds.find_rejection(
            call.route, origin.importance, origin.cohort
        )
        if rejecting_threshold is not None:
            raise make_refusal(Reason.SHED, Outcome.NOT_RUN, retry_after_s=1.0)

    def _get_policy(self) -> Policy:
        policy = self._tracker.policy
        if policy is None:
            raise make_refusal(Reason.STARTING, Outcome.NOT_RUN)
        return policy


def find_api_key(headers: Headers) -> str:
    """Return the caller's API key, or an empty string.

    It is a bearer token in Authorization, or the value of X-Api-Key.
    """
    scheme, _, api_key = find_header(headers, b"authorization").partition(" ")
    if scheme.lower() == "bearer" and api_key:
        return api_key.strip()
    return find_header(headers, b"x-api-key")


def find_or_derive_idempotency_key(
    request: HttpRequest, origin: CallOrigin, route: Route
) -> str:
    """Return the idempotency key of a backend server's call; derive a missing one."""
    provided_key = find_header(request.headers, b"idempotency-key")
    return provided_key or derive_idempotency_key(
        origin.root, route.name, request.method, request.target, request.body
    )


def compute_coalescing_key(call: Call) -> bytes:
    """Return a digest that is the same for equal requests with equal headers."""
    digest = hashlib.blake2b(call.fingerprint, digest_size=16)
    for name, value in call.headers:
        digest.update(b"%d %d " % (len(name), len(value)) + name + value)
    return digest.digest()
