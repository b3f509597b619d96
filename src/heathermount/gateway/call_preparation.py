"""Preparation of calls: route, authentication, class and deadline of a request."""

from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Final

from heathermount.admission import FairCohortScaler
from heathermount.clocks import Clock
from heathermount.errors import Refusal
from heathermount.gateway.configuration_document import (
    GatewayPolicy,
    OrganisationEntry,
    RouteEntry,
    choose_target,
)
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.dialect import Dialect
from heathermount.gateway.graceful_stop import GracefulStop
from heathermount.gateway.http_server import HOP_BY_HOP_HEADERS, HttpRequest
from heathermount.gateway.messages import Execute
from heathermount.gateway.refusals import make_refusal
from heathermount.gateway.retry_policy import OutboundCall
from heathermount.gateway.run_context import RunContext
from heathermount.routing.resends import compute_fingerprint
from heathermount.values import COHORT_COUNT, Outcome, Reason

__all__ = ["CallPreparer"]

# Time reserved for the response to reach the client before its deadline.
CLIENT_DEADLINE_MARGIN_S: Final = 0.03


class CallPreparer:
    """Converts requests of clients and the local server to calls, or refuses them."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_dropped_headers",
        "_fair_cohorts",
        "_find_parent",
        "_graceful_stop",
        "_random",
        "_service",
        "_tracker",
    )

    def __init__(
        self,
        service: str,
        dialect: Dialect,
        tracker: ConfigurationTracker,
        find_parent: Callable[[bytes], RunContext | None],
        graceful_stop: GracefulStop,
        clock: Clock,
        random: Random,
    ) -> None:
        self._service = service.encode()
        self._dialect = dialect
        self._tracker = tracker
        # Looks up the request running at the local server that made a nested call.
        self._find_parent = find_parent
        self._graceful_stop = graceful_stop
        self._fair_cohorts = FairCohortScaler(clock)
        self._clock = clock
        self._random = random
        self._dropped_headers = HOP_BY_HOP_HEADERS | {
            dialect.deadline,
            dialect.key,
            dialect.organisation,
            dialect.caller_service,
            dialect.expected_server,
        }

    def prepare(self, request: HttpRequest) -> OutboundCall:
        """Match, authenticate and convert a request; raise Refusal if it is invalid."""
        now = self._clock.monotonic()
        policy = self._tracker.policy
        if policy is None:
            raise make_refusal(Reason.STARTING, Outcome.NOT_RUN)
        dialect = self._dialect
        host = request_id = deadline_header = b""
        keys = []
        headers = []
        for header in request.headers:
            name, value = header
            if name == b"host":
                host = value
            elif name == dialect.request_id:
                request_id = value
            elif name == dialect.deadline:
                deadline_header = value
            elif name == dialect.key:
                keys.append(value)
            if name not in self._dropped_headers:
                headers.append(header)
        headers.append((dialect.caller_service, self._service))
        parent = self._find_parent(request_id)
        if parent is None and not self._graceful_stop.takes_requests:
            raise make_refusal(Reason.DRAINING, Outcome.NOT_RUN)
        route = self._match_route(policy, host, request.target)
        organisation, digest = self._authenticate(policy, route, keys)
        client_timeout_s = (
            dialect.parse_deadline(deadline_header) if deadline_header else None
        )
        if client_timeout_s is None:
            client_timeout_s = route.timeout_s
        deadline = self._graceful_stop.limit_deadline(
            now + min(route.timeout_s, client_timeout_s - CLIENT_DEADLINE_MARGIN_S)
        )
        if organisation is not None:
            # Only calls without a key are charged to the request that made them.
            parent = None
        if parent is not None:
            # A nested call inherits its parent's admission class, so that both are
            # admitted or shed together.
            account = parent.message.organisation or parent.message.account
            importance = parent.message.importance
            cohort = parent.message.cohort
        else:
            account = organisation.name if organisation is not None else ""
            importance = policy.classify(route, organisation)
            cohort = self._fair_cohorts.scale(
                account, 1, importance, hash_cohort(request_id)
            )
        message = Execute(
            request_id=request_id,
            service=choose_target(route, self._random),
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            organisation=organisation.name if organisation is not None else "",
            key_digest=digest,
            account=account,
            importance=importance,
            cohort=cohort,
            deadline_s=0.0,
            idempotent=route.idempotent,
            configuration_version=policy.version,
            fingerprint=compute_fingerprint(
                account,
                request.method.decode(),
                request.target.decode("latin-1"),
                request.body,
            ),
        )
        return OutboundCall(route, organisation, message, deadline, parent)

    def _match_route(
        self, policy: GatewayPolicy, host: bytes, target: bytes
    ) -> RouteEntry:
        name = host.decode("latin-1").partition(":")[0].lower()
        path = target.decode("latin-1").partition("?")[0]
        route = policy.match_route(name, path)
        if route is None:
            raise self._make_final_refusal(Reason.ROUTE_UNKNOWN)
        return route

    def _authenticate(
        self, policy: GatewayPolicy, route: RouteEntry, keys: list[bytes]
    ) -> tuple[OrganisationEntry | None, bytes]:
        if route.public or not policy.requires_keys:
            return None, b""
        if not self._tracker.is_fresh():
            raise make_refusal(Reason.CONFIGURATION_STALE, Outcome.NOT_RUN)
        if len(keys) > 1:
            raise make_refusal(Reason.MALFORMED, Outcome.NOT_RUN)
        if not keys:
            raise make_refusal(Reason.KEY_MISSING, Outcome.NOT_RUN)
        owner = policy.authenticate(keys[0])
        if owner is None:
            raise self._make_final_refusal(Reason.KEY_UNKNOWN)
        return owner

    def _make_final_refusal(self, reason: Reason) -> Refusal:
        """Return a refusal that the client takes as final.

        A route or key may have been added unless the configuration is current; the
        client is then told to come back.
        """
        if not self._tracker.is_current():
            reason = Reason.CONFIGURATION_STALE
        return make_refusal(reason, Outcome.NOT_RUN)


def hash_cohort(request_id: bytes) -> int:
    """Return a request's shedding cohort, derived from its ID."""
    return blake2b(request_id, digest_size=1).digest()[0] % COHORT_COUNT
