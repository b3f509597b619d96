"""When refused clients are told to come back."""

from random import Random
from typing import Final

__all__ = ["choose_retry_after_s", "limit_retry_after_s"]

# A client that comes back after this share of its objective can still be
# answered in time.
MAX_WAIT_OBJECTIVE_RATIO: Final = 0.5

# Refused requests come back spread over a time between these, in seconds, so
# that they do not come together: thresholds move every 0.1 s, and clients wait
# a few seconds in all.
MIN_RETRY_AFTER_S: Final = 0.1
MIN_LONGEST_RETRY_AFTER_S: Final = 0.3
MAX_LONGEST_RETRY_AFTER_S: Final = 1.5


def limit_retry_after_s(objective_s: float) -> float:
    """Return the longest wait to suggest for a route, in seconds.

    Answers a demand that stays above what can be served: as many are served
    whenever the refused ones come back, but those who come late are answered
    late, and take the place of others who would have been in time.
    """
    return min(
        MAX_LONGEST_RETRY_AFTER_S,
        max(MIN_LONGEST_RETRY_AFTER_S, MAX_WAIT_OBJECTIVE_RATIO * objective_s),
    )


def choose_retry_after_s(objective_s: float, random: Random) -> float:
    """Return a wait before the next attempt after an overload, in seconds."""
    return random.uniform(MIN_RETRY_AFTER_S, limit_retry_after_s(objective_s))
