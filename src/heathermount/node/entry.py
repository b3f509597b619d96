"""The node a call enters at: authentication, limits, claims, dispatch."""

import hashlib
from functools import partial

from heathermount.admission import FairCohorts, ThresholdTable
from heathermount.config.policy import Policy, Route, Treatment
from heathermount.errors import Refusal
from heathermount.node.calls import Call, CallContext
from heathermount.node.claiming import ClaimedCalls
from heathermount.node.dispatcher import Dispatcher
from heathermount.node.http import find_header, passed_headers
from heathermount.node.identifiers import cohort_of, derive_key, make_root
from heathermount.node.parts import Parts
from heathermount.node.refusals import make_refusal
from heathermount.quota import QuotaClient
from heathermount.routing import AttemptLedger, ResendTracker, fingerprint
from heathermount.values import (
    INTERNAL_ORGANISATION,
    Importance,
    Outcome,
    Reason,
)
from heathermount.wire.messages import Answer, Headers

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
        self._fair_cohorts = FairCohorts(parts.clock)
        self._metrics = parts.metrics

    async def call_from_caller(
        self, method: str, path: str, target: str, headers: Headers, body: bytes
    ) -> Answer:
        """Run a caller's request; raise Refusal when it is not answered."""
        started = self._clock.monotonic()
        answer = await self._call(method, path, target, headers, body)
        self._metrics.observe_call(self._clock.monotonic() - started, answer.server_s)
        return answer

    async def _call(
        self, method: str, path: str, target: str, headers: Headers, body: bytes
    ) -> Answer:
        policy = self._current_policy()
        if not self._tracker.fresh():
            raise make_refusal(Reason.CONFIGURATION_STALE, Outcome.NOT_RUN)
        owner = policy.authenticate(find_key(headers))
        route = policy.match(method, path)
        if route is None or not route.open:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)
        treatment = policy.classify(route, owner.organisation, method)
        weight = policy.allotment(owner.organisation).weight
        root = make_root(self._clock.wall())
        call = Call(
            root=root,
            service=route.service,
            route=route.name,
            method=method,
            target=target,
            headers=passed_headers(headers),
            body=body,
            organisation=owner.organisation,
            key_id=owner.key_id,
            importance=treatment.importance,
            cohort=self._choose_cohort(
                root, owner.organisation, weight, treatment.importance
            ),
            weight=weight,
            deadline=self._clock.monotonic() + treatment.deadline_s,
            ledger=AttemptLedger(treatment.extra_attempts),
            depth=1,
            fingerprint=fingerprint(owner.organisation, method, target, body),
            repeatable=treatment.repeatable,
            idempotency_key=find_header(headers, b"idempotency-key"),
            note=partial(self._thresholds.observe, route.name),
        )
        if not call.repeatable and not call.idempotency_key:
            raise make_refusal(Reason.IDEMPOTENCY_KEY_REQUIRED, Outcome.NOT_RUN)
        return await self._enter(call)

    async def _enter(self, call: Call) -> Answer:
        # Equal requests of two callers may expect different answers (one may
        # have read its own write in between), so only a request that says it is
        # the same one attaches to the one that runs.
        attaches = call.repeatable and bool(call.idempotency_key)
        arrival = self._resends.arrive(identify(call), attaches)
        while not arrival.leads:
            shared = await arrival.result()
            if isinstance(shared, Refusal):
                raise shared
            if shared is not None:
                return shared
            arrival = self._resends.rejoin(arrival)
        call.resend = arrival.resend
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
            call.organisation, call.deadline - self._clock.monotonic()
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
        self,
        context: CallContext | None,
        method: str,
        path: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> Answer:
        """Run a deeper call of the backend server beside this node."""
        policy = self._current_policy()
        route = policy.match(method, path)
        if route is None:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)
        if context is None:
            call = self._background_call(policy, route, method, target, headers, body)
            return await self._run(call)
        call = self._deeper_call(context, policy, route, method, target, headers, body)
        permit = context.permit
        before = context.ledger.remaining
        if permit is not None:
            permit.enter_deeper(self._clock.monotonic())
        try:
            return await self._run(call)
        finally:
            if context.ledger.remaining < before:
                context.retried = True
            if permit is not None:
                permit.leave_deeper(self._clock.monotonic())

    def _deeper_call(
        self,
        context: CallContext,
        policy: Policy,
        route: Route,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> Call:
        parent = context.message
        treatment = policy.classify(route, parent.organisation, method)
        deadline = self._clock.monotonic() + treatment.deadline_s
        given_key = find_header(headers, b"idempotency-key")
        return Call(
            root=parent.root,
            service=route.service,
            route=route.name,
            method=method,
            target=target,
            headers=passed_headers(headers),
            body=body,
            organisation=parent.organisation,
            key_id=parent.key_id,
            importance=parent.importance,
            cohort=parent.cohort,
            weight=parent.weight,
            deadline=min(context.deadline, deadline),
            ledger=context.ledger,
            depth=parent.depth + 1,
            fingerprint=fingerprint(parent.organisation, method, target, body),
            repeatable=treatment.repeatable,
            idempotency_key=given_key
            or derive_key(parent.root, route.name, method, target, body),
            note=context.note,
            resend=parent.resend,
        )

    def _background_call(
        self,
        policy: Policy,
        route: Route,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> Call:
        treatment: Treatment = policy.classify(route, INTERNAL_ORGANISATION, method)
        root = make_root(self._clock.wall())
        given_key = find_header(headers, b"idempotency-key")
        return Call(
            root=root,
            service=route.service,
            route=route.name,
            method=method,
            target=target,
            headers=passed_headers(headers),
            body=body,
            organisation=INTERNAL_ORGANISATION,
            key_id="",
            importance=Importance.BACKGROUND,
            cohort=cohort_of(root) if self._policy.cohorts else 0,
            weight=1,
            deadline=self._clock.monotonic() + treatment.deadline_s,
            ledger=AttemptLedger(treatment.extra_attempts),
            depth=1,
            fingerprint=fingerprint(INTERNAL_ORGANISATION, method, target, body),
            repeatable=treatment.repeatable,
            idempotency_key=given_key
            or derive_key(root, route.name, method, target, body),
            note=partial(self._thresholds.observe, route.name),
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
        rejecting = self._thresholds.admits(call.route, call.importance, call.cohort)
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


def identify(call: Call) -> bytes:
    """Return what a resend has in common with its request, headers included."""
    digest = hashlib.blake2b(call.fingerprint, digest_size=16)
    for name, value in call.headers:
        digest.update(b"%d %d " % (len(name), len(value)) + name + value)
    return digest.digest()
