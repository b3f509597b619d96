"""What the system needs of the platform's key-value service."""

from typing import Protocol

from heathermount.errors import HeathermountError

__all__ = [
    "KeyChange",
    "ChangeBatch",
    "HistoryLost",
    "Store",
    "Versioned",
    "WatchedStore",
]


class HistoryLost(HeathermountError):
    """The store has dropped the changes asked for; read the keys again."""


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


class KeyChange:
    """A change of one key; `value` is None when the key was deleted."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class ChangeBatch:
    """Changes under a prefix and the revision from which to go on."""

    __slots__ = ("events", "revision")

    def __init__(self, events: list[KeyChange], revision: int) -> None:
        self.events = events
        self.revision = revision


class WatchedStore(Store, Protocol):
    """A store with watches by long polls, and with leases.

    The calls fail like those of Store.
    """

    # Calls by kind since the start.
    calls: dict[str, int]

    async def read_prefix(self, prefix: str) -> tuple[dict[str, Versioned], int]:
        """Return all keys under a prefix, and the revision to watch from."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """Return the changes after a revision, waiting for the first one.

        Raises HistoryLost when the store no longer has them.
        """

    async def commit(
        self,
        compares: dict[str, int],
        writes: dict[str, bytes | None],
        lease_id: int = 0,
    ) -> bool:
        """Apply the writes as Store does; the keys end with the lease, if any.

        Also returns False when the lease has ended.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the identifier of a new lease."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; false when it has ended."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
