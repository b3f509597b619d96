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
    "DEFAULT_QUOTA_PARTITIONS",
    "OwnedPartitions",
    "QuotaServiceCache",
]

# Partitions for each failure domain until a declaration sets their number. It does
# not grow with the fleet. Renewing 8 partitions every 40 s in each of 4 failure
# domains takes 0.8 writes per second.
DEFAULT_QUOTA_PARTITIONS: Final = 8
# Number of services whose nodes may own the same quota partition.
SERVICES_PER_QUOTA_PARTITION: Final = 3
DEFAULT_RETENTION_S: Final = 600.0


class QuotaServiceCache:
    """Caches which services' nodes may own each quota partition.

    Ranking 590 services takes about 2 ms, and the result is needed several times
    per second for each partition. It is kept until the declared services change.
    """

    __slots__ = (
        "_services",
        "_services_by_partition",
    )

    def __init__(self) -> None:
        self._services: Sequence[str] = ()
        self._services_by_partition: dict[str, list[str]] = {}

    def find(self, partition: str, services: Sequence[str]) -> list[str]:
        """Return the highest-ranked services by rendezvous hash, in order."""
        if services is not self._services:
            if services != self._services:
                self._services_by_partition = {}
            self._services = services
        ranked_services = self._services_by_partition.get(partition)
        if ranked_services is None:
            ranked_services = rank_candidates(partition, services)[
                :SERVICES_PER_QUOTA_PARTITION
            ]
            self._services_by_partition[partition] = ranked_services
        return ranked_services


class OwnedPartitions:
    """Quota allocators and claim tables of the partitions this node owns.

    NodePartitionHost adds and removes them as partitions are gained and lost.
    """

    __slots__ = (
        "_clock",
        "_invariants",
        "_quota_services",
        "_tracker",
        "allocators",
        "body_budget",
        "claim_tables",
    )

    def __init__(
        self, tracker: ConfigTracker, clock: Clock, invariants: Invariants
    ) -> None:
        self._tracker = tracker
        self._clock = clock
        self._invariants = invariants
        self._quota_services = QuotaServiceCache()
        self.allocators: dict[str, Allocator] = {}
        self.claim_tables: dict[str, ClaimTable] = {}
        # Bounds the memory for stored responses in all claim tables together.
        self.body_budget = BodyBudget()

    def list_quota_services(self, partition: str) -> list[str]:
        """Return the services whose nodes may own a quota partition, by rank."""
        policy = self._tracker.policy
        if policy is None:
            return []
        return self._quota_services.find(partition, policy.services)

    def list_eligible_partitions(self, service: str) -> list[str]:
        """Return the partitions that a node of `service` may own."""
        policy = self._tracker.policy
        if policy is None:
            return []
        partitions = [
            name
            for domain in policy.failure_domains
            for name in (
                f"quota/{domain}/{index}" for index in range(policy.quota_partitions)
            )
            if service in self.list_quota_services(name)
        ]
        if service in policy.services_with_claims:
            partitions += [
                f"claims/{service}/{slot}" for slot in range(PARTITIONS_PER_SERVICE)
            ]
        return partitions

    def grant_tokens(self, request: TokenRequest) -> TokenReply:
        """Grant tokens, or reply that this node does not own the partition."""
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
        limits = policy.get_limits(organisation)
        return Allotment(limits.rate, limits.burst)

    def get_retention_s(self) -> float:
        """Return how long idempotency keys are kept, in seconds."""
        policy = self._tracker.policy
        return policy.retention_s if policy is not None else DEFAULT_RETENTION_S

    def count_quota_partitions(self) -> int:
        """Return how many quota partitions each failure domain has."""
        policy = self._tracker.policy
        return (
            policy.quota_partitions if policy is not None else DEFAULT_QUOTA_PARTITIONS
        )

    def list_failure_domains(self) -> Sequence[str]:
        policy = self._tracker.policy
        return policy.failure_domains if policy is not None else ()

    def decide_claim(self, message: Claim) -> ClaimReply:
        """Decide a claim; reply `moved` if this node does not own the partition."""
        claim_table = self.claim_tables.get(message.partition)
        if claim_table is None:
            return ClaimReply("moved")
        reply: ClaimReply = claim_table.handle(message)
        return reply

    def finish_claim(self, message: Settle | UnclaimKey) -> ClaimUpdated:
        """Record how a claimed call ended, or release its claim.

        Raises NotOwner if this node does not own the partition.
        """
        claim_table = self.claim_tables.get(message.partition)
        if claim_table is None:
            raise NotOwner(f"{message.partition}: look up its owner again")
        acknowledgement: ClaimUpdated = claim_table.handle(message)
        return acknowledgement
