"""Pauses between calls to a store that does not answer."""

import asyncio
from random import Random
from typing import Final

__all__ = ["RetryPause"]

# First and longest pause, in seconds. All calls count against the store's rates,
# also those that it refuses, and entries that lapsed while the store was away
# must be back within two seconds of its return.
FIRST_S: Final = 0.3
LONGEST_S: Final = 1.2

# Spread of the pauses, so that nodes do not call together.
SPREAD: Final = 0.2


class RetryPause:
    """Grows with each failure until a call succeeds."""

    __slots__ = ("_next_s", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._next_s = FIRST_S

    def succeeded(self) -> None:
        self._next_s = FIRST_S

    def choose(self) -> float:
        """Return the pause after one more failure, in seconds."""
        pause_s = self._next_s * self._random.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        self._next_s = min(LONGEST_S, 2 * self._next_s)
        return pause_s

    async def wait(self) -> None:
        """Wait after a failure."""
        await asyncio.sleep(self.choose())
