"""Decisions which requests are sent to another server."""

from typing import Final

from heathermount.clocks import Clock
from heathermount.gateway.configuration_document import OrganisationEntry, RouteEntry
from heathermount.gateway.messages import Answer, Execute
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.retry_budget import RetryBudget
from heathermount.gateway.run_context import RunContext
from heathermount.values import Outcome, Reason

__all__ = ["MIN_SERVER_ERROR_STATUS", "OutboundCall", "RetryPolicy", "assess_server"]

MIN_SERVER_ERROR_STATUS: Final = 500

# A request is run again only if this share of its objective is left.
MIN_RETRY_TIME_RATIO: Final = 0.5

# Share of the repeat budget that calls of servers leave to clients' requests:
# these need one success, a chain of calls needs all of its calls to succeed.
NESTED_CALL_RESERVE_RATIO: Final = 0.5

# Attempts that cost no server anything, for one request.
MAX_FREE_ATTEMPTS: Final = 3
FREE_RETRY_REASONS: Final = frozenset(
    {Reason.DRAINING, Reason.NO_SERVER, Reason.CONFIGURATION_STALE}
)


class OutboundCall:
    """One request on its way to a server."""

    __slots__ = (
        "deadline",
        "free_attempts_left",
        "may_have_run",
        "message",
        "organisation",
        "parent",
        "route",
        "send_count",
        "tried_nodes",
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
        self.tried_nodes: set[str] = set()
        self.free_attempts_left = MAX_FREE_ATTEMPTS
        # Sends that reached a server.
        self.send_count = 0
        # True once an attempt ended without proof that it did not run.
        self.may_have_run = False

    @property
    def outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class RetryPolicy:
    """Decides about repeats within the fleet's budget.

    Answers faulty servers, lost answers and servers that refuse or leave. It
    learns which routes make calls: a repeated run repeats all calls below it.
    """

    __slots__ = (
        "_routes_seen_without_calls",
        "_budget",
        "_routes_with_calls",
        "_clock",
        "_metrics",
    )

    def __init__(
        self, budget: RetryBudget, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._metrics = metrics
        # Routes whose requests make calls, and routes that were answered.
        self._routes_with_calls: set[str] = set()
        self._routes_seen_without_calls: set[str] = set()

    def record_nested_calls(self, route: str, nested_calls: int) -> None:
        """Note how many calls a run of a route made."""
        if nested_calls:
            self._routes_with_calls.add(route)
        else:
            self._routes_seen_without_calls.add(route)

    def may_retry_executed(self, call: OutboundCall, answer: Answer) -> bool:
        """Decide whether to run a request again that has run or may have.

        Only an idempotent request that makes no calls: it is the cheapest
        place to repeat, and a repeat there saves the work of the whole chain
        above it. Others are left to the client, because a repeated run repeats
        all calls below it.
        """
        if not answer.reason and answer.status < MIN_SERVER_ERROR_STATUS:
            return False
        if not call.message.idempotent or answer.nested_calls:
            return False
        route = call.route.name
        if (
            route in self._routes_with_calls
            or route not in self._routes_seen_without_calls
        ):
            return False
        if call.send_count >= call.route.max_attempts:
            return False
        remaining_s = call.deadline - self._clock.monotonic()
        if remaining_s < MIN_RETRY_TIME_RATIO * call.route.objective_s:
            return False
        return self._spend_retry(call)

    def _spend_retry(self, call: OutboundCall) -> bool:
        reserve = NESTED_CALL_RESERVE_RATIO if call.organisation is None else 0.0
        allowed = self._budget.try_spend(call.message.service, reserve)
        self._metrics.count("repeats", "sent" if allowed else "over-budget")
        return allowed

    def may_retry(self, call: OutboundCall, answer: Answer) -> bool:
        """Decide whether to send a request to another server.

        With proof that it has not run, an attempt that cost no server anything
        is free and one that reached a server draws on the budget.
        """
        if answer.outcome != Outcome.NOT_RUN:
            if answer.reason == Reason.DEADLINE:
                return False
            return self.may_retry_executed(call, answer)
        if not answer.sent_to_server:
            if answer.reason not in FREE_RETRY_REASONS or call.free_attempts_left < 1:
                return False
            call.free_attempts_left -= 1
            return True
        if call.send_count >= call.route.max_attempts:
            return False
        return self._spend_retry(call)


def assess_server(answer: Answer | None) -> bool | None:
    """Tell whether an answer speaks for its server; None if it tells nothing."""
    if answer is None:
        return None
    if answer.nested_call_failed:
        # The fault is in a service below.
        return None
    if not answer.reason:
        return answer.status < MIN_SERVER_ERROR_STATUS
    if answer.reason in (Reason.SERVER_FAILED, Reason.ANSWER_BROKEN, Reason.NO_SERVER):
        return False
    if answer.reason == Reason.SHED:
        return not answer.sent_to_server
    return None if answer.reason == Reason.DEADLINE else True
