"""Interfaces of the key-value store that the system uses."""

from typing import Protocol

from heathermount.errors import HeathermountError

__all__ = [
    "ChangeBatch",
    "HistoryLost",
    "KeyChange",
    "Store",
    "Versioned",
    "WatchedStore",
]


class HistoryLost(HeathermountError):
    """The requested changes are no longer in the store's history; read the keys."""


class Versioned:
    """A value and its version, for optimistic concurrency control."""

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
    """A key-value store with multi-key transactions.

    Keys are relative to the prefix of the client. Reads raise StoreUnavailable on
    any failure. `commit` raises StoreUnavailable if it had no effect, and
    StoreOutcomeUnknown if it was sent and its answer was lost.
    """

    async def get(self, key: str) -> Versioned | None:
        """Return the value of a key, or None if it does not exist."""

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        """Return all keys that start with `prefix`, in key order."""

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        """Apply the writes if every compared key has the given version.

        Version 0 means that the key does not exist. A write of None deletes the
        key. Returns False and writes nothing if a comparison fails.
        """


class KeyChange:
    """A change of one key; `value` is None if the key was deleted."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class ChangeBatch:
    """Changes under a prefix and the revision after which to continue the watch."""

    __slots__ = ("events", "revision")

    def __init__(self, events: list[KeyChange], revision: int) -> None:
        self.events = events
        self.revision = revision


class WatchedStore(Store, Protocol):
    """A store that also offers long-poll watches and leases.

    Its calls raise the same errors as those of Store.
    """

    # Number of calls by kind.
    calls: dict[str, int]

    async def read_prefix(
        self, prefix: str, stale: bool = False
    ) -> tuple[dict[str, Versioned], int]:
        """Return all keys under a prefix and the revision to watch from.

        With `stale`, the answer may be seconds old, which costs the store less.
        """

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """Return the changes after a revision; wait up to `wait_s` for the first.

        Raises HistoryLost if the store no longer has them.
        """

    async def commit(
        self,
        compares: dict[str, int],
        writes: dict[str, bytes | None],
        lease_id: int = 0,
    ) -> bool:
        """Apply the writes as Store does.

        With `lease_id`, the written keys are deleted when that lease expires.
        Also returns False if the lease has already expired.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease of `ttl_s` seconds and return its identifier."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def end_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
