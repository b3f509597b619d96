"""Roster records: the members of a service, as kept in the store."""

from collections.abc import Container
from typing import Final, Self

import msgspec

from heathermount.errors import InvalidMessage

__all__ = ["ROSTER_PREFIX", "MemberRecord", "RosterRecord", "roster_key"]

ROSTER_PREFIX: Final = "roster/"


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A member of a service: one node and the backend server beside it."""

    node: str
    incarnation: str
    # Addresses for peer and control connections, "ip:port".
    peers: str
    control: str
    failure_domain: str
    slots: int = 1
    cold_start_s: float = 0.0
    # Seconds since the Unix epoch when the backend server was announced.
    joined_at: float = 0.0


class RosterRecord(msgspec.Struct, frozen=True, kw_only=True):
    """All members of a service. Each change increments the revision."""

    service: str
    revision: int = 0
    members: list[MemberRecord] = []

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Decode a record; raise InvalidMessage if `data` is not one."""
        try:
            return msgspec.msgpack.decode(data, type=cls)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidMessage(
                f"invalid roster record: {error}; run the same version on all nodes"
            ) from error

    def find(self, node: str) -> MemberRecord | None:
        return next((m for m in self.members if m.node == node), None)

    def with_member(self, member: MemberRecord) -> "RosterRecord":
        """Return the next revision, with `member` added or replacing its old entry."""
        others = [m for m in self.members if m.node != member.node]
        return RosterRecord(
            service=self.service,
            revision=self.revision + 1,
            members=sorted([*others, member], key=lambda m: m.node),
        )

    def without_members(self, removed: Container[tuple[str, str]]) -> "RosterRecord":
        """Return the next revision without the given (node, incarnation) pairs."""
        return RosterRecord(
            service=self.service,
            revision=self.revision + 1,
            members=[m for m in self.members if (m.node, m.incarnation) not in removed],
        )


def roster_key(service: str) -> str:
    return f"{ROSTER_PREFIX}{service}"
