"""ASGI helpers: read requests, detect disconnects, send responses."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Self

import anyio

from heathermount.config.settings import LimitSettings
from heathermount.entry.refusals import (
    make_refusal,
    make_refusal_body,
    make_refusal_headers,
)
from heathermount.errors import Refusal
from heathermount.values import Headers, Outcome, Reason
from heathermount.wire.messages import Answer

__all__ = [
    "ASGIApp",
    "CallerDisconnected",
    "HttpRequest",
    "Receive",
    "Scope",
    "Send",
    "find_header",
    "read_body",
    "run_until_disconnect",
    "select_forwarded_headers",
    "send_json",
    "send_refusal",
    "send_response",
    "send_server_answer",
]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
ASGIApp = Callable[[Scope, Receive, Send], Awaitable[None]]

# Request headers that are not forwarded to the backend server: credentials, headers
# that apply to a single connection, and headers that the executing node sets itself.
DROPPED_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-api-key",
    }
)
# Headers with this prefix are set by nodes only. Those of a caller are dropped.
RESERVED_HEADER_PREFIX = b"heathermount-"


class HttpRequest:
    """A complete request from a caller or from the local backend server."""

    __slots__ = ("body", "headers", "method", "path", "target")

    def __init__(
        self, method: str, path: str, target: str, headers: Headers, body: bytes
    ) -> None:
        self.method = method
        self.path = path
        # Path and query string, percent-encoded as received.
        self.target = target
        self.headers = headers
        self.body = body

    @classmethod
    def from_scope(cls, scope: Scope, body: bytes) -> Self:
        return cls(
            scope["method"], scope["path"], get_target(scope), scope["headers"], body
        )


class CallerDisconnected(Exception):
    """The caller closed its connection."""


def find_header(headers: Headers, name: bytes) -> str:
    """Return the first value of a header, or an empty string.

    `name` is in lower case, as ASGI servers deliver header names.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def select_forwarded_headers(headers: Headers) -> Headers:
    """Return the request headers to forward to a backend server."""
    return [
        (name, value)
        for name, value in headers
        if name not in DROPPED_HEADERS and not name.startswith(RESERVED_HEADER_PREFIX)
    ]


def get_target(scope: Scope) -> str:
    """Return the path and query string, percent-encoded as received."""
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return (path + b"?" + query if query else path).decode("latin-1")


async def read_body(scope: Scope, receive: Receive, limits: LimitSettings) -> bytes:
    """Read a complete request body.

    Raises Refusal 431 if path and headers exceed `max_header_bytes`, Refusal 413
    if the body exceeds `max_body_bytes`, and CallerDisconnected if the connection
    closes before the body is complete.
    """
    size = sum(len(name) + len(value) for name, value in scope["headers"])
    if size + len(scope["raw_path"]) > limits.max_header_bytes:
        raise make_refusal(Reason.HEADER_TOO_LARGE, Outcome.NOT_RUN)
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerDisconnected
        chunk = event.get("body", b"")
        size += len(chunk)
        if size > limits.max_body_bytes:
            raise make_refusal(Reason.BODY_TOO_LARGE, Outcome.NOT_RUN)
        chunks.append(chunk)
        if not event.get("more_body", False):
            return b"".join(chunks)


async def run_until_disconnect(
    call: Callable[[], Awaitable[Answer]], receive: Receive
) -> Answer:
    """Return the answer of `call`, which is cancelled if the caller disconnects.

    Raises the Refusal of the call, or CallerDisconnected.
    """
    answer: Answer | None = None
    refused: Refusal | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
        try:
            answer = await call()
        except Refusal as refusal:
            # Raised below, because the task group would wrap it in an
            # ExceptionGroup.
            refused = refusal
        tasks.cancel_scope.cancel()
    if refused is not None:
        raise refused
    if answer is None:
        raise CallerDisconnected
    return answer


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return


async def send_response(send: Send, status: int, headers: Headers, body: bytes) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_server_answer(
    send: Send, answer: Answer, close_connection: bool
) -> None:
    """Send the backend server's response; see send_refusal for refusals."""
    headers = [*answer.headers, (b"heathermount-outcome", answer.outcome.encode())]
    if close_connection:
        headers.append((b"connection", b"close"))
    await send_response(send, answer.status, headers, answer.body)


async def send_refusal(
    send: Send, refusal: Refusal, close_connection: bool = False
) -> None:
    body = make_refusal_body(
        refusal.status, refusal.reason, refusal.outcome, refusal.remedy
    )
    headers = make_refusal_headers(refusal)
    if close_connection:
        headers.append((b"connection", b"close"))
    await send_response(send, refusal.status, headers, body)


async def send_json(send: Send, status: int, body: bytes = b"") -> None:
    await send_response(send, status, [(b"content-type", b"application/json")], body)
