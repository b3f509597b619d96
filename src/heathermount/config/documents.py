"""The fleet's configuration document, its changes, and their encoding."""

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

# The platform's key-value service accepts values of up to 1 MB.
MAX_VALUE_BYTES: Final = 1_000_000

# A document keeps the identifiers of this many changes. They tell a successor of
# another document from one that lacks some of its changes.
MAX_HISTORY_CHANGES: Final = 256

# Encoded size of the changes in the head record. A reader fetches the head every
# second, base64 makes it a third larger, and the control traffic of a node is
# limited to 17 KB/s, most of which is left to heartbeats.
MAX_RECENT_CHANGES_BYTES: Final = 3 * 1024

# msgspec raises a RecursionError for deeply nested values.
DECODE_ERRORS: Final = (msgspec.MsgspecError, RecursionError)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A proposed or accepted change, as a delta to its parent document."""

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

    `history` lists the revision and identifier of the latest changes that the
    document contains, newest last. `made_at` is the time of the latest change, in
    seconds since the Unix epoch. `last_changes` maps each path, including recently
    removed ones, to the time and identifier of the last change to it.
    """

    revision: int = 0
    change_id: str = ""
    entries: dict[str, Any] = {}
    history: list[tuple[int, str]] = []
    author: str = ""
    made_at: float = 0.0
    last_changes: dict[str, tuple[float, str]] = {}

    def apply(self, change: Change) -> "FleetDocument":
        """Return the document with a change applied whose parent is this document."""
        if not self.is_followed_by(change):
            raise ValueError(
                f"change {change.change_id} of revision {change.revision} does not "
                f"follow revision {self.revision}; fetch the missing changes"
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
        """Return the time for the next change: `now`, but later than all changes.

        The clocks of operators' machines may differ, and a merge must not prefer an
        earlier change to its successor.
        """
        return max(now, self.made_at + 0.001)

    def is_followed_by(self, change: Change) -> bool:
        return (
            change.revision == self.revision + 1 and change.parent_id == self.change_id
        )

    def contains(self, revision: int, change_id: str) -> bool:
        """Return whether the document includes a change.

        A change older than the history counts as included. Documents are forked for
        seconds only, while the history covers 256 changes.
        """
        if revision == 0:
            return True
        if any(known == change_id for _, known in self.history):
            return True
        if not self.history or len(self.history) < MAX_HISTORY_CHANGES:
            return False
        return revision < self.history[0][0]


def trim_document(document: FleetDocument) -> FleetDocument:
    """Limit the history; forget removed paths whose removal is older than it."""
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
    """Record at config/head in the store; small, as it is read every second."""

    revision: int
    change_id: str
    author: str
    recent_changes: list[Change]


def diff_entries(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[dict[str, Any], list[str]]:
    """Return the entries to set and the paths to remove to turn `old` into `new`."""
    sets = {
        path: value
        for path, value in new.items()
        if path not in old or old[path] != value
    }
    removes = [path for path in old if path not in new]
    return sets, removes


def make_change_id() -> str:
    """Return a new unique identifier of a change."""
    return secrets.token_hex(8)


CHANGE_DECODER: Final = msgspec.msgpack.Decoder(Change)
DOCUMENT_DECODER: Final = msgspec.msgpack.Decoder(FleetDocument)
HEAD_DECODER: Final = msgspec.msgpack.Decoder(HeadRecord)


def encode_message(message: Change | FleetDocument) -> bytes:
    return msgspec.msgpack.encode(message)


def decode_change(data: bytes) -> Change:
    """Decode a change; raise InvalidMessage if it is malformed."""
    try:
        return CHANGE_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidMessage(f"change cannot be decoded: {error}") from error


def decode_document(data: bytes) -> FleetDocument:
    """Decode a document; raise InvalidMessage if it is malformed."""
    try:
        return DOCUMENT_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidMessage(f"document cannot be decoded: {error}") from error


def encode_head(document: FleetDocument, recent_changes: Iterable[Change]) -> bytes:
    """Encode the head record with as many of the newest changes as fit."""
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
    """Decode a head record; raise InvalidMessage if it is malformed."""
    try:
        return HEAD_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidMessage(f"{HEAD_KEY} cannot be decoded: {error}") from error


def encode_snapshot(document: FleetDocument) -> bytes:
    """Encode a document for the store, compressed to fit the store's value limit."""
    return zlib.compress(encode_message(document))


def decode_snapshot(data: bytes) -> FleetDocument:
    """Decode a document from the store; raise InvalidMessage if it is malformed."""
    try:
        return decode_document(zlib.decompress(data))
    except zlib.error as error:
        raise InvalidMessage(
            f"{SNAPSHOT_KEY} cannot be decompressed: {error}"
        ) from error
