"""Entry side of at-most-once execution: claims, settles and releases keys."""

from collections.abc import Awaitable, Callable
from typing import Final, Self

import anyio
from anyio.abc import TaskGroup

from heathermount.claims.keys import (
    PARTITIONS_PER_SERVICE,
    get_partition_name,
    make_claim_key,
    parse_issued_at,
)
from heathermount.claims.recent_keys import RecentKeys
from heathermount.claims.table import MAX_HELD_RESPONSE_BYTES
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

__all__ = ["REPLY_VALIDITY_S", "AskOwner", "ClaimClient"]

# Sends a message to an owner and returns its reply; raises PeerError on failure. The
# last argument is the timeout in seconds.
AskOwner = Callable[[OwnerRecord, Message, float], Awaitable[Message]]

# A slower reply is discarded, because its owner may have lost the partition since.
# Also the suggested wait when no owner answered.
REPLY_VALIDITY_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 0.5
INITIAL_RETRY_DELAY_S: Final = 0.02
MAX_CLAIM_RETRY_DELAY_S: Final = 0.25
MAX_UPDATE_RETRY_DELAY_S: Final = 5.0
# Responses kept in memory until the owner has acknowledged them, at most 64 KiB each.
MAX_PENDING_RESPONSES: Final = 64


class OpenClaim:
    """A key that a call of this node is claiming or holds.

    `caller` is the process that made the claim, "<node>/<incarnation>".
    """

    __slots__ = (
        "call_id",
        "caller",
        "key",
        "may_be_recorded",
        "partition",
        "request_digest",
    )

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
        # Settle and release must name the incarnation that made the claim, even if
        # this process has changed its incarnation since.
        self.caller = caller
        self.call_id = call_id
        self.request_digest = request_digest
        # True if an owner may have recorded the claim, so that it must be released.
        self.may_be_recorded = False


class ClaimClient:
    """Claims idempotency keys for the calls that enter at this node."""

    __slots__ = (
        "_ask_owner",
        "_clock",
        "_events",
        "_get_caller",
        "_get_retention_s",
        "_granted_claims",
        "_owners",
        "_partition_count",
        "_pending_responses",
        "_pending_updates",
        "_recent_keys",
        "_tasks",
        "_update_finished",
    )

    def __init__(
        self,
        owners: OwnerDirectory,
        ask_owner: AskOwner,
        get_caller: Callable[[], str],
        get_retention_s: Callable[[], float],
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
        partition_count: int = PARTITIONS_PER_SERVICE,
    ) -> None:
        self._owners = owners
        self._ask_owner = ask_owner
        self._get_caller = get_caller
        self._get_retention_s = get_retention_s
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._partition_count = partition_count
        self._granted_claims: dict[bytes, OpenClaim] = {}
        self._recent_keys = RecentKeys(clock)
        self._pending_responses = 0
        self._pending_updates = 0
        self._update_finished = anyio.Event()

    @classmethod
    def from_config(
        cls,
        owners: OwnerDirectory,
        ask_owner: AskOwner,
        get_caller: Callable[[], str],
        get_retention_s: Callable[[], float],
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
    ) -> Self:
        """Make a client.

        `get_caller` returns this process as "<node>/<incarnation>", and
        `get_retention_s` how long keys are remembered, in seconds.
        """
        return cls(owners, ask_owner, get_caller, get_retention_s, clock, events, tasks)

    @property
    def pending_updates(self) -> int:
        """Return the number of settlements and releases still being delivered."""
        return self._pending_updates

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

        Retries until `deadline` (monotonic). Raises Refusal:

        - 409 `already-ran` if the request ran and its response is no longer held,
        - 409 `outcome-unknown` if it cannot be decided whether the request ran,
        - 400 `malformed` if the key was used for a different request,
        - 503 `claims-unreachable` if no owner answered; this call did not run.
        """
        key = make_claim_key(organisation, service, idempotency_key)
        partition = get_partition_name(service, key, self._partition_count)
        claim = OpenClaim(key, partition, self._get_caller(), call_id, request_digest)
        try:
            issued_at = parse_issued_at(idempotency_key)
            reply = await self._request_decision(claim, issued_at, deadline)
        except BaseException:
            if claim.may_be_recorded:
                self._start_update(claim, self._make_release(claim))
            raise
        if reply.state == "granted":
            self._granted_claims[call_id] = claim
            self._recent_keys.add(key, self._get_retention_s())
        return reply

    async def _request_decision(
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
        delay_s = INITIAL_RETRY_DELAY_S
        seen_running = False
        while True:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                raise self._make_timeout_refusal(claim, seen_running)
            reply = await self._ask_once(claim, message, remaining_s)
            if reply is not None and reply.state == "running":
                seen_running = True
            elif reply is not None and reply.state != "moved":
                return self._check_decision(claim, reply)
            await anyio.sleep(max(0.0, min(delay_s, remaining_s)))
            delay_s = min(MAX_CLAIM_RETRY_DELAY_S, delay_s * 2)

    async def _ask_once(
        self, claim: OpenClaim, message: Claim, remaining_s: float
    ) -> ClaimReply | None:
        """Return the owner's reply, or None on failure, timeout or a late reply."""
        record = self._owners.find_owner(claim.partition)
        if record is None:
            record = await self._refresh_owner(claim.partition, remaining_s)
        if record is None:
            return None
        sent_at = self._clock.monotonic()
        try:
            claim.may_be_recorded = True
            reply = await self._ask_owner(
                record, message, min(REQUEST_TIMEOUT_S, remaining_s)
            )
        except PeerError:
            await self._refresh_owner(claim.partition, remaining_s)
            return None
        if not isinstance(reply, ClaimReply):
            return None
        if reply.state == "moved":
            await self._refresh_owner(claim.partition, remaining_s)
            return reply
        if self._clock.monotonic() - sent_at > REPLY_VALIDITY_S:
            self._events.record("claim-reply-late", partition=claim.partition)
            return None
        return reply

    async def _refresh_owner(
        self, partition: str, remaining_s: float
    ) -> OwnerRecord | None:
        with anyio.move_on_after(max(0.0, remaining_s)):
            try:
                return await self._owners.refresh(partition)
            except HeathermountError:
                return None
        return None

    def _check_decision(self, claim: OpenClaim, reply: ClaimReply) -> ClaimReply:
        """Return a reply that the caller can act on; raise Refusal for any other."""
        if reply.state == "granted":
            return reply
        # The owner did not record this claim, so there is nothing to release.
        claim.may_be_recorded = False
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
        raise make_unknown_outcome_refusal()

    def _make_timeout_refusal(self, claim: OpenClaim, seen_running: bool) -> Refusal:
        if seen_running or self._recent_keys.contains(claim.key):
            return make_unknown_outcome_refusal()
        return Refusal(
            503,
            Reason.CLAIMS_UNREACHABLE,
            Outcome.NOT_RUN,
            "the owner of the idempotency key does not answer; "
            "send the request again with the same key",
            REPLY_VALIDITY_S,
        )

    async def settle(
        self,
        call_id: bytes,
        outcome: Outcome,
        status: int = 0,
        headers: Headers | None = None,
        body: bytes | None = None,
    ) -> None:
        """Record how a granted call ended, with the response to replay.

        Returns at once. The update is retried in the background until the owner
        acknowledges it or the retention has passed. Without a body, or with one over
        64 KiB, a retry of the request is refused as `already-ran`. The same holds
        while too many responses wait for acknowledgement.
        """
        claim = self._granted_claims.pop(call_id, None)
        if claim is None:
            return
        holds_response = body is not None and len(body) <= MAX_HELD_RESPONSE_BYTES
        if self._pending_responses >= MAX_PENDING_RESPONSES:
            holds_response = False
        message = Settle(
            claim.partition,
            claim.key,
            claim.caller,
            call_id,
            outcome,
            status,
            (headers or []) if holds_response else [],
            body if holds_response and body is not None else b"",
            holds_response,
        )
        self._start_update(claim, message)

    async def release(self, call_id: bytes) -> None:
        """Release a granted claim whose call certainly did not run; see settle."""
        claim = self._granted_claims.pop(call_id, None)
        if claim is None:
            return
        self._recent_keys.remove(claim.key)
        self._start_update(claim, self._make_release(claim))

    def _make_release(self, claim: OpenClaim) -> UnclaimKey:
        return UnclaimKey(claim.partition, claim.key, claim.caller, claim.call_id)

    def _start_update(self, claim: OpenClaim, message: Settle | UnclaimKey) -> None:
        self._pending_updates += 1
        self._tasks.start_soon(self._deliver_update, claim.partition, message)

    async def _deliver_update(
        self, partition: str, message: Settle | UnclaimKey
    ) -> None:
        """Send an update to the current owner until one acknowledges it."""
        holds_response = isinstance(message, Settle) and message.answer_held
        self._pending_responses += holds_response
        give_up_at = self._clock.monotonic() + self._get_retention_s()
        delay_s = INITIAL_RETRY_DELAY_S
        try:
            while self._clock.monotonic() < give_up_at:
                if await self._send_update(partition, message):
                    return
                await anyio.sleep(delay_s)
                delay_s = min(MAX_UPDATE_RETRY_DELAY_S, delay_s * 2)
            self._events.record("claim-update-given-up", partition=partition)
        finally:
            self._pending_responses -= holds_response
            self._pending_updates -= 1
            self._update_finished.set()
            self._update_finished = anyio.Event()

    async def _send_update(self, partition: str, message: Settle | UnclaimKey) -> bool:
        record = self._owners.find_owner(partition)
        if record is None:
            record = await self._refresh_owner(partition, REQUEST_TIMEOUT_S)
        if record is None:
            return False
        try:
            reply = await self._ask_owner(record, message, REQUEST_TIMEOUT_S)
        except HeathermountError:
            await self._refresh_owner(partition, REQUEST_TIMEOUT_S)
            return False
        return isinstance(reply, ClaimUpdated)

    async def flush(self, timeout_s: float) -> bool:
        """Wait until no update is being delivered; return False on timeout."""
        with anyio.move_on_after(timeout_s):
            while self._pending_updates:
                await self._update_finished.wait()
        return not self._pending_updates


def make_unknown_outcome_refusal() -> Refusal:
    return Refusal(
        409,
        Reason.OUTCOME_UNKNOWN,
        Outcome.UNKNOWN,
        "it cannot be decided whether a request with this key has run; "
        "look up its effect before sending it with a new key",
    )
