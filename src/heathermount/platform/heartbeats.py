"""Handler for the heartbeats of the backend server on the node's instance."""

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
from absl import logging

from heathermount.addresses import is_reachable_address
from heathermount.config.durations import parse_duration
from heathermount.gateway.announcements import Announcement
from heathermount.gateway.http_server import HttpRequest, HttpResponse
from heathermount.gateway.request_executor import RequestExecutor
from heathermount.record_checks import find_server_fault

__all__ = ["HeartbeatHandler", "decode_heartbeat"]

HEARTBEAT_PATH_PREFIX: Final = "/heathermount/instances/"

JSON_HEADERS: Final = [(b"content-type", b"application/json")]

# A higher sequence number is corrupted: no server sends that many heartbeats.
MAX_SEQUENCE: Final = 2**63 - 1

SERVER_STATES: Final = frozenset({"ready", "draining"})


class Heartbeat(msgspec.Struct, rename="pascal"):
    """State that a backend server reports about itself."""

    service: str
    address: str
    # Failure domain of the server.
    zone: str
    slots: int
    state: str
    # Remaining duration of the server's cold start, during which it is slow.
    cold_remaining: str = "0ms"
    # Sequence number of this heartbeat, counted from the server's start.
    sequence: int = 0
    version: str = ""
    # Start time of the server, in milliseconds since the Unix epoch.
    born: int = msgspec.field(name="born", default=0)


HEARTBEAT_DECODER: Final = msgspec.json.Decoder(Heartbeat)


def decode_heartbeat(server_id: str, data: bytes) -> Announcement:
    """Decode and validate a heartbeat.

    Raises msgspec.MsgspecError, ValueError or RecursionError if it is malformed.
    """
    heartbeat = HEARTBEAT_DECODER.decode(data)
    if heartbeat.state not in SERVER_STATES:
        raise ValueError(f"state {heartbeat.state!r} is invalid")
    if not is_reachable_address(heartbeat.address):
        raise ValueError(f"address {heartbeat.address!r} is invalid")
    if not 0 <= heartbeat.sequence <= MAX_SEQUENCE:
        raise ValueError(f"sequence number {heartbeat.sequence} is invalid")
    cold_start_s = parse_duration(heartbeat.cold_remaining)
    fault = find_server_fault(heartbeat.slots, cold_start_s, heartbeat.born)
    if fault:
        raise ValueError(f"{fault} is invalid")
    return Announcement(
        server_id,
        heartbeat.service,
        heartbeat.address,
        heartbeat.slots,
        heartbeat.state == "draining",
        cold_start_s,
        heartbeat.born,
        heartbeat.sequence,
    )


class HeartbeatHandler:
    """Accepts heartbeats (PUT) and departures (DELETE) of the backend server.

    A departure or drain takes effect at once. It is acknowledged if `save_departures`
    returns that it is saved; otherwise the server reports it again.
    """

    __slots__ = ("_executor", "_save_departures", "_service")

    def __init__(
        self,
        executor: RequestExecutor,
        service: str,
        save_departures: Callable[[], Awaitable[bool]],
    ) -> None:
        self._executor = executor
        self._service = service
        self._save_departures = save_departures

    async def handle(self, request: HttpRequest) -> HttpResponse:
        target = request.target.decode("latin-1")
        if not target.startswith(HEARTBEAT_PATH_PREFIX):
            return HttpResponse(404, [])
        server_id = target.removeprefix(HEARTBEAT_PATH_PREFIX)
        if request.method == b"DELETE":
            self._executor.handle_departure(server_id)
            return await self._acknowledge_departure()
        if request.method != b"PUT":
            return HttpResponse(405, [])
        try:
            announcement = decode_heartbeat(server_id, request.body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                'event=heartbeat-malformed server=%s error="%s"',
                1,
                server_id,
                error,
            )
            return HttpResponse(400, [])
        if announcement.service != self._service:
            logging.log_every_n_seconds(
                logging.WARNING,
                "event=heartbeat-foreign server=%s service=%s",
                1,
                server_id,
                announcement.service,
            )
            return HttpResponse(400, [])
        self._executor.handle_heartbeat(announcement)
        if announcement.draining:
            return await self._acknowledge_departure()
        return make_acknowledgement()

    async def _acknowledge_departure(self) -> HttpResponse:
        """Acknowledge a departure unless a restart of this node could forget it."""
        if await self._save_departures():
            return make_acknowledgement()
        return HttpResponse(503, [])


def make_acknowledgement() -> HttpResponse:
    return HttpResponse(200, JSON_HEADERS, b"{}")
