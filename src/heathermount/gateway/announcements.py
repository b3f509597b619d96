"""Announcements of backend servers."""

import math
from typing import Final

import msgspec

__all__ = ["Announcement"]

# Some servers slow down when nearly all of their slots are in use: above 19 of
# 20 on the users' platform. Servers with fewer than MIN_SLOTS_FOR_HEADROOM slots
# do not slow down, and an idle slot would cost them more than the slowdown.
USABLE_SLOT_RATIO: Final = 0.95
MIN_SLOTS_FOR_HEADROOM: Final = 10


class Announcement(msgspec.Struct, frozen=True):
    """State that a backend server reports in a heartbeat."""

    server_id: str
    service: str
    address: str
    slots: int
    draining: bool
    cold_start_s: float
    # Start time of the server in milliseconds since the Unix epoch, and sequence
    # number since then; together they order announcements.
    born_ms: int
    sequence: int

    @property
    def usable_slots(self) -> int:
        """Return how many slots to use at most.

        Under sustained overload, a server that slows down when it is nearly full
        completes more requests with one or two slots left free.
        """
        if self.slots < MIN_SLOTS_FOR_HEADROOM:
            return self.slots
        return math.ceil(USABLE_SLOT_RATIO * self.slots) - 1

    def is_at_least_as_new_as(self, other: "Announcement") -> bool:
        return (self.born_ms, self.sequence) >= (other.born_ms, other.sequence)

    def has_same_start(self, other: "Announcement") -> bool:
        """Return whether both come from the same start of the same server."""
        return (self.server_id, self.born_ms) == (other.server_id, other.born_ms)

    def has_same_address_and_slots(self, other: "Announcement") -> bool:
        """Return whether both have the same address and number of slots."""
        return (self.address, self.slots) == (other.address, other.slots)
