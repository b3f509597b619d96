"""Phases of a graceful stop, and which requests a stopping node still takes."""

from typing import Final

from heathermount.clocks import Clock

__all__ = ["GracefulStop"]

# Parts of the grace period, counted from the start of the stop. Peers may choose the
# backend server beside the node until OFFER_GRACE_RATIO: the server is healthy, and a
# rolling restart of a small service needs its capacity.
OFFER_GRACE_RATIO: Final = 0.3
# Requests are taken until TAKE_GRACE_RATIO, by when clients have noticed that the node
# is not ready. Those that start at the end still have a large part of the period left.
TAKE_GRACE_RATIO: Final = 0.5
# The process exits at EXIT_GRACE_RATIO even if requests are still running.
EXIT_GRACE_RATIO: Final = 0.92

# Time reserved for answers to arrive before the exit.
ANSWER_MARGIN_S: Final = 0.25


class GracefulStop:
    """Tells until when a stopping node takes requests and when they must end.

    A request that could not be answered before the exit is refused, because nobody
    can tell whether a request that is cut off has run.
    """

    __slots__ = ("_clock", "_grace_s", "_started_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._grace_s = 0.0
        self._started_at: float | None = None

    def begin(self, grace_s: float) -> None:
        """Start the grace period, at whose end the process is killed."""
        self._grace_s = grace_s
        self._started_at = self._clock.monotonic()

    @property
    def takes_requests(self) -> bool:
        """Whether new requests are taken, except calls of requests that run here."""
        return self._remaining_s(TAKE_GRACE_RATIO) > 0.0

    def limit_deadline(self, deadline: float) -> float:
        """Return the time, in monotonic seconds, by which a request must end."""
        if self._started_at is None:
            return deadline
        exit_at = self._started_at + EXIT_GRACE_RATIO * self._grace_s
        return min(deadline, exit_at - ANSWER_MARGIN_S)

    def time_until_withdrawal_s(self) -> float:
        """Return the seconds until peers must not choose the server any more."""
        return max(0.0, self._remaining_s(OFFER_GRACE_RATIO))

    def time_until_refusal_s(self) -> float:
        """Return the seconds until new requests are refused."""
        return max(0.0, self._remaining_s(TAKE_GRACE_RATIO))

    @property
    def exit_due(self) -> bool:
        """Whether the process must exit, whatever is still running."""
        return self._remaining_s(EXIT_GRACE_RATIO) <= 0.0

    def _remaining_s(self, ratio: float) -> float:
        """Return the seconds until a part of the grace period is over."""
        if self._started_at is None:
            return float("inf")
        return self._started_at + ratio * self._grace_s - self._clock.monotonic()
