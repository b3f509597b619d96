"""Sends calls to backend servers of their service and limits retries."""

from collections.abc import Awaitable, Callable
from typing import Final

from heathermount.entry.calls import Call
from heathermount.entry.refusals import (
    answer_to_refusal,
    make_deadline_refusal,
    make_refusal,
)
from heathermount.entry.roster_updater import RosterUpdater
from heathermount.errors import PeerError, PeerLost, PeerTimeout, Refusal
from heathermount.node.components import NodeComponents
from heathermount.routing import Member, RetryBudget
from heathermount.values import Outcome, Reason
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import Answer, Execute

__all__ = ["Dispatcher"]

# A refusal by a node that is draining or has no backend server causes no load, so
# this many retries of a call after such refusals are not charged to any budget.
MAX_FREE_RETRIES: Final = 3
# Maximum retries of a call if the setting `chain_retries` is off.
MAX_UNBUDGETED_RETRIES: Final = 2
# Added to the timeout of a call, because the executing node may answer as late as
# the deadline and the answer needs time on the network.
ANSWER_TRANSIT_S: Final = 0.05

FREE_RETRY_REASONS: Final = frozenset({Reason.DRAINING, Reason.NO_SERVER})
RETRYABLE_REASONS: Final = frozenset({Reason.SHED, *FREE_RETRY_REASONS})
SERVER_FAILURE_REASONS: Final = frozenset({Reason.SERVER_FAILED, Reason.ANSWER_BROKEN})


class Attempts:
    """State of one call across its attempts."""

    __slots__ = (
        "free_retries_left",
        "may_have_run",
        "tried_nodes",
        "unbudgeted_retries_left",
    )

    def __init__(self) -> None:
        self.tried_nodes: set[str] = set()
        self.free_retries_left = MAX_FREE_RETRIES
        self.unbudgeted_retries_left = MAX_UNBUDGETED_RETRIES
        # True once an attempt ended with another outcome than `not-run`.
        self.may_have_run = False

    @property
    def outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class Dispatcher:
    """Chooses a member for each attempt, sends it and decides about retries."""

    __slots__ = (
        "_balancer",
        "_clock",
        "_execute_locally",
        "_links",
        "_metrics",
        "_node_name",
        "_on_answer",
        "_policy_settings",
        "_quarantine",
        "_retry_budget",
        "_roster_updater",
        "_tracker",
    )

    def __init__(
        self,
        parts: NodeComponents,
        roster_updater: RosterUpdater,
        retry_budget: RetryBudget,
        links: LinkPool,
        execute_locally: Callable[[Execute], Awaitable[Answer]],
        on_answer: Callable[[str, Member, Answer], None],
    ) -> None:
        self._node_name = parts.settings.node.name
        self._policy_settings = parts.settings.policy
        self._tracker = parts.tracker
        self._balancer = parts.balancer
        self._quarantine = parts.quarantine
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._roster_updater = roster_updater
        self._retry_budget = retry_budget
        self._links = links
        self._execute_locally = execute_locally
        # Called with each answer, which may show newer revisions of configuration
        # or roster.
        self._on_answer = on_answer

    async def dispatch(self, call: Call) -> Answer:
        """Return the backend server's answer; raise Refusal if there is none."""
        attempts = Attempts()
        while True:
            if self._clock.monotonic() >= call.origin.deadline:
                raise make_deadline_refusal(attempts.outcome)
            if self._quarantine.is_blocked(call.fingerprint):
                raise make_refusal(Reason.QUARANTINED, attempts.outcome)
            answer = await self._attempt(call, attempts)
            self._metrics.count_call(call.service, answer.outcome, answer.reason)
            if not answer.reason:
                self._retry_budget.record_success(call.service)
                self._quarantine.record_completion(call.fingerprint)
                return answer
            if not self._decide_retry(call, answer, attempts):
                raise self._make_final_refusal(answer, attempts)

    async def _attempt(self, call: Call, attempts: Attempts) -> Answer:
        await self._roster_updater.ensure_loaded(call.service)
        member = self._choose_member(call, attempts)
        attempts.tried_nodes.add(member.node)
        allowance = call.origin.attempt_budget.reserve()
        message = call.to_message(
            self._clock.monotonic(),
            self._clock.wall(),
            allowance,
            self._tracker.revision,
        )
        started_at = self._balancer.record_start(member)
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
            self._balancer.record_end(
                member,
                derive_success(answer),
                answer.load if answer is not None else None,
                ran_since,
            )
        self._on_answer(call.service, member, answer)
        call.origin.record_thresholds(answer.thresholds)
        if answer.outcome != Outcome.NOT_RUN:
            attempts.may_have_run = True
        return answer

    def _choose_member(self, call: Call, attempts: Attempts) -> Member:
        try:
            return self._balancer.choose(call.service, attempts.tried_nodes)
        except Refusal:
            if not attempts.may_have_run:
                raise
            raise make_refusal(Reason.SERVER_FAILED, Outcome.UNKNOWN) from None

    async def _send(self, member: Member, message: Execute) -> Answer:
        if member.node == self._node_name:
            return await self._execute_locally(message)
        try:
            answer = await self._links.call(
                member.peer_address, message, message.deadline_s + ANSWER_TRANSIT_S
            )
        except PeerTimeout:
            return make_failure_answer(
                Reason.DEADLINE, Outcome.UNKNOWN, message.allowance
            )
        except PeerLost:
            return make_failure_answer(
                Reason.SERVER_FAILED, Outcome.UNKNOWN, message.allowance
            )
        except PeerError as error:
            self._roster_updater.refresh_after_failure(message.service)
            outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
            return make_failure_answer(Reason.NO_SERVER, outcome, 0)
        if not isinstance(answer, Answer):
            return make_failure_answer(
                Reason.ANSWER_BROKEN, Outcome.UNKNOWN, message.allowance
            )
        return answer

    def _decide_retry(self, call: Call, answer: Answer, attempts: Attempts) -> bool:
        """Return whether to retry a refused call; if so, charge the retry."""
        if answer.outcome == Outcome.RAN:
            return False
        if answer.crashed and not self._quarantine.completed_recently(call.fingerprint):
            # The request itself may have crashed the server.
            return False
        if answer.outcome == Outcome.UNKNOWN and not self._is_safe_to_repeat(
            call, answer
        ):
            return False
        if answer.outcome == Outcome.NOT_RUN and answer.reason not in RETRYABLE_REASONS:
            return False
        if answer.reason in FREE_RETRY_REASONS and attempts.free_retries_left > 0:
            attempts.free_retries_left -= 1
            self._roster_updater.refresh_after_failure(call.service)
            return True
        if not self._try_spend_retry(call, answer, attempts):
            return False
        self._metrics.count_retry(call.service)
        return True

    def _try_spend_retry(self, call: Call, answer: Answer, attempts: Attempts) -> bool:
        if not self._policy_settings.chain_retries:
            attempts.unbudgeted_retries_left -= 1
            return attempts.unbudgeted_retries_left >= 0
        if answer.retried or call.origin.attempt_budget.remaining == 0:
            return False
        return (
            self._retry_budget.try_spend(call.service)
            and call.origin.attempt_budget.try_spend()
        )

    def _is_safe_to_repeat(self, call: Call, answer: Answer) -> bool:
        """Return whether a request that may have run can be sent again."""
        if answer.reason == Reason.DEADLINE:
            return False
        if self._quarantine.count_suspicions(call.fingerprint) > 0:
            return False
        return call.repeatable

    def _make_final_refusal(self, answer: Answer, attempts: Attempts) -> Refusal:
        """Return the refusal of the last attempt, with the outcome of all attempts."""
        refusal = answer_to_refusal(answer)
        if refusal.outcome is Outcome.NOT_RUN and attempts.may_have_run:
            # The last attempt did not run, but an earlier one may have.
            refusal.outcome = Outcome.UNKNOWN
        return refusal


def derive_success(answer: Answer | None) -> bool | None:
    """Return whether the server succeeded; None if the call was cancelled.

    A server that sheds the request counts as a success, because its reported load
    already keeps calls away.
    """
    if answer is None:
        return None
    return (
        answer.reason not in SERVER_FAILURE_REASONS
        and answer.reason not in FREE_RETRY_REASONS
    )


def make_failure_answer(reason: Reason, outcome: Outcome, spent: int) -> Answer:
    """Return an answer that represents a communication failure between nodes."""
    return Answer(
        status=make_refusal(reason, outcome).status,
        headers=[],
        body=b"",
        outcome=outcome,
        reason=reason,
        remedy=make_refusal(reason, outcome).remedy,
        spent=spent,
    )
