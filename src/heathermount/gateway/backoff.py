"""Pauses between calls to a store that does not answer."""

import asyncio
from random import Random
from typing import Final

__all__ = ["RetryBackoff"]

# First and longest pause, in seconds. All calls count against the store's rates,
# also those that it refuses, and entries that lapsed while the store was away
# must be back within two seconds of its return.
INITIAL_DELAY_S: Final = 0.3
MAX_DELAY_S: Final = 1.2

# Spread of the pauses, so that nodes do not call together.
JITTER_RATIO: Final = 0.2


class RetryBackoff:
    """Grows with each failure until a call succeeds."""

    __slots__ = ("_base_delay_s", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._base_delay_s = INITIAL_DELAY_S

    def reset(self) -> None:
        self._base_delay_s = INITIAL_DELAY_S

    def next_delay_s(self) -> float:
        """Return the pause after one more failure, in seconds."""
        delay_s = self._base_delay_s * self._random.uniform(
            1.0 - JITTER_RATIO, 1.0 + JITTER_RATIO
        )
        self._base_delay_s = min(MAX_DELAY_S, 2 * self._base_delay_s)
        return delay_s

    async def wait(self) -> None:
        """Wait after a failure."""
        await asyncio.sleep(self.next_delay_s())
