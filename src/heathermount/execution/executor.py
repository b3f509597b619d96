"""Runs requests at the local backend server."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from heathermount.admission import (
    AdmissionController,
    AdmissionRequest,
    Permit,
    RunResult,
    Shed,
)
from heathermount.entry.calls import CallContext
from heathermount.entry.refusals import make_refusal, refusal_to_answer
from heathermount.entry.roster_updater import to_member
from heathermount.errors import Refusal
from heathermount.execution.announcements import Announcement
from heathermount.execution.server_client import (
    AnswerTooLarge,
    ServerClient,
    ServerConnectionLost,
    ServerResponse,
    ServerUnreachable,
)
from heathermount.membership import RosterRecord
from heathermount.node.components import NodeComponents
from heathermount.routing import Member, choose_trial_member
from heathermount.values import (
    INTERNAL_ORGANISATION,
    Load,
    Outcome,
    Reason,
    ServiceThreshold,
)
from heathermount.wire.messages import Answer, Execute, QuarantineNotice, Suspicion

__all__ = ["Executor"]

# A response of the backend server with status 503 and this header proves that the
# request did not run.
NOT_RUN_HEADER: Final = b"heathermount-not-run"
# Allowed difference between the clocks of two instances.
MAX_CLOCK_SKEW_S: Final = 2.0
# Latest start of a request after the start of a drain. Requests that were queued at
# the start of the drain may still run until then.
MAX_START_AFTER_DRAIN_S: Final = 3.0
API_KEY_HEADERS: Final = frozenset({b"authorization", b"x-api-key"})


class Executor:
    """Admits requests to the backend server and runs them."""

    __slots__ = (
        "_clock",
        "_components",
        "_draining",
        "_draining_since",
        "_events",
        "_get_roster",
        "_run_at_member",
        "_server_client",
        "_server_start_name",
        "_settings",
        "_share_notice",
        "_tracker",
        "admission",
        "announcement",
        "contexts",
        "quarantine",
        "server_reachable",
        "suspicions_synchronised",
    )

    def __init__(
        self,
        components: NodeComponents,
        share_notice: Callable[[QuarantineNotice], Awaitable[None]],
        run_at_member: Callable[[Member, Execute], Awaitable[Answer]],
        get_roster: Callable[[], RosterRecord],
    ) -> None:
        self._components = components
        self._settings = components.settings
        self._tracker = components.tracker
        self._clock = components.clock
        self._events = components.events
        self._share_notice = share_notice
        self._run_at_member = run_at_member
        self._get_roster = get_roster
        self._server_client: ServerClient | None = None
        self.admission: AdmissionController | None = None
        self.announcement: Announcement | None = None
        # Identifies this start of the backend server, so that a server that
        # restarts after a crash and crashes again counts as two losses.
        self._server_start_name = ""
        self.contexts = components.call_contexts
        self._draining = False
        self._draining_since = 0.0
        self.quarantine = components.quarantine
        # False until the group has shared its crash suspicions with this node, or
        # the wait for them has timed out.
        self.suspicions_synchronised = False
        # False after a refused or lost connection, until the server accepts
        # connections again.
        self.server_reachable = True

    @property
    def draining(self) -> bool:
        """Whether the backend server is draining, so that new requests are refused."""
        return self._draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        if draining and not self._draining:
            self._draining_since = self._clock.monotonic()
        self._draining = draining

    def load(self) -> Load:
        return self.admission.load() if self.admission is not None else Load()

    def refresh_threshold(self) -> None:
        """Update the admission threshold, also while no requests arrive."""
        if self.admission is not None:
            self.admission.threshold()

    def accept_announcement(self, announcement: Announcement) -> bool:
        """Take the backend server into service.

        Returns false if the announcement equals the current one.
        """
        if announcement == self.announcement:
            return False
        self.announcement = announcement
        self._server_client = ServerClient(
            announcement.address,
            announcement.connections,
            self._settings.limits.max_body_bytes,
            self._clock,
        )
        self.admission = AdmissionController.from_config(
            self._settings.policy,
            self._clock,
            self._components.rng,
            announcement.slots,
            self._events,
            self._components.invariants,
        )
        self.admission.resize(announcement.slots, announcement.cold_start_s)
        self._mark_reachable()
        self._events.record(
            "server-announced",
            address=announcement.address,
            slots=announcement.slots,
            connections=announcement.connections,
        )
        return True

    def withdraw(self) -> None:
        """Take the backend server out of service."""
        if self.announcement is not None:
            self._events.record("server-withdrawn", address=self.announcement.address)
        self.announcement = None

    @property
    def serving(self) -> bool:
        """Whether the backend server accepts new requests."""
        registered = self.announcement is not None and self.suspicions_synchronised
        return registered and self.server_reachable and not self.draining

    async def check_server(self) -> None:
        """Probe the backend server and record a change of its reachability."""
        if self._server_client is None or self.announcement is None:
            return
        reachable = await self._server_client.probe()
        if reachable == self.server_reachable:
            return
        if reachable:
            self._mark_reachable()
        self.server_reachable = reachable
        self._events.record("server-reachable", reachable=reachable)

    def _mark_reachable(self) -> None:
        """Mark the server reachable and generate a name for this start of it."""
        self.server_reachable = True
        start_id = secrets.token_hex(4)
        self._server_start_name = f"{self._settings.node.name}/{start_id}"

    async def execute(self, message: Execute) -> Answer:
        """Run or refuse a request; the answer carries load and thresholds."""
        deadline = self._clock.monotonic() + message.deadline_s
        context = CallContext(message, deadline)
        try:
            answer = await self._admit_and_run(message, context)
        except Refusal as refusal:
            answer = refusal_to_answer(refusal)
        self._add_node_state(answer, message, context)
        return answer

    def _add_node_state(
        self, answer: Answer, message: Execute, context: CallContext
    ) -> None:
        """Add spent attempts, load, thresholds and revisions to an answer."""
        invariants = self._components.invariants
        answer.spent = context.attempt_budget.spent
        invariants.check(
            0 <= answer.spent <= message.allowance,
            "attempts-within-allowance",
            root=message.root,
        )
        invariants.check(
            answer.outcome != Outcome.NOT_RUN or not context.may_have_run,
            "not-run-is-true",
            root=message.root,
            reason=answer.reason,
        )
        answer.retried = context.retried_downstream
        answer.revision = self._tracker.revision
        answer.roster_revision = self._get_roster().revision
        answer.thresholds = list(context.thresholds.values())
        if self.admission is not None:
            answer.load = self.admission.load()
            answer.thresholds.append(
                ServiceThreshold(message.service, self.admission.threshold())
            )

    async def _admit_and_run(self, message: Execute, context: CallContext) -> Answer:
        self._check_api_key(message)
        self._check_age(message)
        if self.draining:
            raise make_refusal(Reason.DRAINING, Outcome.NOT_RUN)
        if self._server_client is None or self.admission is None or not self.serving:
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN)
        if self.quarantine.is_blocked(message.fingerprint):
            raise make_refusal(Reason.QUARANTINED, Outcome.NOT_RUN)
        if self.quarantine.count_suspicions(message.fingerprint):
            trial_member = self._find_trial_member(message.fingerprint)
            if (
                trial_member is not None
                and trial_member.node != self._settings.node.name
            ):
                message.deadline_s = context.deadline - self._clock.monotonic()
                return await self._run_at_member(trial_member, message)
        admission_request = AdmissionRequest(
            root=message.root,
            organisation=message.organisation,
            weight=message.weight,
            importance=message.importance,
            cohort=message.cohort,
            deadline=context.deadline,
            resend=message.resend,
        )
        admission = self.admission
        try:
            permit = await admission.admit(admission_request)
        except Shed:
            self._components.metrics.count_shed(message.importance)
            raise
        # Checked again, because a suspicion may have arrived while the request was
        # queued.
        try:
            await self._wait_for_quarantine(message, context)
        except BaseException:
            admission.release(permit, RunResult.CANCELLED)
            raise
        try:
            answer = await self._run(message, context, admission, permit)
        finally:
            self.quarantine.finish(message.fingerprint)
        if answer.outcome == Outcome.RAN:
            await self._clear_suspicion(message.fingerprint)
        return answer

    async def _wait_for_quarantine(
        self, message: Execute, context: CallContext
    ) -> None:
        """Wait until the quarantine lets the request start.

        Raises Refusal if the fingerprint is blocked or the deadline passes.
        """
        may_start = False
        with anyio.move_on_after(context.deadline - self._clock.monotonic()):
            may_start = await self.quarantine.start_when_alone(message.fingerprint)
        if may_start:
            return
        if self.quarantine.is_blocked(message.fingerprint):
            raise make_refusal(Reason.QUARANTINED, Outcome.NOT_RUN)
        raise make_refusal(Reason.DEADLINE, Outcome.NOT_RUN)

    def _find_trial_member(self, fingerprint: bytes) -> Member | None:
        members = [to_member(record) for record in self._get_roster().members]
        return choose_trial_member(fingerprint, members)

    async def _clear_suspicion(self, fingerprint: bytes) -> None:
        """Clear the suspicion of a completed request, here and in the group."""
        if not self.quarantine.record_completion(fingerprint):
            return
        suspicion = Suspicion(fingerprint, self._server_start_name, 0.0)
        await self._share_notice(QuarantineNotice(suspicion, cleared=True))

    def _check_api_key(self, message: Execute) -> None:
        """Refuse a withdrawn API key.

        The configuration of this node may be newer than that of the entry node.
        """
        policy = self._tracker.policy
        if not message.key_id or policy is None or policy.revision < message.revision:
            return
        if policy.find_key_organisation(message.key_id) == message.organisation:
            return
        raise make_refusal(Reason.KEY_WITHDRAWN, Outcome.NOT_RUN)

    def _check_age(self, message: Execute) -> None:
        """Refuse a request that was delayed in a paused process or in the network.

        Its claim may have expired, and a later request may have claimed its key.
        Repeatable requests have no claim.
        """
        if message.repeatable:
            return
        if self._clock.wall() - message.sent_at > message.deadline_s + MAX_CLOCK_SKEW_S:
            raise make_refusal(Reason.DEADLINE, Outcome.NOT_RUN)

    async def _run(
        self,
        message: Execute,
        context: CallContext,
        admission: AdmissionController,
        permit: Permit,
    ) -> Answer:
        if self._server_client is None:
            raise RuntimeError("a permit was granted without a backend server")
        self._check_run_invariants(message)
        context.permit = permit
        token = self.contexts.add(context)
        started_at = self._clock.monotonic()
        result = RunResult.CANCELLED
        response: ServerResponse | None = None
        context.may_have_run = True
        try:
            with anyio.move_on_after(context.deadline - self._clock.monotonic()):
                response = await self._server_client.call(
                    message.method,
                    message.target,
                    self._make_request_headers(message, token, context),
                    message.body,
                    message.repeatable,
                )
            if response is None:
                raise make_refusal(Reason.DEADLINE, Outcome.UNKNOWN)
            result = classify_response(response)
            if result is RunResult.SHED_BY_SERVER:
                context.may_have_run = False
                raise make_refusal(Reason.SHED, Outcome.NOT_RUN, retry_after_s=1.0)
            return Answer(
                response.status,
                response.headers,
                response.body,
                Outcome.RAN,
                server_time_s=self._clock.monotonic() - started_at,
            )
        except ServerUnreachable:
            result = RunResult.FAILED
            context.may_have_run = False
            self.server_reachable = False
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN) from None
        except ServerConnectionLost as error:
            if error.response_started and await self._server_client.probe():
                # The server still accepts connections, so it did not crash.
                result = RunResult.FAILED
                raise make_refusal(Reason.ANSWER_BROKEN, Outcome.UNKNOWN) from None
            result = RunResult.CRASHED
            self.server_reachable = False
            return await self._report_crash(message)
        except AnswerTooLarge:
            result = RunResult.OK
            raise make_refusal(Reason.ANSWER_TOO_LARGE, Outcome.RAN) from None
        finally:
            self.contexts.finish(token)
            context.permit = None
            admission.release(permit, result)

    def _check_run_invariants(self, message: Execute) -> None:
        """Check the invariants of every request that is sent to the backend server."""
        check = self._components.invariants.check
        draining_age_s = self._clock.monotonic() - self._draining_since
        check(
            not self.draining or draining_age_s < MAX_START_AFTER_DRAIN_S,
            "no-new-work-after-drain",
            root=message.root,
        )
        check(
            not self.quarantine.is_blocked(message.fingerprint),
            "quarantined-request-not-run",
            root=message.root,
        )
        check(
            not any(name in API_KEY_HEADERS for name, _ in message.headers),
            "no-key-at-backend-server",
            root=message.root,
        )
        check(
            not message.key_id or message.organisation != INTERNAL_ORGANISATION,
            "key-belongs-to-an-organisation",
            root=message.root,
        )

    async def _report_crash(self, message: Execute) -> Answer:
        """Share a crash suspicion with the group, then return the refusal.

        The group learns of the suspicion first, so that a retry by the caller cannot
        reach a member that does not know of it.
        """
        suspicions = self.quarantine.record_loss(
            message.fingerprint, self._server_start_name
        )
        self._events.record(
            "crash-suspected",
            root=message.root,
            organisation=message.organisation,
            route=message.route,
            suspicions=suspicions,
        )
        suspicion = Suspicion(message.fingerprint, self._server_start_name, 0.0)
        await self._share_notice(QuarantineNotice(suspicion))
        answer = refusal_to_answer(make_refusal(Reason.SERVER_FAILED, Outcome.UNKNOWN))
        answer.crashed = True
        return answer

    def _make_request_headers(
        self, message: Execute, token: str, context: CallContext
    ) -> list[tuple[bytes, bytes]]:
        remaining_s = max(0.0, context.deadline - self._clock.monotonic())
        return [
            *message.headers,
            (b"host", self.get_server_address()),
            (b"content-length", str(len(message.body)).encode()),
            (b"heathermount-context", token.encode()),
            (b"heathermount-deadline-ms", str(int(remaining_s * 1000)).encode()),
            (b"heathermount-organisation", message.organisation.encode()),
            (b"heathermount-request", message.root.encode()),
        ]

    def get_server_address(self) -> bytes:
        return (
            self._server_client.address.encode()
            if self._server_client is not None
            else b""
        )


def classify_response(response: ServerResponse) -> RunResult:
    """Return the result for admission of a complete response."""
    if response.status == 503 and any(
        name.lower() == NOT_RUN_HEADER for name, _ in response.headers
    ):
        return RunResult.SHED_BY_SERVER
    return RunResult.FAILED if response.status >= 500 else RunResult.OK
