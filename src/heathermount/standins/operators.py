"""What a fleet run needs of the operator's functions.

`StoreOperator` is the only place that knows `heathermount.config.operations`.
"""

import importlib
from typing import Any, Protocol

__all__ = ["Operator", "StoreOperator"]


class Operator(Protocol):
    """Changes the configuration of a running fleet."""

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> None:
        """Put a declaration in force; raise ConflictingChange when it lost a race."""

    async def add_key(self, organisation: str, author: str) -> str:
        """Return a new key of the organisation."""

    async def withdraw_key(self, key_id: str, author: str) -> None:
        """Withdraw a key."""


class StoreOperator:
    """Writes to the store through the operator's functions."""

    __slots__ = ("_operations", "_secret", "_store")

    def __init__(self, endpoint: str, secret: bytes) -> None:
        etcd = importlib.import_module("heathermount.store.etcd")
        self._operations = importlib.import_module("heathermount.config.operations")
        self._store = etcd.EtcdStore(endpoint, "/heathermount", 1.0)
        self._secret = secret

    async def apply(
        self,
        declaration: dict[str, Any],
        author: str,
        note: str,
        base_revision: int | None = None,
    ) -> None:
        module = importlib.import_module("heathermount.config.declaration")
        checked = module.Declaration.from_config(declaration, note)
        await self._operations.apply_declaration(
            self._store, checked, author, note, base_revision
        )

    async def add_key(self, organisation: str, author: str) -> str:
        key, _ = await self._operations.add_key(
            self._store, organisation, author, self._secret
        )
        return str(key)

    async def withdraw_key(self, key_id: str, author: str) -> None:
        await self._operations.withdraw_key(self._store, key_id, author)
