"""Queue of requests that wait for a free slot of the backend server."""

import math
from collections import OrderedDict, deque
from enum import Enum
from heapq import heapify, heappop, heappush, heapreplace
from typing import Final

import anyio

from heathermount.admission.tickets import Permit, Ticket
from heathermount.values import COHORT_COUNT, Importance

__all__ = ["Entry", "EntryState", "TicketQueue"]

# Removed entries stay in the heaps until they reach the top or until a heap
# holds this many more than twice the waiting entries.
HEAP_SLACK: Final = 64

# Organisations without waiting requests are forgotten above this number.
IDLE_ORGANISATIONS: Final = 256

SEQUENCE_BITS: Final = 48


class EntryState(Enum):
    """What became of a waiting request."""

    WAITING = "waiting"
    GRANTED = "granted"
    SHED = "shed"
    EXPIRED = "expired"
    DRAINED = "drained"
    CANCELLED = "cancelled"


class Entry:
    """One waiting request."""

    __slots__ = (
        "event",
        "lane",
        "permit",
        "queued_at",
        "rank",
        "sequence",
        "state",
        "ticket",
    )

    def __init__(
        self, ticket: Ticket, rank: int, sequence: int, queued_at: float
    ) -> None:
        self.ticket = ticket
        self.queued_at = queued_at
        # Order of shedding: class, then cohort, then resends; highest first.
        self.rank = rank
        self.sequence = sequence
        self.state = EntryState.WAITING
        self.permit: Permit | None = None
        self.event: anyio.Event | None = None
        self.lane: OrderedDict[int, Entry] = OrderedDict()

    def settle(self, state: EntryState) -> None:
        """Decide the entry and wake its waiter."""
        self.state = state
        if self.event is not None:
            self.event.set()


class Organisation:
    """Waiting requests of one organisation in one class."""

    __slots__ = ("active", "new", "resends", "tag")

    def __init__(self) -> None:
        self.new: OrderedDict[int, Entry] = OrderedDict()
        self.resends: OrderedDict[int, Entry] = OrderedDict()
        # Virtual time at which its next request is due.
        self.tag = 0.0
        self.active = False

    def lane(self) -> OrderedDict[int, Entry]:
        """Return the lane to serve next: new requests before resends."""
        return self.new or self.resends


class ClassQueue:
    """Waiting requests of one class, weighted fair between organisations.

    Start-time fair queueing: serving a request moves its organisation's tag
    by 1/weight, and the organisation with the lowest tag is served next.
    """

    __slots__ = ("_by_age", "_due", "_organisations", "_virtual", "waiting")

    def __init__(self) -> None:
        self.waiting = 0
        self._by_age: deque[Entry] = deque()
        self._organisations: dict[str, Organisation] = {}
        self._due: list[tuple[float, int, Organisation]] = []
        self._virtual = 0.0

    def push(self, entry: Entry, name: str) -> None:
        organisation = self._organisations.get(name)
        if organisation is None:
            self._forget_idle()
            organisation = self._organisations[name] = Organisation()
        lane = organisation.resends if entry.ticket.resend else organisation.new
        lane[entry.sequence] = entry
        entry.lane = lane
        self.waiting += 1
        self._by_age.append(entry)
        if len(self._by_age) > 2 * self.waiting + HEAP_SLACK:
            waiting = EntryState.WAITING
            self._by_age = deque(e for e in self._by_age if e.state is waiting)
        if not organisation.active:
            organisation.active = True
            organisation.tag = max(organisation.tag, self._virtual)
            heappush(self._due, (organisation.tag, entry.sequence, organisation))

    def remove(self, entry: Entry) -> None:
        del entry.lane[entry.sequence]
        self._left()

    def pop(self, newest_first: bool) -> Entry:
        """Take the next request; at least one must wait."""
        while True:
            tag, order, organisation = self._due[0]
            lane = organisation.lane()
            if lane:
                break
            heappop(self._due)
            organisation.active = False
        _, entry = lane.popitem(last=newest_first)
        self._virtual = tag
        organisation.tag = tag + 1.0 / max(1, entry.ticket.weight)
        if organisation.lane():
            heapreplace(self._due, (organisation.tag, order, organisation))
        else:
            heappop(self._due)
            organisation.active = False
        self._left()
        return entry

    def oldest_at(self) -> float:
        """Return when the oldest request came; infinity when none waits."""
        entries = self._by_age
        while entries and entries[0].state is not EntryState.WAITING:
            entries.popleft()
        return entries[0].queued_at if entries else math.inf

    def _left(self) -> None:
        self.waiting -= 1
        if self.waiting == 0:
            self._by_age.clear()
            # A busy period ended: all organisations start equal again.
            self._organisations.clear()
            self._due.clear()
            self._virtual = 0.0

    def _forget_idle(self) -> None:
        if len(self._organisations) < IDLE_ORGANISATIONS + 2 * len(self._due):
            return
        self._organisations = {
            name: organisation
            for name, organisation in self._organisations.items()
            if organisation.active or organisation.tag > self._virtual
        }


class TicketQueue:
    """Order of service and order of shedding of waiting requests.

    Served next: the most important class; within it the organisation that is
    due; within that new requests before resends, oldest first, or newest first
    while a request of the class waits since before a given time (the queue
    stands): then some are served in time instead of all too late.

    Shed first: the least important class, in it the highest cohort, in it
    resends, in them the newest. Every operation takes O(log n) amortised time.
    """

    __slots__ = (
        "_by_deadline",
        "_by_rank",
        "_classes",
        "_cohorts",
        "_fair",
        "_next",
        "_size",
    )

    def __init__(self, fair: bool = True, cohorts: bool = True) -> None:
        self._fair = fair
        self._cohorts = cohorts
        self._classes = [ClassQueue() for _ in Importance]
        self._by_rank: list[tuple[int, Entry]] = []
        self._by_deadline: list[tuple[float, int, Entry]] = []
        self._next = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, ticket: Ticket, now: float = 0.0) -> Entry:
        """Add a request."""
        self._next += 1
        self._size += 1
        entry = Entry(ticket, self._rank(ticket), self._next, now)
        name = ticket.organisation if self._fair else ""
        self._classes[ticket.importance].push(entry, name)
        shed_order = -((entry.rank << SEQUENCE_BITS) + entry.sequence)
        heappush(self._by_rank, (shed_order, entry))
        heappush(self._by_deadline, (ticket.deadline, entry.sequence, entry))
        self._compact()
        return entry

    def remove(self, entry: Entry, state: EntryState) -> None:
        """Take a waiting entry out of the queue and settle it."""
        self._classes[entry.ticket.importance].remove(entry)
        self._size -= 1
        entry.settle(state)

    def stands(self, importance: int, since: float) -> bool:
        """Tell whether a request of a class waits since before a time."""
        return self._classes[importance].oldest_at() < since

    def pop(self, standing_since: float = -math.inf) -> Entry | None:
        """Take the request to serve next; the caller settles it."""
        for queue in self._classes:
            if queue.waiting:
                entry = queue.pop(queue.oldest_at() < standing_since)
                entry.state = EntryState.GRANTED
                self._size -= 1
                return entry
        return None

    def worst(self) -> Entry | None:
        """Return the waiting request that is shed first."""
        heap = self._by_rank
        while heap and heap[0][1].state is not EntryState.WAITING:
            heappop(heap)
        return heap[0][1] if heap else None

    def expire(self, before: float) -> int:
        """Drop entries whose deadline is earlier than `before`; return how many."""
        heap = self._by_deadline
        dropped = 0
        while heap:
            deadline, _, entry = heap[0]
            if entry.state is EntryState.WAITING:
                if deadline >= before:
                    break
                self.remove(entry, EntryState.EXPIRED)
                dropped += 1
            heappop(heap)
        return dropped

    def clear(self, state: EntryState) -> None:
        """Settle all waiting entries."""
        for _, entry in self._by_rank:
            if entry.state is EntryState.WAITING:
                self.remove(entry, state)
        self._by_rank.clear()
        self._by_deadline.clear()

    def ahead(self, importance: int) -> int:
        """Return how many requests of this class and more important ones wait."""
        return sum(queue.waiting for queue in self._classes[: importance + 1])

    def least_important(self) -> int:
        """Return the least important class that waits; -1 when none does."""
        importance = len(self._classes) - 1
        while importance >= 0 and not self._classes[importance].waiting:
            importance -= 1
        return importance

    def _rank(self, ticket: Ticket) -> int:
        cohort = ticket.cohort if self._cohorts else 0
        return (ticket.importance * COHORT_COUNT + cohort) * 2 + ticket.resend

    def _compact(self) -> None:
        bound = 2 * len(self) + HEAP_SLACK
        waiting = EntryState.WAITING
        if len(self._by_rank) > bound:
            self._by_rank = [i for i in self._by_rank if i[1].state is waiting]
            heapify(self._by_rank)
        if len(self._by_deadline) > bound:
            self._by_deadline = [i for i in self._by_deadline if i[2].state is waiting]
            heapify(self._by_deadline)
