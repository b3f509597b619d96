"""Entry side of at-most-once execution: claims keys and settles them."""

from collections.abc import Awaitable, Callable
from typing import Final, Self

import anyio
from anyio.abc import TaskGroup

from heathermount.claims.keys import SLOTS, issued_at_of, make_claim_key, partition_of
from heathermount.claims.recent import RecentKeys
from heathermount.claims.table import MAX_ANSWER_BYTES
from heathermount.clocks import Clock
from heathermount.errors import HeathermountError, PeerError, Refusal
from heathermount.events import EventLog
from heathermount.ownership import OwnerDirectory, OwnerRecord
from heathermount.values import Headers, Outcome, Reason
from heathermount.wire.messages import (
    Claim,
    ClaimReply,
    ClaimUpdated,
    Message,
    Settle,
    UnclaimKey,
)

__all__ = ["VALIDITY_S", "AskOwner", "ClaimClient"]

# Sends a message to an owner and returns its answer; raises PeerError.
AskOwner = Callable[[OwnerRecord, Message, float], Awaitable[Message]]

# A reply that took longer may come from an owner that has lost its partition.
VALIDITY_S: Final = 1.0
ASK_TIMEOUT_S: Final = 0.5
FIRST_RETRY_S: Final = 0.02
MAX_RETRY_S: Final = 0.25
MAX_SETTLE_RETRY_S: Final = 5.0
# Responses kept for owners that cannot be reached, at most 64 KiB each.
MAX_PENDING_ANSWERS: Final = 64


class OpenClaim:
    """A key that a call of this node wants or holds."""

    __slots__ = ("call_id", "caller", "key", "partition", "request_digest", "sent")

    def __init__(
        self,
        key: bytes,
        partition: str,
        caller: str,
        call_id: bytes,
        request_digest: bytes,
    ) -> None:
        self.key = key
        self.partition = partition
        # The incarnation that claims also settles, even if this process takes
        # another one in between.
        self.caller = caller
        self.call_id = call_id
        self.request_digest = request_digest
        # Whether an owner may have recorded the claim.
        self.sent = False


class ClaimClient:
    """Claims idempotency keys for the calls that enter at this node."""

    __slots__ = (
        "_acknowledged",
        "_ask",
        "_caller",
        "_clock",
        "_events",
        "_open",
        "_owners",
        "_pending_answers",
        "_recent",
        "_retention_s",
        "_slots",
        "_tasks",
        "_updates",
    )

    def __init__(
        self,
        owners: OwnerDirectory,
        ask: AskOwner,
        caller: Callable[[], str],
        retention_s: Callable[[], float],
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
        slots: int = SLOTS,
    ) -> None:
        self._owners = owners
        self._ask = ask
        self._caller = caller
        self._retention_s = retention_s
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._slots = slots
        self._open: dict[bytes, OpenClaim] = {}
        self._recent = RecentKeys(clock)
        self._pending_answers = 0
        self._updates = 0
        self._acknowledged = anyio.Event()

    @classmethod
    def from_config(
        cls,
        owners: OwnerDirectory,
        ask: AskOwner,
        caller: Callable[[], str],
        retention_s: Callable[[], float],
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
    ) -> Self:
        """Make a client.

        `caller` returns this process as "<node>/<incarnation>", `retention_s`
        how long keys are remembered, in seconds.
        """
        return cls(owners, ask, caller, retention_s, clock, events, tasks)

    @property
    def pending_updates(self) -> int:
        """Return the number of settlements and releases not yet acknowledged."""
        return self._updates

    async def claim(
        self,
        service: str,
        organisation: str,
        idempotency_key: str,
        call_id: bytes,
        request_digest: bytes,
        deadline: float,
    ) -> ClaimReply:
        """Return `granted` (run the request) or `settled` with the held response.

        Asks until `deadline` (monotonic). Raises Refusal: 409 `already-ran` when
        the response is no longer held, 409 `outcome-unknown` when it cannot be
        decided whether the request ran, 400 `malformed` when the key was used
        for another request, 503 `claims-unreachable` when no owner answered and
        this call did not run.
        """
        key = make_claim_key(organisation, service, idempotency_key)
        partition = partition_of(service, key, self._slots)
        claim = OpenClaim(key, partition, self._caller(), call_id, request_digest)
        try:
            issued_at = issued_at_of(idempotency_key)
            reply = await self._decide(claim, issued_at, deadline)
        except BaseException:
            if claim.sent:
                self._update(claim, self._make_release(claim))
            raise
        if reply.state == "granted":
            self._open[call_id] = claim
            self._recent.add(key, self._retention_s())
        return reply

    async def _decide(
        self, claim: OpenClaim, issued_at: float, deadline: float
    ) -> ClaimReply:
        message = Claim(
            claim.partition,
            claim.key,
            claim.caller,
            claim.call_id,
            issued_at,
            claim.request_digest,
        )
        pause_s = FIRST_RETRY_S
        runs_elsewhere = False
        while True:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                raise self._give_up(claim, runs_elsewhere)
            reply = await self._ask_once(claim, message, remaining_s)
            if reply is not None and reply.state == "running":
                runs_elsewhere = True
            elif reply is not None and reply.state != "moved":
                return self._accept(claim, reply)
            await anyio.sleep(max(0.0, min(pause_s, remaining_s)))
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _ask_once(
        self, claim: OpenClaim, message: Claim, remaining_s: float
    ) -> ClaimReply | None:
        """Return the owner's decision; None when there is none in time."""
        record = self._owners.find_owner(claim.partition)
        if record is None:
            record = await self._refresh(claim.partition, remaining_s)
        if record is None:
            return None
        sent_at = self._clock.monotonic()
        try:
            claim.sent = True
            reply = await self._ask(record, message, min(ASK_TIMEOUT_S, remaining_s))
        except PeerError:
            await self._refresh(claim.partition, remaining_s)
            return None
        if not isinstance(reply, ClaimReply):
            return None
        if reply.state == "moved":
            await self._refresh(claim.partition, remaining_s)
            return reply
        if self._clock.monotonic() - sent_at > VALIDITY_S:
            self._events.record("claim-reply-late", partition=claim.partition)
            return None
        return reply

    async def _refresh(self, partition: str, remaining_s: float) -> OwnerRecord | None:
        with anyio.move_on_after(max(0.0, remaining_s)):
            try:
                return await self._owners.refresh(partition)
            except HeathermountError:
                return None
        return None

    def _accept(self, claim: OpenClaim, reply: ClaimReply) -> ClaimReply:
        """Return a decision on which the caller acts, or raise its refusal."""
        if reply.state == "granted":
            return reply
        # Another call holds the key, so there is nothing to release.
        claim.sent = False
        if reply.state == "settled" and reply.answer_held:
            return reply
        if reply.state == "settled":
            raise Refusal(
                409,
                Reason.ALREADY_RAN,
                Outcome.RAN,
                "the request has run and its response is no longer held; "
                "look up its effect",
            )
        if reply.state == "mismatch":
            raise Refusal(
                400,
                Reason.MALFORMED,
                Outcome.NOT_RUN,
                "the idempotency key was used for another request; use a new key",
            )
        raise make_unknown()

    def _give_up(self, claim: OpenClaim, runs_elsewhere: bool) -> Refusal:
        if runs_elsewhere or self._recent.contains(claim.key):
            return make_unknown()
        return Refusal(
            503,
            Reason.CLAIMS_UNREACHABLE,
            Outcome.NOT_RUN,
            "the owner of the idempotency key does not answer; "
            "send the request again with the same key",
            VALIDITY_S,
        )

    async def settle(
        self,
        call_id: bytes,
        outcome: Outcome,
        status: int = 0,
        headers: Headers | None = None,
        body: bytes | None = None,
    ) -> None:
        """Record how a granted call ended, with its response to be replayed.

        Returns at once; the owner is told in the background until it
        acknowledges or the retention has passed. Without a body, or with one
        over 64 KiB, a resend is answered `already-ran`.
        """
        claim = self._open.pop(call_id, None)
        if claim is None:
            return
        held = body is not None and len(body) <= MAX_ANSWER_BYTES
        if self._pending_answers >= MAX_PENDING_ANSWERS:
            held = False
        message = Settle(
            claim.partition,
            claim.key,
            claim.caller,
            call_id,
            outcome,
            status,
            (headers or []) if held else [],
            body if held and body is not None else b"",
            held,
        )
        self._update(claim, message)

    async def release(self, call_id: bytes) -> None:
        """Give up a granted claim whose call provably did not run; see settle."""
        claim = self._open.pop(call_id, None)
        if claim is None:
            return
        self._recent.remove(claim.key)
        self._update(claim, self._make_release(claim))

    def _make_release(self, claim: OpenClaim) -> UnclaimKey:
        return UnclaimKey(claim.partition, claim.key, claim.caller, claim.call_id)

    def _update(self, claim: OpenClaim, message: Settle | UnclaimKey) -> None:
        self._updates += 1
        self._tasks.start_soon(self._deliver, claim.partition, message)

    async def _deliver(self, partition: str, message: Settle | UnclaimKey) -> None:
        """Tell the owner, whoever it is then, until it acknowledges."""
        keeps_answer = isinstance(message, Settle) and message.answer_held
        self._pending_answers += keeps_answer
        give_up_at = self._clock.monotonic() + self._retention_s()
        pause_s = FIRST_RETRY_S
        try:
            while self._clock.monotonic() < give_up_at:
                if await self._tell(partition, message):
                    return
                await anyio.sleep(pause_s)
                pause_s = min(MAX_SETTLE_RETRY_S, pause_s * 2)
            self._events.record("claim-update-given-up", partition=partition)
        finally:
            self._pending_answers -= keeps_answer
            self._updates -= 1
            self._acknowledged.set()
            self._acknowledged = anyio.Event()

    async def _tell(self, partition: str, message: Settle | UnclaimKey) -> bool:
        record = self._owners.find_owner(partition)
        if record is None:
            record = await self._refresh(partition, ASK_TIMEOUT_S)
        if record is None:
            return False
        try:
            reply = await self._ask(record, message, ASK_TIMEOUT_S)
        except HeathermountError:
            await self._refresh(partition, ASK_TIMEOUT_S)
            return False
        return isinstance(reply, ClaimUpdated)

    async def flush(self, timeout_s: float) -> bool:
        """Wait until all updates are acknowledged; False after `timeout_s` seconds."""
        with anyio.move_on_after(timeout_s):
            while self._updates:
                await self._acknowledged.wait()
        return not self._updates


def make_unknown() -> Refusal:
    return Refusal(
        409,
        Reason.OUTCOME_UNKNOWN,
        Outcome.UNKNOWN,
        "it cannot be decided whether a request with this key has run; "
        "look up its effect before sending it with a new key",
    )
