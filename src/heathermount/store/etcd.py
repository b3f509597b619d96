"""Client of the etcd v3 HTTP/JSON gateway."""

import base64
from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple, Self

import anyio
import httpcore
import msgspec

from heathermount.config.settings import StoreSettings
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.store.interface import Versioned

__all__ = ["EtcdStore", "StoreEvent"]

# A configuration poll, an ownership renewal and a roster change may run at the
# same time, and each watch occupies a connection for as long as it lasts.
MAX_CONNECTIONS: Final = 8
IDLE_CONNECTION_EXPIRY_S: Final = 30.0

# The gateway sends these statuses before it proposes a write, so the write had no
# effect: malformed, unauthenticated, denied, not found, unknown method, too large,
# over a rate limit.
REFUSED_STATUSES: Final = frozenset({400, 401, 403, 404, 405, 413, 429})


class StoreEvent(NamedTuple):
    """A change reported by a watch; `item` is None if the key was deleted."""

    key: str
    item: Versioned | None


class GatewayCall:
    """One HTTP request to the gateway, and whether any byte may have been sent."""

    __slots__ = ("may_have_been_sent", "path")

    def __init__(self, path: str) -> None:
        self.path = path
        self.may_have_been_sent = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        # httpcore reports this event before it writes the first byte. Until then
        # the store cannot have acted on the request.
        if event.endswith("send_request_headers.started"):
            self.may_have_been_sent = True


class EtcdStore:
    """Client of an etcd v3 HTTP/JSON gateway; implements Store."""

    __slots__ = ("_pool", "_prefix", "_timeout_s", "_url")

    def __init__(self, endpoint: str, prefix: str, timeout_s: float) -> None:
        self._url = f"http://{endpoint}"
        self._prefix = prefix.rstrip("/") + "/"
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_CONNECTION_EXPIRY_S
        )

    @classmethod
    def from_config(cls, settings: StoreSettings) -> Self:
        return cls(settings.endpoint, settings.prefix, settings.timeout_s)

    async def close(self) -> None:
        """Close the connection pool."""
        await self._pool.aclose()

    async def get(self, key: str) -> Versioned | None:
        reply = await self._read("/v3/kv/range", {"key": self._encode_key(key)})
        kvs = reply.get("kvs", [])
        return decode_item(kvs[0]) if kvs else None

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        reply = await self._read("/v3/kv/range", self._encode_range(prefix))
        return {self._decode_key(kv): decode_item(kv) for kv in reply.get("kvs", [])}

    async def commit(
        self,
        compares: dict[str, int],
        writes: dict[str, bytes | None],
        lease_id: int = 0,
    ) -> bool:
        """Apply a transaction; see Store.

        With `lease_id`, the written keys are deleted when that lease expires.
        """
        body = {
            "compare": [
                {
                    "key": self._encode_key(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(version),
                }
                for key, version in compares.items()
            ],
            "success": [
                self._encode_write(key, value, lease_id)
                for key, value in writes.items()
            ],
        }
        reply = await self._call("/v3/kv/txn", body)
        return bool(reply.get("succeeded", False))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of `ttl_s` seconds and return its identifier."""
        reply = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return int(reply["ID"])

    async def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease_id)})
        return int(reply.get("result", reply).get("TTL", 0))

    async def watch(
        self, prefix: str, start_version: int = 0
    ) -> AsyncIterator[StoreEvent]:
        """Yield changes under a prefix, from `start_version` on if it is not 0.

        Raises StoreUnavailable when the watch ends. The caller must then read the
        keys again.
        """
        create = self._encode_range(prefix)
        if start_version:
            create["start_revision"] = str(start_version)
        call = GatewayCall("/v3/watch")
        content = msgspec.json.encode({"create_request": create})
        try:
            async with self._pool.stream(
                "POST",
                self._url + call.path,
                content=content,
                extensions={"timeout": {"connect": self._timeout_s}},
            ) as response:
                check_status(call, response.status, b"")
                async for line in split_lines(response.aiter_stream()):
                    for event in parse_reply(call, line)["result"].get("events", []):
                        yield self._decode_event(event)
        except TRANSPORT_ERRORS as error:
            raise StoreUnavailable(f"the watch of {prefix} ended: {error!r}") from error
        raise StoreUnavailable(f"the store ended the watch of {prefix}")

    async def _read(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Call the gateway for a read, which never has an unknown outcome."""
        try:
            return await self._call(path, body)
        except StoreOutcomeUnknown as error:
            raise StoreUnavailable(str(error)) from error

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        call = GatewayCall(path)
        # httpcore's timeouts restart with every chunk of a response, so the whole
        # call needs its own timeout.
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._pool.request(
                    "POST",
                    self._url + path,
                    content=msgspec.json.encode(body),
                    extensions={"trace": call.trace},
                )
        except TRANSPORT_ERRORS as error:
            raise make_call_error(call, repr(error)) from error
        check_status(call, response.status, response.content)
        return parse_reply(call, response.content)

    def _encode_key(self, key: str) -> str:
        return encode_bytes((self._prefix + key).encode())

    def _encode_range(self, prefix: str) -> dict[str, str]:
        start = (self._prefix + prefix).encode()
        # The exclusive end of a prefix range is the prefix with its last byte
        # incremented. That cannot overflow: UTF-8 text never contains byte 255.
        end = start[:-1] + bytes([start[-1] + 1])
        return {"key": encode_bytes(start), "range_end": encode_bytes(end)}

    def _encode_write(self, key: str, value: bytes | None, lease_id: int) -> Any:
        if value is None:
            return {"request_delete_range": {"key": self._encode_key(key)}}
        put = {"key": self._encode_key(key), "value": encode_bytes(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return {"request_put": put}

    def _decode_key(self, kv: dict[str, Any]) -> str:
        return base64.b64decode(kv["key"]).decode().removeprefix(self._prefix)

    def _decode_event(self, event: dict[str, Any]) -> StoreEvent:
        deleted = event.get("type") == "DELETE"
        item = None if deleted else decode_item(event["kv"])
        return StoreEvent(self._decode_key(event["kv"]), item)


TRANSPORT_ERRORS: Final = (
    TimeoutError,
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def make_call_error(call: GatewayCall, detail: str) -> Exception:
    if call.may_have_been_sent:
        return StoreOutcomeUnknown(
            f"{call.path} was sent but its outcome is unknown: {detail}; read the "
            "keys before retrying"
        )
    return StoreUnavailable(
        f"{call.path} was not sent: {detail}; check the store endpoint"
    )


def check_status(call: GatewayCall, status: int, content: bytes) -> None:
    if status == 200:
        return
    detail = f"status {status}: {content[:200].decode(errors='replace')}"
    if status in REFUSED_STATUSES:
        raise StoreUnavailable(f"{call.path} was refused: {detail}; check the request")
    raise make_call_error(call, detail)


def parse_reply(call: GatewayCall, content: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise make_call_error(
            call, f"response is not a JSON object: {error}"
        ) from error


def encode_bytes(data: bytes) -> str:
    return base64.b64encode(data).decode()


def decode_item(kv: dict[str, Any]) -> Versioned:
    # The gateway omits empty values and encodes 64-bit integers as strings.
    return Versioned(base64.b64decode(kv.get("value", "")), int(kv["mod_revision"]))


async def split_lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the lines of a streamed response, one JSON object per line."""
    buffer = b""
    async for chunk in chunks:
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            if line:
                yield line
