"""Client of the platform's key-value store."""

import asyncio
import base64
from typing import Any, Final, Self, TypeVar
from urllib.parse import urlencode

import msgspec
from absl import logging

from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.http_client import (
    ResponseIncomplete,
    ServerConnectionPool,
    ServerResponse,
    ServerUnreachable,
)
from heathermount.store.interface import ChangeBatch, HistoryLost, KeyChange, Versioned

__all__ = ["PlatformStore"]

# A watch of the configuration, a watch of the nodes, a lease renewal and a write may
# be in flight at the same time.
MAX_CONNECTIONS: Final = 8

# With these statuses the store has rejected a call without any effect.
REJECTED_STATUSES: Final = frozenset({400, 403, 429, 503})


class Item(msgspec.Struct, rename="pascal"):
    """A key and its value, or in a watch also the deletion of a key."""

    key: str
    revision: int
    # Standard base64, padded.
    value: str = ""
    tombstone: bool = False


class Range(msgspec.Struct):
    items: list[Item] = []
    truncated: bool = msgspec.field(name="Truncated", default=False)
    # Revision of the whole store, not of an item.
    store_revision: int = msgspec.field(name="StoreRevision", default=0)


class Events(msgspec.Struct):
    store_revision: int = msgspec.field(name="StoreRevision")
    events: list[Item] = []


class Lease(msgspec.Struct, rename="pascal"):
    # Lease id.
    lease: int


class Written(msgspec.Struct, rename="pascal"):
    revision: int


Reply = TypeVar("Reply")


class PlatformStore:
    """Key-value store of the platform over HTTP; implements WatchedStore."""

    __slots__ = ("_host", "_pool", "_timeout_s", "calls")

    def __init__(self, endpoint: str, timeout_s: float) -> None:
        self._host = endpoint.encode()
        self._pool = ServerConnectionPool(endpoint, b"", MAX_CONNECTIONS)
        self._timeout_s = timeout_s
        # Number of calls by kind since the start of the process.
        self.calls: dict[str, int] = {}

    @classmethod
    def from_config(cls, endpoint: str, timeout_s: float) -> Self:
        return cls(endpoint, timeout_s)

    async def get(self, key: str) -> Versioned | None:
        answer = await self._read("kv-key", {"Key": key})
        if answer.status == 404:
            return None
        return decode_item(self._decode(answer, Item))

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        items, _ = await self.read_prefix(prefix)
        return items

    async def read_prefix(
        self, prefix: str, stale: bool = False
    ) -> tuple[dict[str, Versioned], int]:
        entries: dict[str, Versioned] = {}
        # The pages are not a snapshot. A watch from the first page's revision delivers
        # all changes made while later pages are read.
        revision = 0
        query: dict[str, Any] = {"Prefix": prefix}
        if stale:
            query["StaleRead"] = 1
        while True:
            answer = await self._read("kv-range", query)
            page = self._decode(answer, Range)
            revision = revision or page.store_revision
            for item in page.items:
                entries[item.key] = decode_item(item)
            if not page.truncated or not page.items:
                return entries, revision
            query["after"] = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        query = {"Prefix": prefix, "after": after, "WaitMs": int(wait_s * 1000)}
        answer = await self._read("kv-watch", query, wait_s)
        if answer.status == 410:
            raise HistoryLost(f"changes after revision {after} are no longer available")
        events = self._decode(answer, Events)
        return ChangeBatch(
            [decode_change(item) for item in events.events], events.store_revision
        )

    async def commit(
        self,
        compares: dict[str, int],
        writes: dict[str, bytes | None],
        lease_id: int = 0,
    ) -> bool:
        body = {
            "Expected": [
                {"Key": key, "Revision": revision} for key, revision in compares.items()
            ],
            "Puts": [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Lease": lease_id,
                }
                for key, value in writes.items()
                if value is not None
            ],
            "Deletes": [key for key, value in writes.items() if value is None],
        }
        answer = await self._write("POST", "kv-txn", body)
        if answer.status in (404, 412):
            return False
        self._decode(answer, Written, is_write=True)
        return True

    async def grant_lease(self, ttl_s: float) -> int:
        body = {"Ttl": f"{int(ttl_s * 1000)}ms"}
        answer = await self._write("POST", "kv-lease", body)
        return self._decode(answer, Lease, is_write=True).lease

    async def renew_lease(self, lease_id: int) -> bool:
        answer = await self._write("POST", f"kv-keep/{lease_id}", None)
        if answer.status == 404:
            return False
        check_status(answer, "kv-keep")
        return True

    async def end_lease(self, lease_id: int) -> None:
        answer = await self._write("DELETE", f"kv-lease-end/{lease_id}", None)
        if answer.status != 404:
            check_status(answer, "kv-lease-end")

    def _decode(
        self, answer: ServerResponse, kind: type[Reply], is_write: bool = False
    ) -> Reply:
        """Decode an answer; a write has taken effect even if it is malformed."""
        check_status(answer, kind.__name__)
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except (msgspec.MsgspecError, RecursionError) as error:
            error_type = StoreOutcomeUnknown if is_write else StoreUnavailable
            raise error_type(f"malformed answer from the store: {error}") from error

    async def _read(
        self, call: str, query: dict[str, Any], wait_s: float = 0.0
    ) -> ServerResponse:
        """Read from the store; raise StoreUnavailable on every failure.

        A read has no effect, so a lost answer leaves no unknown outcome.
        """
        try:
            return await self._call("GET", f"{call}?{urlencode(query)}", None, wait_s)
        except StoreOutcomeUnknown as error:
            raise StoreUnavailable(str(error)) from error

    async def _write(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> ServerResponse:
        return await self._call(method, path, body, 0.0)

    async def _call(
        self, method: str, path: str, body: dict[str, Any] | None, wait_s: float
    ) -> ServerResponse:
        kind = path.partition("?")[0].partition("/")[0]
        self.calls[kind] = self.calls.get(kind, 0) + 1
        encoded_body = b"" if body is None else msgspec.json.encode(body)
        request_head = (
            f"{method} /heathermount/{path} HTTP/1.1\r\nhost: {self._host.decode()}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(encoded_body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(self._timeout_s + wait_s):
                return await self._pool.exchange(
                    request_head.encode() + encoded_body, b""
                )
        except ServerUnreachable as error:
            raise StoreUnavailable(f"{kind}: {error}") from error
        except (ResponseIncomplete, TimeoutError) as error:
            raise StoreOutcomeUnknown(f"{kind}: {error!r}") from error


def check_status(answer: ServerResponse, call: str) -> None:
    """Raise the error that corresponds to an answer's status, if any."""
    if answer.status == 200:
        return
    message = f"{call}: the store answered {answer.status}"
    if answer.status in REJECTED_STATUSES or answer.status == 404:
        raise StoreUnavailable(message)
    raise StoreOutcomeUnknown(message)


def decode_item(item: Item) -> Versioned:
    return Versioned(decode_value(item), item.revision)


def decode_change(item: Item) -> KeyChange:
    value = None if item.tombstone else decode_value(item)
    return KeyChange(item.key, value, item.revision)


def decode_value(item: Item) -> bytes:
    """Return the value; empty if it cannot be read, which no record is.

    One such value must not make the others unreadable.
    """
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        logging.warning(
            'event=value-malformed key=%s revision=%d error="%s"',
            item.key,
            item.revision,
            error,
        )
        return b""
