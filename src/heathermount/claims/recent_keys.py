"""Idempotency keys that were recently granted to calls of this node."""

from typing import Final

from heathermount.clocks import Clock

__all__ = ["RecentKeys"]

# About 2 MiB of memory.
MAX_REMEMBERED_KEYS: Final = 16_384


class RecentKeys:
    """Remembers keys that may have run.

    When no owner answers, a retry with such a key must not be refused as `not-run`.
    """

    __slots__ = ("_clock", "_expires_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Monotonic time by key, oldest addition first.
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
