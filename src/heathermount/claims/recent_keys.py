"""Keys that calls of this node were granted lately."""

from typing import Final

from heathermount.clocks import Clock

__all__ = ["RecentKeys"]

# Bounds the memory; about 2 MiB.
MAX_REMEMBERED_KEYS: Final = 16_384


class RecentKeys:
    """Remembers keys that may have run, for truthful refusals of their resends."""

    __slots__ = ("_clock", "_expires_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # In order of addition.
        self._expires_at: dict[bytes, float] = {}

    def add(self, key: bytes, retention_s: float) -> None:
        """Remember a key for `retention_s` seconds."""
        self._expires_at.pop(key, None)
        self._expires_at[key] = self._clock.monotonic() + retention_s
        while len(self._expires_at) > MAX_REMEMBERED_KEYS:
            del self._expires_at[next(iter(self._expires_at))]

    def remove(self, key: bytes) -> None:
        self._expires_at.pop(key, None)

    def contains(self, key: bytes) -> bool:
        expires_at = self._expires_at.get(key)
        return expires_at is not None and self._clock.monotonic() < expires_at
