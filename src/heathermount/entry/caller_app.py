"""ASGI application behind the listener for callers."""

from functools import partial

import anyio

from heathermount.config.settings import LimitSettings
from heathermount.entry.asgi import (
    CallerDisconnected,
    HttpRequest,
    Receive,
    Scope,
    Send,
    read_body,
    run_until_disconnect,
    send_refusal,
    send_server_answer,
)
from heathermount.entry.call_handler import CallHandler
from heathermount.errors import Refusal
from heathermount.node.metrics import Metrics
from heathermount.wire.messages import Answer

__all__ = ["CallerApp"]


class CallerApp:
    """Passes callers' HTTP requests to the call handler and sends the answers."""

    __slots__ = (
        "_call_handler",
        "_idle_event",
        "_limits",
        "_metrics",
        "_running_requests",
        "closing",
    )

    def __init__(
        self, call_handler: CallHandler, limits: LimitSettings, metrics: Metrics
    ) -> None:
        self._call_handler = call_handler
        self._limits = limits
        self._metrics = metrics
        # Set when the node stops. Responses then carry `Connection: close`, so
        # that callers reconnect to another node.
        self.closing = False
        self._running_requests = 0
        self._idle_event: anyio.Event | None = None

    async def wait_until_idle(self) -> None:
        """Wait until no request is running."""
        while self._running_requests:
            self._idle_event = anyio.Event()
            await self._idle_event.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        self._running_requests += 1
        try:
            await self._serve(scope, receive, send)
        except CallerDisconnected:
            pass
        finally:
            self._running_requests -= 1
            if not self._running_requests and self._idle_event is not None:
                self._idle_event.set()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            body = await read_body(scope, receive, self._limits)
            answer = await run_until_disconnect(
                partial(self._call, scope, body), receive
            )
        except Refusal as refusal:
            self._metrics.count_call("", refusal.outcome, refusal.reason)
            await send_refusal(send, refusal, self.closing)
            return
        await send_server_answer(send, answer, self.closing)

    async def _call(self, scope: Scope, body: bytes) -> Answer:
        return await self._call_handler.handle_caller_request(
            HttpRequest.from_scope(scope, body)
        )
