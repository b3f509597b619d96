"""Announcements of backend servers."""

import math
import time
from typing import Final

import msgspec

__all__ = ["Announcement", "find_server_fault", "is_plausible_start"]

# Values beyond these come from another writer or from corrupted data.
MAX_SLOTS: Final = 100_000
MAX_COLD_START_S: Final = 3600.0

# Largest difference between the clocks of two instances.
MAX_CLOCK_DIFFERENCE_S: Final = 86_400.0

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


def find_server_fault(slots: int, cold_start_s: float, born_ms: int) -> str:
    """Return what makes the state of a server unusable; empty if it is sound."""
    if not 0 < slots <= MAX_SLOTS:
        return f"{slots} slots"
    if not 0.0 <= cold_start_s <= MAX_COLD_START_S:
        return f"a cold start of {cold_start_s} s"
    if not is_plausible_start(born_ms):
        return f"a start at {born_ms} ms"
    return ""


def is_plausible_start(born_ms: int) -> bool:
    """Return whether a server can have started at this time.

    A start in the far future would make all real starts look like earlier ones.
    """
    return 0 <= born_ms <= (time.time() + MAX_CLOCK_DIFFERENCE_S) * 1000.0
