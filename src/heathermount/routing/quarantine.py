"""Quarantine of requests that are suspected of crashing backend servers."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Final

import anyio

from heathermount.clocks import Clock
from heathermount.routing.members import Member
from heathermount.wire.messages import Suspicion

__all__ = ["Quarantine", "choose_trial_member"]

# Lost servers at which a fingerprint is blocked, and the time after the last loss
# at which suspicions and blocks expire. Completions also count for this long.
BLOCK_AT_LOSSES: Final = 2
SUSPICION_TTL_S: Final = 300.0

# Losses at which a fingerprint is blocked that completed here recently. Servers
# lost within the given time of each other count once, as they may have one cause.
BLOCK_COMPLETED_AT_LOSSES: Final = 4
SAME_CAUSE_WINDOW_S: Final = 1.0

# Bounds on memory: fingerprints in each table, and servers kept for each of them.
MAX_FINGERPRINTS: Final = 4096
MAX_SERVERS_PER_FINGERPRINT: Final = 8

# Suspicions in each heartbeat: the newest ones, and older ones in rotation, so that
# a node that joined later receives them too. 16 suspicions take about 0.6 KB.
NEWEST_PER_HEARTBEAT: Final = 8
OLDER_PER_HEARTBEAT: Final = 8


class ServerLosses:
    """Servers lost while running one fingerprint, with the time of each loss."""

    __slots__ = ("last_lost_at", "lost_at_by_server")

    def __init__(self) -> None:
        self.lost_at_by_server: dict[str, float] = {}
        self.last_lost_at = float("-inf")


class Quarantine:
    """Counts lost servers by request fingerprint and blocks dangerous requests.

    A suspicion is one server lost while it ran a request with the fingerprint.
    `server` names one start of a backend server, so that the loss of a server
    and of its replacement on the same node count as two. While a fingerprint
    has one suspicion, this node runs at most one request with it at a time
    (`try_start`). Such a request is sent only to the member that
    `choose_trial_member` returns, whose node applies the same rule, so that only
    one runs in the fleet.

    A crash also fails requests that only happened to run at the same server. A
    request that crashes servers never completes, so a completion clears the
    earlier losses of its fingerprint (`record_completion`). A fingerprint that
    completed at this node during the last 300 s is blocked only after four
    losses that are more than a second apart, without a completion in between.
    The reason is that the failure of a rack, or another request that crashes
    servers, also fails many harmless requests.
    """

    __slots__ = (
        "_blocked",
        "_cleared",
        "_clock",
        "_completed",
        "_ended_events",
        "_next_older_index",
        "_running",
        "_suspected",
        "on_new_suspicion",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Both in order of insertion; the oldest entry is evicted when full.
        self._suspected: OrderedDict[bytes, ServerLosses] = OrderedDict()
        self._blocked: OrderedDict[bytes, ServerLosses] = OrderedDict()
        # Monotonic time of the last clearing, oldest first.
        self._cleared: OrderedDict[bytes, float] = OrderedDict()
        # Monotonic time of the last completion at this node, oldest first.
        self._completed: OrderedDict[bytes, float] = OrderedDict()
        self._running: dict[bytes, int] = {}
        # Set when a running request ends for which others with its fingerprint wait.
        self._ended_events: dict[bytes, anyio.Event] = {}
        self._next_older_index = 0
        # Called when a lost server is recorded that was not known before.
        self.on_new_suspicion: Callable[[], None] = lambda: None

    def record_loss(
        self, fingerprint: bytes, server: str, loss_time: float | None = None
    ) -> int:
        """Record a lost server; return the number of losses that count.

        `loss_time` is the monotonic time of the loss, by default the current time.
        """
        now = self._clock.monotonic()
        lost_at = now if loss_time is None else min(loss_time, now)
        if lost_at <= self._cleared.get(fingerprint, float("-inf")):
            return self.count_suspicions(fingerprint)
        losses = self._find_losses(fingerprint, now)
        if losses is None:
            if lost_at < now - SUSPICION_TTL_S:
                return 0
            losses = ServerLosses()
        if (
            len(losses.lost_at_by_server) < MAX_SERVERS_PER_FINGERPRINT
            or server in losses.lost_at_by_server
        ):
            # The age of a suspicion drifts as nodes pass it on. The earliest time
            # is kept, so that it expires although nodes keep sharing it.
            is_new = server not in losses.lost_at_by_server
            lost_at = min(lost_at, losses.lost_at_by_server.get(server, lost_at))
            losses.lost_at_by_server[server] = lost_at
            losses.last_lost_at = max(losses.lost_at_by_server.values())
            if is_new:
                self.on_new_suspicion()
        self._store_losses(fingerprint, losses)
        return self._count_relevant_losses(fingerprint, losses)

    def record_completion(self, fingerprint: bytes) -> bool:
        """Record a completed request; return whether it was suspected until now."""
        now = self._clock.monotonic()
        self._completed[fingerprint] = now
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_FINGERPRINTS:
            self._completed.popitem(last=False)
        if fingerprint not in self._suspected:
            return False
        self.clear(fingerprint, now)
        return True

    def clear(self, fingerprint: bytes, completed_at: float | None = None) -> None:
        """Drop the losses up to `completed_at`, when a request completed.

        `completed_at` is monotonic, by default the current time.

        A blocked fingerprint stays blocked, because it no longer runs.
        """
        cleared_at = self._clock.monotonic() if completed_at is None else completed_at
        losses = self._suspected.get(fingerprint)
        if losses is None or losses.last_lost_at > cleared_at:
            return
        del self._suspected[fingerprint]
        self._cleared[fingerprint] = cleared_at
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_FINGERPRINTS:
            self._cleared.popitem(last=False)

    def merge(self, suspicions: Iterable[Suspicion]) -> None:
        """Add suspicions received from another node."""
        now = self._clock.monotonic()
        # Newest first, because it prevents older ones of the same fingerprint from
        # being treated as expired.
        for suspicion in sorted(suspicions, key=lambda s: s.age_s):
            age_s = max(0.0, suspicion.age_s)
            self.record_loss(suspicion.fingerprint, suspicion.server, now - age_s)

    def count_suspicions(self, fingerprint: bytes) -> int:
        """Return the number of losses that count against a fingerprint."""
        if not self._suspected and not self._blocked:
            return 0
        losses = self._find_losses(fingerprint, self._clock.monotonic())
        return self._count_relevant_losses(fingerprint, losses) if losses else 0

    def is_blocked(self, fingerprint: bytes) -> bool:
        """Return whether requests with a fingerprint are refused."""
        return self.count_suspicions(fingerprint) >= BLOCK_AT_LOSSES

    def try_start(self, fingerprint: bytes) -> bool:
        """Register the start of a request; return false if it must not run now.

        Each true result needs one call of `finish`.
        """
        running = self._running.get(fingerprint, 0)
        suspicions = self.count_suspicions(fingerprint)
        if suspicions >= BLOCK_AT_LOSSES or (suspicions and running):
            return False
        self._running[fingerprint] = running + 1
        return True

    async def start_when_alone(self, fingerprint: bytes) -> bool:
        """Wait until no request with the fingerprint runs, then `try_start`.

        Returns false if the fingerprint is blocked or becomes so.
        """
        while not self.try_start(fingerprint):
            if self.is_blocked(fingerprint):
                return False
            await self._ended_events.setdefault(fingerprint, anyio.Event()).wait()
        return True

    def finish(self, fingerprint: bytes) -> None:
        """Register the end of a request for which `try_start` returned true."""
        running = self._running.get(fingerprint, 0) - 1
        if running > 0:
            self._running[fingerprint] = running
        else:
            self._running.pop(fingerprint, None)
        ended_event = self._ended_events.pop(fingerprint, None)
        if ended_event is not None:
            ended_event.set()

    def select_suspicions_to_share(self) -> list[Suspicion]:
        """Return the suspicions to send to the group in the next heartbeat."""
        if not self._suspected and not self._blocked:
            return []
        now = self._clock.monotonic()
        self._expire(now)
        suspicions = [
            Suspicion(fingerprint, server, now - lost_at)
            for losses_by_fingerprint in (self._blocked, self._suspected)
            for fingerprint, losses in losses_by_fingerprint.items()
            for server, lost_at in losses.lost_at_by_server.items()
        ]
        suspicions.sort(key=lambda suspicion: suspicion.age_s)
        newest, older = (
            suspicions[:NEWEST_PER_HEARTBEAT],
            suspicions[NEWEST_PER_HEARTBEAT:],
        )
        if len(older) <= OLDER_PER_HEARTBEAT:
            return newest + older
        start = self._next_older_index % len(older)
        self._next_older_index = start + OLDER_PER_HEARTBEAT
        return newest + (older + older)[start : start + OLDER_PER_HEARTBEAT]

    def completed_recently(self, fingerprint: bytes) -> bool:
        """Return whether a request with the fingerprint completed here recently."""
        completed_at = self._completed.get(fingerprint, float("-inf"))
        return completed_at >= self._clock.monotonic() - SUSPICION_TTL_S

    def _count_relevant_losses(self, fingerprint: bytes, losses: ServerLosses) -> int:
        """Return the number of losses to count against a fingerprint."""
        if not self.completed_recently(fingerprint):
            return len(losses.lost_at_by_server)
        times = sorted(losses.lost_at_by_server.values())
        independent_losses = 1 + sum(
            later - earlier > SAME_CAUSE_WINDOW_S
            for earlier, later in zip(times, times[1:], strict=False)
        )
        return BLOCK_AT_LOSSES if independent_losses >= BLOCK_COMPLETED_AT_LOSSES else 0

    def _find_losses(self, fingerprint: bytes, now: float) -> ServerLosses | None:
        for losses_by_fingerprint in (self._suspected, self._blocked):
            losses = losses_by_fingerprint.get(fingerprint)
            if losses is None:
                continue
            if losses.last_lost_at >= now - SUSPICION_TTL_S:
                return losses
            del losses_by_fingerprint[fingerprint]
        return None

    def _store_losses(self, fingerprint: bytes, losses: ServerLosses) -> None:
        losses_by_fingerprint = self._suspected
        if self._count_relevant_losses(fingerprint, losses) >= BLOCK_AT_LOSSES:
            self._suspected.pop(fingerprint, None)
            losses_by_fingerprint = self._blocked
        losses_by_fingerprint[fingerprint] = losses
        if len(losses_by_fingerprint) > MAX_FINGERPRINTS:
            losses_by_fingerprint.popitem(last=False)

    def _expire(self, now: float) -> None:
        for losses_by_fingerprint in (self._suspected, self._blocked):
            for fingerprint in list(losses_by_fingerprint):
                if (
                    losses_by_fingerprint[fingerprint].last_lost_at
                    < now - SUSPICION_TTL_S
                ):
                    del losses_by_fingerprint[fingerprint]


def choose_trial_member(fingerprint: bytes, members: Sequence[Member]) -> Member | None:
    """Return the only member that may run a suspected request.

    Rendezvous hashing makes all nodes with the same members choose the same one.
    """
    choices = [member for member in members if not member.draining]
    return max(
        choices,
        key=lambda m: blake2b(fingerprint + m.node.encode(), digest_size=8).digest(),
        default=None,
    )
