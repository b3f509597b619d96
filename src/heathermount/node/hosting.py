"""What the ownership manager needs of this node: candidates, proofs and state."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from heathermount.claims import ClaimTable
from heathermount.errors import InvalidMessage, PeerError, PeerRefused
from heathermount.membership import Directory, Group, MemberRecord
from heathermount.node.parts import Parts
from heathermount.ownership import NodeIdentity, OwnerRecord, Partition, decode_record
from heathermount.quota import Allocator
from heathermount.wire.control import OwnerReply, OwnerRequest
from heathermount.wire.link import open_link

__all__ = ["NodeHost"]

# At a fleet's start the nodes of a failure domain may come up later than others.
OTHER_DOMAINS_AFTER_S: Final = 10.0
MAX_HELPERS: Final = 3


class NodeHost:
    """The node's side of the ownership manager; see PartitionHost."""

    __slots__ = (
        "_clients",
        "_clock",
        "_directory",
        "_group",
        "_helpers",
        "_identity",
        "_invariants",
        "_owned",
        "_settings",
        "_without_local",
    )

    def __init__(
        self,
        parts: Parts,
        group: Group,
        directory: Directory,
        helpers: Callable[[], list[str]],
    ) -> None:
        self._settings = parts.settings
        self._identity = parts.identity
        self._owned = parts.owned
        self._clients = parts.clients
        self._clock = parts.clock
        self._invariants = parts.invariants
        self._group = group
        self._directory = directory
        # Control addresses of nodes to ask before the store.
        self._helpers = helpers
        # Monotonic time since which a partition has no candidate in its domain.
        self._without_local: dict[str, float] = {}

    def list_partitions(self) -> Iterable[str]:
        return self._owned.wanted_by(self._settings.node.service)

    def list_candidates(self, partition: str) -> Sequence[str]:
        """Return live candidates; other groups' members as their roster says."""
        kind, _, name = partition.partition("/")
        if kind == "claims":
            return self._group.live_members()
        domain = name.partition("/")[0]
        members = [
            member
            for service in self._owned.home_services(partition)
            for member in self._members(service)
        ]
        local = [m.node for m in members if m.failure_domain == domain]
        now = self._clock.monotonic()
        if local:
            self._without_local.pop(partition, None)
            return local
        since = self._without_local.setdefault(partition, now)
        if now - since < OTHER_DOMAINS_AFTER_S:
            return []
        # A failure domain without candidates is served from the others, so that
        # its share of the limits is not lost.
        return [m.node for m in members]

    def _members(self, service: str) -> list[MemberRecord]:
        if service != self._settings.node.service:
            record = self._directory.get(service)
            return list(record.members) if record is not None else []
        live = set(self._group.live_members())
        return [m for m in self._group.roster.record.members if m.node in live]

    def find_identity(self, node: str) -> NodeIdentity | None:
        services = [self._settings.node.service, *self._directory.services()]
        for service in services:
            for member in self._members(service):
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
        link.retire()
        await link.run()
        return link.peer.incarnation != incarnation

    async def fetch_record(self, partition: str) -> OwnerRecord | None:
        """Ask the nodes that know before the store; None to ask the store."""
        for address in self._helpers()[:MAX_HELPERS]:
            try:
                reply = await self._clients.call(
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
            self._owned.allocators[partition.name] = allocator
            return
        self._owned.tables[partition.name] = self._make_table(partition, state)

    def _make_table(self, partition: Partition, state: bytes | None) -> ClaimTable:
        table = ClaimTable(
            partition,
            self._clock,
            self._invariants,
            self._owned.bodies,
            self._group.is_dead,
            self._owned.retention_s,
        )
        if state is not None:
            table.load(state)
        return table

    def stop_partition(self, name: str) -> None:
        self._owned.allocators.pop(name, None)
        table = self._owned.tables.pop(name, None)
        if table is not None:
            table.close()

    def dump_state(self, name: str) -> bytes:
        if name in self._owned.allocators:
            return self._owned.allocators[name].dump()
        return self._owned.tables[name].dump()
