"""State of the stand-in of the key-value service, with faults on demand."""

from collections import Counter, deque
from random import Random
from typing import Final

import anyio
import msgspec

from heathermount.clocks import Clock
from heathermount.errors import StoreUnavailable

__all__ = [
    "READS",
    "WRITES",
    "Compare",
    "StoreFaults",
    "StoreItem",
    "StoreSnapshot",
    "StoreState",
    "TooManyCalls",
]

READS: Final = frozenset({"range", "watch"})
WRITES: Final = frozenset({"txn", "lease_grant", "lease_keepalive"})

# Changes kept for watches that start at an earlier revision.
LOG_SIZE: Final = 10_000


class TooManyCalls(StoreUnavailable):
    """The store refused a call over its rate limit; call it less often."""


class StoreFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; times in seconds, limits in calls per second (0: none)."""

    down: bool = False
    delay_s: float = 0.0
    # Answers lost after the write took effect: the next ones, and a share of all.
    lose_next_answers: int = 0
    lose_answer_share: float = 0.0
    read_limit: int = 0
    write_limit: int = 0


class StoreItem(msgspec.Struct, frozen=True):
    """A value with etcd's revisions: of creation, of the last change, and count."""

    value: bytes
    created: int
    modified: int
    version: int
    lease: int = 0


class Compare(msgspec.Struct, frozen=True):
    """Condition of a transaction: target is mod, create, version or value."""

    key: bytes
    target: str
    result: str
    operand: int | bytes


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Copy of the data, to be restored later."""

    items: dict[bytes, StoreItem]
    revision: int


class Lease(msgspec.Struct):
    """Term of a lease, in seconds of the state's clock."""

    ttl_s: int
    ends_at: float


class StoreState:
    """In-memory key-value state with revisions, transactions, leases and watches."""

    __slots__ = (
        "_changed",
        "_clock",
        "_items",
        "_leases",
        "_log",
        "_next_lease",
        "_random",
        "_second",
        "_this_second",
        "counters",
        "faults",
        "revision",
    )

    def __init__(self, clock: Clock, random: Random | None = None) -> None:
        self._clock = clock
        self._random = random or Random(0)
        self._items: dict[bytes, StoreItem] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1
        self._log: deque[tuple[int, bytes, StoreItem | None]] = deque(maxlen=LOG_SIZE)
        self._changed = anyio.Event()
        self._second = -1
        self._this_second: Counter[str] = Counter()
        self.revision = 1
        self.faults = StoreFaults()
        self.counters: Counter[str] = Counter()

    def admit(self, kind: str) -> None:
        """Count a call; raise StoreUnavailable when a fault or limit refuses it."""
        self.counters[kind] += 1
        if self.faults.down:
            self.counters["refused_down"] += 1
            raise StoreUnavailable("the store is down")
        group = "reads" if kind in READS else "writes"
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._this_second.clear()
        self._this_second[group] += 1
        now = self._this_second[group]
        self.counters[f"peak_{group}_per_s"] = max(
            self.counters[f"peak_{group}_per_s"], now
        )
        limit = self.faults.read_limit if group == "reads" else self.faults.write_limit
        if limit and now > limit:
            self.counters["refused_over_limit"] += 1
            raise TooManyCalls(f"the store takes {limit} {group} per second")

    def loses_answer(self) -> bool:
        """Tell whether the answer to the write that just took effect is lost."""
        lost = self.faults.lose_next_answers > 0
        if lost:
            self.faults.lose_next_answers -= 1
        elif self.faults.lose_answer_share:
            lost = self._random.random() < self.faults.lose_answer_share
        self.counters["lost_answers"] += lost
        return lost

    def read(self, start: bytes, end: bytes = b"") -> dict[bytes, StoreItem]:
        """Return the item at `start`, or all in [start, end) in order."""
        self._expire_leases()
        if not end:
            item = self._items.get(start)
            return {} if item is None else {start: item}
        keys = sorted(key for key in self._items if start <= key < end)
        return {key: self._items[key] for key in keys}

    def transact(
        self,
        compares: list[Compare],
        writes: dict[bytes, bytes | None],
        lease: int = 0,
    ) -> bool:
        """Apply the writes at one new revision if all comparisons hold."""
        self._expire_leases()
        if not all(self._holds(compare) for compare in compares):
            return False
        if writes:
            self._apply(writes, lease)
        return True

    def _holds(self, compare: Compare) -> bool:
        item = self._items.get(compare.key, StoreItem(b"", 0, 0, 0))
        if isinstance(compare.operand, bytes):
            return (item.value == compare.operand) == (compare.result == "EQUAL")
        actual = {
            "mod": item.modified,
            "create": item.created,
            "version": item.version,
        }[compare.target]
        return {
            "EQUAL": actual == compare.operand,
            "NOT_EQUAL": actual != compare.operand,
            "GREATER": actual > compare.operand,
            "LESS": actual < compare.operand,
        }[compare.result]

    def _apply(self, writes: dict[bytes, bytes | None], lease: int) -> None:
        self.revision += 1
        for key, value in writes.items():
            old = self._items.pop(key, None)
            item = None
            if value is not None:
                created = old.created if old else self.revision
                version = old.version + 1 if old else 1
                item = StoreItem(value, created, self.revision, version, lease)
                self._items[key] = item
            if item is not None or old is not None:
                self._log.append((self.revision, key, item))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def grant_lease(self, ttl_s: int) -> int:
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = Lease(ttl_s, self._clock.monotonic() + ttl_s)
        return lease

    def renew_lease(self, lease: int) -> int:
        """Return the seconds to live, 0 when the lease has ended."""
        self._expire_leases()
        held = self._leases.get(lease)
        if held is None:
            return 0
        held.ends_at = self._clock.monotonic() + held.ttl_s
        return held.ttl_s

    def lapse_leases(self) -> None:
        """End all leases at once, as after a long pause of the store's leader."""
        for held in self._leases.values():
            held.ends_at = self._clock.monotonic()
        self._expire_leases()

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        ended = {lease for lease, held in self._leases.items() if held.ends_at <= now}
        if not ended:
            return
        for lease in ended:
            del self._leases[lease]
        keys = [key for key, item in self._items.items() if item.lease in ended]
        if keys:
            self._apply(dict.fromkeys(keys), 0)

    async def wait_changes(
        self, start: bytes, end: bytes, after: int
    ) -> tuple[int, list[tuple[bytes, StoreItem | None]]]:
        """Wait for changes in [start, end) after a revision; return the new one."""
        while True:
            found = [
                (key, item)
                for revision, key, item in self._log
                if revision > after and start <= key < end
            ]
            if found:
                return self.revision, found
            await self._changed.wait()

    def snapshot(self) -> StoreSnapshot:
        return StoreSnapshot(dict(self._items), self.revision)

    def restore(self, snapshot: StoreSnapshot, repeat_revisions: bool = False) -> None:
        """Put older data back.

        Revisions go on from the latest one, as after etcd's restore with a
        bumped revision, unless `repeat_revisions` is set.
        """
        self._items = dict(snapshot.items)
        if repeat_revisions:
            self.revision = snapshot.revision
        else:
            self.revision += 1
        self._log.clear()
        self._wake_watches()
