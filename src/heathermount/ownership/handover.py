"""Planned handover: stops the owner, sends its state and records the successor."""

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from heathermount.errors import (
    HeathermountError,
    InvalidMessage,
    PeerError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.ownership.candidate_state import PartitionHost, SendHandover
from heathermount.ownership.partition import Partition
from heathermount.ownership.records import (
    NodeIdentity,
    OwnerRecord,
    PartitionStore,
    decode_record,
    encode_record,
    make_record_key,
    rank_candidates,
)

__all__ = ["Handover"]

# Bounds the time that a stop waits for unreachable successors.
MAX_SUCCESSORS_TRIED: Final = 3
MAX_WRITE_ATTEMPTS: Final = 15
WRITE_RETRY_INTERVAL_S: Final = 0.2


class Handover:
    """Hands partitions of this process over to successors.

    The owner stops deciding before it serialises the state. Once a successor may
    have received the state, the owner never decides again: the successor may
    take over with that state later, even if its record has not been written.
    """

    __slots__ = ("_host", "_identity", "_sleep", "_store")

    def __init__(
        self,
        store: PartitionStore,
        host: PartitionHost,
        identity: NodeIdentity,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._store = store
        self._host = host
        self._identity = identity
        self._sleep = sleep

    async def run(
        self, partition: Partition, send_handover: SendHandover
    ) -> OwnerRecord | None:
        """Hand over one partition and return the successor's record, if written.

        The partition is active again if certainly no successor received its
        state. Otherwise it stays frozen.
        """
        if partition.ended or partition.frozen:
            return None
        partition.freeze()
        state = self._host.dump_state(partition.name)
        may_have_received = False
        for successor in self._list_successors(partition.name):
            accepted = await self._send_state(
                partition, state, successor, send_handover
            )
            if accepted is not False:
                may_have_received = True
            if accepted:
                return await self._write_successor(partition, successor)
        if not may_have_received:
            partition.resume()
        return None

    def _list_successors(self, name: str) -> list[NodeIdentity]:
        nodes = rank_candidates(name, self._host.list_candidates(name))
        others = [node for node in nodes if node != self._identity.node]
        located = (
            self._host.find_identity(node) for node in others[:MAX_SUCCESSORS_TRIED]
        )
        return [identity for identity in located if identity is not None]

    async def _send_state(
        self,
        partition: Partition,
        state: bytes,
        successor: NodeIdentity,
        send_handover: SendHandover,
    ) -> bool | None:
        """Return whether the successor accepted the state; None if unknown."""
        try:
            return await send_handover(
                successor, partition.name, partition.epoch, state
            )
        except PeerError as error:
            return None if error.sent else False
        except HeathermountError:
            return None

    async def _write_successor(
        self, partition: Partition, successor: NodeIdentity
    ) -> OwnerRecord | None:
        """Write the successor's record and return it.

        Return None if another process took the partition or all attempts failed.
        """
        record = msgspec.structs.replace(
            partition.record,
            node=successor.node,
            incarnation=successor.incarnation,
            address=successor.address,
            control=successor.control,
            epoch=partition.epoch + 1,
        )
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                written = await self._replace_record(partition.record, record)
            except (StoreUnavailable, StoreOutcomeUnknown, InvalidMessage):
                await self._sleep(WRITE_RETRY_INTERVAL_S)
                continue
            if written is not None:
                return record if written else None
        return None

    async def _replace_record(
        self, current: OwnerRecord, record: OwnerRecord
    ) -> bool | None:
        """Return whether the record is in the store; None means to try again."""
        key = make_record_key(current.partition)
        value = await self._store.get(key)
        if value is None:
            return False
        stored = decode_record(value.value)
        if stored != current:
            return stored == record
        replaced = await self._store.commit(
            {key: value.version}, {key: encode_record(record)}
        )
        return True if replaced else None
