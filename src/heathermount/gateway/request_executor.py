"""Executing node: admission control and requests to the local backend server."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from absl import logging

from heathermount.admission import (
    AdmissionController,
    AdmissionRequest,
    DeadlinePassed,
    Draining,
    Permit,
    RunResult,
    Shed,
)
from heathermount.clocks import Clock
from heathermount.config.settings import PolicySettings
from heathermount.errors import Refusal
from heathermount.events import EventLog
from heathermount.gateway.announcements import Announcement
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.departures import Departures
from heathermount.gateway.dialect import Dialect
from heathermount.gateway.graceful_stop import GracefulStop
from heathermount.gateway.http_client import (
    ResponseIncomplete,
    ServerConnectionPool,
    ServerResponse,
    ServerUnreachable,
)
from heathermount.gateway.http_server import find_header
from heathermount.gateway.key_checks import recheck_key
from heathermount.gateway.lifecycle import ServerLifecycle
from heathermount.gateway.messages import Answer, Execute
from heathermount.gateway.metrics import GatewayMetrics
from heathermount.gateway.refusals import (
    incomplete_response_to_answer,
    make_refusal,
    refusal_to_answer,
)
from heathermount.gateway.run_context import RunContext, run_shielded
from heathermount.gateway.server_requests import encode_request
from heathermount.gateway.stated_limit import StatedLimit
from heathermount.invariants import Invariants
from heathermount.routing.quarantine import Quarantine
from heathermount.values import Load, Outcome, Reason, ServiceThreshold

__all__ = ["RequestExecutor"]

# The server responds by the deadline that it is given. This is the extra time
# for its response to arrive.
RESPONSE_GRACE_S: Final = 0.1

# Connections left below the server's limit for health probes and for clients
# that bypass the node.
RESERVED_CONNECTIONS: Final = 8

# Requests queued when the server starts to leave are still sent during this
# fraction of the drain time. The rest covers their transfer to the server.
DRAIN_SEND_RATIO: Final = 0.5

# A server that sheds while fewer of its slots are busy is faulty, not overloaded.
SERVER_OVERLOAD_SLOT_RATIO: Final = 0.8

# Misdirected Request: the server at the address is not the expected one, and it
# has not run the request.
MISDIRECTED_STATUS: Final = 421


class RequestExecutor:
    """Admits requests and runs them at the local backend server, or refuses them."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_drain_s",
        "_events",
        "_first_start",
        "_graceful_stop",
        "_invariants",
        "_lifecycle",
        "_log",
        "_metrics",
        "_on_serving_changed",
        "_pool",
        "_quarantine",
        "_random",
        "_service",
        "_settings",
        "_stated_limit",
        "_tracker",
        "active_requests",
        "admission",
        "run_contexts",
    )

    def __init__(
        self,
        service: str,
        dialect: Dialect,
        tracker: ConfigurationTracker,
        clock: Clock,
        random: Random,
        events: EventLog,
        invariants: Invariants,
        log: DecisionLog,
        settings: PolicySettings,
        drain_s: float,
        quarantine: Quarantine,
        departures: Departures,
        graceful_stop: GracefulStop,
        first_start: bool,
        metrics: GatewayMetrics,
        on_serving_changed: Callable[[], None],
    ) -> None:
        self._service = service
        self._dialect = dialect
        self._tracker = tracker
        self._clock = clock
        self._random = random
        self._events = events
        self._invariants = invariants
        self._log = log
        self._settings = settings
        # Time after its departure from which a server must get no more requests.
        self._drain_s = drain_s
        self._quarantine = quarantine
        self._graceful_stop = graceful_stop
        # Whether the whole fleet starts for the first time.
        self._first_start = first_start
        self._metrics = metrics
        self._on_serving_changed = on_serving_changed
        self._lifecycle = ServerLifecycle(clock, departures, log)
        self._stated_limit = StatedLimit(dialect, log)
        self._pool: ServerConnectionPool | None = None
        self.admission: AdmissionController | None = None
        # Requests queued or running here whose callers are still waiting.
        self.active_requests = 0
        # Running requests by request ID.
        self.run_contexts: dict[bytes, RunContext] = {}

    @property
    def announcement(self) -> Announcement | None:
        """Latest announcement of the backend server, if any."""
        return self._lifecycle.announcement

    @property
    def serving(self) -> bool:
        """Whether requests may be sent to the backend server."""
        return self._lifecycle.serving

    @property
    def busy(self) -> bool:
        """Whether any request is queued or running here."""
        return bool(self.active_requests or self.run_contexts)

    def handle_heartbeat(self, announcement: Announcement) -> None:
        """Handle a heartbeat of the backend server; older ones are ignored."""
        was_serving, known = self.serving, self.announcement
        starts_serving = self._lifecycle.handle_heartbeat(announcement)
        current = self.announcement
        if known is None or current is None or not current.has_same_start(known):
            # An earlier process beside this server may have known of a limit.
            awaits_answer = known is None and not self._first_start
            self._stated_limit = StatedLimit(self._dialect, self._log, awaits_answer)
        if starts_serving:
            self._start_serving(announcement)
        else:
            self._notify_if_changed(was_serving)

    def handle_departure(self, server_id: str) -> None:
        """Take a backend server out of service after it has left."""
        was_serving = self.serving
        self._lifecycle.handle_departure(server_id)
        self._notify_if_changed(was_serving)

    def handle_departures_loaded(self) -> None:
        """Handle that the departures recorded by earlier processes are loaded."""
        was_serving, announcement = self.serving, self.announcement
        if self._lifecycle.handle_departures_loaded():
            assert announcement is not None
            self._start_serving(announcement)
        else:
            self._notify_if_changed(was_serving)

    def _notify_if_changed(self, was_serving: bool) -> None:
        if self.serving != was_serving:
            self._on_serving_changed()

    def _start_serving(self, announcement: Announcement) -> None:
        if self._pool is not None:
            self._pool.close()
        self._pool = ServerConnectionPool(
            announcement.address,
            self._dialect.request_id,
            self._compute_max_connections(),
        )
        self.admission = AdmissionController.from_config(
            self._settings,
            self._clock,
            self._random,
            announcement.usable_slots,
            self._events,
            self._invariants,
            self._stated_limit.rate_limit,
        )
        logging.info(
            "event=server-announced server=%s born_ms=%d sequence=%d slots=%d "
            "cold_s=%.1f",
            announcement.server_id,
            announcement.born_ms,
            announcement.sequence,
            announcement.slots,
            announcement.cold_start_s,
        )
        self._on_serving_changed()

    def _compute_max_connections(self) -> int:
        policy = self._tracker.policy
        service = policy.get_service(self._service) if policy is not None else None
        limit = service.connections if service is not None else 0
        slots = self.announcement.slots if self.announcement is not None else 1
        return max(slots, limit - RESERVED_CONNECTIONS)

    @property
    def requests_sent(self) -> int:
        """Number of requests sent to the current start of the backend server."""
        return self._stated_limit.requests_sent

    def load(self) -> Load | None:
        return self.admission.load() if self.admission is not None else None

    async def execute(self, message: Execute) -> Answer:
        """Run or refuse a request; the answer carries load and shedding thresholds."""
        deadline = self._graceful_stop.limit_deadline(
            self._clock.monotonic() + message.deadline_s
        )
        self.active_requests += 1
        try:
            answer = await self._admit_and_run(message, deadline)
        except Refusal as refusal:
            if isinstance(refusal, (Shed, DeadlinePassed, Draining)):
                refusal = make_refusal(
                    refusal.reason, refusal.outcome, refusal.retry_after_s
                )
            self._log.record(
                "execution-refused",
                request=message.request_id.decode("latin-1"),
                reason=refusal.reason,
                active=self.active_requests,
                importance=message.importance,
            )
            answer = refusal_to_answer(refusal)
        finally:
            self.active_requests -= 1
        self._metrics.count("executions", answer.reason or "served")
        if self.admission is not None:
            answer.load = self.admission.load()
            answer.thresholds.append(
                ServiceThreshold(self._service, self.admission.threshold())
            )
        return answer

    async def _admit_and_run(self, message: Execute, deadline: float) -> Answer:
        lifecycle = self._lifecycle
        if lifecycle.leaving or not self._graceful_stop.takes_requests:
            raise make_refusal(Reason.DRAINING, Outcome.NOT_RUN)
        admission = self.admission
        usable = lifecycle.serving and not lifecycle.unresponsive
        if admission is None or message.service != self._service or not usable:
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN)
        admission_request = AdmissionRequest(
            message.request_id.decode("latin-1"),
            message.organisation or message.account,
            1,
            message.importance,
            message.cohort,
            deadline,
            may_wait=message.may_wait,
        )
        queued_at = self._clock.monotonic()
        permit = await admission.admit(admission_request)
        self._metrics.record("queue_wait", self._clock.monotonic() - queued_at)
        run = self._run_admitted(message, deadline, admission, permit)
        if message.idempotent:
            return await run
        # A run that is not idempotent continues after its client disconnects:
        # cancelling it would leave its effect unknown.
        return await run_shielded(run)

    async def _run_admitted(
        self,
        message: Execute,
        deadline: float,
        admission: AdmissionController,
        permit: Permit,
    ) -> Answer:
        started_at = self._clock.monotonic()
        result = RunResult.CANCELLED
        context = RunContext(message, permit)
        try:
            self.run_contexts[message.request_id] = context
            answer, result = await self._run(message, deadline)
            answer.thresholds = list(context.thresholds.values())
            answer.nested_calls = context.nested_calls
            answer.nested_call_failed = context.nested_call_failed
            return answer
        finally:
            self.run_contexts.pop(message.request_id, None)
            self._metrics.record("server", self._clock.monotonic() - started_at)
            admission.release(permit, result)

    def _check_before_send(self, message: Execute) -> None:
        """Repeat checks whose result may have changed while the request waited."""
        lifecycle = self._lifecycle
        if lifecycle.leaving:
            since_departure_s = lifecycle.time_since_departure_s()
            if since_departure_s > DRAIN_SEND_RATIO * self._drain_s:
                raise make_refusal(Reason.DRAINING, Outcome.NOT_RUN)
            self._log.record(
                "run-after-departure",
                request=message.request_id.decode("latin-1"),
                left_s=since_departure_s,
            )
        if self._quarantine.is_blocked(message.fingerprint):
            raise make_refusal(Reason.QUARANTINED, Outcome.NOT_RUN)
        recheck_key(self._tracker, message)

    async def _run(self, message: Execute, deadline: float) -> tuple[Answer, RunResult]:
        pool, announcement = self._pool, self.announcement
        assert pool is not None and announcement is not None
        remaining_s = deadline - self._clock.monotonic()
        is_head = message.method == b"HEAD"
        sent = False

        def build_request() -> bytes:
            nonlocal sent
            self._check_before_send(message)
            time_left_s = deadline - self._clock.monotonic()
            if time_left_s <= 0.0:
                raise make_refusal(Reason.DEADLINE, Outcome.NOT_RUN)
            sent = True
            self._stated_limit.requests_sent += 1
            return encode_request(
                self._dialect, message, announcement.server_id, time_left_s
            )

        try:
            async with asyncio.timeout(remaining_s + RESPONSE_GRACE_S):
                response = await pool.exchange_lazily(
                    build_request, message.request_id, is_head
                )
        except TimeoutError:
            outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
            refusal = make_refusal(Reason.DEADLINE, outcome)
            return refusal_to_answer(refusal, sent=sent), RunResult.FAILED
        except ServerUnreachable as error:
            self._log.record("server-unreachable", error=str(error))
            refusal = make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN)
            return refusal_to_answer(refusal), RunResult.FAILED
        except ResponseIncomplete as error:
            if not error.response_started and not await pool.probe():
                self._record_suspected_crash(message, announcement)
            self._log.record(
                "answer-broken",
                request=message.request_id.decode("latin-1"),
                answering=error.response_started,
                error=str(error),
            )
            answer = incomplete_response_to_answer(error.response_started)
            return answer, RunResult.CRASHED
        self._lifecycle.record_activity()
        answer, result = self._interpret_response(message, response, announcement)
        if answer.outcome is Outcome.RAN:
            # A request that was rejected may still crash the server that runs it.
            self._quarantine.record_completion(message.fingerprint)
        if response.status != MISDIRECTED_STATUS:
            self._apply_statements(response, announcement, answer)
        return answer, result

    def _record_suspected_crash(
        self, message: Execute, announcement: Announcement
    ) -> None:
        """Record a request as the suspected cause of a backend server crash."""
        server = f"{announcement.server_id}/{announcement.born_ms}"
        suspicions = self._quarantine.record_loss(message.fingerprint, server)
        self._log.record(
            "crash-suspected",
            request=message.request_id.decode("latin-1"),
            server=server,
            suspicions=suspicions,
        )

    def _interpret_response(
        self, message: Execute, response: ServerResponse, announcement: Announcement
    ) -> tuple[Answer, RunResult]:
        dialect = self._dialect
        load = dialect.parse_load(find_header(response.headers, dialect.server_load))
        if load is not None and self.admission is not None:
            self.admission.update_server_queue(load.queued)
        if response.status == MISDIRECTED_STATUS:
            # Another server uses the address now.
            was_serving = self.serving
            self._lifecycle.handle_replacement(announcement)
            self._notify_if_changed(was_serving)
            refusal = make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN)
            return refusal_to_answer(refusal, sent=True), RunResult.FAILED
        if find_header(response.headers, dialect.not_executed):
            refusal = make_refusal(Reason.SHED, Outcome.NOT_RUN)
            return refusal_to_answer(refusal, sent=True), self._classify_server_shed()
        is_stamped = bool(find_header(response.headers, dialect.response_stamp))
        if 200 <= response.status < 300 and not is_stamped:
            request = message.request_id.decode("latin-1")
            self._log.record("answer-unsigned", request=request)
            refusal = make_refusal(Reason.ANSWER_BROKEN, Outcome.UNKNOWN)
            return refusal_to_answer(refusal, sent=True), RunResult.FAILED
        result = RunResult.FAILED if response.status >= 500 else RunResult.OK
        return (
            Answer(
                response.status,
                response.headers,
                response.body,
                Outcome.RAN,
                sent_to_server=True,
            ),
            result,
        )

    def _apply_statements(
        self, response: ServerResponse, announcement: Announcement, answer: Answer
    ) -> None:
        """Apply what the server states about itself in any response.

        The answer tells the entry node of a departure, which has to remember it
        although this node may end before the departure is saved.
        """
        known = self.announcement
        if known is None or not known.has_same_start(announcement):
            return
        assert self.admission is not None
        self._stated_limit.apply(response.headers, announcement, self.admission)
        if find_header(response.headers, self._dialect.server_leaving):
            was_serving = self.serving
            self._lifecycle.handle_stated_departure(announcement)
            self._notify_if_changed(was_serving)
            answer.departed_server = announcement.server_id
            answer.departed_born_ms = announcement.born_ms

    def _classify_server_shed(self) -> RunResult:
        """Return whether a request shed by the server counts as overload or failure.

        All requests of the server come through this node, so a server that sheds
        while slots are free is faulty. A lower concurrency limit would not help.
        """
        admission, announcement = self.admission, self.announcement
        assert admission is not None and announcement is not None
        if admission.load().running >= SERVER_OVERLOAD_SLOT_RATIO * announcement.slots:
            return RunResult.SHED_BY_SERVER
        return RunResult.FAILED
