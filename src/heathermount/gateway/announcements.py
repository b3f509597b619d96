"""What a backend server says of itself."""

import math
from typing import Final

import msgspec

__all__ = ["Announcement"]

# Some servers slow down when nearly all of their slots are in use: above 19 of
# 20 on the users' platform. A server with fewer slots than this has no such
# range, and one idle slot would cost it more than the slowdown.
USABLE_SLOT_RATIO: Final = 0.95
MIN_HEADROOM_SLOTS: Final = 10


class Announcement(msgspec.Struct, frozen=True):
    """What a backend server says of itself."""

    server_id: str
    service: str
    address: str
    slots: int
    draining: bool
    cold_start_s: float
    # Start of the server, in milliseconds since the Unix epoch, and the number
    # of the announcement since then; together they order announcements.
    born_ms: int
    sequence: int

    @property
    def usable_slots(self) -> int:
        """Return how many slots to use at most.

        Answers a lasting overload: a server that slows down when it is nearly
        full completes more requests with a slot or two kept free.
        """
        if self.slots < MIN_HEADROOM_SLOTS:
            return self.slots
        return math.ceil(USABLE_SLOT_RATIO * self.slots) - 1

    def is_at_least_as_new_as(self, other: "Announcement") -> bool:
        return (self.born_ms, self.sequence) >= (other.born_ms, other.sequence)

    def has_same_start(self, other: "Announcement") -> bool:
        """Tell whether both come from one start of a server."""
        return (self.server_id, self.born_ms) == (other.server_id, other.born_ms)

    def has_same_address_and_slots(self, other: "Announcement") -> bool:
        """Tell whether both name one address and one number of slots."""
        return (self.address, self.slots) == (other.address, other.slots)
