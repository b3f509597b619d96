"""What a fleet run needs of the operator's functions.

`StoreOperator` is the only place that knows `heathermount.config.operations`.
"""

import importlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

__all__ = ["Operator", "Push", "StoreOperator"]

# Hands an accepted change to some nodes, as the operator's tool does.
Push = Callable[[Any], Awaitable[None]]


class Operator(Protocol):
    """Changes the configuration of a running fleet; returns its new revision.

    Raises ConflictingChange, StoreUnavailable or StoreOutcomeUnknown.
    """

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> int:
        """Put a declaration in force."""

    async def add_key(self, organisation: str, author: str) -> str:
        """Return a new key of the organisation."""

    async def withdraw_key(self, key_id: str, author: str) -> int:
        """Withdraw a key."""


class StoreOperator:
    """Writes to the store through the operator's functions, then pushes."""

    __slots__ = ("_declaration", "_operations", "_push", "_secret", "_store")

    def __init__(self, endpoint: str, secret: bytes, push: Push | None = None) -> None:
        # Imported by name, so that the stand-ins can be used without them.
        self._operations = importlib.import_module("heathermount.config.operations")
        self._declaration = importlib.import_module("heathermount.config.declaration")
        etcd = importlib.import_module("heathermount.store.etcd")
        self._store = etcd.EtcdStore(endpoint, "/heathermount", 1.0)
        self._secret = secret
        self._push = push

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> int:
        checked = self._declaration.Declaration.from_config(declaration, note)
        change = await self._operations.apply_declaration(
            self._store, checked, author, note, base_revision
        )
        return await self._finish(change)

    async def add_key(self, organisation: str, author: str) -> str:
        key, change = await self._operations.add_key(
            self._store, organisation, author, self._secret
        )
        await self._finish(change)
        return str(key)

    async def withdraw_key(self, key_id: str, author: str) -> int:
        change = await self._operations.withdraw_key(self._store, key_id, author)
        return await self._finish(change)

    async def _finish(self, change: Any) -> int:
        if self._push is not None:
            await self._push(change)
        return int(change.revision)
