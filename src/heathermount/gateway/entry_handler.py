"""Entry node: quotas, load shedding, server selection and retries of calls."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from heathermount.admission import ThresholdTable
from heathermount.clocks import Clock
from heathermount.errors import PeerError, PeerLost, PeerUnreachable, Refusal
from heathermount.gateway.call_preparation import CallPreparer
from heathermount.gateway.configuration_document import (
    OrganisationEntry,
)
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.dialect import Dialect
from heathermount.gateway.http_server import (
    HttpRequest,
    HttpResponse,
    find_header,
)
from heathermount.gateway.links import LinkTable
from heathermount.gateway.messages import Answer, Execute
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.quota import QuotaShares
from heathermount.gateway.refusals import (
    answer_to_refusal,
    make_refusal,
    refusal_to_response,
)
from heathermount.gateway.retry_after import (
    choose_retry_after_s,
    compute_longest_retry_after_s,
)
from heathermount.gateway.retry_budget import RetryBudget
from heathermount.gateway.retry_policy import (
    MIN_SERVER_ERROR_STATUS,
    OutboundCall,
    RetryPolicy,
    assess_server,
)
from heathermount.routing.balancer import Balancer, NoServer
from heathermount.routing.members import Member
from heathermount.values import Outcome, Reason

__all__ = ["EntryHandler"]

# Time reserved for an answer that the executing node sends at its own deadline.
PEER_TRAVEL_MARGIN_S: Final = 0.03

PEER_CONNECT_TIMEOUT_S: Final = 0.5

# Nodes that a request tries to connect to. Suspected nodes fail without a delay.
MAX_CONNECT_ATTEMPTS: Final = 8


class EntryHandler:
    """Handles requests from clients and nested calls from the local backend server."""

    __slots__ = (
        "_balancer",
        "_clock",
        "_dialect",
        "_execute_request",
        "_links",
        "_log",
        "_metrics",
        "_node",
        "_on_departure",
        "_preparer",
        "_quota",
        "_random",
        "_retry_budget",
        "_retry_policy",
        "_thresholds",
        "_tracker",
    )

    def __init__(
        self,
        node: str,
        dialect: Dialect,
        preparer: CallPreparer,
        tracker: ConfigurationTracker,
        quota: QuotaShares,
        retry_budget: RetryBudget,
        balancer: Balancer,
        links: LinkTable,
        thresholds: ThresholdTable,
        execute_request: Callable[[Execute], Awaitable[Answer]],
        on_departure: Callable[[str, int], None],
        clock: Clock,
        random: Random,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._metrics = metrics
        self._log = log
        self._node = node
        self._dialect = dialect
        self._preparer = preparer
        self._tracker = tracker
        self._quota = quota
        self._retry_budget = retry_budget
        self._retry_policy = RetryPolicy(retry_budget, balancer, clock, metrics)
        self._balancer = balancer
        self._links = links
        self._thresholds = thresholds
        self._execute_request = execute_request
        # Called with ID and start time of a server that states that it leaves.
        self._on_departure = on_departure
        self._clock = clock
        self._random = random

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Dispatch one request and return its response or a refusal."""
        try:
            call = self._preparer.prepare(request)
            answer = await self._dispatch_and_track(call)
            self._metrics.count("entries", "served")
            return HttpResponse(answer.status, answer.headers, answer.body)
        except Refusal as refusal:
            self._metrics.count("entries", refusal.reason)
            self._log_refusal(request, refusal)
            response = refusal_to_response(refusal)
            request_id = find_header(request.headers, self._dialect.request_id)
            if request_id:
                response.headers.append((self._dialect.request_id, request_id))
            return response

    def _log_refusal(self, request: HttpRequest, refusal: Refusal) -> None:
        request_id = find_header(request.headers, self._dialect.request_id)
        self._log.record(
            "request-refused",
            request=request_id.decode("latin-1"),
            status=refusal.status,
            reason=refusal.reason,
            outcome=refusal.outcome,
            version=self._tracker.version,
            age_s=self._tracker.age_s(),
        )

    async def _dispatch_and_track(self, call: OutboundCall) -> Answer:
        """Dispatch a call; record a nested call's result at its parent request."""
        parent = call.parent
        if parent is None:
            return await self._charge_and_dispatch(call)
        parent.nested_calls += 1
        succeeded = False
        parent.permit.start_downstream_call(self._clock.monotonic())
        try:
            answer = await self._dispatch(call)
            succeeded = answer.status < MIN_SERVER_ERROR_STATUS
            return answer
        finally:
            parent.permit.end_downstream_call(self._clock.monotonic())
            if not succeeded:
                parent.nested_call_failed = True

    async def _charge_and_dispatch(self, call: OutboundCall) -> Answer:
        self._reject_early(call)
        if call.organisation is None:
            return await self._dispatch(call)
        await self._acquire_token(call, call.organisation)
        try:
            return await self._dispatch(call)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._quota.refund(call.organisation)
            raise

    async def _acquire_token(
        self, call: OutboundCall, organisation: OrganisationEntry
    ) -> None:
        try:
            await self._quota.acquire(
                organisation, compute_longest_retry_after_s(call.route.objective_s)
            )
        except Refusal as refusal:
            self._log.record(
                "over-rate",
                request=call.message.request_id.decode("latin-1"),
                organisation=organisation.name,
                rate=organisation.rate,
                burst=organisation.burst,
                holders=self._quota.count_holders(organisation.name),
                wait_s=refusal.retry_after_s or 0.0,
            )
            raise

    def _reject_early(self, call: OutboundCall) -> None:
        """Shed a request that a service further down its call chain would shed.

        Early rejection saves the work of the services above an overloaded one.
        Nested calls of requests that are already running are not shed here.
        """
        message = call.message
        shedding_threshold = self._thresholds.find_rejection(
            call.route.name, message.importance, message.cohort
        )
        if shedding_threshold is not None:
            wait_s = choose_retry_after_s(call.route.objective_s, self._random)
            raise make_refusal(Reason.SHED, Outcome.NOT_RUN, wait_s)

    async def _dispatch(self, call: OutboundCall) -> Answer:
        message = call.message
        while True:
            member = await self._choose_server(call)
            call.tried_nodes.add(member.node)
            answer = await self._attempt(call, member)
            if answer.departed_server:
                self._on_departure(answer.departed_server, answer.departed_born_ms)
            self._thresholds.observe(call.route.name, answer.thresholds)
            if call.parent is not None:
                call.parent.record_thresholds(answer.thresholds)
            if answer.sent_to_server and not answer.server_crashed:
                self._retry_policy.record_nested_calls(
                    call.route.name, answer.nested_calls
                )
            if answer.sent_to_server:
                call.send_count += 1
                if call.send_count == 1 and call.organisation is not None:
                    self._retry_budget.record_first_send(message.service)
            if not answer.reason and not self._retry_policy.may_retry_executed(
                call, answer
            ):
                return answer
            if answer.outcome != Outcome.NOT_RUN:
                call.may_have_run = True
            if answer.reason and not self._retry_policy.may_retry(call, answer):
                refusal = answer_to_refusal(answer)
                raise make_refusal(refusal.reason, call.outcome, refusal.retry_after_s)

    async def _choose_server(self, call: OutboundCall) -> Member:
        """Choose a server whose node is connected; raise a refusal if there is none.

        Links are opened on first use. Nodes that cannot be reached are left out
        while there are others, as nothing was sent to them.
        """
        service = call.message.service
        excluded = set(call.tried_nodes)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            try:
                member = self._balancer.choose(service, excluded)
            except NoServer:
                break
            if member.node == self._node:
                return member
            timeout_s = min(
                PEER_CONNECT_TIMEOUT_S, call.deadline - self._clock.monotonic()
            )
            try:
                await self._links.connect(member.peer_address, timeout_s)
                return member
            except PeerUnreachable as error:
                excluded.add(member.node)
                self._log.record(
                    "peer-unreachable",
                    request=call.message.request_id.decode("latin-1"),
                    peer=member.node,
                    error=str(error),
                )
        raise make_refusal(Reason.NO_SERVER, call.outcome)

    async def _attempt(self, call: OutboundCall, member: Member) -> Answer:
        message = call.message
        remaining_s = call.deadline - self._clock.monotonic()
        if remaining_s <= PEER_TRAVEL_MARGIN_S:
            raise make_refusal(Reason.DEADLINE, call.outcome)
        message.deadline_s = remaining_s - PEER_TRAVEL_MARGIN_S
        message.may_wait = not self._balancer.has_room(
            message.service, call.tried_nodes
        )
        started_at = self._balancer.record_start(member)
        answer: Answer | None = None
        ran_since: float | None = None
        peer_failed: bool | None = None
        try:
            if member.node == self._node:
                answer = await self._execute_locally(message, remaining_s)
            else:
                answer = await self._execute_on_peer(call, member, remaining_s)
            if answer.outcome == Outcome.RAN:
                ran_since = started_at
            return answer
        except PeerError as error:
            peer_failed = True
            outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
            refusal = make_refusal(
                Reason.SERVER_FAILED if error.sent else Reason.NO_SERVER, outcome
            )
            self._log.record(
                "peer-failed",
                request=message.request_id.decode("latin-1"),
                peer=member.node,
                sent=error.sent,
                error=str(error),
            )
            return Answer(
                refusal.status,
                [],
                b"",
                outcome,
                refusal.reason,
                sent_to_server=error.sent,
                server_crashed=error.sent,
            )
        except TimeoutError:
            return Answer(
                504, [], b"", Outcome.UNKNOWN, Reason.DEADLINE, sent_to_server=True
            )
        finally:
            success = assess_server(answer) if peer_failed is None else False
            self._balancer.record_end(
                member,
                success,
                answer.load if answer is not None else None,
                ran_since,
                answer is not None and answer.limited,
            )

    async def _execute_locally(self, message: Execute, remaining_s: float) -> Answer:
        async with asyncio.timeout(remaining_s):
            return await self._execute_request(message)

    async def _execute_on_peer(
        self, call: OutboundCall, member: Member, remaining_s: float
    ) -> Answer:
        link = self._links.get(member.peer_address)
        call_id, future = link.start_call(call.message)
        try:
            async with asyncio.timeout(remaining_s):
                answer = await future
        except BaseException:
            link.cancel_call(call_id)
            raise
        if not isinstance(answer, Answer):
            raise PeerLost(f"{member.node} replied with an unexpected message type")
        return answer
