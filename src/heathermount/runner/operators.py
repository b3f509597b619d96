"""Interface through which a fleet run changes the fleet's configuration.

In this package, only `StoreOperator` depends on `heathermount.config.operator_changes`
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
    """A change's revision, and the monotonic time in seconds when it was accepted."""

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
        """Apply a declaration."""

    async def add_key(self, organisation: str, author: str) -> str:
        """Issue a key for the organisation and return it."""

    async def withdraw_key(self, key_id: str, author: str) -> AcceptedChange:
        """Withdraw a key."""


class StoreOperator:
    """Writes to the store and pushes to nodes, as heathermountctl does."""

    __slots__ = (
        "_access",
        "_actions_module",
        "_clock",
        "_declaration_module",
        "_operator_changes_module",
        "_secret",
        "_store",
    )

    def __init__(
        self, endpoint: str, secret: bytes, clock: Clock | None = None
    ) -> None:
        # Imported here, so that the stand-ins can be used without these modules.
        self._operator_changes_module = importlib.import_module(
            "heathermount.config.operator_changes"
        )
        self._declaration_module = importlib.import_module(
            "heathermount.config.declaration"
        )
        self._actions_module = importlib.import_module("heathermount.cli.actions")
        etcd = importlib.import_module("heathermount.store.etcd")
        self._store = etcd.EtcdStore(endpoint, STORE_PREFIX, STORE_TIMEOUT_S)
        self._secret = secret
        self._clock = clock or SystemClock()
        self._access = self._actions_module.FleetAccess(
            self._store, secret, NODE_TIMEOUT_S
        )

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> AcceptedChange:
        parsed_declaration = self._declaration_module.Declaration.from_config(
            declaration, note
        )
        return await self._write_and_push(
            lambda: self._operator_changes_module.apply_declaration(
                self._store, parsed_declaration, author, note, base_revision
            )
        )

    async def add_key(self, organisation: str, author: str) -> str:
        issued_keys: list[str] = []

        async def add() -> Any:
            key, change = await self._operator_changes_module.add_key(
                self._store, organisation, author, self._secret
            )
            issued_keys.append(str(key))
            return change

        await self._write_and_push(add)
        return issued_keys[0]

    async def withdraw_key(self, key_id: str, author: str) -> AcceptedChange:
        return await self._write_and_push(
            lambda: self._operator_changes_module.withdraw_key(
                self._store, key_id, author
            )
        )

    async def _write_and_push(
        self, write: Callable[[], Awaitable[Any]]
    ) -> AcceptedChange:
        """Write a change and push it to some nodes of each service."""
        # Reads the rosters before the write, so that the push does not need the store.
        nodes = await self._actions_module.find_nodes(self._access)
        change = await write()
        accepted = AcceptedChange(int(change.revision), self._clock.monotonic())
        await self._actions_module.push_change(self._access, change, nodes)
        return accepted
