"""Sends calls to backend servers of their service, with bounded retries."""

from collections.abc import Awaitable, Callable
from typing import Final

from heathermount.entry.calls import Call
from heathermount.entry.refusals import deadline_passed, make_refusal, refusal_of
from heathermount.entry.routes import RouteTable
from heathermount.errors import PeerError, PeerLost, PeerTimeout, Refusal
from heathermount.node.components import NodeComponents
from heathermount.routing import Member, RetryBudget
from heathermount.values import Outcome, Reason
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import Answer, Execute

__all__ = ["Dispatcher"]

# Refusals of a node that is leaving or has no server cost the server nothing;
# this many of them for one call do not count as retries.
FREE_ATTEMPTS: Final = 3
# Retries of one call when the accounting over the chain is switched off.
PLAIN_RETRIES: Final = 2
# The executing node answers at the deadline; its answer needs time to travel.
TRAVEL_S: Final = 0.05

FREE_REASONS: Final = frozenset({Reason.DRAINING, Reason.NO_SERVER})
RETRY_REASONS: Final = frozenset({Reason.SHED, *FREE_REASONS})
FAILED_REASONS: Final = frozenset({Reason.SERVER_FAILED, Reason.ANSWER_BROKEN})


class Attempts:
    """Progress of one call over its attempts."""

    __slots__ = ("free", "maybe_ran", "plain", "tried")

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.free = FREE_ATTEMPTS
        self.plain = PLAIN_RETRIES
        # True once an attempt ended without proof that it did not run.
        self.maybe_ran = False

    @property
    def outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.maybe_ran else Outcome.NOT_RUN


class Dispatcher:
    """Chooses servers, sends attempts and decides about retries."""

    __slots__ = (
        "_balancer",
        "_budget",
        "_clock",
        "_execute_here",
        "_links",
        "_metrics",
        "_node",
        "_policy",
        "_quarantine",
        "_routes",
        "_seen",
        "_tracker",
    )

    def __init__(
        self,
        parts: NodeComponents,
        routes: RouteTable,
        budget: RetryBudget,
        links: LinkPool,
        execute_here: Callable[[Execute], Awaitable[Answer]],
        seen: Callable[[str, Member, Answer], None],
    ) -> None:
        self._node = parts.settings.node.name
        self._policy = parts.settings.policy
        self._tracker = parts.tracker
        self._balancer = parts.balancer
        self._quarantine = parts.quarantine
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._routes = routes
        self._budget = budget
        self._links = links
        self._execute_here = execute_here
        # Called with each answer, to notice newer revisions.
        self._seen = seen

    async def dispatch(self, call: Call) -> Answer:
        """Return the backend server's answer; raise Refusal when there is none."""
        attempts = Attempts()
        while True:
            if self._clock.monotonic() >= call.origin.deadline:
                raise deadline_passed(attempts.outcome)
            if self._quarantine.is_blocked(call.fingerprint):
                raise make_refusal(Reason.QUARANTINED, attempts.outcome)
            answer = await self._attempt(call, attempts)
            self._metrics.count_call(call.service, answer.outcome, answer.reason)
            if not answer.reason:
                self._budget.record_success(call.service)
                self._quarantine.record_completion(call.fingerprint)
                return answer
            if not self._may_retry(call, answer, attempts):
                raise self._final(answer, attempts)

    async def _attempt(self, call: Call, attempts: Attempts) -> Answer:
        await self._routes.ensure(call.service)
        member = self._choose(call, attempts)
        attempts.tried.add(member.node)
        allowance = call.origin.attempt_budget.reserve()
        message = call.to_message(
            self._clock.monotonic(),
            self._clock.wall(),
            allowance,
            self._tracker.revision,
        )
        started_at = self._balancer.started(member)
        answer: Answer | None = None
        ran_since: float | None = None
        try:
            answer = await self._send(member, message)
            if answer.outcome == Outcome.RAN:
                ran_since = started_at
        finally:
            call.origin.attempt_budget.end_reservation(
                allowance, answer.spent if answer is not None else None
            )
            self._balancer.finished(
                member,
                judge(answer),
                answer.load if answer is not None else None,
                ran_since,
            )
        self._seen(call.service, member, answer)
        call.origin.note(answer.thresholds)
        if answer.outcome != Outcome.NOT_RUN:
            attempts.maybe_ran = True
        return answer

    def _choose(self, call: Call, attempts: Attempts) -> Member:
        try:
            return self._balancer.choose(call.service, attempts.tried)
        except Refusal:
            if not attempts.maybe_ran:
                raise
            raise make_refusal(Reason.SERVER_FAILED, Outcome.UNKNOWN) from None

    async def _send(self, member: Member, message: Execute) -> Answer:
        if member.node == self._node:
            return await self._execute_here(message)
        try:
            answer = await self._links.call(
                member.peers, message, message.deadline_s + TRAVEL_S
            )
        except PeerTimeout:
            return refused(Reason.DEADLINE, Outcome.UNKNOWN, message.allowance)
        except PeerLost:
            return refused(Reason.SERVER_FAILED, Outcome.UNKNOWN, message.allowance)
        except PeerError as error:
            self._routes.doubt(message.service)
            outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
            return refused(Reason.NO_SERVER, outcome, 0)
        if not isinstance(answer, Answer):
            return refused(Reason.ANSWER_BROKEN, Outcome.UNKNOWN, message.allowance)
        return answer

    def _may_retry(self, call: Call, answer: Answer, attempts: Attempts) -> bool:
        if answer.outcome == Outcome.RAN:
            return False
        if answer.crashed and not self._quarantine.completed_recently(call.fingerprint):
            # It may be what the server crashed on.
            return False
        if answer.outcome == Outcome.UNKNOWN and not self._repeats(call, answer):
            return False
        if answer.outcome == Outcome.NOT_RUN and answer.reason not in RETRY_REASONS:
            return False
        if answer.reason in FREE_REASONS and attempts.free > 0:
            attempts.free -= 1
            self._routes.doubt(call.service)
            return True
        if not self._take_retry(call, answer, attempts):
            return False
        self._metrics.count_retry(call.service)
        return True

    def _take_retry(self, call: Call, answer: Answer, attempts: Attempts) -> bool:
        if not self._policy.chain_retries:
            attempts.plain -= 1
            return attempts.plain >= 0
        if answer.retried or call.origin.attempt_budget.remaining == 0:
            return False
        return (
            self._budget.try_spend(call.service)
            and call.origin.attempt_budget.try_spend()
        )

    def _repeats(self, call: Call, answer: Answer) -> bool:
        """Tell whether a request that may have run may be sent again."""
        if answer.reason == Reason.DEADLINE:
            return False
        if self._quarantine.count_suspicions(call.fingerprint) > 0:
            return False
        return call.repeatable

    def _final(self, answer: Answer, attempts: Attempts) -> Refusal:
        refusal = refusal_of(answer)
        if refusal.outcome is Outcome.NOT_RUN and attempts.maybe_ran:
            # An earlier attempt may have run.
            refusal.outcome = Outcome.UNKNOWN
        return refusal


def judge(answer: Answer | None) -> bool | None:
    """Tell whether the server did its part; None when the caller gave up."""
    if answer is None:
        return None
    return answer.reason not in FAILED_REASONS and answer.reason not in FREE_REASONS


def refused(reason: Reason, outcome: Outcome, spent: int) -> Answer:
    """Return the answer that stands for a failure between two nodes."""
    return Answer(
        status=make_refusal(reason, outcome).status,
        headers=[],
        body=b"",
        outcome=outcome,
        reason=reason,
        remedy=make_refusal(reason, outcome).remedy,
        spent=spent,
    )
