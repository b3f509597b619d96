"""Detection and coalescing of resends: requests that callers send repeatedly.

Resends come from callers. Retries, which nodes make themselves, are in `retries`.
"""

from collections import OrderedDict
from hashlib import blake2b
from typing import Final, Generic, TypeVar

import anyio

from heathermount.clocks import Clock

__all__ = ["Arrival", "ResendTracker", "compute_fingerprint"]

# A request equal to one that arrived within this time is a resend.
RESEND_WINDOW_S: Final = 5.0


MAX_REMEMBERED_FINGERPRINTS: Final = 16_384
FINGERPRINT_BYTES: Final = 16

Result = TypeVar("Result")


def compute_fingerprint(
    organisation: str, method: str, target: str, body: bytes
) -> bytes:
    """Return a digest that is the same for equal requests of one organisation."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation.encode(), method.encode(), target.encode(), body):
        # Length prefixes keep the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class RunningRequest(Generic[Result]):
    """A running request whose result is shared with attached resends."""

    __slots__ = ("done_event", "ended", "result")

    def __init__(self) -> None:
        # Created by the first waiter; most requests have none.
        self.done_event: anyio.Event | None = None
        self.ended = False
        self.result: Result | None = None


class Arrival(Generic[Result]):
    """How to handle one request that arrived.

    If `is_leader` is true, the caller runs the request and calls
    `ResendTracker.finish`. Otherwise the request is attached to a running one,
    and the caller waits for `result`. If `resend` is true, the request is served
    later and shed earlier than new ones.
    """

    __slots__ = ("fingerprint", "is_leader", "resend", "running_request")

    def __init__(
        self,
        fingerprint: bytes,
        resend: bool,
        is_leader: bool,
        running_request: RunningRequest[Result] | None,
    ) -> None:
        self.fingerprint = fingerprint
        self.resend = resend
        self.is_leader = is_leader
        self.running_request = running_request

    async def result(self) -> Result | None:
        """Wait for the result of the request to which this one is attached.

        Returns None if that request was cancelled; then call
        `ResendTracker.rejoin`.
        """
        running_request = self.running_request
        assert running_request is not None, (
            "a leading request has no result to wait for"
        )
        if not running_request.ended:
            running_request.done_event = running_request.done_event or anyio.Event()
            await running_request.done_event.wait()
        return running_request.result


class ResendTracker(Generic[Result]):
    """Attaches resends of repeatable requests to running ones and marks the others.

    A resend is a request whose fingerprint, which includes the organisation, is
    that of a request that arrived at this entry node within the last 5 s or that
    is still running.
    """

    __slots__ = ("_arrivals", "_clock", "_running_requests")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Times of the last two arrivals of each fingerprint. The fingerprint whose
        # last arrival is the oldest comes first.
        self._arrivals: OrderedDict[bytes, tuple[float, float]] = OrderedDict()
        self._running_requests: dict[bytes, RunningRequest[Result]] = {}

    def arrive(self, fingerprint: bytes, repeatable: bool) -> Arrival[Result]:
        """Record an arrival and decide how to handle it.

        `resend` is set on the second resend within 5 s, and on a resend that cannot
        attach to a running request.
        """
        earlier, latest = self._record_arrival(fingerprint)
        oldest = self._clock.monotonic() - RESEND_WINDOW_S
        running_request = (
            self._running_requests.get(fingerprint) if repeatable else None
        )
        again = latest >= oldest or running_request is not None
        resend = again and (running_request is None or earlier >= oldest)
        return self._join(fingerprint, repeatable, resend)

    def rejoin(self, arrival: Arrival[Result]) -> Arrival[Result]:
        """Decide again after the leading request was cancelled."""
        return self._join(arrival.fingerprint, True, arrival.resend)

    def finish(self, arrival: Arrival[Result], result: Result | None) -> None:
        """Pass a leading request's result to the attached ones; None if cancelled."""
        running_request = arrival.running_request
        if not arrival.is_leader or running_request is None:
            return
        if self._running_requests.get(arrival.fingerprint) is running_request:
            del self._running_requests[arrival.fingerprint]
        running_request.ended = True
        running_request.result = result
        if running_request.done_event is not None:
            running_request.done_event.set()

    def _join(
        self, fingerprint: bytes, repeatable: bool, resend: bool
    ) -> Arrival[Result]:
        if not repeatable:
            return Arrival(fingerprint, resend, True, None)
        running_request = self._running_requests.get(fingerprint)
        if running_request is not None:
            return Arrival(fingerprint, resend, False, running_request)
        running_request = self._running_requests[fingerprint] = RunningRequest()
        return Arrival(fingerprint, resend, True, running_request)

    def _record_arrival(self, fingerprint: bytes) -> tuple[float, float]:
        """Record an arrival; return the times of the two arrivals before it."""
        now = self._clock.monotonic()
        never = float("-inf")
        before = self._arrivals.pop(fingerprint, (never, never))
        self._arrivals[fingerprint] = (before[1], now)
        oldest, (_, latest) = next(iter(self._arrivals.items()))
        if (
            len(self._arrivals) > MAX_REMEMBERED_FINGERPRINTS
            or latest < now - RESEND_WINDOW_S
        ):
            del self._arrivals[oldest]
        return before
