"""Recognition of requests that callers send again."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Final, Generic, TypeVar

import anyio

from heathermount.clocks import Clock

__all__ = ["Arrival", "ResendTracker", "fingerprint"]

# A request equal to one that arrived within this time is a resend, in seconds.
WINDOW_S: Final = 5.0

# Arrivals remembered, and the size of a fingerprint in bytes.
MAX_REMEMBERED: Final = 16_384
FINGERPRINT_BYTES: Final = 16

Result = TypeVar("Result")


def fingerprint(organisation: str, method: str, target: str, body: bytes) -> bytes:
    """Return what equal requests of one organisation have in common."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation.encode(), method.encode(), target.encode(), body):
        # Lengths keep the parts apart.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class Flight(Generic[Result]):
    """One running request to which resends attach."""

    __slots__ = ("done", "ended", "result")

    def __init__(self) -> None:
        # Made by the first waiter; most requests have none.
        self.done: anyio.Event | None = None
        self.ended = False
        self.result: Result | None = None


class Arrival(Generic[Result]):
    """How to treat one request.

    When `leads` is true, run it and call `ResendTracker.finish`. Otherwise it
    is attached: wait for `result`.
    """

    __slots__ = ("fingerprint", "flight", "leads", "resend")

    def __init__(
        self,
        fingerprint: bytes,
        resend: bool,
        leads: bool,
        flight: Flight[Result] | None,
    ) -> None:
        self.fingerprint = fingerprint
        self.resend = resend
        self.leads = leads
        self.flight = flight

    async def result(self) -> Result | None:
        """Wait for the result of the request it is attached to.

        None when that request was cancelled: call `ResendTracker.rejoin`.
        """
        flight = self.flight
        assert flight is not None, "a leading request has no result to wait for"
        if not flight.ended:
            flight.done = flight.done or anyio.Event()
            await flight.done.wait()
        return flight.result


class ResendTracker(Generic[Result]):
    """Attaches resends of repeatable requests and marks the others.

    A resend is a request whose fingerprint (which contains the organisation)
    arrived at this entry node within the last 5 s or still runs.
    """

    __slots__ = ("_arrivals", "_clock", "_flights")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The two latest arrivals of each fingerprint, oldest fingerprint first.
        self._arrivals: OrderedDict[bytes, tuple[float, float]] = OrderedDict()
        self._flights: dict[bytes, Flight[Result]] = {}

    def arrive(self, fingerprint: bytes, repeatable: bool) -> Arrival[Result]:
        """Count an arrival and decide how to treat it.

        `resend` is set on a second resend within 5 s and on a resend that has
        nothing to attach to.
        """
        earlier, latest = self._count(fingerprint)
        oldest = self._clock.monotonic() - WINDOW_S
        flight = self._flights.get(fingerprint) if repeatable else None
        again = latest >= oldest or flight is not None
        resend = again and (flight is None or earlier >= oldest)
        return self._join(fingerprint, repeatable, resend)

    def rejoin(self, arrival: Arrival[Result]) -> Arrival[Result]:
        """Decide again after the request it was attached to was cancelled."""
        return self._join(arrival.fingerprint, True, arrival.resend)

    def finish(self, arrival: Arrival[Result], result: Result | None) -> None:
        """Hand a leading request's result to the attached ones; None if cancelled."""
        flight = arrival.flight
        if not arrival.leads or flight is None:
            return
        if self._flights.get(arrival.fingerprint) is flight:
            del self._flights[arrival.fingerprint]
        flight.ended = True
        flight.result = result
        if flight.done is not None:
            flight.done.set()

    def _join(
        self, fingerprint: bytes, repeatable: bool, resend: bool
    ) -> Arrival[Result]:
        if not repeatable:
            return Arrival(fingerprint, resend, True, None)
        flight = self._flights.get(fingerprint)
        if flight is not None:
            return Arrival(fingerprint, resend, False, flight)
        flight = self._flights[fingerprint] = Flight()
        return Arrival(fingerprint, resend, True, flight)

    def _count(self, fingerprint: bytes) -> tuple[float, float]:
        """Remember an arrival; return the times of the two before it."""
        now = self._clock.monotonic()
        never = float("-inf")
        before = self._arrivals.pop(fingerprint, (never, never))
        self._arrivals[fingerprint] = (before[1], now)
        oldest, (_, latest) = next(iter(self._arrivals.items()))
        if len(self._arrivals) > MAX_REMEMBERED or latest < now - WINDOW_S:
            del self._arrivals[oldest]
        return before
