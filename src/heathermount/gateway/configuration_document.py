"""The operators' configuration document, and the policy compiled from it."""

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
    "RouteTarget",
    "ServiceEntry",
    "digest_key",
]

KEY_DIGEST_BYTES: Final = 12


class RouteTarget(msgspec.Struct, frozen=True, array_like=True):
    """A service that a route sends requests to; weights are relative."""

    service: str
    weight: float = 1.0


class RouteEntry(msgspec.Struct, frozen=True, array_like=True):
    """A route for the requests to a host whose path starts with a prefix."""

    name: str
    host: str
    prefix: str
    targets: list[RouteTarget]
    idempotent: bool
    # Latest deadline of a request, in seconds after its arrival.
    timeout_s: float
    # Latency objective, in seconds: an answer within it is worth most.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    # Number of backend servers that one request may be sent to.
    max_attempts: int
    # Whether requests are accepted without a key.
    public: bool


class ServiceEntry(msgspec.Struct, frozen=True, array_like=True):
    """A service; `connections` is the connection limit of each backend server."""

    name: str
    health_path: str
    connections: int


class OrganisationEntry(msgspec.Struct, frozen=True, array_like=True):
    """An organisation with its API keys, priority and rate limit.

    `rate` is in requests per second and `burst` in requests; 0 means no limit.
    """

    name: str
    keys: list[str]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


class GatewayDocument(msgspec.Struct, frozen=True, array_like=True):
    """One version of the whole configuration."""

    version: int
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    organisations: list[OrganisationEntry]
    limits: HttpLimits


def digest_key(key: bytes) -> bytes:
    """Return the digest that identifies a key in messages between nodes."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


class GatewayPolicy:
    """Lookup tables compiled from one version of the configuration; immutable."""

    __slots__ = (
        "_most_common_priority",
        "_organisations",
        "_owner_by_digest",
        "_owner_by_key",
        "_routes_by_host",
        "_services",
        "document",
        "limits",
        "requires_keys",
        "version",
    )

    def __init__(self, document: GatewayDocument) -> None:
        self.document = document
        self.version = document.version
        self.limits = clamp_limits(document.limits)
        self.requires_keys = bool(document.organisations)
        self._routes_by_host: dict[str, dict[str, RouteEntry]] = {}
        for route in document.routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = (
                route
            )
        self._services = {service.name: service for service in document.services}
        self._organisations = {entry.name: entry for entry in document.organisations}
        self._most_common_priority = find_most_common_priority(document.organisations)
        self._owner_by_key: dict[bytes, tuple[OrganisationEntry, bytes]] = {}
        self._owner_by_digest: dict[bytes, str] = {}
        for organisation in document.organisations:
            for key in organisation.keys:
                digest = digest_key(key.encode())
                self._owner_by_key[key.encode()] = (organisation, digest)
                self._owner_by_digest[digest] = organisation.name

    @classmethod
    def from_config(cls, document: GatewayDocument) -> Self:
        return cls(document)

    def match_route(self, host: str, path: str) -> RouteEntry | None:
        """Return the host's route with the longest matching prefix, if any."""
        routes = self._routes_by_host.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def authenticate(self, key: bytes) -> tuple[OrganisationEntry, bytes] | None:
        """Return the organisation that owns a key, and the key's digest.

        Returns None if the key is unknown.
        """
        return self._owner_by_key.get(key)

    def find_key_owner(self, digest: bytes) -> str | None:
        """Return the name of the organisation that owns a key, by the key's digest.

        Returns None if the key has been revoked.
        """
        return self._owner_by_digest.get(digest)

    def get_organisation(self, name: str) -> OrganisationEntry | None:
        return self._organisations.get(name)

    def classify(
        self, route: RouteEntry, organisation: OrganisationEntry | None
    ) -> Importance:
        """Return the importance of a request.

        The organisation's priority decides if it differs from the most common one
        among organisations; otherwise the route's priority does.
        """
        if organisation is not None and organisation.priority is not None:
            if organisation.priority < self._most_common_priority:
                return Importance.CRITICAL
            if organisation.priority > self._most_common_priority:
                return Importance.BACKGROUND
        return Importance(min(max(route.priority, 0), max(Importance)))

    def get_service(self, name: str) -> ServiceEntry | None:
        return self._services.get(name)


def clamp_limits(limits: HttpLimits) -> HttpLimits:
    """Lower the body limit so that every request fits into one frame."""
    max_body_bytes = min(limits.max_body_bytes, MAX_BODY_BYTES)
    return msgspec.structs.replace(limits, max_body_bytes=max_body_bytes)


def choose_target(route: RouteEntry, random: Random) -> str:
    """Choose the service for a request at random, in proportion to the weights."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    remaining_weight = random.random() * sum(target.weight for target in targets)
    for target in targets:
        remaining_weight -= target.weight
        if remaining_weight < 0.0:
            return target.service
    return targets[-1].service


def find_most_common_priority(organisations: list[OrganisationEntry]) -> int:
    """Return the most common priority among organisations; 0 if none has one."""
    priority_counts = Counter(
        organisation.priority
        for organisation in organisations
        if organisation.priority is not None
    )
    return priority_counts.most_common(1)[0][0] if priority_counts else 0
