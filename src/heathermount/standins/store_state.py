"""In-memory state of the key-value store stand-in, with fault injection."""

from collections import Counter, deque
from random import Random
from typing import Final

import anyio
import msgspec

from heathermount.clocks import Clock
from heathermount.errors import StoreUnavailable

__all__ = [
    "READ_CALLS",
    "WRITE_CALLS",
    "Compare",
    "StoreFaults",
    "StoreItem",
    "StoreSnapshot",
    "StoreState",
    "TooManyCalls",
]

READ_CALLS: Final = frozenset({"range", "watch"})
WRITE_CALLS: Final = frozenset({"txn", "lease_grant", "lease_keepalive"})

# Changes that are kept for watches that start at an earlier revision.
MAX_LOGGED_CHANGES: Final = 10_000


class TooManyCalls(StoreUnavailable):
    """The call exceeded a rate limit of the store; call less often."""


class StoreFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Injected faults; times in seconds, limits in calls per second (0: none)."""

    down: bool = False
    delay_s: float = 0.0
    # Responses lost after the write was applied: a number of the next ones, and a
    # share of all others.
    lose_next_answers: int = 0
    lose_answer_share: float = 0.0
    read_limit: int = 0
    write_limit: int = 0


class StoreItem(msgspec.Struct, frozen=True):
    """A value with its metadata as in etcd; `version` counts the writes."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


class Compare(msgspec.Struct, frozen=True):
    """Condition of a transaction; the target is mod, create, version or value."""

    key: bytes
    target: str
    result: str
    operand: int | bytes


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Copy of the data that can be restored later."""

    items: dict[bytes, StoreItem]
    revision: int


class Lease(msgspec.Struct):
    """A lease; times are in seconds of the clock of the state."""

    ttl_s: int
    expires_at_s: float


class StoreState:
    """In-memory key-value state with revisions, transactions, leases and watches."""

    __slots__ = (
        "_calls_this_second",
        "_change_event",
        "_change_log",
        "_clock",
        "_current_second",
        "_items",
        "_leases",
        "_next_lease_id",
        "_random",
        "counters",
        "faults",
        "revision",
    )

    def __init__(self, clock: Clock, random: Random | None = None) -> None:
        self._clock = clock
        self._random = random or Random(0)
        self._items: dict[bytes, StoreItem] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = 1
        self._change_log: deque[tuple[int, bytes, StoreItem | None]] = deque(
            maxlen=MAX_LOGGED_CHANGES
        )
        self._change_event = anyio.Event()
        self._current_second = -1
        self._calls_this_second: Counter[str] = Counter()
        self.revision = 1
        self.faults = StoreFaults()
        self.counters: Counter[str] = Counter()

    def admit(self, kind: str) -> None:
        """Count a call; raise StoreUnavailable if a fault or rate limit refuses it."""
        self.counters[kind] += 1
        if self.faults.down:
            self.counters["refused_down"] += 1
            raise StoreUnavailable("the store is down")
        call_group = "reads" if kind in READ_CALLS else "writes"
        second = int(self._clock.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._calls_this_second.clear()
        self._calls_this_second[call_group] += 1
        now = self._calls_this_second[call_group]
        self.counters[f"peak_{call_group}_per_s"] = max(
            self.counters[f"peak_{call_group}_per_s"], now
        )
        limit = (
            self.faults.read_limit if call_group == "reads" else self.faults.write_limit
        )
        if limit and now > limit:
            self.counters["refused_over_limit"] += 1
            raise TooManyCalls(f"the store takes {limit} {call_group} per second")

    def draw_response_loss(self) -> bool:
        """Decide whether the response to a write that was just applied is lost."""
        lost = self.faults.lose_next_answers > 0
        if lost:
            self.faults.lose_next_answers -= 1
        elif self.faults.lose_answer_share:
            lost = self._random.random() < self.faults.lose_answer_share
        self.counters["lost_answers"] += lost
        return lost

    def read(self, start: bytes, end: bytes = b"") -> dict[bytes, StoreItem]:
        """Return the item at `start` or, with an end, all in [start, end) by key."""
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
        lease_id: int = 0,
    ) -> bool:
        """Apply the writes at one new revision if all conditions hold."""
        self._expire_leases()
        if not all(self._is_satisfied(compare) for compare in compares):
            return False
        if writes:
            self._apply(writes, lease_id)
        return True

    def _is_satisfied(self, compare: Compare) -> bool:
        item = self._items.get(compare.key, StoreItem(b"", 0, 0, 0))
        if isinstance(compare.operand, bytes):
            return (item.value == compare.operand) == (compare.result == "EQUAL")
        actual = {
            "mod": item.mod_revision,
            "create": item.create_revision,
            "version": item.version,
        }[compare.target]
        return {
            "EQUAL": actual == compare.operand,
            "NOT_EQUAL": actual != compare.operand,
            "GREATER": actual > compare.operand,
            "LESS": actual < compare.operand,
        }[compare.result]

    def _apply(self, writes: dict[bytes, bytes | None], lease_id: int) -> None:
        self.revision += 1
        for key, value in writes.items():
            old = self._items.pop(key, None)
            item = None
            if value is not None:
                create_revision = old.create_revision if old else self.revision
                version = old.version + 1 if old else 1
                item = StoreItem(
                    value, create_revision, self.revision, version, lease_id
                )
                self._items[key] = item
            if item is not None or old is not None:
                self._change_log.append((self.revision, key, item))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    def grant_lease(self, ttl_s: int) -> int:
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = Lease(ttl_s, self._clock.monotonic() + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease; return its time to live in seconds, or 0 if it has expired."""
        self._expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_s = self._clock.monotonic() + lease.ttl_s
        return lease.ttl_s

    def lapse_leases(self) -> None:
        """Expire all leases at once, as after a long pause of the store's leader."""
        for lease in self._leases.values():
            lease.expires_at_s = self._clock.monotonic()
        self._expire_leases()

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        ended = {
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at_s <= now
        }
        if not ended:
            return
        for lease_id in ended:
            del self._leases[lease_id]
        keys = [key for key, item in self._items.items() if item.lease_id in ended]
        if keys:
            self._apply(dict.fromkeys(keys), 0)

    async def wait_for_changes(
        self, start: bytes, end: bytes, after: int
    ) -> tuple[int, list[tuple[bytes, StoreItem | None]]]:
        """Wait for changes in [start, end) after a revision.

        Returns the current revision and the changes.
        """
        while True:
            found = [
                (key, item)
                for revision, key, item in self._change_log
                if revision > after and start <= key < end
            ]
            if found:
                return self.revision, found
            await self._change_event.wait()

    def snapshot(self) -> StoreSnapshot:
        return StoreSnapshot(dict(self._items), self.revision)

    def restore(self, snapshot: StoreSnapshot, reuse_revisions: bool = False) -> None:
        """Replace the data with a snapshot.

        Revisions continue from the latest one, as after an etcd restore with a
        bumped revision, unless `reuse_revisions` is set.
        """
        self._items = dict(snapshot.items)
        if reuse_revisions:
            self.revision = snapshot.revision
        else:
            self.revision += 1
        self._change_log.clear()
        self._notify_watchers()
