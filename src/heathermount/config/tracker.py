"""Tracks the current configuration of a node and how fresh it is."""

from collections import deque
from collections.abc import Iterable
from typing import Final, Self

import anyio

from heathermount.clocks import Clock
from heathermount.config.documents import (
    Change,
    FleetDocument,
    decode_change,
    decode_document,
    encode_message,
)
from heathermount.config.merging import merge_documents
from heathermount.config.policy import Policy
from heathermount.config.settings import Settings
from heathermount.config.store_records import read_document, read_head, write_document
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.store.interface import Store
from heathermount.wire.control import ConfigurationReply

__all__ = ["NEVER_AGE_S", "ConfigTracker"]

# Age of an event that has not happened.
NEVER_AGE_S: Final = 1e9

MAX_KEPT_CHANGES: Final = 256

# Pushed changes whose predecessor has not arrived.
MAX_PENDING_CHANGES: Final = 64


class ConfigTracker:
    """Holds the document and policy of a node; adopts newer revisions only.

    All times passed in are readings of the monotonic clock, taken before the request
    was sent that returned the information. `policy` is None until the first document
    is adopted.
    """

    __slots__ = (
        "_adopted_at",
        "_clock",
        "_confirmed_at",
        "_conflicting_document",
        "_events",
        "_failure_domain",
        "_fleet_secret",
        "_freshness_s",
        "_last_contacts",
        "_pending_changes",
        "_recent_changes",
        "_revision_changed",
        "_store",
        "document",
        "invariants",
        "policy",
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        events: EventLog,
        invariants: Invariants,
        secret: bytes,
        failure_domain: str,
        freshness_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._events = events
        self._fleet_secret = secret
        self._failure_domain = failure_domain
        self._freshness_s = freshness_s
        self._recent_changes: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._pending_changes: dict[str, Change] = {}
        self._conflicting_document: FleetDocument | None = None
        self._confirmed_at: float | None = None
        self._last_contacts: dict[str, float] = {}
        self._adopted_at = clock.monotonic()
        self._revision_changed = anyio.Event()
        self.document = FleetDocument()
        self.policy: Policy | None = None
        self.invariants = invariants

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        store: Store,
        clock: Clock,
        events: EventLog,
        invariants: Invariants | None = None,
    ) -> Self:
        return cls(
            store,
            clock,
            events,
            invariants or Invariants(events),
            settings.secret,
            settings.node.failure_domain,
            settings.timings.freshness_s,
        )

    @property
    def revision(self) -> int:
        return self.document.revision

    @property
    def is_forked(self) -> bool:
        """Whether a document was offered that diverged from the current one.

        Until `sync_with_store` has merged the two, no confirmation is recorded.
        """
        return self._conflicting_document is not None

    def offer_change(self, change: Change) -> bool:
        """Adopt a change whose parent is the document; return whether it was adopted.

        A change that arrives before its predecessor is queued.
        """
        if change.revision <= self.revision:
            return False
        if not self.document.is_followed_by(change):
            self._queue_pending_change(change)
            return False
        self._apply_change(change)
        self._apply_pending_changes()
        return True

    def offer_document(
        self, document: FleetDocument, changes: Iterable[Change] = ()
    ) -> bool:
        """Adopt a newer document that contains the current one's changes.

        `changes` are the latest changes to the offered document, if known. Returns
        whether it was adopted. A diverged document is kept for the next merge.
        """
        current = self.document
        if current.contains(document.revision, document.change_id):
            return False
        if document.revision > current.revision and document.contains(
            current.revision, current.change_id
        ):
            self._adopt(document, changes)
            self._apply_pending_changes()
            return True
        if (
            self._conflicting_document is None
            or document.revision >= self._conflicting_document.revision
        ):
            self._record_conflict(document)
        return False

    def make_reply(self, revision: int) -> ConfigurationReply:
        """Return the reply to a peer that asks for the changes since a revision.

        If this node has a newer revision, the reply contains the changes in between, or
        the whole document when some of them are no longer kept or the peer asks for
        those since revision 0.
        """
        reply = ConfigurationReply(
            self.revision, [], confirmed_age_s=self.confirmed_age_s()
        )
        if revision >= self.revision:
            return reply
        changes = [c for c in self._recent_changes if c.revision > revision]
        if revision and has_all_revisions(changes, revision + 1, self.revision):
            reply.changes = [encode_message(change) for change in changes]
        else:
            reply.document = encode_message(self.document)
        return reply

    def accept_reply(self, reply: ConfigurationReply, sent_at: float) -> bool:
        """Adopt the reply of a peer to a request that was sent at `sent_at`.

        Returns False if the tracker is still behind the peer's revision. The caller
        should then request the whole document, with revision 0.
        """
        for encoded in reply.changes:
            self.offer_change(decode_change(encoded))
        if reply.document:
            self.offer_document(decode_document(reply.document))
        if self.revision < reply.revision:
            return False
        self.record_confirmation(sent_at - reply.confirmed_age_s)
        return True

    async def sync_with_store(self) -> None:
        """Adopt a newer document from the store, or write this one back if it is newer.

        Diverged documents are merged. Raises StoreUnavailable, and StoreOutcomeUnknown
        when the response to a write was lost; the next call determines its outcome.
        """
        sent_at = self._clock.monotonic()
        head, head_version = await read_head(self._store)
        if head is None:
            await self._write_back(head_version)
            return
        if head.revision > self.revision:
            for change in head.recent_changes:
                self.offer_change(change)
        if not self.is_forked:
            if head.change_id == self.document.change_id:
                self.record_confirmation(sent_at)
                return
            if self.document.contains(head.revision, head.change_id):
                await self._write_back(head_version)
                return
        await self._read_snapshot(sent_at)

    async def _read_snapshot(self, sent_at: float) -> None:
        stored = await read_document(self._store)
        if stored.head_version == 0:
            return
        merged = merge_documents(self.document, stored.document)
        if self._conflicting_document is not None:
            merged = merge_documents(merged, self._conflicting_document)
        changes = stored.recent_changes
        if merged.change_id != stored.document.change_id:
            # No sequence of changes leads from either document to the merged one.
            changes = []
            written = await write_document(
                self._store, merged, changes, stored.head_version
            )
            if not written:
                return
            self._events.record(
                "configuration-merged",
                revision=merged.revision,
                stored_revision=stored.document.revision,
            )
        self.offer_document(merged, changes)
        if self.document.change_id == merged.change_id:
            self.record_confirmation(sent_at)

    async def _write_back(self, head_version: int) -> None:
        """Replace the older document in the store; the next sync confirms it."""
        document = self.document
        if not document.revision:
            return
        written = await write_document(
            self._store, document, list(self._recent_changes), head_version
        )
        if written:
            self._events.record(
                "configuration-written-back",
                revision=document.revision,
                change=document.change_id,
            )

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record that the store held this revision at `confirmed_at`."""
        if self.is_forked or not self.revision:
            return
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def confirmed_age_s(self) -> float:
        """Return the time since the store was last known to hold the revision."""
        if self._confirmed_at is None:
            return NEVER_AGE_S
        return self._clock.monotonic() - self._confirmed_at

    def record_contact(self, domain: str, contacted_at: float) -> None:
        """Record that a node in a failure domain replied.

        `contacted_at` is when the request was sent.
        """
        self._last_contacts[domain] = max(
            contacted_at, self._last_contacts.get(domain, contacted_at)
        )

    def contact_ages_s(self) -> dict[str, float]:
        """Return the time since the last contact with each failure domain."""
        now = self._clock.monotonic()
        ages = {domain: now - at for domain, at in self._last_contacts.items()}
        return ages | {self._failure_domain: 0.0}

    def is_fresh(self) -> bool:
        """Return whether the node cannot have missed the withdrawal of a key.

        This holds if, within the freshness period, the store confirmed the revision or
        the node was in contact with a majority of the failure domains.
        """
        if self.policy is None:
            return False
        if self.confirmed_age_s() < self._freshness_s:
            return True
        ages = self.contact_ages_s()
        domains = self.policy.failure_domains
        reachable = [d for d in domains if ages.get(d, NEVER_AGE_S) < self._freshness_s]
        return 2 * len(reachable) > len(domains)

    async def wait_for_revision(self, after_revision: int) -> int:
        """Wait until the revision is greater than `after_revision`; return it."""
        while self.revision <= after_revision:
            await self._revision_changed.wait()
        return self.revision

    def revision_age_s(self) -> float:
        """Return the time since the node adopted its revision."""
        return self._clock.monotonic() - self._adopted_at

    def _apply_change(self, change: Change) -> None:
        self._adopt(self.document.apply(change), [*self._recent_changes, change])

    def _apply_pending_changes(self) -> None:
        while change := self._pending_changes.pop(self.document.change_id, None):
            if self.document.is_followed_by(change):
                self._apply_change(change)

    def _queue_pending_change(self, change: Change) -> None:
        self._pending_changes[change.parent_id] = change
        while len(self._pending_changes) > MAX_PENDING_CHANGES:
            del self._pending_changes[next(iter(self._pending_changes))]

    def _record_conflict(self, document: FleetDocument) -> None:
        if (
            self._conflicting_document is None
            or self._conflicting_document.change_id != document.change_id
        ):
            self._events.record(
                "configuration-forked",
                revision=self.revision,
                rival_revision=document.revision,
                rival_change=document.change_id,
            )
        self._conflicting_document = document

    def _adopt(self, document: FleetDocument, changes: Iterable[Change]) -> None:
        increases = self.invariants.check(
            document.revision > self.revision,
            "configuration-revision-increases",
            current=self.revision,
            offered=document.revision,
        )
        if not increases:
            return
        self.policy = Policy.from_config(document, self._fleet_secret)
        self.document = document
        self._recent_changes = deque(changes, maxlen=MAX_KEPT_CHANGES)
        self._pending_changes = {
            parent: change
            for parent, change in self._pending_changes.items()
            if change.revision > document.revision
        }
        conflicting = self._conflicting_document
        if conflicting and document.contains(
            conflicting.revision, conflicting.change_id
        ):
            self._conflicting_document = None
        self._adopted_at = self._clock.monotonic()
        self._events.record(
            "configuration-adopted",
            revision=document.revision,
            change=document.change_id,
        )
        self._revision_changed.set()
        self._revision_changed = anyio.Event()


def has_all_revisions(changes: list[Change], first: int, last: int) -> bool:
    """Return whether the changes cover each revision from `first` to `last`."""
    revisions = [change.revision for change in changes]
    return revisions == list(range(first, last + 1))
