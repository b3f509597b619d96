"""Merges two documents that went on separately from a common one.

That happens when the store comes back with older data and an operator changes
it before a node has written its newer document back.
"""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from heathermount.config.documents import (
    HISTORY_SIZE,
    Change,
    FleetDocument,
    make_change_id,
)

__all__ = ["Branch", "merge_branches"]

# A merge has no delta of its own: its content is that of the merged changes.
MERGE_PREFIX: Final = "merge-"


class Branch(NamedTuple):
    """A document and those of its recent changes that are at hand."""

    document: FleetDocument
    changes: list[Change]


def merge_branches(ours: Branch, theirs: Branch) -> Branch:
    """Return the branch that contains both, a new one if neither does.

    Where both changed an entry, the later change wins. A key that one of them
    withdrew stays withdrawn.
    """
    our, their = ours.document, theirs.document
    if their.contains(our.revision, our.change_id):
        return theirs
    if our.contains(their.revision, their.change_id):
        return ours
    entries = merge_keys(merge_entries(ours, theirs), our.entries, their.entries)
    change_id = MERGE_PREFIX + make_change_id()
    revision = max(our.revision, their.revision) + 1
    history = sorted({*our.history, *their.history}) + [(revision, change_id)]
    document = FleetDocument(
        revision, change_id, entries, history[-HISTORY_SIZE:], "merge"
    )
    changes = {change.change_id: change for change in ours.changes + theirs.changes}
    return Branch(document, sort_changes(changes.values()))


def merge_entries(ours: Branch, theirs: Branch) -> dict[str, Any]:
    our_changes = find_missing(ours, theirs.document)
    their_changes = find_missing(theirs, ours.document)
    if our_changes is not None and their_changes is not None:
        changes = sort_changes(our_changes + their_changes)
        return apply_changes(ours.document.entries, changes)
    if their_changes is not None:
        return apply_changes(ours.document.entries, their_changes)
    if our_changes is not None:
        return apply_changes(theirs.document.entries, our_changes)
    # Neither side's deltas are at hand: keep every entry, the newer document's
    # where they differ. An entry that was removed may come back.
    older, newer = sorted((ours.document, theirs.document), key=lambda d: d.revision)
    return older.entries | newer.entries


def find_missing(branch: Branch, other: FleetDocument) -> list[Change] | None:
    """Return the changes that `other` lacks, None unless all are at hand."""
    known = {change.change_id: change for change in branch.changes}
    missing = [
        change_id
        for revision, change_id in branch.document.history
        if not other.contains(revision, change_id)
        and not change_id.startswith(MERGE_PREFIX)
    ]
    if not all(change_id in known for change_id in missing):
        return None
    return [known[change_id] for change_id in missing]


def sort_changes(changes: Iterable[Change]) -> list[Change]:
    return sorted(changes, key=lambda c: (c.made_at, c.revision, c.change_id))


def apply_changes(entries: dict[str, Any], changes: Iterable[Change]) -> dict[str, Any]:
    result = dict(entries)
    for change in changes:
        result |= change.sets
        for path in change.removes:
            result.pop(path, None)
    return result


def merge_keys(
    merged: dict[str, Any], ours: dict[str, Any], theirs: dict[str, Any]
) -> dict[str, Any]:
    """Return the entries with every key of both sides, withdrawn if on one."""
    keys: dict[str, Any] = {}
    for entries in (merged, ours, theirs):
        for path, entry in entries.items():
            if not path.startswith("keys/"):
                continue
            if path not in keys or entry.get("withdrawn", False):
                keys[path] = entry
    return merged | keys
