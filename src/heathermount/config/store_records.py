"""Reads and writes the head and snapshot records of the document in the store."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from heathermount.config.documents import (
    HEAD_KEY,
    MAX_VALUE_BYTES,
    SNAPSHOT_KEY,
    Change,
    FleetDocument,
    HeadRecord,
    decode_head,
    decode_snapshot,
    encode_head,
    encode_snapshot,
)
from heathermount.errors import ConfigurationProblem, StoreUnavailable
from heathermount.store.interface import Store

__all__ = [
    "StoredDocument",
    "StoredHead",
    "read_document",
    "read_head",
    "write_document",
]

# Head and snapshot are read separately, so that a concurrent write can make their
# revisions differ. This rarely happens several times in a row.
MAX_READ_ATTEMPTS: Final = 5


class StoredHead(NamedTuple):
    """The head record and its version in the store; None and 0 when absent."""

    head: HeadRecord | None
    head_version: int


class StoredDocument(NamedTuple):
    """The document, its recent changes, and the head's version for compare-and-set."""

    document: FleetDocument
    recent_changes: list[Change]
    head_version: int


async def read_head(store: Store) -> StoredHead:
    item = await store.get(HEAD_KEY)
    if item is None:
        return StoredHead(None, 0)
    return StoredHead(decode_head(item.value), item.version)


async def read_document(store: Store) -> StoredDocument:
    """Read head and snapshot of the same revision.

    Returns an empty document when the store has no head record. Raises
    StoreUnavailable when the store does not respond, or when the revisions of head
    and snapshot still differ after MAX_READ_ATTEMPTS.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        head, head_version = await read_head(store)
        if head is None:
            return StoredDocument(FleetDocument(), [], 0)
        item = await store.get(SNAPSHOT_KEY)
        if item is None:
            continue
        document = decode_snapshot(item.value)
        if document.change_id == head.change_id:
            return StoredDocument(document, head.recent_changes, head_version)
    raise StoreUnavailable(
        f"{HEAD_KEY} and {SNAPSHOT_KEY} have different revisions; try again"
    )


async def write_document(
    store: Store,
    document: FleetDocument,
    recent_changes: Iterable[Change],
    head_version: int,
) -> bool:
    """Write head and snapshot in one transaction, if the head's version is unchanged.

    Returns False when a concurrent write came first. Raises the errors of
    Store.commit, and ConfigurationProblem when the snapshot is too large.
    """
    snapshot = encode_snapshot(document)
    if len(snapshot) > MAX_VALUE_BYTES:
        raise ConfigurationProblem(
            SNAPSHOT_KEY,
            "size",
            f"is {len(snapshot)} bytes, the store accepts at most {MAX_VALUE_BYTES}",
            "remove unused routes, organisations or exceptions",
        )
    return await store.commit(
        {HEAD_KEY: head_version},
        {HEAD_KEY: encode_head(document, recent_changes), SNAPSHOT_KEY: snapshot},
    )
