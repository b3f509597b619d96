"""Functions for operators that change the configuration in the store.

A write whose response was lost is retried until its outcome is known. Retries are
safe because each write is conditional on the head's version, so that it takes effect
at most once.
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
    """What applying a declaration to the document at `revision` would change."""

    revision: int
    sets: dict[str, Any]
    removes: list[str]


class ChangeSubmission:
    """Writes one change of an operator; gives up retries after `timeout_s` seconds."""

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
        """Write a change to the document that was read, unless the change is empty.

        Raises ConflictingChange when another change was accepted first,
        StoreUnavailable when the change was certainly not accepted, and
        StoreOutcomeUnknown when this is still unknown after the timeout.
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
        """Write, with retries until the outcome is known; return whether accepted."""
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
            f"it is unknown whether change {change.change_id} was accepted; "
            "check the document when the store is available again"
        ) from unknown_outcome

    async def _was_accepted(self, change: Change) -> bool | None:
        """Return whether the stored document contains a change, None if undecided."""
        document = (await read_document(self._store)).document
        if any(known == change.change_id for _, known in document.history):
            return True
        # A store restored from an older backup may have contained the change before,
        # and a node that has read the change would write it back.
        return None if document.revision < change.revision else False

    async def submit_edit(self, edit: DocumentEdit) -> Change:
        """Submit an edit; apply it to the newer document again after a conflict.

        Only for edits that do not depend on concurrent changes to other entries.
        """
        while True:
            stored = await read_document(self._store)
            try:
                return await self.submit(stored, *edit(stored.document))
            except ConflictingChange:
                if self._clock.monotonic() >= self._give_up_at:
                    raise


async def preview_declaration(store: Store, declaration: Declaration) -> Preview:
    """Return the entries that applying a declaration would set and remove."""
    document = (await read_document(store)).document
    return Preview(document.revision, *plan_changes(document, declaration))


def plan_changes(
    document: FleetDocument, declaration: Declaration
) -> tuple[dict[str, Any], list[str]]:
    """Return the entries to set and the paths to remove to apply a declaration.

    API keys are not part of a declaration and stay. Raises ConfigurationProblem when
    an organisation that still has a usable key would be removed.
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
                f"is removed but still has key {path.removeprefix('keys/')}",
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
    """Change the document to match a declaration; API keys stay unchanged.

    `base_revision` is the revision that the operator has reviewed. Raises
    ConflictingChange when the document was changed since then. If the document
    already matches, nothing is written and the returned change is empty.
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
    """Issue an API key to an organisation; `secret` is the fleet secret.

    Returns the key and the change. The store holds only a hash of the key's secret.
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
    """Revoke a key permanently.

    The returned change is empty if the key was already withdrawn.
    """
    clock = clock or SystemClock()
    path = f"keys/{key_id}"

    def edit(document: FleetDocument) -> tuple[dict[str, Any], list[str]]:
        entry = document.entries.get(path)
        if entry is None:
            raise ConfigurationProblem(
                "keys",
                key_id,
                "is unknown",
                "list the keys and use the ID of one of them",
            )
        if entry["withdrawn"]:
            return {}, []
        return {path: entry | {"withdrawn": True}}, []

    note = f"withdraw key {key_id}"
    submission = ChangeSubmission(store, author, note, clock, timeout_s, sleep)
    return await submission.submit_edit(edit)
