"""Operators' changes to the configuration, as plain functions over a store.

A write whose answer was lost is sent again until its outcome is known: it
compares the head's version, so that it takes effect at most once.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import anyio
import msgspec

from heathermount.clocks import Clock, SystemClock
from heathermount.config.api_keys import generate_key, hash_secret, parse_key
from heathermount.config.declaration import Declaration
from heathermount.config.documents import (
    Change,
    FleetDocument,
    diff_entries,
    make_change_id,
)
from heathermount.config.policy import KeyEntry
from heathermount.config.store_records import (
    StoredDocument,
    read_document,
    write_document,
)
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.store.interface import Store

__all__ = [
    "Preview",
    "StoredDocument",
    "add_key",
    "apply_declaration",
    "preview_declaration",
    "read_document",
    "withdraw_key",
]

CHANGE_TIMEOUT_S: Final = 10.0
RETRY_INTERVAL_S: Final = 0.2

DocumentEdit = Callable[[FleetDocument], tuple[dict[str, Any], list[str]]]
SleepFunction = Callable[[float], Awaitable[None]]


class Preview(NamedTuple):
    """What a declaration would change, and at which revision."""

    revision: int
    sets: dict[str, Any]
    removes: list[str]


class ChangeSubmission:
    """One operator's attempt to make a change, within `timeout_s` seconds."""

    __slots__ = ("_author", "_clock", "_give_up_at", "_note", "_sleep", "_store")

    def __init__(
        self,
        store: Store,
        author: str,
        note: str,
        clock: Clock,
        timeout_s: float,
        sleep: SleepFunction,
    ) -> None:
        self._store = store
        self._author = author
        self._note = note
        self._clock = clock
        self._give_up_at = clock.monotonic() + timeout_s
        self._sleep = sleep

    async def submit(
        self, stored: StoredDocument, sets: dict[str, Any], removes: list[str]
    ) -> Change:
        """Write a change to the document that was read; nothing if it is empty.

        Raises ConflictingChange when another change came first,
        StoreUnavailable when the change provably was not accepted and
        StoreOutcomeUnknown when that is not known in time.
        """
        base = stored.document
        if not sets and not removes:
            return Change(base.revision, base.change_id, "", base.author, "", 0, {}, [])
        change = Change(
            base.revision + 1,
            make_change_id(),
            base.change_id,
            self._author,
            self._note,
            base.next_change_time(self._clock.wall()),
            sets,
            removes,
        )
        if not await self._write(stored, change):
            head = (await read_document(self._store)).document
            raise ConflictingChange(head.revision, head.change_id, head.author)
        return change

    async def _write(self, stored: StoredDocument, change: Change) -> bool:
        """Write until the outcome is known; return whether it was accepted."""
        document = stored.document.apply(change)
        recent_changes = [*stored.recent_changes, change]
        try:
            return await write_document(
                self._store, document, recent_changes, stored.head_version
            )
        except StoreOutcomeUnknown as error:
            unknown_outcome = error
        while self._clock.monotonic() < self._give_up_at:
            try:
                if await write_document(
                    self._store, document, recent_changes, stored.head_version
                ):
                    return True
                accepted = await self._was_accepted(change)
            except (StoreOutcomeUnknown, StoreUnavailable):
                accepted = None
            if accepted is not None:
                return accepted
            await self._sleep(RETRY_INTERVAL_S)
        raise StoreOutcomeUnknown(
            f"it is not known whether change {change.change_id} was accepted; "
            "read the document back when the store answers"
        ) from unknown_outcome

    async def _was_accepted(self, change: Change) -> bool | None:
        """Tell whether the store's document contains a change; None: undecided."""
        document = (await read_document(self._store)).document
        if any(known == change.change_id for _, known in document.history):
            return True
        # A store with older data may have held the change before; a node that
        # saw it would write it back.
        return None if document.revision < change.revision else False

    async def submit_edit(self, edit: DocumentEdit) -> Change:
        """Make a change that does not depend on racing changes to other entries."""
        while True:
            stored = await read_document(self._store)
            try:
                return await self.submit(stored, *edit(stored.document))
            except ConflictingChange:
                if self._clock.monotonic() >= self._give_up_at:
                    raise


async def preview_declaration(store: Store, declaration: Declaration) -> Preview:
    """Return what applying a declaration would set and remove."""
    document = (await read_document(store)).document
    return Preview(document.revision, *plan_changes(document, declaration))


def plan_changes(
    document: FleetDocument, declaration: Declaration
) -> tuple[dict[str, Any], list[str]]:
    """Return the change to a declaration; keys are not part of one.

    Raises ConfigurationProblem when an organisation with usable keys would go.
    """
    entries = document.entries
    declared = {
        path: value for path, value in entries.items() if not path.startswith("keys/")
    }
    sets, removes = diff_entries(declared, declaration.to_entries())
    for path, entry in entries.items():
        if not path.startswith("keys/"):
            continue
        key = msgspec.convert(entry, KeyEntry)
        if not key.withdrawn and f"organisations/{key.organisation}" in removes:
            raise ConfigurationProblem(
                "declaration",
                f"organisations {key.organisation}",
                f"is removed and still has the key {path.removeprefix('keys/')}",
                "withdraw its keys first",
            )
    return sets, removes


async def apply_declaration(
    store: Store,
    declaration: Declaration,
    author: str,
    note: str,
    base_revision: int | None = None,
    *,
    clock: Clock | None = None,
    timeout_s: float = CHANGE_TIMEOUT_S,
    sleep: SleepFunction = anyio.sleep,
) -> Change:
    """Make the document equal to a declaration; keys stay.

    `base_revision` is the revision that the operator looked at. Raises
    ConflictingChange when the document was changed since. Without a difference
    nothing is written and the returned change is empty.
    """
    clock = clock or SystemClock()
    submission = ChangeSubmission(store, author, note, clock, timeout_s, sleep)
    stored = await read_document(store)
    document = stored.document
    if base_revision not in (None, document.revision):
        raise ConflictingChange(document.revision, document.change_id, document.author)
    return await submission.submit(stored, *plan_changes(document, declaration))


async def add_key(
    store: Store,
    organisation: str,
    author: str,
    secret: bytes,
    *,
    clock: Clock | None = None,
    timeout_s: float = CHANGE_TIMEOUT_S,
    sleep: SleepFunction = anyio.sleep,
) -> tuple[str, Change]:
    """Issue a key to an organisation; `secret` is the fleet secret.

    Returns the key, which is stored nowhere, and the change.
    """
    clock = clock or SystemClock()
    key = generate_key()
    parsed = parse_key(key)
    if parsed is None:
        raise RuntimeError("a generated key cannot be parsed")
    entry = KeyEntry(
        organisation=organisation, digest=hash_secret(parsed.secret, secret)
    )
    path = f"keys/{parsed.key_id}"

    def edit(document: FleetDocument) -> tuple[dict[str, Any], list[str]]:
        if f"organisations/{organisation}" not in document.entries:
            raise ConfigurationProblem(
                "organisations", organisation, "is not declared", "declare it first"
            )
        return {path: msgspec.structs.asdict(entry)}, []

    note = f"add key {parsed.key_id}"
    submission = ChangeSubmission(store, author, note, clock, timeout_s, sleep)
    return key, await submission.submit_edit(edit)


async def withdraw_key(
    store: Store,
    key_id: str,
    author: str,
    *,
    clock: Clock | None = None,
    timeout_s: float = CHANGE_TIMEOUT_S,
    sleep: SleepFunction = anyio.sleep,
) -> Change:
    """Withdraw a key for good; the returned change is empty if it already was."""
    clock = clock or SystemClock()
    path = f"keys/{key_id}"

    def edit(document: FleetDocument) -> tuple[dict[str, Any], list[str]]:
        entry = document.entries.get(path)
        if entry is None:
            raise ConfigurationProblem(
                "keys", key_id, "is unknown", "list the keys and name one of them"
            )
        if entry["withdrawn"]:
            return {}, []
        return {path: entry | {"withdrawn": True}}, []

    note = f"withdraw key {key_id}"
    submission = ChangeSubmission(store, author, note, clock, timeout_s, sleep)
    return await submission.submit_edit(edit)
