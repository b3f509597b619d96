"""Queue of requests that wait for a free slot of the backend server."""

import math
from collections import OrderedDict, deque
from enum import Enum
from heapq import heapify, heappop, heappush, heapreplace
from typing import Final

import anyio

from heathermount.admission.requests import AdmissionRequest, Permit
from heathermount.values import COHORT_COUNT, Importance

__all__ = ["QueuedRequest", "QueuedState", "RequestQueue"]

# Removed entries stay in a heap until they reach its top or until the heap holds
# this many more than twice the waiting entries.
HEAP_SLACK_ENTRIES: Final = 64

# Above this number of organisations, those without waiting requests are removed.
MAX_IDLE_ORGANISATIONS: Final = 256

# Sequence numbers take the lower bits of the key of the shedding order.
SEQUENCE_BITS: Final = 48


class QueuedState(Enum):
    """State of a queued request; all but WAITING are final."""

    WAITING = "waiting"
    GRANTED = "granted"
    SHED = "shed"
    EXPIRED = "expired"
    DRAINED = "drained"
    CANCELLED = "cancelled"


class QueuedRequest:
    """A request in the queue, and the decision on it once it is settled."""

    __slots__ = (
        "permit",
        "queued_at",
        "request",
        "sequence",
        "settled_event",
        "shed_rank",
        "state",
        "subqueue",
    )

    def __init__(
        self, request: AdmissionRequest, shed_rank: int, sequence: int, queued_at: float
    ) -> None:
        self.request = request
        self.queued_at = queued_at
        # Class, then cohort, then resends; the highest rank is shed first.
        self.shed_rank = shed_rank
        self.sequence = sequence
        self.state = QueuedState.WAITING
        self.permit: Permit | None = None
        self.settled_event: anyio.Event | None = None
        self.subqueue: OrderedDict[int, QueuedRequest] = OrderedDict()

    def settle(self, state: QueuedState) -> None:
        """Set the final state and wake the task that waits for it."""
        self.state = state
        if self.settled_event is not None:
            self.settled_event.set()


class OrganisationQueue:
    """Waiting requests of one organisation in one class."""

    __slots__ = ("is_scheduled", "new", "resends", "start_tag")

    def __init__(self) -> None:
        self.new: OrderedDict[int, QueuedRequest] = OrderedDict()
        self.resends: OrderedDict[int, QueuedRequest] = OrderedDict()
        # Virtual time at which its next request starts.
        self.start_tag = 0.0
        self.is_scheduled = False

    def subqueue(self) -> OrderedDict[int, QueuedRequest]:
        """Return the subqueue to serve next: new requests before resends."""
        return self.new or self.resends


class ClassQueue:
    """Waiting requests of one class, served by weighted fairness.

    This is start-time fair queueing: serving a request advances its
    organisation's start tag by 1/weight, and the organisation with the lowest
    start tag is served next.
    """

    __slots__ = (
        "_by_age",
        "_by_start_tag",
        "_organisations",
        "_virtual_time",
        "waiting",
    )

    def __init__(self) -> None:
        self.waiting = 0
        self._by_age: deque[QueuedRequest] = deque()
        self._organisations: dict[str, OrganisationQueue] = {}
        self._by_start_tag: list[tuple[float, int, OrganisationQueue]] = []
        self._virtual_time = 0.0

    def push(self, entry: QueuedRequest, name: str) -> None:
        organisation = self._organisations.get(name)
        if organisation is None:
            self._drop_idle_organisations()
            organisation = self._organisations[name] = OrganisationQueue()
        subqueue = organisation.resends if entry.request.resend else organisation.new
        subqueue[entry.sequence] = entry
        entry.subqueue = subqueue
        self.waiting += 1
        self._by_age.append(entry)
        if len(self._by_age) > 2 * self.waiting + HEAP_SLACK_ENTRIES:
            waiting = QueuedState.WAITING
            self._by_age = deque(e for e in self._by_age if e.state is waiting)
        if not organisation.is_scheduled:
            organisation.is_scheduled = True
            organisation.start_tag = max(organisation.start_tag, self._virtual_time)
            heappush(
                self._by_start_tag,
                (organisation.start_tag, entry.sequence, organisation),
            )

    def remove(self, entry: QueuedRequest) -> None:
        del entry.subqueue[entry.sequence]
        self._note_removal()

    def pop(self, newest_first: bool) -> QueuedRequest:
        """Remove and return the next request; the queue must not be empty."""
        while True:
            start_tag, order, organisation = self._by_start_tag[0]
            subqueue = organisation.subqueue()
            if subqueue:
                break
            heappop(self._by_start_tag)
            organisation.is_scheduled = False
        _, entry = subqueue.popitem(last=newest_first)
        self._virtual_time = start_tag
        organisation.start_tag = start_tag + 1.0 / max(1, entry.request.weight)
        if organisation.subqueue():
            heapreplace(
                self._by_start_tag, (organisation.start_tag, order, organisation)
            )
        else:
            heappop(self._by_start_tag)
            organisation.is_scheduled = False
        self._note_removal()
        return entry

    def oldest_queued_at(self) -> float:
        """Return when the oldest request was queued; infinity if none waits."""
        entries = self._by_age
        while entries and entries[0].state is not QueuedState.WAITING:
            entries.popleft()
        return entries[0].queued_at if entries else math.inf

    def _note_removal(self) -> None:
        self.waiting -= 1
        if self.waiting == 0:
            self._by_age.clear()
            # The busy period has ended: all organisations start again as equals.
            self._organisations.clear()
            self._by_start_tag.clear()
            self._virtual_time = 0.0

    def _drop_idle_organisations(self) -> None:
        if len(self._organisations) < MAX_IDLE_ORGANISATIONS + 2 * len(
            self._by_start_tag
        ):
            return
        self._organisations = {
            name: organisation
            for name, organisation in self._organisations.items()
            if organisation.is_scheduled or organisation.start_tag > self._virtual_time
        }


class RequestQueue:
    """Waiting requests with their order of service and their order of shedding.

    Order of service: the most important class first, within it the organisation
    with the lowest start tag, within that new requests before resends, and then
    the oldest first. While a class has a standing queue, its newest requests go
    first, so that some are served in time instead of all too late. A queue is
    standing when its oldest request was queued before the caller's cutoff time.

    Order of shedding: the least important class first, within it the highest
    cohort, then resends before new requests, then the newest first.

    Every operation takes O(log n) amortised time.
    """

    __slots__ = (
        "_by_deadline",
        "_by_shed_order",
        "_classes",
        "_fair_queueing",
        "_last_sequence",
        "_size",
        "_use_cohorts",
    )

    def __init__(self, fair_queueing: bool = True, use_cohorts: bool = True) -> None:
        self._fair_queueing = fair_queueing
        self._use_cohorts = use_cohorts
        self._classes = [ClassQueue() for _ in Importance]
        self._by_shed_order: list[tuple[int, QueuedRequest]] = []
        self._by_deadline: list[tuple[float, int, QueuedRequest]] = []
        self._last_sequence = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, request: AdmissionRequest, now: float = 0.0) -> QueuedRequest:
        self._last_sequence += 1
        self._size += 1
        entry = QueuedRequest(
            request, self._shed_rank(request), self._last_sequence, now
        )
        name = request.organisation if self._fair_queueing else ""
        self._classes[request.importance].push(entry, name)
        shed_order = -((entry.shed_rank << SEQUENCE_BITS) + entry.sequence)
        heappush(self._by_shed_order, (shed_order, entry))
        heappush(self._by_deadline, (request.deadline, entry.sequence, entry))
        self._compact_heaps()
        return entry

    def remove(self, entry: QueuedRequest, state: QueuedState) -> None:
        """Remove a waiting entry and settle it."""
        self._classes[entry.request.importance].remove(entry)
        self._size -= 1
        entry.settle(state)

    def is_standing(self, importance: int, standing_cutoff: float) -> bool:
        """Return whether a request of the class was queued before the cutoff."""
        return self._classes[importance].oldest_queued_at() < standing_cutoff

    def pop(self, standing_cutoff: float = -math.inf) -> QueuedRequest | None:
        """Remove and return the request to serve next; the caller settles it.

        A class whose oldest request was queued before `standing_cutoff` is served
        newest first.
        """
        for queue in self._classes:
            if queue.waiting:
                entry = queue.pop(queue.oldest_queued_at() < standing_cutoff)
                entry.state = QueuedState.GRANTED
                self._size -= 1
                return entry
        return None

    def peek_first_to_shed(self) -> QueuedRequest | None:
        """Return the waiting request to shed next, without removing it."""
        heap = self._by_shed_order
        while heap and heap[0][1].state is not QueuedState.WAITING:
            heappop(heap)
        return heap[0][1] if heap else None

    def drop_expired(self, before: float) -> int:
        """Remove entries whose deadline is earlier than `before`; return how many."""
        heap = self._by_deadline
        dropped = 0
        while heap:
            deadline, _, entry = heap[0]
            if entry.state is QueuedState.WAITING:
                if deadline >= before:
                    break
                self.remove(entry, QueuedState.EXPIRED)
                dropped += 1
            heappop(heap)
        return dropped

    def settle_all(self, state: QueuedState) -> None:
        """Remove all waiting entries and settle them with one state."""
        for _, entry in self._by_shed_order:
            if entry.state is QueuedState.WAITING:
                self.remove(entry, state)
        self._by_shed_order.clear()
        self._by_deadline.clear()

    def count_ahead(self, importance: int) -> int:
        """Return the number of waiting requests of this and more important classes."""
        return sum(queue.waiting for queue in self._classes[: importance + 1])

    def least_important_class(self) -> int:
        """Return the least important class with waiting requests, or -1."""
        importance = len(self._classes) - 1
        while importance >= 0 and not self._classes[importance].waiting:
            importance -= 1
        return importance

    def _shed_rank(self, request: AdmissionRequest) -> int:
        cohort = request.cohort if self._use_cohorts else 0
        return (request.importance * COHORT_COUNT + cohort) * 2 + request.resend

    def _compact_heaps(self) -> None:
        bound = 2 * len(self) + HEAP_SLACK_ENTRIES
        waiting = QueuedState.WAITING
        if len(self._by_shed_order) > bound:
            self._by_shed_order = [
                i for i in self._by_shed_order if i[1].state is waiting
            ]
            heapify(self._by_shed_order)
        if len(self._by_deadline) > bound:
            self._by_deadline = [i for i in self._by_deadline if i[2].state is waiting]
            heapify(self._by_deadline)
