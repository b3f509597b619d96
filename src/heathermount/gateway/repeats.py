"""Decisions which requests are sent to another server."""

from typing import Final

from heathermount.clocks import Clock
from heathermount.gateway.budget import RepeatBudget
from heathermount.gateway.configuration_document import OrganisationEntry, RouteEntry
from heathermount.gateway.messages import Answer, Execute
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.runs import RunContext
from heathermount.values import Outcome, Reason

__all__ = ["SERVER_ERROR", "Call", "Repeats", "judge_answer"]

SERVER_ERROR: Final = 500

# A request is run again only if this share of its objective is left.
REPEAT_SHARE: Final = 0.5

# Share of the repeat budget that calls of servers leave to clients' requests:
# these need one success, a chain of calls needs all of its calls to succeed.
CALL_RESERVE: Final = 0.5

# Attempts that cost no server anything, for one request.
FREE_ATTEMPTS: Final = 3
FREE_REASONS: Final = frozenset(
    {Reason.DRAINING, Reason.NO_SERVER, Reason.CONFIGURATION_STALE}
)


class Call:
    """One request on its way to a server."""

    __slots__ = (
        "deadline",
        "free",
        "maybe_ran",
        "message",
        "organisation",
        "parent",
        "route",
        "sends",
        "tried",
    )

    def __init__(
        self,
        route: RouteEntry,
        organisation: OrganisationEntry | None,
        message: Execute,
        deadline: float,
        parent: RunContext | None,
    ) -> None:
        # The request of the local server that made this call, if known.
        self.parent = parent
        self.route = route
        self.organisation = organisation
        self.message = message
        # Monotonic time at which the client must have an answer.
        self.deadline = deadline
        self.tried: set[str] = set()
        self.free = FREE_ATTEMPTS
        # Sends that reached a server.
        self.sends = 0
        # True once an attempt ended without proof that it did not run.
        self.maybe_ran = False

    @property
    def outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.maybe_ran else Outcome.NOT_RUN


class Repeats:
    """Decides about repeats within the fleet's budget.

    Answers faulty servers, lost answers and servers that refuse or leave. It
    learns which routes make calls: a repeated run repeats all calls below it.
    """

    __slots__ = ("_answered_routes", "_budget", "_calling_routes", "_clock", "_metrics")

    def __init__(
        self, budget: RepeatBudget, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._metrics = metrics
        # Routes whose requests make calls, and routes that were answered.
        self._calling_routes: set[str] = set()
        self._answered_routes: set[str] = set()

    def learn_calls(self, route: str, calls: int) -> None:
        """Note how many calls a run of a route made."""
        if calls:
            self._calling_routes.add(route)
        else:
            self._answered_routes.add(route)

    def may_run_again(self, call: Call, answer: Answer) -> bool:
        """Decide whether to run a request again that has run or may have.

        Only an idempotent request that makes no calls: it is the cheapest
        place to repeat, and a repeat there saves the work of the whole chain
        above it. Others are left to the client, because a repeated run repeats
        all calls below it.
        """
        if not answer.reason and answer.status < SERVER_ERROR:
            return False
        if not call.message.idempotent or answer.calls:
            return False
        route = call.route.name
        if route in self._calling_routes or route not in self._answered_routes:
            return False
        if call.sends >= call.route.max_attempts:
            return False
        remaining_s = call.deadline - self._clock.monotonic()
        if remaining_s < REPEAT_SHARE * call.route.objective_s:
            return False
        return self._take_repeat(call)

    def _take_repeat(self, call: Call) -> bool:
        reserve = CALL_RESERVE if call.organisation is None else 0.0
        taken = self._budget.take(call.message.service, reserve)
        self._metrics.count("repeats", "sent" if taken else "over-budget")
        return taken

    def may_repeat(self, call: Call, answer: Answer) -> bool:
        """Decide whether to send a request to another server.

        With proof that it has not run, an attempt that cost no server anything
        is free and one that reached a server draws on the budget.
        """
        if answer.outcome != Outcome.NOT_RUN:
            if answer.reason == Reason.DEADLINE:
                return False
            return self.may_run_again(call, answer)
        if not answer.sent:
            if answer.reason not in FREE_REASONS or call.free < 1:
                return False
            call.free -= 1
            return True
        if call.sends >= call.route.max_attempts:
            return False
        return self._take_repeat(call)


def judge_answer(answer: Answer | None) -> bool | None:
    """Tell whether an answer speaks for its server; None if it tells nothing."""
    if answer is None:
        return None
    if answer.call_failed:
        # The fault is in a service below.
        return None
    if not answer.reason:
        return answer.status < SERVER_ERROR
    if answer.reason in (Reason.SERVER_FAILED, Reason.ANSWER_BROKEN, Reason.NO_SERVER):
        return False
    if answer.reason == Reason.SHED:
        return not answer.sent
    return None if answer.reason == Reason.DEADLINE else True
