"""Stand-in for the platform's metadata store, with fault injection.

It implements revisions, transactions, watches and leases.
"""

import asyncio
import base64
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec

from heathermount.config.durations import parse_duration
from heathermount.gateway.http_server import (
    HttpConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)

__all__ = ["PlatformStoreStandIn"]

PATH_PREFIX: Final = "/heathermount/"
JSON_HEADERS: Final = [(b"content-type", b"application/json")]

# Prefixes of keys that only the operator and the servers may write.
RESERVED_PREFIXES: Final = ("op/", "servers/")

MAX_PAGE_ITEMS: Final = 500
MAX_TRANSACTION_ENTRIES: Final = 32


class StoredItem:
    """A key of the store with its value and metadata."""

    __slots__ = ("created", "key", "lease_id", "revision", "value")

    def __init__(
        self, key: str, value: str, revision: int, created: int, lease_id: int
    ) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease_id = lease_id

    def describe(self) -> dict[str, Any]:
        return {
            "Key": self.key,
            "Value": self.value,
            "Revision": self.revision,
            "Created": self.created,
            "Lease": self.lease_id,
        }


class PlatformStoreStandIn:
    """HTTP server with the interface of the platform's store.

    Tests inject faults by setting attributes. With `down` the server responds with
    503, with `limited` it responds with 429, and with `silent` it never responds.
    With `malformed` it executes a call and answers with a truncated body.
    With `lose_answers` it applies a write and closes all connections; with
    `apply_delay_s` it closes all connections and applies the write that many
    seconds later. `rewrite_value` may change a value that a node writes, for
    example to put a proxy between nodes that find each other through the store.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, StoredItem] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.oldest_watchable_revision = 0
        # Expiry time and time to live, in seconds, by lease identifier.
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls: dict[str, int] = {}
        self.down = False
        self.silent = False
        self.limited = False
        self.malformed = False
        self.lose_answers = False
        self.apply_delay_s = 0.0
        self.rewrite_value: Callable[[str, bytes], bytes] = lambda key, value: value
        self.address = ""
        # Lease identifiers are never reused, not even after a lease has ended.
        self._last_lease_id = 1000
        self._change_event = asyncio.Event()
        self._connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None
        self._expiry_task: asyncio.Task[None] | None = None
        self._late_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        limits = HttpLimits(max_body_bytes=16_000_000)
        self._server = await loop.create_server(
            lambda: HttpConnection(
                self._handle, lambda: limits, self._connections, lambda: False
            ),
            "127.0.0.1",
            0,
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        assert self._server is not None and self._expiry_task is not None
        self._expiry_task.cancel()
        self._server.close()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Abort all connections, including those of pending watches."""
        for connection in list(self._connections):
            connection.abort()

    def put_as_operator(self, key: str, value: bytes) -> int:
        """Write a key as the operator; return the revision."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)
        self._notify_watchers()
        return self.revision

    def put_unencoded(self, key: str, text: str) -> None:
        """Write a value that is no base64 text."""
        self.revision += 1
        self._put(key, text, 0)
        self._notify_watchers()

    def compact(self) -> None:
        """Delete the history, so that watches from an older revision get 410."""
        self.history.clear()
        self.oldest_watchable_revision = self.revision
        self._notify_watchers()

    def lapse_leases(self) -> None:
        """End all leases at once."""
        for lease_id in list(self.leases):
            self._end_lease(lease_id)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        path, _, query = request.target.decode().partition("?")
        operation, _, argument = path.removeprefix(PATH_PREFIX).partition("/")
        self.calls[operation] = self.calls.get(operation, 0) + 1
        if self.silent:
            await asyncio.Event().wait()
        if self.down:
            return HttpResponse(503, [])
        if self.limited:
            return HttpResponse(429, [])
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        body = msgspec.json.decode(request.body) if request.body else {}
        if self.apply_delay_s and operation in ("kv-txn", "kv-lease"):
            self._apply_later(operation, argument, parameters, body)
            self.cut_connections()
            await asyncio.Event().wait()
        response = await self._dispatch(operation, argument, parameters, body)
        if self.lose_answers and operation in ("kv-txn", "kv-lease"):
            self.cut_connections()
            await asyncio.Event().wait()
        if self.malformed:
            response.body = response.body[:-1]
        return response

    def _apply_later(
        self, operation: str, argument: str, parameters: dict[str, str], body: Any
    ) -> None:
        async def apply() -> None:
            await asyncio.sleep(self.apply_delay_s)
            await self._dispatch(operation, argument, parameters, body)

        task = asyncio.create_task(apply())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    async def _dispatch(
        self, operation: str, argument: str, parameters: dict[str, str], body: Any
    ) -> HttpResponse:
        match operation:
            case "kv-key":
                return self._read_key(parameters["Key"])
            case "kv-range":
                return self._read_range(parameters)
            case "kv-watch":
                return await self._watch(parameters)
            case "kv-txn":
                return self._commit_transaction(body)
            case "kv-lease":
                return self._grant_lease(body)
            case "kv-keep":
                return self._renew_lease(int(argument))
            case "kv-lease-end":
                lease_exists = int(argument) in self.leases
                self._end_lease(int(argument))
                return make_json_response(200 if lease_exists else 404, {})
        return HttpResponse(404, [])

    def _read_key(self, key: str) -> HttpResponse:
        item = self.items.get(key)
        if item is None:
            return make_json_response(404, {"StoreRevision": self.revision})
        return make_json_response(
            200, item.describe() | {"StoreRevision": self.revision}
        )

    def _read_range(self, parameters: dict[str, str]) -> HttpResponse:
        after = parameters.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(parameters["Prefix"]) and key > after
        )
        return make_json_response(
            200,
            {
                "items": [self.items[key].describe() for key in keys[:MAX_PAGE_ITEMS]],
                "Truncated": len(keys) > MAX_PAGE_ITEMS,
                "StoreRevision": self.revision,
            },
        )

    async def _watch(self, parameters: dict[str, str]) -> HttpResponse:
        after, prefix = int(parameters["after"]), parameters["Prefix"]
        loop = asyncio.get_running_loop()
        wait_ends_at_s = loop.time() + int(parameters["WaitMs"]) / 1000
        while True:
            if after < self.oldest_watchable_revision:
                return make_json_response(410, {})
            events = [
                event
                for revision, event in self.history
                if revision > after and event["Key"].startswith(prefix)
            ]
            remaining_s = wait_ends_at_s - loop.time()
            if events or remaining_s <= 0:
                return make_json_response(
                    200, {"events": events, "StoreRevision": self.revision}
                )
            change_event = self._change_event
            try:
                async with asyncio.timeout(remaining_s):
                    await change_event.wait()
            except TimeoutError:
                continue

    def _commit_transaction(self, body: dict[str, Any]) -> HttpResponse:
        expected, puts = body.get("Expected", []), body.get("Puts", [])
        deletes = body.get("Deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_TRANSACTION_ENTRIES:
            return make_json_response(400, {})
        keys = [put["Key"] for put in puts] + deletes
        if any(key.startswith(RESERVED_PREFIXES) for key in keys):
            return make_json_response(403, {})
        if any(put.get("Lease") and put["Lease"] not in self.leases for put in puts):
            return make_json_response(404, {})
        for precondition in expected:
            item = self.items.get(precondition["Key"])
            if (item.revision if item is not None else 0) != precondition["Revision"]:
                present = [
                    self.items[entry["Key"]]
                    for entry in expected
                    if entry["Key"] in self.items
                ]
                return make_json_response(
                    412, {"items": [stored.describe() for stored in present]}
                )
        self.revision += 1
        for put in puts:
            value = self.rewrite_value(put["Key"], base64.b64decode(put["Value"]))
            encoded = base64.b64encode(value).decode()
            self._put(put["Key"], encoded, put.get("Lease", 0))
        for key in deletes:
            self._delete(key)
        self._notify_watchers()
        return make_json_response(200, {"Revision": self.revision})

    def _grant_lease(self, body: dict[str, Any]) -> HttpResponse:
        ttl_s = parse_duration(body["Ttl"])
        self._last_lease_id += 1
        lease_id = self._last_lease_id
        self.leases[lease_id] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return make_json_response(200, {"Lease": lease_id, "Ttl": body["Ttl"]})

    def _renew_lease(self, lease_id: int) -> HttpResponse:
        lease = self.leases.get(lease_id)
        if lease is None:
            return make_json_response(404, {})
        ttl_s = lease[1]
        self.leases[lease_id] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return make_json_response(200, {"Ttl": f"{int(ttl_s * 1000)}ms"})

    def _end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        self.revision += 1
        for key in [k for k, item in self.items.items() if item.lease_id == lease_id]:
            self._delete(key)
        self._notify_watchers()

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            for lease_id, (ends_at, _) in list(self.leases.items()):
                if ends_at < loop.time() and not self.down:
                    self._end_lease(lease_id)

    def _put(self, key: str, value: str, lease_id: int) -> None:
        existing = self.items.get(key)
        created = existing.created if existing is not None else self.revision
        item = StoredItem(key, value, self.revision, created, lease_id)
        self.items[key] = item
        self.history.append((self.revision, item.describe()))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        event = {"Key": key, "Revision": self.revision, "Tombstone": True}
        self.history.append((self.revision, event))

    def _notify_watchers(self) -> None:
        change_event, self._change_event = self._change_event, asyncio.Event()
        change_event.set()


def make_json_response(status: int, body: dict[str, Any]) -> HttpResponse:
    return HttpResponse(status, JSON_HEADERS, msgspec.json.encode(body))
