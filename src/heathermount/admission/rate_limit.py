"""Limit on the requests per second that a backend server states in its answers."""

from typing import Final

__all__ = ["ServerRateLimit"]

# Requests that may be sent at once after a pause, in seconds of the stated rate.
# A server in need gets its requests evenly.
BURST_S: Final = 0.25

# Lowest rate, in requests per second. Only an answer can end a limit, so that even
# a server that states zero gets a request now and then.
MIN_RATE: Final = 0.25

# Requests that run at once while a process that was started beside a running server
# waits for its first answer. It cannot know of a limit that is in force.
MAX_UNANSWERED_REQUESTS: Final = 3

# A server that has not answered for this long is not limited any further.
FIRST_ANSWER_TIMEOUT_S: Final = 1.0


class ServerRateLimit:
    """Token bucket that refills at the rate which the backend server states.

    All times are monotonic, in seconds. A limit belongs to one start of a server. With
    `awaits_answer`, a limit may be in force that only the server's next answer tells.
    """

    __slots__ = ("_awaits_answer", "_first_sent_at", "_refilled_at", "_tokens", "rate")

    def __init__(self, awaits_answer: bool = False) -> None:
        self._awaits_answer = awaits_answer
        self._first_sent_at: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        # Requests per second; None without a limit.
        self.rate: float | None = None

    def update(self, stated_rate: float | None, now: float) -> bool:
        """Apply what an answer states; return whether more requests may be sent now.

        An answer without a rate ends the limit.
        """
        was_waiting, self._awaits_answer = self._awaits_answer, False
        rate = None if stated_rate is None else max(MIN_RATE, stated_rate)
        if rate == self.rate:
            return was_waiting
        self._refill(now)
        if self.rate is None:
            self._tokens = 0.0
            self._refilled_at = now
        self.rate = rate
        return True

    def try_take(self, running: int, now: float) -> bool:
        """Take the token of one request, if it may be sent now.

        `running` is the number of requests that are running at the server.
        """
        if self.compute_wait_s(running, now) > 0.0:
            return False
        if self.rate is not None:
            self._tokens -= 1.0
        if self._first_sent_at is None:
            self._first_sent_at = now
        return True

    def compute_wait_s(self, running: int, now: float, queued: int = 0) -> float:
        """Return the seconds until a request may be sent, after the queued ones."""
        if self.rate is not None:
            self._refill(now)
            return max(0.0, (queued + 1.0 - self._tokens) / self.rate)
        if not self._awaits_answer or running < MAX_UNANSWERED_REQUESTS:
            return 0.0
        if self._first_sent_at is None:
            return 0.0
        return max(0.0, self._first_sent_at + FIRST_ANSWER_TIMEOUT_S - now)

    def _refill(self, now: float) -> None:
        if self.rate is None:
            return
        capacity = max(1.0, BURST_S * self.rate)
        earned = (now - self._refilled_at) * self.rate
        self._tokens = min(capacity, self._tokens + earned)
        self._refilled_at = now
