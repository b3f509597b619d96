"""The fleet's configuration document, its changes, and their store records."""

import secrets
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

from heathermount.errors import InvalidMessage

__all__ = [
    "HEAD_KEY",
    "MAX_VALUE_BYTES",
    "SNAPSHOT_KEY",
    "Change",
    "FleetDocument",
    "HeadRecord",
    "decode_change",
    "decode_document",
    "decode_head",
    "decode_snapshot",
    "diff_entries",
    "encode_head",
    "encode_message",
    "encode_snapshot",
    "make_change_id",
    "trim_document",
]

HEAD_KEY: Final = "config/head"
SNAPSHOT_KEY: Final = "config/snapshot"

# The platform's key-value service takes values up to 1 MB.
MAX_VALUE_BYTES: Final = 1_000_000

# Identifiers of changes kept in a document, to tell a document that follows
# another from one that lost its changes.
MAX_HISTORY_CHANGES: Final = 256

# Size of the deltas in the head record. A reader fetches the head every second
# and a node's control traffic is bounded by 17 KB/s; base64 adds a third, and
# heartbeats take most of the rest.
MAX_RECENT_CHANGES_BYTES: Final = 3 * 1024

# Deeply nested values end in a RecursionError.
DECODE_ERRORS: Final = (msgspec.MsgspecError, RecursionError)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One accepted or proposed change: the document's delta to its parent."""

    revision: int
    change_id: str
    parent_id: str
    author: str
    note: str
    # Seconds since the Unix epoch.
    made_at: float
    sets: dict[str, Any]
    removes: list[str]


class FleetDocument(msgspec.Struct, frozen=True, array_like=True):
    """The whole configuration at one revision; revision 0 is the empty document.

    `history` lists the revisions and identifiers of the last changes that the
    document contains, the newest last. `made_at` is the latest time of a change
    in seconds since the Unix epoch, and `stamps` has the time and identifier of
    the last change to each path, those removed lately included.
    """

    revision: int = 0
    change_id: str = ""
    entries: dict[str, Any] = {}
    history: list[tuple[int, str]] = []
    author: str = ""
    made_at: float = 0.0
    last_changes: dict[str, tuple[float, str]] = {}

    def apply(self, change: Change) -> "FleetDocument":
        """Return the document after a change that follows it."""
        if not self.is_followed_by(change):
            raise ValueError(
                f"change {change.change_id} of revision {change.revision} does not "
                f"follow revision {self.revision}; fetch the changes between them"
            )
        entries = self.entries | change.sets
        for path in change.removes:
            entries.pop(path, None)
        last_change = (change.made_at, change.change_id)
        document = FleetDocument(
            change.revision,
            change.change_id,
            entries,
            [*self.history, (change.revision, change.change_id)],
            change.author,
            max(self.made_at, change.made_at),
            self.last_changes
            | dict.fromkeys([*change.sets, *change.removes], last_change),
        )
        return trim_document(document)

    def next_change_time(self, now: float) -> float:
        """Return the time of a change to this document: later than all in it.

        The clocks of operators' machines may differ; a change that follows
        another must not lose to it in a merge.
        """
        return max(now, self.made_at + 0.001)

    def is_followed_by(self, change: Change) -> bool:
        return (
            change.revision == self.revision + 1 and change.parent_id == self.change_id
        )

    def contains(self, revision: int, change_id: str) -> bool:
        """Tell whether the document includes a change.

        A change older than the kept history counts as included: a fork lasts
        for seconds, and the history covers 256 changes.
        """
        if revision == 0:
            return True
        if any(known == change_id for _, known in self.history):
            return True
        if not self.history or len(self.history) < MAX_HISTORY_CHANGES:
            return False
        return revision < self.history[0][0]


def trim_document(document: FleetDocument) -> FleetDocument:
    """Bound the history and the stamps of removed paths."""
    if len(document.history) <= MAX_HISTORY_CHANGES:
        return document
    history = document.history[-MAX_HISTORY_CHANGES:]
    kept = {change_id for _, change_id in history}
    last_changes = {
        path: last_change
        for path, last_change in document.last_changes.items()
        if path in document.entries or last_change[1] in kept
    }
    return msgspec.structs.replace(document, history=history, last_changes=last_changes)


class HeadRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the store holds at config/head: small, as it is read every second."""

    revision: int
    change_id: str
    author: str
    recent_changes: list[Change]


def diff_entries(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[dict[str, Any], list[str]]:
    """Return what to set and what to remove to turn `old` into `new`."""
    sets = {
        path: value
        for path, value in new.items()
        if path not in old or old[path] != value
    }
    removes = [path for path in old if path not in new]
    return sets, removes


def make_change_id() -> str:
    """Return an identifier that no other change has."""
    return secrets.token_hex(8)


CHANGE_DECODER: Final = msgspec.msgpack.Decoder(Change)
DOCUMENT_DECODER: Final = msgspec.msgpack.Decoder(FleetDocument)
HEAD_DECODER: Final = msgspec.msgpack.Decoder(HeadRecord)


def encode_message(message: Change | FleetDocument) -> bytes:
    return msgspec.msgpack.encode(message)


def decode_change(data: bytes) -> Change:
    """Decode a change; raise InvalidMessage."""
    try:
        return CHANGE_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidMessage(f"change cannot be decoded: {error}") from error


def decode_document(data: bytes) -> FleetDocument:
    """Decode a document; raise InvalidMessage."""
    try:
        return DOCUMENT_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidMessage(f"document cannot be decoded: {error}") from error


def encode_head(document: FleetDocument, recent_changes: Iterable[Change]) -> bytes:
    """Encode the head with as many of the newest changes as fit."""
    kept: list[Change] = []
    size = 0
    for change in reversed(list(recent_changes)):
        size += len(encode_message(change))
        if size > MAX_RECENT_CHANGES_BYTES:
            break
        kept.insert(0, change)
    head = HeadRecord(document.revision, document.change_id, document.author, kept)
    return msgspec.msgpack.encode(head)


def decode_head(data: bytes) -> HeadRecord:
    """Decode a head record; raise InvalidMessage."""
    try:
        return HEAD_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidMessage(f"{HEAD_KEY} cannot be decoded: {error}") from error


def encode_snapshot(document: FleetDocument) -> bytes:
    """Encode a document for the store, compressed to stay below its value limit."""
    return zlib.compress(encode_message(document))


def decode_snapshot(data: bytes) -> FleetDocument:
    """Decode a document of the store; raise InvalidMessage."""
    try:
        return decode_document(zlib.decompress(data))
    except zlib.error as error:
        raise InvalidMessage(f"{SNAPSHOT_KEY} cannot be read: {error}") from error
