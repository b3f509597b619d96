"""At-most-once execution of calls: claims the key, dispatches, then settles."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from heathermount.claims import ClaimClient
from heathermount.entry.calls import Call
from heathermount.entry.refusals import make_refusal
from heathermount.errors import Refusal
from heathermount.node.metrics import Metrics
from heathermount.values import Outcome, Reason
from heathermount.wire.messages import Answer

__all__ = ["ClaimedCallRunner"]


class ClaimedExecution:
    """Result of a claimed call, which continues if its caller disconnects."""

    __slots__ = ("answer", "done_event", "refusal")

    def __init__(self) -> None:
        self.done_event = anyio.Event()
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None


class ClaimedCallRunner:
    """Runs calls that are not repeatable at most once per idempotency key."""

    __slots__ = ("_claims", "_dispatch", "_metrics", "_tasks")

    def __init__(
        self,
        claims: ClaimClient,
        dispatch: Callable[[Call], Awaitable[Answer]],
        tasks: TaskGroup,
        metrics: Metrics,
    ) -> None:
        self._claims = claims
        self._dispatch = dispatch
        self._tasks = tasks
        self._metrics = metrics

    async def run(self, call: Call) -> Answer:
        """Return the answer of the only execution, which may be an earlier one.

        Raises Refusal if there is no answer.
        """
        call_id = secrets.token_bytes(16)
        request_digest = hashlib.sha256(
            f"{call.method} {call.target}\n".encode() + call.body
        ).digest()[:16]
        reply = await self._claims.claim(
            call.service,
            call.origin.organisation,
            call.idempotency_key,
            call_id,
            request_digest,
            call.origin.deadline,
        )
        self._metrics.count_claim(reply.state)
        if reply.state != "granted":
            return Answer(reply.status, reply.headers, reply.body, Outcome.RAN)
        # Runs in its own task, so that it is not cancelled when the caller
        # disconnects. The claim owner holds the answer for the caller's retry.
        execution = ClaimedExecution()
        self._tasks.start_soon(self._execute, call, call_id, execution)
        await execution.done_event.wait()
        if execution.refusal is not None:
            raise execution.refusal
        if execution.answer is None:
            raise make_refusal(Reason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        return execution.answer

    async def _execute(
        self, call: Call, call_id: bytes, execution: ClaimedExecution
    ) -> None:
        outcome = Outcome.UNKNOWN
        try:
            execution.answer = await self._dispatch(call)
            outcome = Outcome.RAN
        except Refusal as refusal:
            execution.refusal = refusal
            outcome = refusal.outcome
        finally:
            execution.done_event.set()
        answer = execution.answer
        if outcome is Outcome.NOT_RUN:
            await self._claims.release(call_id)
        elif answer is None:
            await self._claims.settle(call_id, outcome)
        else:
            await self._claims.settle(
                call_id, outcome, answer.status, answer.headers, answer.body
            )
