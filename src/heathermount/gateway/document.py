"""Operators' configuration of gateway nodes, and the policy compiled from it."""

import hashlib
from collections import Counter
from random import Random
from typing import Final, Self

import msgspec

from heathermount.framing import MAX_BODY_BYTES
from heathermount.gateway.http_server import HttpLimits
from heathermount.values import Importance

__all__ = [
    "GatewayDocument",
    "GatewayPolicy",
    "OrganisationEntry",
    "RouteEntry",
    "ServiceEntry",
    "Target",
    "digest_key",
]

DIGEST_BYTES: Final = 12


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float = 1.0


class RouteEntry(msgspec.Struct, frozen=True, array_like=True):
    """A route: requests for a host whose path begins with a prefix."""

    name: str
    host: str
    prefix: str
    targets: list[Target]
    idempotent: bool
    # Longest time for which an answer is kept waiting, in seconds.
    timeout_s: float
    # Time within which an answer is worth most, in seconds.
    objective_s: float
    # Rank of its requests; 0 is the most urgent.
    priority: int
    # Most servers that one request may be sent to.
    max_attempts: int
    # Whether requests need no key.
    public: bool


class ServiceEntry(msgspec.Struct, frozen=True, array_like=True):
    """A service; `connections` is the limit of each of its servers."""

    name: str
    health_path: str
    connections: int


class OrganisationEntry(msgspec.Struct, frozen=True, array_like=True):
    """An organisation with its keys, its rank and its limits.

    `rate` is in requests per second and `burst` in requests; 0 is no limit.
    """

    name: str
    keys: list[str]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


class GatewayDocument(msgspec.Struct, frozen=True, array_like=True):
    """The whole configuration at one version."""

    version: int
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    organisations: list[OrganisationEntry]
    limits: HttpLimits


def digest_key(key: bytes) -> bytes:
    """Return what stands for a key between nodes."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


class GatewayPolicy:
    """Answers questions about one version; immutable."""

    __slots__ = (
        "_by_digest",
        "_by_key",
        "_hosts",
        "_organisations",
        "_services",
        "_usual_rank",
        "document",
        "limits",
        "needs_keys",
        "version",
    )

    def __init__(self, document: GatewayDocument) -> None:
        self.document = document
        self.version = document.version
        self.limits = bound_limits(document.limits)
        self.needs_keys = bool(document.organisations)
        self._hosts: dict[str, dict[str, RouteEntry]] = {}
        for route in document.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route
        self._services = {service.name: service for service in document.services}
        self._organisations = {one.name: one for one in document.organisations}
        self._usual_rank = find_usual_rank(document.organisations)
        self._by_key: dict[bytes, tuple[OrganisationEntry, bytes]] = {}
        self._by_digest: dict[bytes, str] = {}
        for organisation in document.organisations:
            for key in organisation.keys:
                digest = digest_key(key.encode())
                self._by_key[key.encode()] = (organisation, digest)
                self._by_digest[digest] = organisation.name

    @classmethod
    def from_config(cls, document: GatewayDocument) -> Self:
        return cls(document)

    def match(self, host: str, path: str) -> RouteEntry | None:
        """Return the route of a host with the longest prefix of the path."""
        routes = self._hosts.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def authenticate(self, key: bytes) -> tuple[OrganisationEntry, bytes] | None:
        """Return the owner of a key and the key's digest; None if unknown."""
        return self._by_key.get(key)

    def key_organisation(self, digest: bytes) -> str | None:
        """Return the owner of a key by its digest; None if it was withdrawn."""
        return self._by_digest.get(digest)

    def organisation(self, name: str) -> OrganisationEntry | None:
        return self._organisations.get(name)

    def rank(
        self, route: RouteEntry, organisation: OrganisationEntry | None
    ) -> Importance:
        """Return the class of a request.

        An organisation's rank goes before the route's: one that is more or less
        urgent than the usual rank decides alone.
        """
        if organisation is not None and organisation.priority is not None:
            if organisation.priority < self._usual_rank:
                return Importance.CRITICAL
            if organisation.priority > self._usual_rank:
                return Importance.BACKGROUND
        return Importance(min(max(route.priority, 0), max(Importance)))

    def service(self, name: str) -> ServiceEntry | None:
        return self._services.get(name)


def bound_limits(limits: HttpLimits) -> HttpLimits:
    """Return limits under which each request fits a frame between nodes."""
    max_body_bytes = min(limits.max_body_bytes, MAX_BODY_BYTES)
    return msgspec.structs.replace(limits, max_body_bytes=max_body_bytes)


def choose_target(route: RouteEntry, random: Random) -> str:
    """Return the service for one request, in proportion to the weights."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    point = random.random() * sum(target.weight for target in targets)
    for target in targets:
        point -= target.weight
        if point < 0.0:
            return target.service
    return targets[-1].service


def find_usual_rank(organisations: list[OrganisationEntry]) -> int:
    """Return the rank that most organisations have."""
    ranks = Counter(one.priority for one in organisations if one.priority is not None)
    return ranks.most_common(1)[0][0] if ranks else 0
