"""ASGI application behind the listener for the local backend server."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import msgspec

from heathermount.config.settings import LimitSettings
from heathermount.entry.asgi import (
    CallerDisconnected,
    HttpRequest,
    Receive,
    Scope,
    Send,
    find_header,
    read_body,
    run_until_disconnect,
    send_json,
    send_refusal,
    send_server_answer,
)
from heathermount.entry.call_handler import CallHandler
from heathermount.entry.calls import ContextTable
from heathermount.entry.refusals import make_refusal
from heathermount.errors import Refusal
from heathermount.execution.announcements import Announcement
from heathermount.values import Outcome, Reason
from heathermount.wire.messages import Answer

__all__ = ["AnnouncementBody", "LocalApp", "LocalServerCallbacks"]

ANNOUNCE_PATH: Final = "/heathermount/v1/announce"
DRAIN_PATH: Final = "/heathermount/v1/drain"


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """JSON body of an announcement request."""

    address: str
    slots: int
    connections: int
    service: str = ""
    cold_start_s: float = 0.0
    health_path: str = ""
    load_path: str = ""


class LocalServerCallbacks:
    """Operations that the backend server can request over HTTP."""

    __slots__ = ("announce", "drain", "get_drain_state", "withdraw")

    def __init__(
        self,
        announce: Callable[[Announcement], Awaitable[None]],
        withdraw: Callable[[], Awaitable[None]],
        drain: Callable[[], None],
        get_drain_state: Callable[[], tuple[bool, int]],
    ) -> None:
        self.announce = announce
        self.withdraw = withdraw
        self.drain = drain
        self.get_drain_state = get_drain_state


class LocalApp:
    """Handles announcements, drain requests and downstream calls of the server."""

    __slots__ = ("_call_handler", "_callbacks", "_contexts", "_limits", "_service")

    def __init__(
        self,
        service: str,
        call_handler: CallHandler,
        contexts: ContextTable,
        limits: LimitSettings,
        callbacks: LocalServerCallbacks,
    ) -> None:
        self._service = service
        self._call_handler = call_handler
        self._contexts = contexts
        self._limits = limits
        self._callbacks = callbacks

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        try:
            body = await read_body(scope, receive, self._limits)
            if scope["path"] in (ANNOUNCE_PATH, DRAIN_PATH):
                await self._handle_lifecycle_request(
                    scope["method"], scope["path"], body, send
                )
                return
            answer = await run_until_disconnect(
                partial(self._call, scope, body), receive
            )
        except CallerDisconnected:
            return
        except Refusal as refusal:
            await send_refusal(send, refusal)
            return
        await send_server_answer(send, answer, close_connection=False)

    async def _call(self, scope: Scope, body: bytes) -> Answer:
        token = find_header(scope["headers"], b"heathermount-context")
        context = self._contexts.find(token) if token else None
        if token and context is None:
            raise make_refusal(Reason.INVALID_CONTEXT, Outcome.NOT_RUN)
        request = HttpRequest.from_scope(scope, body)
        return await self._call_handler.handle_server_request(context, request)

    async def _handle_lifecycle_request(
        self, method: str, path: str, body: bytes, send: Send
    ) -> None:
        if (method, path) == ("POST", ANNOUNCE_PATH):
            await self._callbacks.announce(self._read_announcement(body))
            await send_json(send, 204)
        elif (method, path) == ("DELETE", ANNOUNCE_PATH):
            await self._callbacks.withdraw()
            await send_json(send, 204)
        elif (method, path) == ("POST", DRAIN_PATH):
            self._callbacks.drain()
            await send_json(send, 202)
        elif (method, path) == ("GET", DRAIN_PATH):
            draining, running = self._callbacks.get_drain_state()
            state = {"draining": draining, "running": running}
            await send_json(send, 200, msgspec.json.encode(state))
        else:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)

    def _read_announcement(self, body: bytes) -> Announcement:
        try:
            announced = msgspec.json.decode(body, type=AnnouncementBody)
        except msgspec.MsgspecError as error:
            raise make_malformed_refusal(f"announcement: {error}") from error
        if announced.service and announced.service != self._service:
            raise make_malformed_refusal(
                f"announce to a node of service {announced.service}; "
                f"this node belongs to service {self._service}"
            )
        if announced.slots < 1 or announced.connections < 1:
            raise make_malformed_refusal("slots and connections must be at least 1")
        return Announcement(
            announced.address,
            announced.slots,
            announced.connections,
            announced.cold_start_s,
            announced.health_path,
            announced.load_path,
        )


def make_malformed_refusal(remedy: str) -> Refusal:
    return Refusal(400, Reason.MALFORMED, Outcome.NOT_RUN, remedy)
