"""HTTP application of the observe listener: metrics, health and events."""

from collections.abc import Awaitable, Callable, MutableMapping, Sequence
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
from absl import logging

from heathermount.events import EventLog
from heathermount.node.metrics import Metrics

__all__ = ["ObserveApp"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Response = tuple[int, str, bytes]

PLAIN_TEXT_TYPE: Final = "text/plain; charset=utf-8"
JSON_LINES_TYPE: Final = "application/x-ndjson"
METRICS_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"


class ObserveApp:
    """ASGI application with /metrics, /healthz, /readyz and /timeline.

    `list_unready_reasons` returns why the node takes no calls; an empty
    sequence means that it is ready.
    """

    __slots__ = ("_events", "_list_unready_reasons", "_metrics")

    def __init__(
        self,
        metrics: Metrics,
        events: EventLog,
        list_unready_reasons: Callable[[], Sequence[str]],
    ) -> None:
        self._metrics = metrics
        self._events = events
        self._list_unready_reasons = list_unready_reasons

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        status, content_type, body = self._make_response(scope)
        headers = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    def _make_response(self, scope: Scope) -> Response:
        if scope["method"] not in ("GET", "HEAD"):
            return 405, PLAIN_TEXT_TYPE, b"use GET\n"
        try:
            match scope["path"]:
                case "/metrics":
                    return 200, METRICS_TYPE, self._metrics.render()
                case "/healthz":
                    return 200, PLAIN_TEXT_TYPE, b"ok\n"
                case "/readyz":
                    return self._make_readiness_response()
                case "/timeline":
                    return self._make_timeline_response(scope.get("query_string", b""))
        except Exception:
            # If the state of one component cannot be read, only this request fails.
            # Other paths are still served.
            logging.exception("event=observe-failed path=%s", scope["path"])
            return (
                500,
                PLAIN_TEXT_TYPE,
                b"the reading failed; see the node's log\n",
            )
        return 404, PLAIN_TEXT_TYPE, b"use /metrics, /healthz, /readyz or /timeline\n"

    def _make_readiness_response(self) -> Response:
        reasons = self._list_unready_reasons()
        lines = encode_json_lines([{"reason": reason} for reason in reasons])
        return (503 if reasons else 200), JSON_LINES_TYPE, lines

    def _make_timeline_response(self, query: bytes) -> Response:
        value = parse_qs(query.decode("latin-1")).get("since_us", ["0"])[-1]
        # 20 digits are enough for any time; int() rejects very long numbers.
        if not (value.isascii() and value.isdecimal() and len(value) <= 20):
            return (
                400,
                PLAIN_TEXT_TYPE,
                b"give since_us as a whole number of microseconds\n",
            )
        lines = [
            {
                "wall_us": event.wall_us,
                "counter": event.counter,
                "node": event.node,
                "kind": event.kind,
                "fields": event.fields,
            }
            for event in self._events.events_since(int(value))
        ]
        return 200, JSON_LINES_TYPE, encode_json_lines(lines)


def encode_json_lines(lines: Sequence[object]) -> bytes:
    encoder = msgspec.json.Encoder()
    return encoder.encode_lines(lines)


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the ASGI server's startup and shutdown events."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
