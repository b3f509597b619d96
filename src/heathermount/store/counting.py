"""Store wrapper that counts calls."""

from collections.abc import Callable

from heathermount.store.interface import Store, Versioned

__all__ = ["CountingStore"]


class CountingStore:
    """Reports each call by kind (get, list or commit) before passing it on."""

    __slots__ = ("_record_call", "_store")

    def __init__(self, store: Store, record_call: Callable[[str], None]) -> None:
        self._store = store
        self._record_call = record_call

    async def get(self, key: str) -> Versioned | None:
        self._record_call("get")
        return await self._store.get(key)

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        self._record_call("list")
        return await self._store.get_prefix(prefix)

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        self._record_call("commit")
        return await self._store.commit(compares, writes)
