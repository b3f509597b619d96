"""Roster records: the members of one service, kept in the store."""

from typing import Self

import msgspec

__all__ = ["MemberRecord", "RosterRecord", "roster_key"]


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One node and the backend server beside it."""

    node: str
    incarnation: str
    # Addresses, "ip:port".
    peers: str
    control: str
    failure_domain: str
    slots: int
    cold_start_s: float = 0.0
    # Seconds since the Unix epoch when the backend server was announced.
    joined_at: float = 0.0


class RosterRecord(msgspec.Struct, frozen=True, kw_only=True):
    """All members of a service. The revision grows with each change."""

    service: str
    revision: int = 0
    members: list[MemberRecord] = []

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> Self:
        return msgspec.msgpack.decode(data, type=cls)

    def find(self, node: str) -> MemberRecord | None:
        return next((m for m in self.members if m.node == node), None)

    def with_member(self, member: MemberRecord) -> "RosterRecord":
        """Return the next record, in which `member` replaces its earlier self."""
        others = [m for m in self.members if m.node != member.node]
        return RosterRecord(
            service=self.service,
            revision=self.revision + 1,
            members=sorted([*others, member], key=lambda m: m.node),
        )

    def without_member(self, node: str, incarnation: str) -> "RosterRecord":
        """Return the next record, without this incarnation of the node."""
        return RosterRecord(
            service=self.service,
            revision=self.revision + 1,
            members=[
                m
                for m in self.members
                if (m.node, m.incarnation) != (node, incarnation)
            ],
        )


def roster_key(service: str) -> str:
    return f"roster/{service}"
