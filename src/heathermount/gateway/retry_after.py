"""Retry-After values for refused requests."""

from random import Random
from typing import Final

__all__ = ["choose_retry_after_s", "compute_longest_retry_after_s"]

# A client that retries after this fraction of its latency objective can still be
# answered in time.
LONGEST_RETRY_AFTER_RATIO: Final = 0.5

# Waits are spread between a minimum and a longest wait, so that retries do not
# arrive together. The longest wait depends on the objective, between floor and cap.
# Shedding thresholds change every 0.1 s, and clients wait a few seconds in total.
MIN_RETRY_AFTER_S: Final = 0.1
LONGEST_RETRY_AFTER_FLOOR_S: Final = 0.3
LONGEST_RETRY_AFTER_CAP_S: Final = 1.5


def compute_longest_retry_after_s(objective_s: float) -> float:
    """Return the longest Retry-After for a latency objective, in seconds.

    Under sustained overload, the number of requests served does not depend on
    when the refused ones are retried. Those retried late are answered too late,
    and displace others that would have been answered in time.
    """
    return min(
        LONGEST_RETRY_AFTER_CAP_S,
        max(LONGEST_RETRY_AFTER_FLOOR_S, LONGEST_RETRY_AFTER_RATIO * objective_s),
    )


def choose_retry_after_s(objective_s: float, random: Random) -> float:
    """Return a random Retry-After for a request that was shed, in seconds."""
    return random.uniform(MIN_RETRY_AFTER_S, compute_longest_retry_after_s(objective_s))
