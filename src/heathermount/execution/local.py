"""HTTP listener for the backend server beside this node."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import msgspec

from heathermount.config.settings import LimitSettings
from heathermount.entry.calls import ContextTable
from heathermount.entry.entry import Entry
from heathermount.entry.http import (
    CallerLeft,
    HttpRequest,
    Receive,
    Scope,
    Send,
    answer_unless_left,
    find_header,
    read_body,
    send_json,
    send_ran,
    send_refusal,
)
from heathermount.entry.refusals import make_refusal
from heathermount.errors import Refusal
from heathermount.execution.announcements import Announcement
from heathermount.values import Outcome, Reason
from heathermount.wire.messages import Answer

__all__ = ["AnnouncementBody", "LocalApp", "LocalServerControl"]

ANNOUNCE_PATH: Final = "/heathermount/v1/announce"
DRAIN_PATH: Final = "/heathermount/v1/drain"


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """JSON body of an announcement."""

    address: str
    slots: int
    connections: int
    service: str = ""
    cold_start_s: float = 0.0
    health_path: str = ""
    load_path: str = ""


class LocalServerControl:
    """What the backend server can ask its node to do with it."""

    __slots__ = ("announce", "drain", "drain_state", "withdraw")

    def __init__(
        self,
        announce: Callable[[Announcement], Awaitable[None]],
        withdraw: Callable[[], Awaitable[None]],
        drain: Callable[[], None],
        drain_state: Callable[[], tuple[bool, int]],
    ) -> None:
        self.announce = announce
        self.withdraw = withdraw
        self.drain = drain
        self.drain_state = drain_state


class LocalApp:
    """ASGI application for announcements and deeper calls."""

    __slots__ = ("_contexts", "_control", "_entry", "_limits", "_service")

    def __init__(
        self,
        service: str,
        entry: Entry,
        contexts: ContextTable,
        limits: LimitSettings,
        control: LocalServerControl,
    ) -> None:
        self._service = service
        self._entry = entry
        self._contexts = contexts
        self._limits = limits
        self._control = control

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        try:
            body = await read_body(scope, receive, self._limits)
            if scope["path"] in (ANNOUNCE_PATH, DRAIN_PATH):
                await self._manage(scope["method"], scope["path"], body, send)
                return
            answer = await answer_unless_left(partial(self._call, scope, body), receive)
        except CallerLeft:
            return
        except Refusal as refusal:
            await send_refusal(send, refusal)
            return
        await send_ran(send, answer, closing=False)

    async def _call(self, scope: Scope, body: bytes) -> Answer:
        token = find_header(scope["headers"], b"heathermount-context")
        context = self._contexts.find(token) if token else None
        if token and context is None:
            raise make_refusal(Reason.INVALID_CONTEXT, Outcome.NOT_RUN)
        request = HttpRequest.from_scope(scope, body)
        return await self._entry.call_from_server(context, request)

    async def _manage(self, method: str, path: str, body: bytes, send: Send) -> None:
        if (method, path) == ("POST", ANNOUNCE_PATH):
            await self._control.announce(self._read_announcement(body))
            await send_json(send, 204)
        elif (method, path) == ("DELETE", ANNOUNCE_PATH):
            await self._control.withdraw()
            await send_json(send, 204)
        elif (method, path) == ("POST", DRAIN_PATH):
            self._control.drain()
            await send_json(send, 202)
        elif (method, path) == ("GET", DRAIN_PATH):
            draining, running = self._control.drain_state()
            state = {"draining": draining, "running": running}
            await send_json(send, 200, msgspec.json.encode(state))
        else:
            raise make_refusal(Reason.ROUTE_UNKNOWN, Outcome.NOT_RUN)

    def _read_announcement(self, body: bytes) -> Announcement:
        try:
            given = msgspec.json.decode(body, type=AnnouncementBody)
        except msgspec.MsgspecError as error:
            raise malformed(f"announcement: {error}") from error
        if given.service and given.service != self._service:
            raise malformed(
                f"announce to a node of service {given.service}; "
                f"this one has {self._service}"
            )
        if given.slots < 1 or given.connections < 1:
            raise malformed("slots and connections must be at least 1")
        return Announcement(
            given.address,
            given.slots,
            given.connections,
            given.cold_start_s,
            given.health_path,
            given.load_path,
        )


def malformed(remedy: str) -> Refusal:
    return Refusal(400, Reason.MALFORMED, Outcome.NOT_RUN, remedy)
