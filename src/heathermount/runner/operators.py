"""What a fleet run needs of the operator's functions.

`StoreOperator` is the only place that knows `heathermount.config.operator_changes`
and `heathermount.cli.actions`.
"""

import importlib
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, Protocol

from heathermount.clocks import Clock, SystemClock

__all__ = ["AcceptedChange", "Operator", "StoreOperator"]

STORE_PREFIX: Final = "/heathermount"
STORE_TIMEOUT_S: Final = 1.0
NODE_TIMEOUT_S: Final = 2.0


class AcceptedChange(NamedTuple):
    """Revision of a change, and when the store accepted it (monotonic, seconds)."""

    revision: int
    accepted_at: float


class Operator(Protocol):
    """Changes the configuration of a running fleet.

    Raises ConflictingChange, StoreUnavailable, StoreOutcomeUnknown or
    ConfigurationProblem.
    """

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> AcceptedChange:
        """Put a declaration in force."""

    async def add_key(self, organisation: str, author: str) -> str:
        """Return a new key of the organisation."""

    async def withdraw_key(self, key_id: str, author: str) -> AcceptedChange:
        """Withdraw a key."""


class StoreOperator:
    """Writes to the store and pushes to nodes, as the operator's tool does."""

    __slots__ = (
        "_access",
        "_actions",
        "_clock",
        "_declaration",
        "_operations",
        "_secret",
        "_store",
    )

    def __init__(
        self, endpoint: str, secret: bytes, clock: Clock | None = None
    ) -> None:
        # Imported by name, so that the stand-ins can be used without them.
        self._operations = importlib.import_module(
            "heathermount.config.operator_changes"
        )
        self._declaration = importlib.import_module("heathermount.config.declaration")
        self._actions = importlib.import_module("heathermount.cli.actions")
        etcd = importlib.import_module("heathermount.store.etcd")
        self._store = etcd.EtcdStore(endpoint, STORE_PREFIX, STORE_TIMEOUT_S)
        self._secret = secret
        self._clock = clock or SystemClock()
        self._access = self._actions.FleetAccess(self._store, secret, NODE_TIMEOUT_S)

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> AcceptedChange:
        checked = self._declaration.Declaration.from_config(declaration, note)
        return await self._write_and_push(
            lambda: self._operations.apply_declaration(
                self._store, checked, author, note, base_revision
            )
        )

    async def add_key(self, organisation: str, author: str) -> str:
        issued: list[str] = []

        async def add() -> Any:
            key, change = await self._operations.add_key(
                self._store, organisation, author, self._secret
            )
            issued.append(str(key))
            return change

        await self._write_and_push(add)
        return issued[0]

    async def withdraw_key(self, key_id: str, author: str) -> AcceptedChange:
        return await self._write_and_push(
            lambda: self._operations.withdraw_key(self._store, key_id, author)
        )

    async def _write_and_push(
        self, write: Callable[[], Awaitable[Any]]
    ) -> AcceptedChange:
        """Write a change and give it to some nodes of every service."""
        # The nodes are read before the write: the push must not need the store.
        nodes = await self._actions.find_nodes(self._access)
        change = await write()
        accepted = AcceptedChange(int(change.revision), self._clock.monotonic())
        await self._actions.push_change(self._access, change, nodes)
        return accepted
