"""Memory limit for the responses that a node holds for replay."""

from collections.abc import Callable
from typing import Final

__all__ = ["BodyBudget"]

MAX_HELD_BYTES: Final = 32 * 1024 * 1024


class BodyBudget:
    """Limits the held responses of all claim tables; drops the oldest ones first."""

    __slots__ = ("_bodies", "_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self._limit_bytes = limit_bytes
        # Size in bytes and drop function of each response, oldest first.
        self._bodies: dict[tuple[str, bytes], tuple[int, Callable[[], None]]] = {}
        self.used_bytes = 0

    def add(
        self, partition: str, key: bytes, size: int, drop: Callable[[], None]
    ) -> None:
        """Count a response of `size` bytes; `drop` frees it at the limit."""
        self.remove(partition, key)
        self._bodies[partition, key] = (size, drop)
        self.used_bytes += size
        while self.used_bytes > self._limit_bytes:
            oldest = next(iter(self._bodies))
            dropped_bytes, drop_oldest = self._bodies.pop(oldest)
            self.used_bytes -= dropped_bytes
            drop_oldest()

    def remove(self, partition: str, key: bytes) -> None:
        """Stop counting a response that is no longer held."""
        size, _ = self._bodies.pop((partition, key), (0, None))
        self.used_bytes -= size
