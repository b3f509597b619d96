"""What the system needs of the platform's key-value service."""

from typing import Protocol

__all__ = ["Store", "Versioned"]


class Versioned:
    """A value and the version to compare when it is replaced."""

    __slots__ = ("value", "version")

    def __init__(self, value: bytes, version: int) -> None:
        self.value = value
        self.version = version

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Versioned):
            return NotImplemented
        return (self.value, self.version) == (other.value, other.version)

    def __hash__(self) -> int:
        return hash((self.value, self.version))

    def __repr__(self) -> str:
        return f"Versioned({self.value!r}, {self.version})"


class Store(Protocol):
    """A key-value service with multi-key transactions; keys are relative.

    Reads raise StoreUnavailable on any failure. `commit` raises
    StoreUnavailable when the call did not take effect and StoreOutcomeUnknown
    when it was sent and its answer was lost.
    """

    async def get(self, key: str) -> Versioned | None:
        """Return the value of a key, or None when it is absent."""

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        """Return all keys that start with `prefix`, in order."""

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        """Apply the writes if every compared key has the given version.

        Version 0 stands for an absent key; a write of None deletes the key.
        Returns False, and writes nothing, when a comparison fails.
        """
