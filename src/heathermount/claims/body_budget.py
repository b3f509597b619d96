"""Bound on the memory for held responses of one node."""

from collections.abc import Callable
from typing import Final

__all__ = ["BodyBudget"]

MAX_HELD_BYTES: Final = 32 * 1024 * 1024


class BodyBudget:
    """Counts held bodies of all claim tables and drops the oldest first."""

    __slots__ = ("_bodies", "_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self._limit_bytes = limit_bytes
        # Size and drop function of each body, in order of age.
        self._bodies: dict[tuple[str, bytes], tuple[int, Callable[[], None]]] = {}
        self.used_bytes = 0

    def add(
        self, partition: str, key: bytes, size: int, drop: Callable[[], None]
    ) -> None:
        """Count a body of `size` bytes; `drop` is called when it must go."""
        self.remove(partition, key)
        self._bodies[partition, key] = (size, drop)
        self.used_bytes += size
        while self.used_bytes > self._limit_bytes:
            oldest = next(iter(self._bodies))
            dropped_bytes, drop_oldest = self._bodies.pop(oldest)
            self.used_bytes -= dropped_bytes
            drop_oldest()

    def remove(self, partition: str, key: bytes) -> None:
        """Stop counting a body that is no longer held."""
        size, _ = self._bodies.pop((partition, key), (0, None))
        self.used_bytes -= size
