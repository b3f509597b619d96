"""Requests and responses of a backend server stand-in, as ASGI messages."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, Final

import anyio
import msgspec

__all__ = [
    "Receive",
    "Request",
    "Response",
    "Scope",
    "Send",
    "cancel_on_disconnect",
    "make_shed_response",
    "read_body",
    "read_request",
    "send_response",
]

CRASH_MARKER: Final = "crash"

# A caller's API key, in a header value or a request target.
API_KEY_PATTERN: Final = re.compile(rb"hm_[^_\s]+_\S")

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

    def get_header(self, name: str) -> str:
        return self.headers.get(name.encode(), b"").decode("latin-1")

    @property
    def deadline_s(self) -> float | None:
        value = self.get_header("heathermount-deadline-ms")
        return float(value) / 1000 if value else None

    @property
    def should_crash(self) -> bool:
        return CRASH_MARKER in self.path or CRASH_MARKER.encode() in self.body


class Response(msgspec.Struct):
    """A response to send; a truncated one is shorter than its Content-Length."""

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]] = []
    truncated: bool = False


def read_request(scope: Scope, body: bytes) -> Request:
    """Return the request that an ASGI scope describes."""
    headers = dict(scope["headers"])
    values = [*headers.values(), scope["query_string"], scope["raw_path"]]
    return Request(
        method=scope["method"],
        path=scope["path"],
        headers=headers,
        body=body,
        key_visible=b"authorization" in headers
        or b"x-api-key" in headers
        or any(API_KEY_PATTERN.search(value) for value in values),
    )


async def read_body(receive: Receive) -> bytes | None:
    """Return the request body, or None if the client disconnects before its end."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel a scope as soon as the client disconnects."""
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


async def send_response(send: Send, response: Response) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(response.body)),
        *response.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers if response.status != 204 else [],
        }
    )
    body = (
        response.body[: len(response.body) // 2]
        if response.truncated
        else response.body
    )
    # uvicorn closes the connection of a response that is left incomplete.
    await send(
        {"type": "http.response.body", "body": body, "more_body": response.truncated}
    )


def make_shed_response() -> Response:
    return Response(503, b'{"error":"shed"}', [(b"heathermount-not-run", b"1")])
