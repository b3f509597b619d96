"""Requests and replies of a backend server stand-in, over ASGI."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, Final

import anyio
import msgspec

__all__ = [
    "Receive",
    "Reply",
    "Request",
    "Scope",
    "Send",
    "make_shed_reply",
    "read_body",
    "read_request",
    "send_reply",
    "watch_disconnect",
]

CRASH_MARKER: Final = "crash"

# A caller's key, wherever it appears in a header or a target.
KEY_PATTERN: Final = re.compile(rb"hm_[^_\s]+_\S")

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class Request(msgspec.Struct, kw_only=True):
    """A request as the server received it."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    key_visible: bool

    def header(self, name: str) -> str:
        return self.headers.get(name.encode(), b"").decode("latin-1")

    @property
    def deadline_s(self) -> float | None:
        value = self.header("heathermount-deadline-ms")
        return float(value) / 1000 if value else None

    @property
    def crashes(self) -> bool:
        return CRASH_MARKER in self.path or CRASH_MARKER.encode() in self.body


class Reply(msgspec.Struct):
    """An answer to be sent; a truncated one ends before its announced length."""

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]] = []
    truncated: bool = False


def read_request(scope: Scope, body: bytes) -> Request:
    """Convert an ASGI scope."""
    headers = dict(scope["headers"])
    texts = [*headers.values(), scope["query_string"], scope["raw_path"]]
    return Request(
        method=scope["method"],
        path=scope["path"],
        headers=headers,
        body=body,
        key_visible=b"authorization" in headers
        or b"x-api-key" in headers
        or any(KEY_PATTERN.search(text) for text in texts),
    )


async def read_body(receive: Receive) -> bytes | None:
    """Return the whole body, or None when the client left first."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def watch_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the work when the client closes the connection."""
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


async def send_reply(send: Send, reply: Reply) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(reply.body)),
        *reply.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers if reply.status != 204 else [],
        }
    )
    body = reply.body[: len(reply.body) // 2] if reply.truncated else reply.body
    # uvicorn closes the connection of an answer that is left unfinished.
    await send(
        {"type": "http.response.body", "body": body, "more_body": reply.truncated}
    )


def make_shed_reply() -> Reply:
    return Reply(503, b'{"error":"shed"}', [(b"heathermount-not-run", b"1")])
