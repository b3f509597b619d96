"""Life cycle of the local backend server, from heartbeats to departure."""

from enum import Enum
from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.gateway.announcements import Announcement
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.departures import Departures

__all__ = ["Phase", "ServerLifecycle"]

# A server without a response or heartbeat for this long gets no requests. This
# allows for two lost heartbeats or one that is late.
SILENCE_TIMEOUT_S: Final = 3.5


class Phase(Enum):
    """State of the backend server."""

    # No heartbeat was received yet.
    UNKNOWN = "unknown"
    # It may have left before this process started.
    UNCONFIRMED = "unconfirmed"
    SERVING = "serving"
    LEAVING = "leaving"


class ServerLifecycle:
    """Tracks the heartbeats and departure of the local backend server.

    A server start is identified by server ID and start time. Once it has left, it
    never serves again. It does not serve either until the departures recorded by
    earlier processes are loaded: any heartbeat may have been sent before a departure
    and delayed.
    """

    __slots__ = (
        "_clock",
        "_departures_loaded",
        "_last_activity_at",
        "_left_at",
        "_log",
        "announcement",
        "departures",
        "phase",
    )

    def __init__(self, clock: Clock, departures: Departures, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        # Whether the departures recorded by earlier processes are loaded.
        self._departures_loaded = False
        # Time of the last response or heartbeat.
        self._last_activity_at = clock.monotonic()
        self._left_at = 0.0
        self.announcement: Announcement | None = None
        self.departures = departures
        self.phase = Phase.UNKNOWN

    @property
    def serving(self) -> bool:
        return self.phase is Phase.SERVING

    @property
    def leaving(self) -> bool:
        return self.phase is Phase.LEAVING

    @property
    def unresponsive(self) -> bool:
        """Whether the server has neither responded nor sent a heartbeat lately."""
        return self._clock.monotonic() - self._last_activity_at > SILENCE_TIMEOUT_S

    def record_activity(self) -> None:
        self._last_activity_at = self._clock.monotonic()

    def time_since_departure_s(self) -> float:
        """Return the seconds since the server started to leave."""
        return self._clock.monotonic() - self._left_at

    def handle_heartbeat(self, announcement: Announcement) -> bool:
        """Handle a heartbeat; return whether serving starts or restarts.

        Serving restarts when the address or the number of slots changes.
        """
        if announcement.draining:
            self.departures.add(announcement.server_id, announcement.born_ms)
        known = self.announcement
        if known is not None and not announcement.is_at_least_as_new_as(known):
            self._log_older_heartbeat(announcement, known)
            return False
        self.announcement = announcement
        self._last_activity_at = self._clock.monotonic()
        is_same_start = known is not None and announcement.has_same_start(known)
        if self._has_departed(announcement):
            if not (is_same_start and self.leaving):
                self._start_leaving(
                    "draining" if announcement.draining else "left-before"
                )
            return False
        if known is None or not is_same_start:
            if self._departures_loaded:
                self.phase = Phase.SERVING
            else:
                self.phase = Phase.UNCONFIRMED
            return self._departures_loaded
        if self.phase is Phase.SERVING:
            return not announcement.has_same_address_and_slots(known)
        return False

    def handle_departures_loaded(self) -> bool:
        """Handle that the departures recorded by earlier processes are loaded.

        Returns whether the server starts to serve.
        """
        self._departures_loaded = True
        announcement = self.announcement
        if announcement is None or self.leaving:
            return False
        if self._has_departed(announcement):
            self._start_leaving("left-before")
            return False
        if self.serving:
            return False
        self.phase = Phase.SERVING
        return True

    def handle_departure(self, server_id: str) -> None:
        """Handle the departure of a server.

        It names no start, and heartbeats of a later start than the known one may be
        delayed. So it covers all starts until now.
        """
        known = self.announcement
        now_ms = int(self._clock.wall() * 1000)
        if known is None or known.server_id != server_id:
            self._log.record(
                "departure-unknown",
                server=server_id,
                known_server=known.server_id if known is not None else "",
            )
            self.departures.add(server_id, now_ms)
            return
        self.departures.add(server_id, max(now_ms, known.born_ms))
        if not self.leaving:
            self._start_leaving("gone")

    def handle_stated_departure(self, announcement: Announcement) -> None:
        """Handle that a server states in a response that it leaves."""
        self.departures.add(announcement.server_id, announcement.born_ms)
        self._start_leaving_if_current(announcement, "stated")

    def handle_replacement(self, announcement: Announcement) -> None:
        """Handle that another server uses the address of the announced one."""
        self._start_leaving_if_current(announcement, "replaced")

    def _has_departed(self, announcement: Announcement) -> bool:
        return self.departures.includes(announcement.server_id, announcement.born_ms)

    def _start_leaving_if_current(self, announcement: Announcement, cause: str) -> None:
        """Start to leave if the announcement is of the start that is known."""
        known = self.announcement
        is_current = known is not None and known.has_same_start(announcement)
        if is_current and not self.leaving:
            self._start_leaving(cause)

    def _start_leaving(self, cause: str) -> None:
        known = self.announcement
        assert known is not None
        self.phase = Phase.LEAVING
        self._left_at = self._clock.monotonic()
        logging.info(
            "event=server-leaving cause=%s server=%s born_ms=%d sequence=%d",
            cause,
            known.server_id,
            known.born_ms,
            known.sequence,
        )

    def _log_older_heartbeat(
        self, announcement: Announcement, known: Announcement
    ) -> None:
        self._log.record(
            "heartbeat-older",
            server=announcement.server_id,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            draining=announcement.draining,
            known_server=known.server_id,
            known_born_ms=known.born_ms,
            known_sequence=known.sequence,
        )
