"""Records of gateway nodes, and the versioned directory of all of them."""

import math
from collections.abc import Iterable
from typing import Final

import msgspec

from heathermount.addresses import is_reachable_address
from heathermount.record_checks import find_server_fault

__all__ = ["NodeChange", "NodeDirectory", "NodeRecord", "ServerRecord"]

# Deletions kept for followers that have not seen them. A follower that lags further
# behind gets the complete directory.
MAX_KEPT_DELETIONS: Final = 256


class ServerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The backend server beside a node."""

    server_id: str
    slots: int
    cold_start_s: float
    # Time of its announcement, in seconds since the Unix epoch.
    joined_at: float
    # Start time of the server, in milliseconds since the Unix epoch.
    born_ms: int = 0

    def find_fault(self) -> str:
        """Return what makes the record unusable; empty if it is sound."""
        if not math.isfinite(self.joined_at):
            return f"an announcement at {self.joined_at}"
        return find_server_fault(self.slots, self.cold_start_s, self.born_ms)


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A node's own entry in the store."""

    node: str
    incarnation: str
    # Address, "ip:port", on which the node accepts links from its peers.
    address: str
    service: str
    failure_domain: str
    # None if no backend server is announced, or if it must not get requests.
    server: ServerRecord | None

    def find_fault(self) -> str:
        """Return what makes the record unusable; empty if it is sound."""
        if not is_reachable_address(self.address):
            return f"the address {self.address!r}"
        return self.server.find_fault() if self.server is not None else ""


class NodeChange(msgspec.Struct, frozen=True, array_like=True):
    """The latest change of one node's entry; `record` is None if it was deleted."""

    node: str
    # The store's revision of the change.
    revision: int
    record: NodeRecord | None


class NodeDirectory:
    """The latest change of every node's entry, up to one revision of the store.

    The store has a single revision counter, so a directory can be brought up to
    date by any other one that has a higher revision.
    """

    __slots__ = ("_changes", "_forgotten_revision", "revision")

    def __init__(self) -> None:
        self._changes: dict[str, NodeChange] = {}
        # Deletions up to this revision are no longer kept.
        self._forgotten_revision = 0
        # All changes up to this revision are known; 0 before the first read.
        self.revision = 0

    def apply(self, changes: Iterable[NodeChange], revision: int) -> list[NodeChange]:
        """Apply all changes up to a revision; return those that were new."""
        new_changes = []
        for change in changes:
            known = self._changes.get(change.node)
            if known is not None and known.revision >= change.revision:
                continue
            self._changes[change.node] = change
            new_changes.append(change)
        self.revision = max(self.revision, revision)
        self._forget_old_deletions()
        return new_changes

    def replace(self, entries: Iterable[NodeChange], revision: int) -> list[NodeChange]:
        """Apply a complete list of entries; return the changes that were new.

        Known nodes that are missing from the list were deleted by `revision`.
        """
        listed = list(entries)
        present = {entry.node for entry in listed}
        deletions = [
            NodeChange(node, revision, None)
            for node, known in self._changes.items()
            if known.record is not None and node not in present
        ]
        return self.apply([*listed, *deletions], revision)

    def changes_since(self, revision: int) -> list[NodeChange] | None:
        """Return the changes after a revision, or None if some are no longer kept."""
        if revision >= self.revision:
            return []
        if revision < self._forgotten_revision:
            return None
        return [one for one in self._changes.values() if one.revision > revision]

    def entries(self) -> list[NodeChange]:
        """Return the entries of all nodes that are not deleted."""
        return [one for one in self._changes.values() if one.record is not None]

    def _forget_old_deletions(self) -> None:
        deletions = [one for one in self._changes.values() if one.record is None]
        if len(deletions) <= MAX_KEPT_DELETIONS:
            return
        deletions.sort(key=lambda change: change.revision)
        for change in deletions[:-MAX_KEPT_DELETIONS]:
            del self._changes[change.node]
            self._forgotten_revision = max(self._forgotten_revision, change.revision)
