"""Requests under which backend servers were lost."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b
from typing import Final

import anyio

from heathermount.clocks import Clock
from heathermount.routing.members import Member
from heathermount.wire.messages import Suspicion

__all__ = ["Quarantine", "trial_member"]

# Lost servers at which a fingerprint is blocked, and for how long after the
# last loss, in seconds.
BLOCK_AT: Final = 2
DURATION_S: Final = 300.0
BLOCK_PROVEN_AT: Final = 4

# Servers lost within this time of each other, in seconds, may have one cause.
TOGETHER_S: Final = 1.0

# Bounds of memory: fingerprints of each kind, and servers kept for each.
MAX_FINGERPRINTS: Final = 4096
MAX_SERVERS: Final = 8

# Suspicions per heartbeat: the newest ones, and older ones in turn, so that a
# node which joined later learns them too. 16 take about 0.6 KB.
RECENT_NEWEST: Final = 8
RECENT_IN_TURN: Final = 8


class Suspect:
    """Servers lost under one fingerprint, with the time of each loss."""

    __slots__ = ("last", "servers")

    def __init__(self) -> None:
        self.servers: dict[str, float] = {}
        self.last = float("-inf")


class Quarantine:
    """Counts lost servers per fingerprint and refuses the dangerous ones.

    `server` names one start of a backend server, so that the loss of a server
    and of its replacement on the same node count as two. While a fingerprint
    has one suspicion, at most one request with it runs at a time at this node
    (`enter`); a request is sent only to the member that `trial_member` names,
    whose node applies the same rule, so one runs in the fleet.

    A crash also breaks requests that only happened to run at that server. A
    request that crashes servers never completes, so one that completes clears
    its fingerprint of the losses until then (`completed`). A fingerprint that
    completed at this node during the last minutes is only blocked after four
    losses, at least a second apart and without a completion in between: a rack
    that fails, or another request that crashes servers, takes many requests
    with it that are proven.
    """

    __slots__ = (
        "_blocked",
        "_cleared",
        "_clock",
        "_completed",
        "_ended",
        "_running",
        "_suspected",
        "_turn",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Both in order of insertion; the oldest is forgotten when full.
        self._suspected: OrderedDict[bytes, Suspect] = OrderedDict()
        self._blocked: OrderedDict[bytes, Suspect] = OrderedDict()
        # Monotonic time of the last clearance, oldest first.
        self._cleared: OrderedDict[bytes, float] = OrderedDict()
        # Monotonic time of the last completion here, oldest first.
        self._completed: OrderedDict[bytes, float] = OrderedDict()
        self._running: dict[bytes, int] = {}
        # Set when a request ends that others with its fingerprint wait for.
        self._ended: dict[bytes, anyio.Event] = {}
        self._turn = 0

    def suspect(self, fingerprint: bytes, server: str, now: float | None = None) -> int:
        """Record a lost server; return how many distinct ones are known.

        `now` is the monotonic time of the loss; the current time by default.
        """
        current = self._clock.monotonic()
        lost_at = current if now is None else min(now, current)
        if lost_at <= self._cleared.get(fingerprint, float("-inf")):
            return self.suspicions(fingerprint)
        suspect = self._find(fingerprint, current)
        if suspect is None:
            if lost_at < current - DURATION_S:
                return 0
            suspect = Suspect()
        if len(suspect.servers) < MAX_SERVERS or server in suspect.servers:
            # Ages drift when suspicions are passed on; the oldest time wins, so
            # that they expire although nodes keep sharing them.
            lost_at = min(lost_at, suspect.servers.get(server, lost_at))
            suspect.servers[server] = lost_at
            suspect.last = max(suspect.servers.values())
        self._file(fingerprint, suspect)
        return self._count(fingerprint, suspect)

    def completed(self, fingerprint: bytes) -> bool:
        """Note that a request has completed; tell whether that cleared a suspicion."""
        now = self._clock.monotonic()
        self._completed[fingerprint] = now
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_FINGERPRINTS:
            self._completed.popitem(last=False)
        if fingerprint not in self._suspected:
            return False
        self.clear(fingerprint, now)
        return True

    def clear(self, fingerprint: bytes, now: float | None = None) -> None:
        """Drop the losses until `now` (monotonic): a request has completed.

        A blocked fingerprint stays blocked: it does not run any more.
        """
        cleared_at = self._clock.monotonic() if now is None else now
        suspect = self._suspected.get(fingerprint)
        if suspect is None or suspect.last > cleared_at:
            return
        del self._suspected[fingerprint]
        self._cleared[fingerprint] = cleared_at
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_FINGERPRINTS:
            self._cleared.popitem(last=False)

    def merge(self, suspicions: Iterable[Suspicion]) -> None:
        """Take suspicions from another node."""
        now = self._clock.monotonic()
        # The newest first: it keeps older ones of its fingerprint alive.
        for suspicion in sorted(suspicions, key=lambda s: s.age_s):
            age_s = max(0.0, suspicion.age_s)
            self.suspect(suspicion.fingerprint, suspicion.server, now - age_s)

    def suspicions(self, fingerprint: bytes) -> int:
        """Return how many servers were lost under a fingerprint."""
        if not self._suspected and not self._blocked:
            return 0
        suspect = self._find(fingerprint, self._clock.monotonic())
        return self._count(fingerprint, suspect) if suspect else 0

    def blocked(self, fingerprint: bytes) -> bool:
        """Tell whether a fingerprint is refused."""
        return self.suspicions(fingerprint) >= BLOCK_AT

    def enter(self, fingerprint: bytes) -> bool:
        """Start a request; false when it must not run now.

        Each true result needs one `leave`.
        """
        running = self._running.get(fingerprint, 0)
        suspicions = self.suspicions(fingerprint)
        if suspicions >= BLOCK_AT or (suspicions and running):
            return False
        self._running[fingerprint] = running + 1
        return True

    async def enter_when_alone(self, fingerprint: bytes) -> bool:
        """Wait while another suspected request runs, then `enter`.

        False when the fingerprint is or becomes blocked.
        """
        while not self.enter(fingerprint):
            if self.blocked(fingerprint):
                return False
            await self._ended.setdefault(fingerprint, anyio.Event()).wait()
        return True

    def leave(self, fingerprint: bytes) -> None:
        """End a request that `enter` let start."""
        running = self._running.get(fingerprint, 0) - 1
        if running > 0:
            self._running[fingerprint] = running
        else:
            self._running.pop(fingerprint, None)
        ended = self._ended.pop(fingerprint, None)
        if ended is not None:
            ended.set()

    def recent(self) -> list[Suspicion]:
        """Return suspicions to share with the group in one heartbeat."""
        if not self._suspected and not self._blocked:
            return []
        now = self._clock.monotonic()
        self._expire(now)
        suspicions = [
            Suspicion(fingerprint, server, now - lost_at)
            for suspects in (self._blocked, self._suspected)
            for fingerprint, suspect in suspects.items()
            for server, lost_at in suspect.servers.items()
        ]
        suspicions.sort(key=lambda suspicion: suspicion.age_s)
        newest, older = suspicions[:RECENT_NEWEST], suspicions[RECENT_NEWEST:]
        if len(older) <= RECENT_IN_TURN:
            return newest + older
        start = self._turn % len(older)
        self._turn = start + RECENT_IN_TURN
        return newest + (older + older)[start : start + RECENT_IN_TURN]

    def proven(self, fingerprint: bytes) -> bool:
        """Tell whether a request with the fingerprint completed here recently."""
        completed_at = self._completed.get(fingerprint, float("-inf"))
        return completed_at >= self._clock.monotonic() - DURATION_S

    def _count(self, fingerprint: bytes, suspect: Suspect) -> int:
        """Return the losses that count against a fingerprint."""
        if not self.proven(fingerprint):
            return len(suspect.servers)
        times = sorted(suspect.servers.values())
        losses = 1 + sum(
            later - earlier > TOGETHER_S
            for earlier, later in zip(times, times[1:], strict=False)
        )
        return BLOCK_AT if losses >= BLOCK_PROVEN_AT else 0

    def _find(self, fingerprint: bytes, now: float) -> Suspect | None:
        for suspects in (self._suspected, self._blocked):
            suspect = suspects.get(fingerprint)
            if suspect is None:
                continue
            if suspect.last >= now - DURATION_S:
                return suspect
            del suspects[fingerprint]
        return None

    def _file(self, fingerprint: bytes, suspect: Suspect) -> None:
        suspects = self._suspected
        if self._count(fingerprint, suspect) >= BLOCK_AT:
            self._suspected.pop(fingerprint, None)
            suspects = self._blocked
        suspects[fingerprint] = suspect
        if len(suspects) > MAX_FINGERPRINTS:
            suspects.popitem(last=False)

    def _expire(self, now: float) -> None:
        for suspects in (self._suspected, self._blocked):
            for fingerprint in list(suspects):
                if suspects[fingerprint].last < now - DURATION_S:
                    del suspects[fingerprint]


def trial_member(fingerprint: bytes, members: Sequence[Member]) -> Member | None:
    """Return the one member that may run a suspected request.

    Rendezvous hash: all nodes with the same members choose the same one.
    """
    choices = [member for member in members if not member.draining]
    return max(
        choices,
        key=lambda m: blake2b(fingerprint + m.node.encode(), digest_size=8).digest(),
        default=None,
    )
