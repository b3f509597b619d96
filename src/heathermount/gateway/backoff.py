"""Backoff with jitter for calls to the store, and the timeout of its watches."""

import asyncio
from random import Random
from typing import Final

__all__ = ["WATCH_TIMEOUT_S", "RetryBackoff", "pause_between_watches"]

# A watch counts as one call against the store's rate limit, however long it waits. One
# whose connection has been cut silently delivers nothing until its timeout.
WATCH_TIMEOUT_S: Final = 5.0

# Shortest time between the starts of two watches. Bounds the calls while the store
# answers them at once without a change.
MIN_WATCH_INTERVAL_S: Final = 0.1

# Every call counts against the store's rate limits, even one that it refuses. On the
# other hand, entries whose leases expired during an outage of the store must be
# written again within two seconds of its return.
INITIAL_DELAY_S: Final = 0.3
MAX_DELAY_S: Final = 1.2

# Keeps the nodes from calling at the same time.
JITTER_RATIO: Final = 0.2


class RetryBackoff:
    """Delay before the next retry; doubles with each failure until `reset`."""

    __slots__ = ("_base_delay_s", "_initial_delay_s", "_max_delay_s", "_random")

    def __init__(
        self,
        random: Random,
        initial_delay_s: float = INITIAL_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self._random = random
        self._initial_delay_s = initial_delay_s
        self._max_delay_s = max_delay_s
        self._base_delay_s = initial_delay_s

    def reset(self) -> None:
        self._base_delay_s = self._initial_delay_s

    def next_delay_s(self) -> float:
        """Return the delay after another failure, and double the next one."""
        delay_s = self._base_delay_s * self._random.uniform(
            1.0 - JITTER_RATIO, 1.0 + JITTER_RATIO
        )
        self._base_delay_s = min(self._max_delay_s, 2 * self._base_delay_s)
        return delay_s

    async def wait(self) -> None:
        """Sleep for the delay after another failure."""
        await asyncio.sleep(self.next_delay_s())


async def pause_between_watches(elapsed_s: float) -> None:
    """Sleep until the next watch, `elapsed_s` after the start of the last one."""
    await asyncio.sleep(max(0.0, MIN_WATCH_INTERVAL_S - elapsed_s))
