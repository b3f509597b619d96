"""Owner side of at-most-once execution: the claim table of one partition."""

from collections.abc import Callable
from enum import IntEnum
from functools import singledispatchmethod
from typing import Any, Final

import msgspec

from heathermount.claims.body_budget import BodyBudget
from heathermount.clocks import Clock
from heathermount.invariants import Invariants
from heathermount.ownership import NotOwner, Partition
from heathermount.values import Headers, Outcome
from heathermount.wire.messages import (
    Claim,
    ClaimReply,
    ClaimUpdated,
    Settle,
    UnclaimKey,
)

__all__ = ["MAX_CLOCK_SKEW_S", "MAX_HELD_RESPONSE_BYTES", "ClaimTable"]

# Largest response body that is held for replay.
MAX_HELD_RESPONSE_BYTES: Final = 64 * 1024
# Tolerated difference between the clocks of an owner and of the client that issues
# a key.
MAX_CLOCK_SKEW_S: Final = 2.0
# A key may be granted up to MAX_CLOCK_SKEW_S before its time of issue, and the clocks
# of two owners may differ by as much again.
TAKEOVER_MARGIN_S: Final = 2 * MAX_CLOCK_SKEW_S
# A released key is remembered for this long, so that a late copy of the released
# claim is not granted.
RELEASED_KEY_RETENTION_S: Final = 10.0


class ClaimState(IntEnum):
    """State of a key in the table."""

    CLAIMED = 0
    SETTLED = 1


class ClaimEntry(msgspec.Struct, array_like=True):
    """A claimed or settled key.

    `caller` is the entry node's process that claimed the key, "<node>/<incarnation>".
    `updated_at` is monotonic; in dumped state it is the age in seconds.
    """

    key: bytes
    state: ClaimState
    caller: str
    call_id: bytes
    request_digest: bytes
    updated_at: float
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    outcome: str = ""
    answer_held: bool = False

    def is_held_by(self, caller: str, call_id: bytes) -> bool:
        return (self.caller, self.call_id) == (caller, call_id)

    def drop_response(self) -> None:
        self.headers, self.body, self.answer_held = [], b"", False


class ReleasedKey(msgspec.Struct, array_like=True):
    """A key whose claim was released.

    `was_held` is true if the releasing call held the key. This proves that the key
    has not run, so that another call may claim it even after a takeover. Otherwise
    the release only blocks late copies of the same call's claim. `released_at` is
    monotonic; in dumped state it is the age in seconds.
    """

    key: bytes
    caller: str
    call_id: bytes
    was_held: bool
    released_at: float


class SavedClaims(msgspec.Struct, array_like=True):
    """State that a table hands over to the partition's next owner.

    `takeover_at` (seconds since the Unix epoch) is the time of the last takeover
    without the previous owner's state, and `takeover_age_s` its age. Both are 0 if
    there was none.
    """

    entries: list[ClaimEntry]
    released: list[ReleasedKey]
    takeover_at: float
    takeover_age_s: float


class ClaimTable:
    """Decides which call may run for a key.

    Each decision checks the ownership of the partition and updates the table without
    an await in between.
    """

    def __init__(
        self,
        partition: Partition,
        clock: Clock,
        invariants: Invariants,
        bodies: BodyBudget,
        is_dead: Callable[[str], bool],
        get_retention_s: Callable[[], float],
    ) -> None:
        """Make an empty table.

        `is_dead` tells whether a caller ("<node>/<incarnation>") is known to have
        ended, and `get_retention_s` returns how long keys are remembered, in seconds.
        """
        self.partition = partition
        self._clock = clock
        self._invariants = invariants
        self._bodies = bodies
        self._is_dead = is_dead
        self._get_retention_s = get_retention_s
        # Ordered by `updated_at`.
        self._entries: dict[bytes, ClaimEntry] = {}
        # Ordered by `released_at`.
        self._released: dict[bytes, ReleasedKey] = {}
        self._takeover_at = 0.0
        self._takeover_monotonic = float("-inf")
        if not partition.has_complete_state:
            self._takeover_at = partition.acquired_at_unix_s
            self._takeover_monotonic = clock.monotonic()

    def __len__(self) -> int:
        return len(self._entries)

    @singledispatchmethod
    def handle(self, message: Any) -> Any:
        """Decide a Claim, or record a Settle or UnclaimKey.

        If this process does not own the partition now, the reply to a Claim is
        `moved`, and Settle and UnclaimKey raise NotOwner.
        """
        raise TypeError(f"claim table cannot handle {type(message).__name__}")

    @handle.register
    def _(self, message: Claim) -> ClaimReply:
        if not self.partition.may_decide():
            return ClaimReply("moved")
        self._remove_expired()
        entry = self._entries.get(message.key)
        if entry is not None:
            return self._answer_existing(entry, message)
        released = self._released.get(message.key)
        if released is not None and released.call_id == message.call_id:
            # A late copy of a claim that its call has released.
            return ClaimReply("unknown", outcome=Outcome.UNKNOWN)
        was_held = released is not None and released.was_held
        if not was_held and self._may_have_run(message.issued_at):
            return ClaimReply("unknown", outcome=Outcome.UNKNOWN)
        self._store_entry(
            ClaimEntry(
                message.key,
                ClaimState.CLAIMED,
                message.caller,
                message.call_id,
                message.request_digest,
                self._clock.monotonic(),
            )
        )
        return ClaimReply("granted")

    @handle.register
    def _(self, message: Settle) -> ClaimUpdated:
        self._check_owner()
        self._remove_expired()
        if message.outcome == Outcome.NOT_RUN:
            return self._release(message.key, message.caller, message.call_id)
        entry = self._entries.get(message.key)
        if entry is None:
            # The claim was lost in a takeover. Without its request digest, a reused
            # key cannot be detected, so the response must not be replayed.
            self._store_entry(self._make_settled(message, b"", answer_held=False))
            return ClaimUpdated(known=False)
        if not entry.is_held_by(message.caller, message.call_id):
            self._invariants.check(
                message.outcome != Outcome.RAN,
                "one-call-runs-per-key",
                partition=self.partition.name,
            )
            return ClaimUpdated(known=False)
        if entry.state is ClaimState.CLAIMED:
            held = message.answer_held and len(message.body) <= MAX_HELD_RESPONSE_BYTES
            self._store_entry(self._make_settled(message, entry.request_digest, held))
        return ClaimUpdated(known=True)

    @handle.register
    def _(self, message: UnclaimKey) -> ClaimUpdated:
        self._check_owner()
        self._remove_expired()
        return self._release(message.key, message.caller, message.call_id)

    def _check_owner(self) -> None:
        if not self.partition.may_decide():
            raise NotOwner(
                f"{self.partition.name}: not the owner; look the owner up again"
            )

    def _answer_existing(self, entry: ClaimEntry, claim: Claim) -> ClaimReply:
        if entry.request_digest and entry.request_digest != claim.request_digest:
            return ClaimReply("mismatch")
        if entry.state is ClaimState.SETTLED:
            if entry.outcome == Outcome.UNKNOWN:
                return ClaimReply("unknown", outcome=Outcome.UNKNOWN)
            return ClaimReply(
                "settled",
                entry.status,
                entry.headers,
                entry.body,
                entry.outcome,
                entry.answer_held,
            )
        if entry.is_held_by(claim.caller, claim.call_id):
            return ClaimReply("granted")
        if self._is_dead(entry.caller):
            return ClaimReply("unknown", outcome=Outcome.UNKNOWN)
        return ClaimReply("running")

    def _may_have_run(self, issued_at: float) -> bool:
        """Tell whether a key that is not in the table may have been claimed before.

        That is possible before a takeover without state, or if the key has expired
        from the table.
        """
        now = self._clock.wall()
        if issued_at <= 0:
            age_s = self._clock.monotonic() - self._takeover_monotonic
            return age_s < self._get_retention_s() + TAKEOVER_MARGIN_S
        # A key dated in the future would seem to be issued after any takeover that
        # happens before that date.
        if issued_at > now + MAX_CLOCK_SKEW_S:
            return True
        if issued_at < now - self._get_retention_s():
            return True
        return (
            self._takeover_at > 0 and issued_at <= self._takeover_at + TAKEOVER_MARGIN_S
        )

    def _make_settled(
        self, message: Settle, request_digest: bytes, answer_held: bool
    ) -> ClaimEntry:
        return ClaimEntry(
            message.key,
            ClaimState.SETTLED,
            message.caller,
            message.call_id,
            request_digest,
            self._clock.monotonic(),
            message.status,
            message.headers if answer_held else [],
            message.body if answer_held else b"",
            message.outcome,
            answer_held,
        )

    def _release(self, key: bytes, caller: str, call_id: bytes) -> ClaimUpdated:
        entry = self._entries.get(key)
        if entry is not None and not entry.is_held_by(caller, call_id):
            return ClaimUpdated(known=False)
        if entry is not None and entry.state is ClaimState.SETTLED:
            return ClaimUpdated(known=True)
        previous = self._released.pop(key, None)
        was_held = entry is not None or (previous is not None and previous.was_held)
        now = self._clock.monotonic()
        self._released[key] = ReleasedKey(key, caller, call_id, was_held, now)
        self._entries.pop(key, None)
        return ClaimUpdated(known=entry is not None)

    def _store_entry(self, entry: ClaimEntry) -> None:
        """Store an entry as the most recent one."""
        self._released.pop(entry.key, None)
        previous = self._entries.pop(entry.key, None)
        self._invariants.check(
            previous is None
            or previous.state is not ClaimState.SETTLED
            or entry.state is ClaimState.SETTLED,
            "settled-stays-settled",
            partition=self.partition.name,
        )
        self._entries[entry.key] = entry
        name = self.partition.name
        if entry.answer_held:
            size = len(entry.body) + sum(len(k) + len(v) for k, v in entry.headers)
            self._bodies.add(name, entry.key, size, entry.drop_response)
        elif previous is not None and previous.answer_held:
            self._bodies.remove(name, entry.key)

    def _remove_expired(self) -> None:
        """Remove released keys and entries whose retention has passed."""
        now = self._clock.monotonic()
        while self._released:
            released = next(iter(self._released.values()))
            if now < released.released_at + RELEASED_KEY_RETENTION_S:
                break
            del self._released[released.key]
        # A UUIDv7 key is refused once its own age exceeds the retention. That age
        # counts from its issue on the client's clock, so entries are kept a margin
        # longer.
        retention_s = self._get_retention_s() + TAKEOVER_MARGIN_S
        while self._entries:
            entry = next(iter(self._entries.values()))
            if now < entry.updated_at + retention_s:
                return
            del self._entries[entry.key]
            self._bodies.remove(self.partition.name, entry.key)

    def close(self) -> None:
        """Remove all entries and stop counting their responses."""
        for key in self._entries:
            self._bodies.remove(self.partition.name, key)
        self._entries.clear()

    def dump(self) -> bytes:
        """Return the encoded state for the next owner."""
        self._remove_expired()
        now = self._clock.monotonic()
        entries = [
            msgspec.structs.replace(entry, updated_at=now - entry.updated_at)
            for entry in self._entries.values()
        ]
        released = [
            msgspec.structs.replace(
                released_key, released_at=now - released_key.released_at
            )
            for released_key in self._released.values()
        ]
        age_s = now - self._takeover_monotonic if self._takeover_at else 0.0
        return msgspec.msgpack.encode(
            SavedClaims(entries, released, self._takeover_at, age_s)
        )

    def load(self, state: bytes) -> None:
        """Restore the state that the previous owner dumped."""
        saved = msgspec.msgpack.decode(state, type=SavedClaims)
        now = self._clock.monotonic()
        if saved.takeover_at:
            self._takeover_at = saved.takeover_at
            self._takeover_monotonic = now - saved.takeover_age_s
        for entry in saved.entries:
            age_s = entry.updated_at
            self._store_entry(msgspec.structs.replace(entry, updated_at=now - age_s))
        for released in saved.released:
            released.released_at = now - released.released_at
            self._released[released.key] = released
