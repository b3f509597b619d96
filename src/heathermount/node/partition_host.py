"""Candidates, proofs and partition state for the ownership manager."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from heathermount.claims import ClaimTable
from heathermount.errors import InvalidMessage, PeerError, PeerRefused
from heathermount.membership import Directory, Group, MemberRecord
from heathermount.node.components import NodeComponents
from heathermount.ownership import NodeIdentity, OwnerRecord, Partition, decode_record
from heathermount.quota import Allocator
from heathermount.wire.control import OwnerReply, OwnerRequest
from heathermount.wire.link import open_link

__all__ = ["NodePartitionHost"]

# Nodes of other failure domains take a partition over only after this delay. When a
# fleet starts, the nodes of one failure domain may come up after the others.
OTHER_DOMAINS_DELAY_S: Final = 10.0
MAX_RECORD_SOURCES: Final = 3


class NodePartitionHost:
    """Implements PartitionHost for this node."""

    __slots__ = (
        "_clock",
        "_control_clients",
        "_directory",
        "_group",
        "_identity",
        "_invariants",
        "_list_record_sources",
        "_no_local_candidate_since",
        "_owned_partitions",
        "_settings",
    )

    def __init__(
        self,
        components: NodeComponents,
        group: Group,
        directory: Directory,
        list_record_sources: Callable[[], list[str]],
    ) -> None:
        self._settings = components.settings
        self._identity = components.identity
        self._owned_partitions = components.owned_partitions
        self._control_clients = components.control_clients
        self._clock = components.clock
        self._invariants = components.invariants
        self._group = group
        self._directory = directory
        # Returns the control addresses of nodes to ask before the store.
        self._list_record_sources = list_record_sources
        # Monotonic time since which a partition has had no candidate in its own
        # failure domain.
        self._no_local_candidate_since: dict[str, float] = {}

    def list_partitions(self) -> Iterable[str]:
        return self._owned_partitions.list_eligible_partitions(
            self._settings.node.service
        )

    def list_candidates(self, partition: str) -> Sequence[str]:
        """Return the nodes that may own a partition.

        Of this node's group, these are live members only. Of other groups, they are
        all members in the roster, because this node gets no heartbeats from them.
        """
        kind, _, name = partition.partition("/")
        if kind == "claims":
            return self._group.live_members()
        failure_domain = name.partition("/")[0]
        members = [
            member
            for service in self._owned_partitions.list_quota_services(partition)
            for member in self._list_members(service)
        ]
        local_candidates = [
            m.node for m in members if m.failure_domain == failure_domain
        ]
        now = self._clock.monotonic()
        if local_candidates:
            self._no_local_candidate_since.pop(partition, None)
            return local_candidates
        missing_since = self._no_local_candidate_since.setdefault(partition, now)
        if now - missing_since < OTHER_DOMAINS_DELAY_S:
            return []
        # Nodes of other failure domains take over, so that this failure domain's
        # share of the organisations' limits is not lost.
        return [m.node for m in members]

    def _list_members(self, service: str) -> list[MemberRecord]:
        if service != self._settings.node.service:
            record = self._directory.get(service)
            return list(record.members) if record is not None else []
        live = set(self._group.live_members())
        return [m for m in self._group.roster.record.members if m.node in live]

    def find_identity(self, node: str) -> NodeIdentity | None:
        services = [self._settings.node.service, *self._directory.services()]
        for service in services:
            for member in self._list_members(service):
                if member.node == node:
                    return NodeIdentity(
                        member.node, member.incarnation, member.peers, member.control
                    )
        return None

    async def confirm_process_ended(self, address: str, incarnation: str) -> bool:
        """Return True only on proof that the process has ended."""
        try:
            link = await open_link(address, self._identity)
        except PeerRefused:
            return True
        except PeerError:
            return False
        link.close_when_idle()
        await link.run()
        return link.peer.incarnation != incarnation

    async def fetch_record(self, partition: str) -> OwnerRecord | None:
        """Ask other nodes for the record; return None to read the store instead."""
        for address in self._list_record_sources()[:MAX_RECORD_SOURCES]:
            try:
                reply = await self._control_clients.call(
                    address, OwnerRequest(partition), OwnerReply
                )
                if reply.record:
                    return decode_record(reply.record)
            except (PeerError, InvalidMessage):
                continue
        return None

    def start_partition(self, partition: Partition, state: bytes | None) -> None:
        """Create the state of a partition that this node now owns."""
        if partition.name.startswith("quota/"):
            allocator = Allocator(partition, self._clock, self._invariants)
            if state is not None:
                allocator.load(state)
            self._owned_partitions.allocators[partition.name] = allocator
            return
        self._owned_partitions.claim_tables[partition.name] = self._make_table(
            partition, state
        )

    def _make_table(self, partition: Partition, state: bytes | None) -> ClaimTable:
        table = ClaimTable(
            partition,
            self._clock,
            self._invariants,
            self._owned_partitions.body_budget,
            self._group.is_dead,
            self._owned_partitions.get_retention_s,
        )
        if state is not None:
            table.load(state)
        return table

    def stop_partition(self, name: str) -> None:
        self._owned_partitions.allocators.pop(name, None)
        table = self._owned_partitions.claim_tables.pop(name, None)
        if table is not None:
            table.close()

    def dump_state(self, name: str) -> bytes:
        if name in self._owned_partitions.allocators:
            return self._owned_partitions.allocators[name].dump()
        return self._owned_partitions.claim_tables[name].dump()
