"""Roster records: the members of a service, as kept in the store."""

import math
from collections.abc import Container
from typing import Final, Self

import msgspec
from absl import logging

from heathermount.addresses import is_reachable_address
from heathermount.errors import InvalidMessage
from heathermount.record_checks import find_server_fault

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

    def find_fault(self) -> str:
        """Return what makes the record unusable; empty if it is sound."""
        for address in (self.peers, self.control):
            if not is_reachable_address(address):
                return f"the address {address!r}"
        if not math.isfinite(self.joined_at):
            return f"an announcement at {self.joined_at}"
        return find_server_fault(self.slots, self.cold_start_s, born_ms=0)


class RosterRecord(msgspec.Struct, frozen=True, kw_only=True):
    """All members of a service. Each change increments the revision."""

    service: str
    revision: int = 0
    members: list[MemberRecord] = []

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Decode a record, without the members that cannot be used.

        Raises InvalidMessage if `data` is no record.
        """
        try:
            record = msgspec.msgpack.decode(data, type=cls)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidMessage(
                f"invalid roster record: {error}; run the same version on all nodes"
            ) from error
        members = [one for one in record.members if is_usable(record.service, one)]
        return msgspec.structs.replace(record, members=members)

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


def is_usable(service: str, member: MemberRecord) -> bool:
    fault = member.find_fault()
    if fault:
        logging.warning(
            'event=member-unusable service=%s node=%s error="%s"',
            service,
            member.node,
            fault,
        )
    return not fault


def roster_key(service: str) -> str:
    return f"{ROSTER_PREFIX}{service}"
