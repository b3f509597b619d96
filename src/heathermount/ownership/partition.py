"""The right of this process to decide for one partition."""

from enum import Enum

from heathermount.clocks import Clock
from heathermount.ownership.records import OwnerRecord

__all__ = ["Partition"]


class Phase(Enum):
    """How far a partition is from its end on this node."""

    ACTIVE = "active"
    # Stopped for a handover; it may become active again only when no other
    # process can have received the state.
    FROZEN = "frozen"
    ENDED = "ended"


class Partition:
    """A partition that this process acquired.

    `fresh_start` is true when the state is complete: this is the first owner
    ever, or the state came with a handover. Otherwise decisions of an earlier
    owner are unknown, and `taken_at` (seconds since the Unix epoch) is the time
    after which no earlier owner decided.
    """

    __slots__ = (
        "_clock",
        "_phase",
        "lease_expires_at",
        "has_complete_state",
        "record",
        "acquired_at_unix_s",
    )

    def __init__(
        self,
        record: OwnerRecord,
        clock: Clock,
        lease_expires_at: float,
        has_complete_state: bool,
    ) -> None:
        self.record = record
        self.lease_expires_at = lease_expires_at
        self.has_complete_state = has_complete_state
        self.acquired_at_unix_s = clock.wall()
        self._clock = clock
        self._phase = Phase.ACTIVE

    @property
    def name(self) -> str:
        return self.record.partition

    @property
    def epoch(self) -> int:
        return self.record.epoch

    @property
    def ended(self) -> bool:
        return self._phase is Phase.ENDED

    @property
    def frozen(self) -> bool:
        return self._phase is Phase.FROZEN

    def may_decide(self) -> bool:
        """Tell whether this process may decide now.

        Call it in the same step as the decision, without an await in between.
        """
        if self._phase is not Phase.ACTIVE:
            return False
        return self._clock.monotonic() < self.lease_expires_at

    def extend_lease(self, sent_at: float) -> None:
        """Confirm a renewal that was not written before `sent_at` (monotonic)."""
        self.lease_expires_at = max(
            self.lease_expires_at, sent_at + self.record.lease_duration_s
        )

    def freeze(self) -> None:
        """Stop deciding, so that the state can be handed over."""
        if self._phase is Phase.ACTIVE:
            self._phase = Phase.FROZEN

    def resume(self) -> None:
        """Decide again, after a handover that certainly reached nobody."""
        if self._phase is Phase.FROZEN:
            self._phase = Phase.ACTIVE

    def end(self) -> None:
        """Stop deciding for good."""
        self._phase = Phase.ENDED
