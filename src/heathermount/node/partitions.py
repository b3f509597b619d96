"""Quota allocators and claim tables of the partitions that this node owns."""

from collections.abc import Sequence
from typing import Final

from heathermount.claims import PARTITIONS_PER_SERVICE, BodyBudget, ClaimTable
from heathermount.clocks import Clock
from heathermount.config.tracker import ConfigTracker
from heathermount.invariants import Invariants
from heathermount.ownership import NotOwner, rank_candidates
from heathermount.quota import Allocator, Allotment
from heathermount.wire.messages import (
    Claim,
    ClaimReply,
    ClaimUpdated,
    Settle,
    TokenReply,
    TokenRequest,
    UnclaimKey,
)

__all__ = [
    "QUOTA_PARTITIONS",
    "HomeServices",
    "OwnedPartitions",
]

# Default for each failure domain. The number is set in the declaration and does
# not grow with the fleet: 8 partitions renewed every 40 s in 4 domains are 0.8
# writes a second.
QUOTA_PARTITIONS: Final = 8
# Services whose nodes may own a quota partition.
HOME_SERVICES: Final = 3
DEFAULT_RETENTION_S: Final = 600.0


class HomeServices:
    """The services whose nodes may own a quota partition.

    Ranking all services takes about 2 ms at 590 of them and is asked for several
    times a second for each partition, so that the result is kept until the
    declared services change.
    """

    __slots__ = ("_homes", "_services")

    def __init__(self) -> None:
        self._services: Sequence[str] = ()
        self._homes: dict[str, list[str]] = {}

    def find(self, partition: str, services: Sequence[str]) -> list[str]:
        """Return the first services by rendezvous hash, in order."""
        if services is not self._services:
            if services != self._services:
                self._homes = {}
            self._services = services
        homes = self._homes.get(partition)
        if homes is None:
            homes = rank_candidates(partition, services)[:HOME_SERVICES]
            self._homes[partition] = homes
        return homes


class OwnedPartitions:
    """Creates and drops the state of partitions as they are gained and lost."""

    __slots__ = (
        "_clock",
        "_homes",
        "_invariants",
        "_tracker",
        "allocators",
        "bodies",
        "tables",
    )

    def __init__(
        self, tracker: ConfigTracker, clock: Clock, invariants: Invariants
    ) -> None:
        self._tracker = tracker
        self._clock = clock
        self._invariants = invariants
        self._homes = HomeServices()
        self.allocators: dict[str, Allocator] = {}
        self.tables: dict[str, ClaimTable] = {}
        # Bounds the memory of held responses over all tables of this node.
        self.bodies = BodyBudget()

    def home_services(self, partition: str) -> list[str]:
        """Return the services whose nodes may own a quota partition, in order."""
        policy = self._tracker.policy
        if policy is None:
            return []
        return self._homes.find(partition, policy.services)

    def wanted_by(self, service: str) -> list[str]:
        """Return the partitions that a node of `service` may own."""
        policy = self._tracker.policy
        if policy is None:
            return []
        partitions = [
            name
            for domain in policy.failure_domains
            for name in (f"quota/{domain}/{n}" for n in range(policy.quota_partitions))
            if service in self.home_services(name)
        ]
        if service in policy.services_with_claims:
            partitions += [
                f"claims/{service}/{slot}" for slot in range(PARTITIONS_PER_SERVICE)
            ]
        return partitions

    def grant(self, request: TokenRequest) -> TokenReply:
        """Grant tokens, or say that this node does not own the partition."""
        allocator = self.allocators.get(request.partition)
        policy = self._tracker.policy
        if allocator is None or policy is None:
            return TokenReply(False, [])
        return allocator.answer(request, self.find_allotment, policy.failure_domains)

    def find_allotment(self, organisation: str) -> Allotment | None:
        """Return the organisation's rate and burst in the current configuration."""
        policy = self._tracker.policy
        if policy is None:
            return None
        allotment = policy.get_limits(organisation)
        return Allotment(allotment.rate, allotment.burst)

    def retention_s(self) -> float:
        """Return how long idempotency keys are remembered, in seconds."""
        policy = self._tracker.policy
        return policy.retention_s if policy is not None else DEFAULT_RETENTION_S

    def count_quota_partitions(self) -> int:
        """Return how many quota partitions each failure domain has."""
        policy = self._tracker.policy
        return policy.quota_partitions if policy is not None else QUOTA_PARTITIONS

    def find_domains(self) -> Sequence[str]:
        policy = self._tracker.policy
        return policy.failure_domains if policy is not None else ()

    def decide(self, message: Claim) -> ClaimReply:
        """Decide a claim; the reply is `moved` if this node is not the owner."""
        table = self.tables.get(message.partition)
        if table is None:
            return ClaimReply("moved")
        reply: ClaimReply = table.handle(message)
        return reply

    def update(self, message: Settle | UnclaimKey) -> ClaimUpdated:
        """Record how a claimed call ended; raise NotOwner to ask the owner."""
        table = self.tables.get(message.partition)
        if table is None:
            raise NotOwner(f"{message.partition}: look up its owner again")
        updated: ClaimUpdated = table.handle(message)
        return updated
