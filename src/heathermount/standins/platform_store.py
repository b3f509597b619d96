"""Stand-in of the platform's metadata store: revisions, watches, leases, faults."""

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

PREFIX: Final = "/heathermount/"
JSON: Final = [(b"content-type", b"application/json")]

# Keys that only the operator and the servers write.
RESERVED: Final = ("op/", "servers/")

PAGE_ITEMS: Final = 500
MAX_ENTRIES: Final = 32


class StoredItem:
    """One key of the store."""

    __slots__ = ("created", "key", "lease", "revision", "value")

    def __init__(
        self, key: str, value: str, revision: int, created: int, lease: int
    ) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def describe(self) -> dict[str, Any]:
        return {
            "Key": self.key,
            "Value": self.value,
            "Revision": self.revision,
            "Created": self.created,
            "Lease": self.lease,
        }


class PlatformStoreStandIn:
    """An HTTP server that answers like the platform's store.

    Faults are attributes that tests set: `down` answers 503, `silent` never
    answers, `limited` answers 429, `lose_answers` acts and closes the
    connection, `act_late_s` acts that long after the connection was closed.
    `rewrite` may change a value that a node writes, so that a proxy stands
    between nodes that find each other here.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, StoredItem] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.first_kept = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls: dict[str, int] = {}
        self.down = False
        self.silent = False
        self.limited = False
        self.lose_answers = False
        self.act_late_s = 0.0
        self.rewrite: Callable[[str, bytes], bytes] = lambda key, value: value
        self.address = ""
        # Leases have a number of their own, also after they have ended.
        self._last_lease = 1000
        self._changed = asyncio.Event()
        self._connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None
        self._late: set[asyncio.Task[None]] = set()

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
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        assert self._server is not None and self._expiry is not None
        self._expiry.cancel()
        self._server.close()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Reset all connections; waiting watches are cut."""
        for connection in list(self._connections):
            connection.abort()

    def operate(self, key: str, value: bytes) -> int:
        """Write a key as the operator; return the revision."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)
        self._announce()
        return self.revision

    def compact(self) -> None:
        """Drop the history; older watches get 410."""
        self.history.clear()
        self.first_kept = self.revision
        self._announce()

    def lapse_leases(self) -> None:
        """Let all leases run out at once."""
        for lease in list(self.leases):
            self._end_lease(lease)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        path, _, query = request.target.decode().partition("?")
        call, _, argument = path.removeprefix(PREFIX).partition("/")
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.silent:
            await asyncio.Event().wait()
        if self.down:
            return HttpResponse(503, [])
        if self.limited:
            return HttpResponse(429, [])
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        body = msgspec.json.decode(request.body) if request.body else {}
        if self.act_late_s and call in ("kv-txn", "kv-lease"):
            self._act_later(call, argument, parameters, body)
            self.cut_connections()
            await asyncio.Event().wait()
        response = await self._answer(call, argument, parameters, body)
        if self.lose_answers and call in ("kv-txn", "kv-lease"):
            self.cut_connections()
            await asyncio.Event().wait()
        return response

    def _act_later(
        self, call: str, argument: str, parameters: dict[str, str], body: Any
    ) -> None:
        async def act() -> None:
            await asyncio.sleep(self.act_late_s)
            await self._answer(call, argument, parameters, body)

        task = asyncio.create_task(act())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _answer(
        self, call: str, argument: str, parameters: dict[str, str], body: Any
    ) -> HttpResponse:
        match call:
            case "kv-key":
                return self._read_key(parameters["Key"])
            case "kv-range":
                return self._read_range(parameters)
            case "kv-watch":
                return await self._watch(parameters)
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                return self._grant(body)
            case "kv-keep":
                return self._keep(int(argument))
            case "kv-lease-end":
                known = int(argument) in self.leases
                self._end_lease(int(argument))
                return answer(200 if known else 404, {})
        return HttpResponse(404, [])

    def _read_key(self, key: str) -> HttpResponse:
        item = self.items.get(key)
        if item is None:
            return answer(404, {"StoreRevision": self.revision})
        return answer(200, item.describe() | {"StoreRevision": self.revision})

    def _read_range(self, parameters: dict[str, str]) -> HttpResponse:
        after = parameters.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(parameters["Prefix"]) and key > after
        )
        return answer(
            200,
            {
                "items": [self.items[key].describe() for key in keys[:PAGE_ITEMS]],
                "Truncated": len(keys) > PAGE_ITEMS,
                "StoreRevision": self.revision,
            },
        )

    async def _watch(self, parameters: dict[str, str]) -> HttpResponse:
        after, prefix = int(parameters["after"]), parameters["Prefix"]
        loop = asyncio.get_running_loop()
        until = loop.time() + int(parameters["WaitMs"]) / 1000
        while True:
            if after < self.first_kept:
                return answer(410, {})
            events = [
                event
                for revision, event in self.history
                if revision > after and event["Key"].startswith(prefix)
            ]
            remaining_s = until - loop.time()
            if events or remaining_s <= 0:
                return answer(200, {"events": events, "StoreRevision": self.revision})
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, Any]) -> HttpResponse:
        expected, puts = body.get("Expected", []), body.get("Puts", [])
        deletes = body.get("Deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_ENTRIES:
            return answer(400, {})
        keys = [put["Key"] for put in puts] + deletes
        if any(key.startswith(RESERVED) for key in keys):
            return answer(403, {})
        if any(put.get("Lease") and put["Lease"] not in self.leases for put in puts):
            return answer(404, {})
        for row in expected:
            item = self.items.get(row["Key"])
            if (item.revision if item is not None else 0) != row["Revision"]:
                present = [
                    self.items[r["Key"]] for r in expected if r["Key"] in self.items
                ]
                return answer(412, {"items": [one.describe() for one in present]})
        self.revision += 1
        for put in puts:
            value = self.rewrite(put["Key"], base64.b64decode(put["Value"]))
            encoded = base64.b64encode(value).decode()
            self._put(put["Key"], encoded, put.get("Lease", 0))
        for key in deletes:
            self._delete(key)
        self._announce()
        return answer(200, {"Revision": self.revision})

    def _grant(self, body: dict[str, Any]) -> HttpResponse:
        ttl_s = parse_duration(body["Ttl"])
        self._last_lease += 1
        lease = self._last_lease
        self.leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return answer(200, {"Lease": lease, "Ttl": body["Ttl"]})

    def _keep(self, lease: int) -> HttpResponse:
        known = self.leases.get(lease)
        if known is None:
            return answer(404, {})
        ttl_s = known[1]
        self.leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return answer(200, {"Ttl": f"{int(ttl_s * 1000)}ms"})

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        self.revision += 1
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self._delete(key)
        self._announce()

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            for lease, (ends_at, _) in list(self.leases.items()):
                if ends_at < loop.time() and not self.down:
                    self._end_lease(lease)

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known is not None else self.revision
        item = StoredItem(key, value, self.revision, created, lease)
        self.items[key] = item
        self.history.append((self.revision, item.describe()))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        event = {"Key": key, "Revision": self.revision, "Tombstone": True}
        self.history.append((self.revision, event))

    def _announce(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def answer(status: int, body: dict[str, Any]) -> HttpResponse:
    return HttpResponse(status, JSON, msgspec.json.encode(body))
