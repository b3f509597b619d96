"""Retry-After values for refused requests."""

from random import Random
from typing import Final

__all__ = ["choose_retry_after_s", "limit_retry_after_s"]

# A client that retries after this fraction of its latency objective can still be
# answered in time.
MAX_WAIT_OBJECTIVE_RATIO: Final = 0.5

# Waits are spread between the minimum and a longest wait, which depends on the
# objective within the two bounds below, so that retries do not arrive together.
# Shedding thresholds change every 0.1 s, and clients wait a few seconds in total.
MIN_RETRY_AFTER_S: Final = 0.1
MIN_LONGEST_RETRY_AFTER_S: Final = 0.3
MAX_LONGEST_RETRY_AFTER_S: Final = 1.5


def limit_retry_after_s(objective_s: float) -> float:
    """Return the longest Retry-After for a latency objective, in seconds.

    Under sustained overload, the number of requests served does not depend on
    when the refused ones are retried. Those retried late are answered too late,
    and displace others that would have been answered in time.
    """
    return min(
        MAX_LONGEST_RETRY_AFTER_S,
        max(MIN_LONGEST_RETRY_AFTER_S, MAX_WAIT_OBJECTIVE_RATIO * objective_s),
    )


def choose_retry_after_s(objective_s: float, random: Random) -> float:
    """Return a random Retry-After for a request that was shed, in seconds."""
    return random.uniform(MIN_RETRY_AFTER_S, limit_retry_after_s(objective_s))
