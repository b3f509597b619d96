"""Service membership: rosters of nodes, and failure detection by heartbeats."""

from heathermount.membership.directory import Directory
from heathermount.membership.group import Group, PeerState
from heathermount.membership.records import (
    ROSTER_PREFIX,
    MemberRecord,
    RosterRecord,
    roster_key,
)
from heathermount.membership.roster import Roster

__all__ = [
    "ROSTER_PREFIX",
    "Directory",
    "Group",
    "MemberRecord",
    "PeerState",
    "Roster",
    "RosterRecord",
    "roster_key",
]
