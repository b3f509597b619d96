"""Merges two documents that diverged from a common ancestor.

Documents diverge when the store is restored from a backup and an operator changes
the restored document before a node has written its newer document back.
"""

from heathermount.config.documents import FleetDocument, make_change_id, trim_document

__all__ = ["merge_documents"]


def merge_documents(ours: FleetDocument, theirs: FleetDocument) -> FleetDocument:
    """Return a document that contains the changes of both.

    This is one of the two if it already contains the other. Otherwise it is a new
    revision, in which the later change wins where both changed the same entry.
    """
    if theirs.contains(ours.revision, ours.change_id):
        return theirs
    if ours.contains(theirs.revision, theirs.change_id):
        return ours
    entries = dict(ours.entries)
    last_changes = dict(ours.last_changes)
    for path, last_change in theirs.last_changes.items():
        if path in last_changes and last_changes[path] >= last_change:
            continue
        last_changes[path] = last_change
        entries.pop(path, None)
        if path in theirs.entries:
            entries[path] = theirs.entries[path]
    change_id = make_change_id()
    revision = max(ours.revision, theirs.revision) + 1
    history = sorted({*ours.history, *theirs.history})
    return trim_document(
        FleetDocument(
            revision,
            change_id,
            entries,
            [*history, (revision, change_id)],
            "merge",
            max(ours.made_at, theirs.made_at),
            last_changes,
        )
    )
