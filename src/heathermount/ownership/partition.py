"""A partition that this process owns, and its lease."""

from enum import Enum

from heathermount.clocks import Clock
from heathermount.ownership.records import OwnerRecord

__all__ = ["Partition"]


class Phase(Enum):
    """State of an owned partition, apart from the expiry of its lease."""

    ACTIVE = "active"
    # Suspended for a handover. It becomes active again only if no other process
    # can have received its state.
    FROZEN = "frozen"
    ENDED = "ended"


class Partition:
    """A partition that this process acquired, with the lease on it.

    `lease_expires_at` is monotonic time. `has_complete_state` is true for the
    first owner ever and for one that received the state in a handover. Otherwise
    the decisions of earlier owners are unknown. No earlier owner has decided
    after `acquired_at_unix_s`, in seconds since the Unix epoch.
    """

    __slots__ = (
        "_clock",
        "_phase",
        "acquired_at_unix_s",
        "has_complete_state",
        "lease_expires_at",
        "record",
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
        """Return whether the partition is active and its lease is valid.

        Call it in the same step as the decision, without an await in between: the
        lease may expire during an await.
        """
        if self._phase is not Phase.ACTIVE:
            return False
        return self._clock.monotonic() < self.lease_expires_at

    def extend_lease(self, sent_at: float) -> None:
        """Extend the lease after a confirmed renewal.

        `sent_at` is a monotonic time before which the renewal cannot have been
        written; the lease starts then.
        """
        self.lease_expires_at = max(
            self.lease_expires_at, sent_at + self.record.lease_duration_s
        )

    def freeze(self) -> None:
        """Stop deciding so that the state no longer changes during a handover."""
        if self._phase is Phase.ACTIVE:
            self._phase = Phase.FROZEN

    def resume(self) -> None:
        """Decide again after a handover whose state certainly reached no process."""
        if self._phase is Phase.FROZEN:
            self._phase = Phase.ACTIVE

    def end(self) -> None:
        """Stop deciding permanently."""
        self._phase = Phase.ENDED
