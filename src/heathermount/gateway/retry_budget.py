"""Retry budget: a fleet-wide limit on retries, of which each node enforces its part."""

from typing import Final

import msgspec

from heathermount.clocks import Clock

__all__ = ["RetryBudget", "RetryLimits"]

# Counters keep one more bucket than this, so that the sum always covers the whole
# window.
WINDOW_BUCKETS: Final = 10

# Fraction of the fleet-wide limit that is used. The rest covers retries that nodes
# cannot detect, such as nested calls that a retried run makes again.
USABLE_BUDGET_RATIO: Final = 0.8


class RetryLimits(msgspec.Struct, frozen=True):
    """Retries allowed per service in any window: ratio x requests + slack."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 48.0


class SlidingWindowCounter:
    """Counts events in a sliding window, which consists of numbered buckets."""

    __slots__ = ("_bucket", "_bucket_counts")

    def __init__(self) -> None:
        self._bucket_counts = [0] * (WINDOW_BUCKETS + 1)
        self._bucket = 0

    def add(self, bucket: int) -> None:
        self._advance(bucket)
        self._bucket_counts[bucket % len(self._bucket_counts)] += 1

    def count_events(self, bucket: int) -> int:
        self._advance(bucket)
        return sum(self._bucket_counts)

    def _advance(self, bucket: int) -> None:
        for expired_bucket in range(
            self._bucket + 1, min(bucket, self._bucket + WINDOW_BUCKETS + 1) + 1
        ):
            self._bucket_counts[expired_bucket % len(self._bucket_counts)] = 0
        self._bucket = max(self._bucket, bucket)


class RetryBudget:
    """Limits a node's retries per service to a ratio of its own requests.

    Bounds the load that retries add when servers fail or shed. The sum over all
    nodes stays below the fleet-wide limit, because each node counts only its own
    first attempts and uses an equal part of the slack.
    """

    __slots__ = (
        "_bucket_s",
        "_clock",
        "_requests",
        "_retries",
        "limits",
        "node_count",
        "uses_slack",
    )

    def __init__(self, limits: RetryLimits, clock: Clock) -> None:
        self.limits = limits
        self._clock = clock
        self._bucket_s = limits.window_s / WINDOW_BUCKETS
        self._requests: dict[str, SlidingWindowCounter] = {}
        self._retries: dict[str, SlidingWindowCounter] = {}
        # Number of nodes that share the slack.
        self.node_count = 1
        # False while the other nodes divide the slack without this one.
        self.uses_slack = True

    def record_first_send(self, service: str) -> None:
        """Count the first attempt of a client's request."""
        self._requests.setdefault(service, SlidingWindowCounter()).add(
            self._current_bucket()
        )

    def try_spend(self, service: str, reserve_ratio: float = 0.0) -> bool:
        """Spend one retry, or return False if the budget does not suffice.

        `reserve_ratio` is the part of the budget that must stay unspent.
        """
        bucket = self._current_bucket()
        requests = self._requests.setdefault(
            service, SlidingWindowCounter()
        ).count_events(bucket)
        retries = self._retries.setdefault(service, SlidingWindowCounter())
        slack = self.limits.slack / self.node_count if self.uses_slack else 0.0
        allowed = self.limits.ratio * requests + slack
        if (
            retries.count_events(bucket) + 1
            > USABLE_BUDGET_RATIO * (1.0 - reserve_ratio) * allowed
        ):
            return False
        retries.add(bucket)
        return True

    def _current_bucket(self) -> int:
        return int(self._clock.monotonic() / self._bucket_s)
