"""HTTP listener for callers."""

from functools import partial

import anyio

from heathermount.config.settings import LimitSettings
from heathermount.entry.entry import Entry
from heathermount.entry.http import (
    CallerLeft,
    HttpRequest,
    Receive,
    Scope,
    Send,
    answer_unless_left,
    read_body,
    send_ran,
    send_refusal,
)
from heathermount.errors import Refusal
from heathermount.node.metrics import Metrics
from heathermount.wire.messages import Answer

__all__ = ["CallerApp"]


class CallerApp:
    """ASGI application that takes callers' requests."""

    __slots__ = ("_entry", "_idle", "_limits", "_metrics", "_running", "closing")

    def __init__(self, entry: Entry, limits: LimitSettings, metrics: Metrics) -> None:
        self._entry = entry
        self._limits = limits
        self._metrics = metrics
        # True while the node stops: answers ask callers to reconnect elsewhere.
        self.closing = False
        self._running = 0
        self._idle: anyio.Event | None = None

    async def finish(self) -> None:
        """Wait until no request runs."""
        while self._running:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        self._running += 1
        try:
            await self._serve(scope, receive, send)
        except CallerLeft:
            pass
        finally:
            self._running -= 1
            if not self._running and self._idle is not None:
                self._idle.set()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            body = await read_body(scope, receive, self._limits)
            answer = await answer_unless_left(partial(self._call, scope, body), receive)
        except Refusal as refusal:
            self._metrics.count_call("", refusal.outcome, refusal.reason)
            await send_refusal(send, refusal, self.closing)
            return
        await send_ran(send, answer, self.closing)

    async def _call(self, scope: Scope, body: bytes) -> Answer:
        return await self._entry.call_from_caller(HttpRequest.from_scope(scope, body))
