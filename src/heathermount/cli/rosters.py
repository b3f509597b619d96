"""The roster records from which the operators' tool finds the nodes.

This is a view of the records in `heathermount.membership` with the same names.
"""

from typing import Final

import msgspec

from heathermount.errors import InvalidMessage

__all__ = ["ROSTER_PREFIX", "MemberRecord", "RosterRecord", "decode_roster"]

ROSTER_PREFIX: Final = "roster/"


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One member of a service's group; addresses are "ip:port"."""

    node: str
    incarnation: str
    peers: str
    control: str
    failure_domain: str
    slots: int = 0


class RosterRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The members of one service's group."""

    service: str
    revision: int = 0
    members: list[MemberRecord] = []


def decode_roster(data: bytes) -> RosterRecord:
    """Decode a roster record; raise InvalidMessage for any other bytes."""
    try:
        return msgspec.msgpack.decode(data, type=RosterRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidMessage(
            f"roster record: {error}; use the tool's version for this fleet"
        ) from error
