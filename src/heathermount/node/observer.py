"""HTTP application of the observe listener: metrics, health, events."""

from collections.abc import Awaitable, Callable, MutableMapping, Sequence
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
from absl import logging

from heathermount.events import EventLog
from heathermount.node.metrics import Metrics

__all__ = ["Observer"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Reply = tuple[int, str, bytes]

TEXT: Final = "text/plain; charset=utf-8"
JSON_LINES: Final = "application/x-ndjson"
METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"


class Observer:
    """ASGI application with /metrics, /healthz, /readyz and /timeline.

    `unready` returns why the node takes no calls; an empty sequence means that
    it is ready.
    """

    __slots__ = ("_events", "_metrics", "_unready")

    def __init__(
        self,
        metrics: Metrics,
        events: EventLog,
        unready: Callable[[], Sequence[str]],
    ) -> None:
        self._metrics = metrics
        self._events = events
        self._unready = unready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        status, media, body = self._reply(scope)
        headers = [
            (b"content-type", media.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    def _reply(self, scope: Scope) -> Reply:
        if scope["method"] not in ("GET", "HEAD"):
            return 405, TEXT, b"use GET\n"
        try:
            match scope["path"]:
                case "/metrics":
                    return 200, METRICS, self._metrics.render()
                case "/healthz":
                    return 200, TEXT, b"ok\n"
                case "/readyz":
                    return self._readiness()
                case "/timeline":
                    return self._timeline(scope.get("query_string", b""))
        except Exception:
            # A reading of one part must not hide the state of the others for
            # longer than this request.
            logging.exception("event=observe-failed path=%s", scope["path"])
            return 500, TEXT, b"the reading failed; see the node's log\n"
        return 404, TEXT, b"use /metrics, /healthz, /readyz or /timeline\n"

    def _readiness(self) -> Reply:
        reasons = self._unready()
        lines = encode_lines([{"reason": reason} for reason in reasons])
        return (503 if reasons else 200), JSON_LINES, lines

    def _timeline(self, query: bytes) -> Reply:
        value = parse_qs(query.decode("latin-1")).get("since_us", ["0"])[-1]
        # 20 digits hold any time in microseconds; int() refuses very long texts.
        if not (value.isascii() and value.isdecimal() and len(value) <= 20):
            return 400, TEXT, b"give since_us as a whole number of microseconds\n"
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
        return 200, JSON_LINES, encode_lines(lines)


def encode_lines(lines: Sequence[object]) -> bytes:
    encoder = msgspec.json.Encoder()
    return encoder.encode_lines(lines)


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop events."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
