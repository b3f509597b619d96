"""Retry policy: which requests are sent to another server."""

from typing import Final

from heathermount.clocks import Clock
from heathermount.gateway.configuration_document import OrganisationEntry, RouteEntry
from heathermount.gateway.messages import Answer, Execute
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.retry_budget import RetryBudget
from heathermount.gateway.run_context import RunContext
from heathermount.routing.balancer import Balancer
from heathermount.values import Outcome, Reason

__all__ = ["MIN_SERVER_ERROR_STATUS", "OutboundCall", "RetryPolicy", "assess_server"]

MIN_SERVER_ERROR_STATUS: Final = 500

# A request that may have run is retried only while at least this fraction of the
# latency objective remains before its deadline.
MIN_RETRY_TIME_RATIO: Final = 0.5

# Fraction of the retry budget that nested calls leave to clients' requests. A
# client's request needs one success, a call chain needs all its calls to succeed.
NESTED_CALL_RESERVE_RATIO: Final = 0.5

# Retries per request of attempts that reached no server; not charged to the budget.
MAX_FREE_RETRIES: Final = 3
FREE_RETRY_REASONS: Final = frozenset(
    {Reason.DRAINING, Reason.NO_SERVER, Reason.CONFIGURATION_STALE}
)


class OutboundCall:
    """A request being dispatched, and the state of its attempts."""

    __slots__ = (
        "deadline",
        "free_retries_left",
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
        # Request at the local server that made this nested call, if known.
        self.parent = parent
        self.route = route
        self.organisation = organisation
        self.message = message
        # Monotonic time by which an answer is due.
        self.deadline = deadline
        self.tried_nodes: set[str] = set()
        self.free_retries_left = MAX_FREE_RETRIES
        # Attempts that reached a server.
        self.send_count = 0
        # True once an attempt failed without proof that the request did not run.
        self.may_have_run = False

    @property
    def outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class RetryPolicy:
    """Decides which failed attempts are retried within the retry budget.

    Covers faulty servers, lost answers, and servers that shed or leave. Learns
    which routes make nested calls, because a retry repeats all of them.
    """

    __slots__ = (
        "_balancer",
        "_budget",
        "_clock",
        "_metrics",
        "_routes_seen_without_calls",
        "_routes_with_calls",
    )

    def __init__(
        self,
        budget: RetryBudget,
        balancer: Balancer,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._budget = budget
        self._balancer = balancer
        self._clock = clock
        self._metrics = metrics
        # Routes with a run that made nested calls, and with one that made none.
        self._routes_with_calls: set[str] = set()
        self._routes_seen_without_calls: set[str] = set()

    def record_nested_calls(self, route: str, nested_calls: int) -> None:
        """Record how many nested calls a run of a route made."""
        if nested_calls:
            self._routes_with_calls.add(route)
        else:
            self._routes_seen_without_calls.add(route)

    def may_retry_executed(self, call: OutboundCall, answer: Answer) -> bool:
        """Return whether to retry a request that has run or may have run.

        Retries only idempotent requests that make no nested calls. A retry is
        cheapest there, and it saves the work of the whole chain above. Other
        requests are left to the client, because a retry repeats all nested calls.
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

    def _has_room(self, call: OutboundCall) -> bool:
        return self._balancer.has_room(call.message.service, call.tried_nodes)

    def _spend_retry(self, call: OutboundCall) -> bool:
        reserve_ratio = NESTED_CALL_RESERVE_RATIO if call.organisation is None else 0.0
        allowed = self._budget.try_spend(call.message.service, reserve_ratio)
        self._metrics.count("repeats", "sent" if allowed else "over-budget")
        return allowed

    def may_retry(self, call: OutboundCall, answer: Answer) -> bool:
        """Return whether to send a refused request to another server.

        If the request certainly has not run, a retry is free when the failed
        attempt reached no server. Otherwise it is charged to the retry budget. A
        request that one server refuses to keep its rate goes to one with room.
        """
        if answer.outcome != Outcome.NOT_RUN:
            if answer.reason == Reason.DEADLINE:
                return False
            return self.may_retry_executed(call, answer)
        if not answer.sent_to_server:
            is_free = answer.reason in FREE_RETRY_REASONS or (
                answer.limited and self._has_room(call)
            )
            if not is_free or call.free_retries_left < 1:
                return False
            call.free_retries_left -= 1
            return True
        if call.send_count >= call.route.max_attempts:
            return False
        return self._spend_retry(call)


def assess_server(answer: Answer | None) -> bool | None:
    """Return whether an answer shows a healthy server; None if it shows neither."""
    if answer is None:
        return None
    if answer.nested_call_failed:
        # The failure is in a service that this one called.
        return None
    if not answer.reason:
        return answer.status < MIN_SERVER_ERROR_STATUS
    if answer.reason in (Reason.SERVER_FAILED, Reason.ANSWER_BROKEN, Reason.NO_SERVER):
        return False
    if answer.reason == Reason.SHED:
        return not answer.sent_to_server
    return None if answer.reason == Reason.DEADLINE else True
