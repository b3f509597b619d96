"""Runs requests against the backend server beside this node."""

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
from heathermount.entry.refusals import answer_of, make_refusal
from heathermount.entry.routes import to_member
from heathermount.errors import Refusal
from heathermount.execution.announcements import Announcement
from heathermount.execution.server import (
    AnswerTooLarge,
    ServerAnswer,
    ServerBroke,
    ServerClient,
    ServerUnreachable,
)
from heathermount.membership import RosterRecord
from heathermount.node.parts import Parts
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

# A backend server marks its own refusals with this header; with status 503
# they prove that the request did not run.
NOT_RUN_HEADER: Final = b"heathermount-not-run"
# Allowed difference between the clocks of two instances, in seconds.
MAX_SKEW_S: Final = 2.0
# A leaving backend server gets no new work after this long, in seconds; requests
# that were queued when the drain began may still run until then.
DRAIN_LIMIT_S: Final = 3.0
KEY_HEADERS: Final = frozenset({b"authorization", b"x-api-key"})


class Executor:
    """Admits requests to the backend server and runs them."""

    __slots__ = (
        "_clock",
        "_draining",
        "_draining_since",
        "_events",
        "_parts",
        "_roster",
        "_run_at",
        "_server",
        "_server_name",
        "_settings",
        "_share_notice",
        "_tracker",
        "admission",
        "announcement",
        "contexts",
        "quarantine",
        "reachable",
        "synchronised",
    )

    def __init__(
        self,
        parts: Parts,
        share_notice: Callable[[QuarantineNotice], Awaitable[None]],
        run_at: Callable[[Member, Execute], Awaitable[Answer]],
        roster: Callable[[], RosterRecord],
    ) -> None:
        self._parts = parts
        self._settings = parts.settings
        self._tracker = parts.tracker
        self._clock = parts.clock
        self._events = parts.events
        self._share_notice = share_notice
        self._run_at = run_at
        self._roster = roster
        self._server: ServerClient | None = None
        self.admission: AdmissionController | None = None
        self.announcement: Announcement | None = None
        # Names this start of the backend server: one that comes back after a
        # crash and is lost again counts twice.
        self._server_name = ""
        self.contexts = parts.contexts
        self._draining = False
        self._draining_since = 0.0
        self.quarantine = parts.quarantine
        # False until the group has told this node about crash suspicions.
        self.synchronised = False
        # False after a refused connection until the server is reached again.
        self.reachable = True

    @property
    def draining(self) -> bool:
        """Whether the backend server gets no new work."""
        return self._draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        if draining and not self._draining:
            self._draining_since = self._clock.monotonic()
        self._draining = draining

    def load(self) -> Load:
        return self.admission.load() if self.admission is not None else Load()

    def refresh_threshold(self) -> None:
        """Let the threshold rise while no request asks for it."""
        if self.admission is not None:
            self.admission.threshold()

    def announce(self, announcement: Announcement) -> bool:
        """Take the backend server into service; tell whether it was new."""
        if announcement == self.announcement:
            return False
        self.announcement = announcement
        self._server = ServerClient(
            announcement.address,
            announcement.connections,
            self._settings.limits.max_body_bytes,
            self._clock,
        )
        self.admission = AdmissionController.from_config(
            self._settings.policy,
            self._clock,
            self._parts.rng,
            announcement.slots,
            self._events,
            self._parts.invariants,
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
        known = self.announcement is not None and self.synchronised
        return known and self.reachable and not self.draining

    async def check_server(self) -> None:
        """Find out whether a backend server that refused connections is back."""
        if self._server is None or self.announcement is None:
            return
        reachable = await self._server.probe()
        if reachable == self.reachable:
            return
        if reachable:
            self._mark_reachable()
        self.reachable = reachable
        self._events.record("server-reachable", reachable=reachable)

    def _mark_reachable(self) -> None:
        self.reachable = True
        start = secrets.token_hex(4)
        self._server_name = f"{self._settings.node.name}/{start}"

    async def execute(self, message: Execute) -> Answer:
        """Run a request or refuse it; the answer carries load and thresholds."""
        deadline = self._clock.monotonic() + message.deadline_s
        context = CallContext(message, deadline)
        try:
            answer = await self._admit_and_run(message, context)
        except Refusal as refusal:
            answer = answer_of(refusal)
        self._describe(answer, message, context)
        return answer

    def _describe(self, answer: Answer, message: Execute, context: CallContext) -> None:
        invariants = self._parts.invariants
        answer.spent = context.attempt_budget.spent
        invariants.check(
            0 <= answer.spent <= message.allowance,
            "attempts-within-allowance",
            root=message.root,
        )
        invariants.check(
            answer.outcome != Outcome.NOT_RUN or not context.sent,
            "not-run-is-true",
            root=message.root,
            reason=answer.reason,
        )
        answer.retried = context.retried
        answer.revision = self._tracker.revision
        answer.roster_revision = self._roster().revision
        answer.thresholds = list(context.thresholds.values())
        if self.admission is not None:
            answer.load = self.admission.load()
            answer.thresholds.append(
                ServiceThreshold(message.service, self.admission.threshold())
            )

    async def _admit_and_run(self, message: Execute, context: CallContext) -> Answer:
        self._check_key(message)
        self._check_age(message)
        if self.draining:
            raise make_refusal(Reason.DRAINING, Outcome.NOT_RUN)
        if self._server is None or self.admission is None or not self.serving:
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN)
        if self.quarantine.is_blocked(message.fingerprint):
            raise make_refusal(Reason.QUARANTINED, Outcome.NOT_RUN)
        if self.quarantine.count_suspicions(message.fingerprint):
            trial = self._find_trial_member(message.fingerprint)
            if trial is not None and trial.node != self._settings.node.name:
                message.deadline_s = context.deadline - self._clock.monotonic()
                return await self._run_at(trial, message)
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
            self._parts.metrics.count_shed(message.importance)
            raise
        # A suspicion may have arrived while the request was queued.
        try:
            await self._enter_trial(message, context)
        except BaseException:
            admission.release(permit, RunResult.CANCELLED)
            raise
        try:
            answer = await self._run(message, context, admission, permit)
        finally:
            self.quarantine.finish(message.fingerprint)
        if answer.outcome == Outcome.RAN:
            await self._clear(message.fingerprint)
        return answer

    async def _enter_trial(self, message: Execute, context: CallContext) -> None:
        """Wait until the request may run; raise Refusal when it must not."""
        entered = False
        with anyio.move_on_after(context.deadline - self._clock.monotonic()):
            entered = await self.quarantine.start_when_alone(message.fingerprint)
        if entered:
            return
        if self.quarantine.is_blocked(message.fingerprint):
            raise make_refusal(Reason.QUARANTINED, Outcome.NOT_RUN)
        raise make_refusal(Reason.DEADLINE, Outcome.NOT_RUN)

    def _find_trial_member(self, fingerprint: bytes) -> Member | None:
        members = [to_member(record) for record in self._roster().members]
        return choose_trial_member(fingerprint, members)

    async def _clear(self, fingerprint: bytes) -> None:
        """Tell the group that a suspected request has completed."""
        if not self.quarantine.record_completion(fingerprint):
            return
        suspicion = Suspicion(fingerprint, self._server_name, 0.0)
        await self._share_notice(QuarantineNotice(suspicion, cleared=True))

    def _check_key(self, message: Execute) -> None:
        """Recheck the key: this node's configuration may be newer than the entry's."""
        policy = self._tracker.policy
        if not message.key_id or policy is None or policy.revision < message.revision:
            return
        if policy.find_key_organisation(message.key_id) == message.organisation:
            return
        raise make_refusal(Reason.KEY_WITHDRAWN, Outcome.NOT_RUN)

    def _check_age(self, message: Execute) -> None:
        """Refuse a request that waited in a paused process or in the network.

        Its claim may be forgotten by now, and its key may have been claimed
        by a later request.
        """
        if message.repeatable:
            return
        if self._clock.wall() - message.sent_at > message.deadline_s + MAX_SKEW_S:
            raise make_refusal(Reason.DEADLINE, Outcome.NOT_RUN)

    async def _run(
        self,
        message: Execute,
        context: CallContext,
        admission: AdmissionController,
        permit: Permit,
    ) -> Answer:
        if self._server is None:
            raise RuntimeError("a permit was given without a backend server")
        self._check_before_run(message)
        context.permit = permit
        token = self.contexts.add(context)
        started = self._clock.monotonic()
        result = RunResult.CANCELLED
        answer: ServerAnswer | None = None
        context.sent = True
        try:
            with anyio.move_on_after(context.deadline - self._clock.monotonic()):
                answer = await self._server.call(
                    message.method,
                    message.target,
                    self._request_headers(message, token, context),
                    message.body,
                    message.repeatable,
                )
            if answer is None:
                raise make_refusal(Reason.DEADLINE, Outcome.UNKNOWN)
            result = judge(answer)
            if result is RunResult.SHED_BY_SERVER:
                context.sent = False
                raise make_refusal(Reason.SHED, Outcome.NOT_RUN, retry_after_s=1.0)
            return Answer(
                answer.status,
                answer.headers,
                answer.body,
                Outcome.RAN,
                server_s=self._clock.monotonic() - started,
            )
        except ServerUnreachable:
            result = RunResult.FAILED
            context.sent = False
            self.reachable = False
            raise make_refusal(Reason.NO_SERVER, Outcome.NOT_RUN) from None
        except ServerBroke as broke:
            if broke.answering and await self._server.probe():
                # The server lives; it broke off its answer.
                result = RunResult.FAILED
                raise make_refusal(Reason.ANSWER_BROKEN, Outcome.UNKNOWN) from None
            result = RunResult.CRASHED
            self.reachable = False
            return await self._suspect(message)
        except AnswerTooLarge:
            result = RunResult.OK
            raise make_refusal(Reason.ANSWER_TOO_LARGE, Outcome.RAN) from None
        finally:
            self.contexts.finish(token)
            context.permit = None
            admission.release(permit, result)

    def _check_before_run(self, message: Execute) -> None:
        """Assert what must hold whenever a request reaches the backend server."""
        check = self._parts.invariants.check
        drained_s = self._clock.monotonic() - self._draining_since
        check(
            not self.draining or drained_s < DRAIN_LIMIT_S,
            "no-new-work-after-drain",
            root=message.root,
        )
        check(
            not self.quarantine.is_blocked(message.fingerprint),
            "quarantined-request-not-run",
            root=message.root,
        )
        check(
            not any(name in KEY_HEADERS for name, _ in message.headers),
            "no-key-at-backend-server",
            root=message.root,
        )
        check(
            not message.key_id or message.organisation != INTERNAL_ORGANISATION,
            "key-belongs-to-an-organisation",
            root=message.root,
        )

    async def _suspect(self, message: Execute) -> Answer:
        """Share the suspicion before anyone can send the request again."""
        suspicions = self.quarantine.record_loss(message.fingerprint, self._server_name)
        self._events.record(
            "crash-suspected",
            root=message.root,
            organisation=message.organisation,
            route=message.route,
            suspicions=suspicions,
        )
        suspicion = Suspicion(message.fingerprint, self._server_name, 0.0)
        await self._share_notice(QuarantineNotice(suspicion))
        answer = answer_of(make_refusal(Reason.SERVER_FAILED, Outcome.UNKNOWN))
        answer.crashed = True
        return answer

    def _request_headers(
        self, message: Execute, token: str, context: CallContext
    ) -> list[tuple[bytes, bytes]]:
        remaining_s = max(0.0, context.deadline - self._clock.monotonic())
        return [
            *message.headers,
            (b"host", self.announcement_address()),
            (b"content-length", str(len(message.body)).encode()),
            (b"heathermount-context", token.encode()),
            (b"heathermount-deadline-ms", str(int(remaining_s * 1000)).encode()),
            (b"heathermount-organisation", message.organisation.encode()),
            (b"heathermount-request", message.root.encode()),
        ]

    def announcement_address(self) -> bytes:
        return self._server.address.encode() if self._server is not None else b""


def judge(answer: ServerAnswer) -> RunResult:
    """Classify a whole answer of the backend server."""
    if answer.status == 503 and any(
        name.lower() == NOT_RUN_HEADER for name, _ in answer.headers
    ):
        return RunResult.SHED_BY_SERVER
    return RunResult.FAILED if answer.status >= 500 else RunResult.OK
