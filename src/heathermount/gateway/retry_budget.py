"""Fleet-wide bound on repeated sends, kept by every node for its own part."""

from typing import Final

import msgspec

from heathermount.clocks import Clock

__all__ = ["RetryBudget", "RetryLimits"]

# The window is counted in this many parts; one more is kept, so that the sum
# never misses a part of the window.
WINDOW_BUCKETS: Final = 10

# Share of the fleet's bound that is used, which leaves room for repeats that
# other nodes cannot see, such as calls made again by a repeated run.
USABLE_BUDGET_RATIO: Final = 0.8


class RetryLimits(msgspec.Struct, frozen=True):
    """Repeats allowed per service in any window: ratio x requests + slack."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 48.0


class SlidingWindowCounter:
    """Events of the last window, counted in parts."""

    __slots__ = ("_bucket_counts", "_bucket")

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
    """Allows a node to repeat a share of its own requests per service.

    Answers which load repeats may add when servers fail or refuse: the sum over
    all nodes stays below the fleet's bound, because each node counts only its
    own first sends and takes its part of the slack.
    """

    __slots__ = ("_clock", "_bucket_s", "_retries", "_requests", "limits", "node_count")

    def __init__(self, limits: RetryLimits, clock: Clock) -> None:
        self.limits = limits
        self._clock = clock
        self._bucket_s = limits.window_s / WINDOW_BUCKETS
        self._requests: dict[str, SlidingWindowCounter] = {}
        self._retries: dict[str, SlidingWindowCounter] = {}
        # Nodes among which the slack is divided.
        self.node_count = 1

    def record_first_send(self, service: str) -> None:
        """Count the first send of a client's request."""
        self._requests.setdefault(service, SlidingWindowCounter()).add(
            self._current_bucket()
        )

    def try_spend(self, service: str, reserve: float = 0.0) -> bool:
        """Spend one repeat; false when only the reserved share is left."""
        bucket = self._current_bucket()
        requests = self._requests.setdefault(
            service, SlidingWindowCounter()
        ).count_events(bucket)
        retries = self._retries.setdefault(service, SlidingWindowCounter())
        allowed = self.limits.ratio * requests + self.limits.slack / self.node_count
        if (
            retries.count_events(bucket) + 1
            > USABLE_BUDGET_RATIO * (1.0 - reserve) * allowed
        ):
            return False
        retries.add(bucket)
        return True

    def _current_bucket(self) -> int:
        return int(self._clock.monotonic() / self._bucket_s)
