"""Requests under which backend servers were lost."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b
from typing import Final

from heathermount.clocks import Clock
from heathermount.routing.members import Member
from heathermount.wire.messages import Suspicion

__all__ = ["Quarantine", "trial_member"]

# Lost servers at which a fingerprint is blocked, and for how long after the
# last loss, in seconds.
BLOCK_AT: Final = 2
DURATION_S: Final = 300.0

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
    """

    __slots__ = ("_blocked", "_clock", "_running", "_suspected", "_turn")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Both in order of insertion; the oldest is forgotten when full.
        self._suspected: OrderedDict[bytes, Suspect] = OrderedDict()
        self._blocked: OrderedDict[bytes, Suspect] = OrderedDict()
        self._running: dict[bytes, int] = {}
        self._turn = 0

    def suspect(self, fingerprint: bytes, server: str, now: float | None = None) -> int:
        """Record a lost server; return how many distinct ones are known.

        `now` is the monotonic time of the loss; the current time by default.
        """
        current = self._clock.monotonic()
        lost_at = current if now is None else min(now, current)
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
        return len(suspect.servers)

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
        return len(suspect.servers) if suspect else 0

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

    def leave(self, fingerprint: bytes) -> None:
        """End a request that `enter` let start."""
        running = self._running.get(fingerprint, 0) - 1
        if running > 0:
            self._running[fingerprint] = running
        else:
            self._running.pop(fingerprint, None)

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
        if len(suspect.servers) >= BLOCK_AT:
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
