"""HTTP/JSON gateway of etcd v3 on top of a StoreState, as an ASGI application."""

import base64
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final

import anyio
import msgspec

from heathermount.errors import StoreUnavailable
from heathermount.standins.store_state import (
    Compare,
    StoreFaults,
    StoreItem,
    StoreSnapshot,
    StoreState,
    TooManyCalls,
)

__all__ = ["StoreGateway"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Body = dict[str, Any]

# Content-Length of a lost response. No body follows, so that the connection ends
# in the middle of the response.
TRUNCATED_CONTENT_LENGTH: Final = b"64"

# Fields of POST /faults that trigger an action instead of setting a fault.
ONE_TIME_ACTIONS: Final = ("lapse_leases", "snapshot", "restore")

GRPC_UNAVAILABLE: Final = 14
GRPC_RESOURCE_EXHAUSTED: Final = 8
GRPC_INVALID_ARGUMENT: Final = 3


class StoreGateway:
    """Serves the key-value, lease and watch calls, `/faults` and `/counters`.

    POST /faults sets fields of StoreFaults and takes `lapse_leases`, `snapshot`
    and `restore`, each set to true, as one-time actions.
    """

    __slots__ = ("_handlers", "_snapshot", "state")

    def __init__(self, state: StoreState) -> None:
        self.state = state
        self._snapshot: StoreSnapshot | None = None
        self._handlers: dict[str, tuple[str, Callable[[Body], Body]]] = {
            "/v3/kv/range": ("range", self._range),
            "/v3/kv/txn": ("txn", self._transact),
            "/v3/lease/grant": ("lease_grant", self._grant_lease),
            "/v3/lease/keepalive": ("lease_keepalive", self._renew_lease),
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == "/counters":
            await send_response(send, 200, dict(self.state.counters))
            return
        try:
            body = msgspec.json.decode(await read_body(receive), type=Body)
            if path == "/faults":
                await send_response(send, 200, self._set_faults(body))
            elif path == "/v3/watch":
                await self._watch(body, receive, send)
            elif path in self._handlers:
                await self._handle_call(path, body, send)
            else:
                await send_error(send, 404, GRPC_INVALID_ARGUMENT, "Not Found")
        except TooManyCalls as error:
            await send_error(send, 429, GRPC_RESOURCE_EXHAUSTED, str(error))
        except StoreUnavailable as error:
            await send_error(send, 503, GRPC_UNAVAILABLE, str(error))
        except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
            await send_error(send, 400, GRPC_INVALID_ARGUMENT, repr(error))

    async def _handle_call(self, path: str, body: Body, send: Send) -> None:
        kind, handler = self._handlers[path]
        self.state.admit(kind)
        if self.state.faults.delay_s:
            await anyio.sleep(self.state.faults.delay_s)
        result = handler(body)
        if kind != "range" and self.state.draw_response_loss():
            await send_truncated_response(send)
            return
        await send_response(send, 200, {"header": self._header(), **result})

    def _header(self) -> Body:
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.state.revision),
        }

    def _set_faults(self, body: Body) -> Body:
        actions = {name: body.pop(name, False) for name in ONE_TIME_ACTIONS}
        if actions["restore"] and self._snapshot is None:
            raise ValueError("take a snapshot before restoring it")
        faults: Body = msgspec.to_builtins(self.state.faults) | body
        self.state.faults = msgspec.convert(faults, StoreFaults, strict=False)
        if actions["lapse_leases"]:
            self.state.lapse_leases()
        if actions["restore"] and self._snapshot is not None:
            self.state.restore(self._snapshot)
        if actions["snapshot"]:
            self._snapshot = self.state.snapshot()
        return faults

    def _range(self, body: Body) -> Body:
        start = decode_bytes(get_field(body, "key"))
        found = self.state.read(start, decode_bytes(get_field(body, "range_end", "")))
        kvs = [encode_item(key, item) for key, item in found.items()]
        return {"kvs": kvs, "count": str(len(kvs))} if kvs else {}

    def _transact(self, body: Body) -> Body:
        compares = [decode_compare(compare) for compare in body.get("compare", [])]
        writes: dict[bytes, bytes | None] = {}
        lease_id = 0
        for operation in body.get("success", []):
            put = get_field(operation, "request_put", None)
            if put is not None:
                writes[decode_bytes(put["key"])] = decode_bytes(put.get("value", ""))
                lease_id = int(put.get("lease", 0)) or lease_id
                continue
            deletion = get_field(operation, "request_delete_range")
            writes[decode_bytes(deletion["key"])] = None
        succeeded = self.state.transact(compares, writes, lease_id)
        return {"succeeded": True} if succeeded else {}

    def _grant_lease(self, body: Body) -> Body:
        ttl_s = int(body["TTL"])
        return {"ID": str(self.state.grant_lease(ttl_s)), "TTL": str(ttl_s)}

    def _renew_lease(self, body: Body) -> Body:
        lease_id = int(body["ID"])
        ttl_s = self.state.renew_lease(lease_id)
        return {"result": {"ID": str(lease_id), "TTL": str(ttl_s)}}

    async def _watch(self, body: Body, receive: Receive, send: Send) -> None:
        self.state.admit("watch")
        create = get_field(body, "create_request")
        start = decode_bytes(create["key"])
        end = decode_bytes(get_field(create, "range_end", "")) or start + b"\0"
        start_revision = int(get_field(create, "start_revision", 0))
        last_seen_revision = (
            start_revision - 1 if start_revision else self.state.revision
        )
        await start_response(send, 200, [])
        await send_stream_message(send, {"created": True, "header": self._header()})
        async with anyio.create_task_group() as tasks:

            async def stop_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(stop_on_disconnect)
            while True:
                last_seen_revision, changes = await self.state.wait_for_changes(
                    start, end, last_seen_revision
                )
                if self.state.faults.down:
                    break
                events = [
                    encode_event(last_seen_revision, key, item) for key, item in changes
                ]
                await send_stream_message(
                    send, {"events": events, "header": self._header()}
                )
            tasks.cancel_scope.cancel()
        await send({"type": "http.response.body", "body": b""})


def get_field(body: Body, name: str, *default: Any) -> Any:
    """Return a field by its name in snake case or camel case, as etcd accepts both."""
    first_word, *rest = name.split("_")
    camel = first_word + "".join(part.capitalize() for part in rest)
    if name in body or camel in body:
        return body.get(name, body.get(camel))
    if default:
        return default[0]
    raise KeyError(name)


def decode_bytes(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def encode_bytes(data: bytes) -> str:
    return base64.b64encode(data).decode()


def decode_compare(body: Body) -> Compare:
    target = body.get("target", "VERSION").lower()
    result = body.get("result", "EQUAL")
    key = decode_bytes(body["key"])
    if target == "value":
        return Compare(key, target, result, decode_bytes(body["value"]))
    fields = {"mod": "mod_revision", "create": "create_revision", "version": "version"}
    return Compare(key, target, result, int(get_field(body, fields[target], 0)))


def encode_item(key: bytes, item: StoreItem) -> Body:
    body = {
        "key": encode_bytes(key),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
    }
    if item.value:
        body["value"] = encode_bytes(item.value)
    if item.lease_id:
        body["lease"] = str(item.lease_id)
    return body


def encode_event(revision: int, key: bytes, item: StoreItem | None) -> Body:
    if item is None:
        kv = {"key": encode_bytes(key), "mod_revision": str(revision)}
        return {"type": "DELETE", "kv": kv}
    return {"kv": encode_item(key, item)}


async def read_body(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        chunk: bytes = message.get("body", b"")
        body += chunk
        if not message.get("more_body", False):
            return body


async def start_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    headers = [(b"content-type", b"application/json"), *headers]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_response(send: Send, status: int, body: Body) -> None:
    content = msgspec.json.encode(body)
    length = str(len(content)).encode()
    await start_response(send, status, [(b"content-length", length)])
    await send({"type": "http.response.body", "body": content})


async def send_error(send: Send, status: int, code: int, message: str) -> None:
    body = {"error": message, "code": code, "message": message}
    await send_response(send, status, body)


async def send_truncated_response(send: Send) -> None:
    """Send a response head without a body, so that the connection ends early."""
    await start_response(send, 200, [(b"content-length", TRUNCATED_CONTENT_LENGTH)])


async def send_stream_message(send: Send, result: Body) -> None:
    line = msgspec.json.encode({"result": result}) + b"\n"
    await send({"type": "http.response.body", "body": line, "more_body": True})
