"""The configuration document, compiled for fast lookups on every request."""

import hmac
from collections.abc import Iterable
from itertools import product
from operator import itemgetter
from typing import Any, Final, Self, TypeVar
from urllib.parse import unquote

import msgspec

from heathermount.config.api_keys import hash_secret, parse_key
from heathermount.config.declaration import DefaultsTable, ExceptionTable, RouteTable
from heathermount.config.documents import FleetDocument
from heathermount.errors import Refusal
from heathermount.values import INTERNAL_ORGANISATION, Importance, Outcome, Reason

__all__ = [
    "CallPolicy",
    "KeyEntry",
    "KeyOwner",
    "OrganisationLimits",
    "Policy",
    "Route",
]

# Route, service and organisation that an exception applies to; None means all.
ExceptionScope = tuple[str | None, str | None, str | None]

# Call policies are cached for these methods only. Callers choose the method, so that
# a cache for all methods would grow without limit.
STANDARD_METHODS: Final = frozenset(
    {"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"}
)


class Route(msgspec.Struct, frozen=True):
    """A declared route; `open` tells whether callers outside the fleet may use it."""

    name: str
    service: str
    open: bool
    path: str = "/"
    # None means all methods.
    methods: frozenset[str] | None = None


class KeyOwner(msgspec.Struct, frozen=True):
    """Identifier of an API key and the organisation that owns it."""

    key_id: str
    organisation: str


class CallPolicy(msgspec.Struct, frozen=True):
    """Importance, deadline and retry limits of a call.

    `repeatable` tells whether repeating the call is safe.
    """

    importance: Importance
    repeatable: bool
    deadline_s: float
    extra_attempts: int


class OrganisationLimits(msgspec.Struct, frozen=True):
    """Rate limit in calls per second, burst in calls, and fair-queueing weight."""

    rate: float
    burst: float
    weight: int


class KeyEntry(msgspec.Struct, kw_only=True):
    """Entry of an API key in the document; holds a hash, not the secret."""

    organisation: str
    digest: bytes
    withdrawn: bool = False


class ExceptionEntry(ExceptionTable, kw_only=True, omit_defaults=True):
    """Entry of an exception in the document."""

    position: int = 0


Entry = TypeVar("Entry", bound=msgspec.Struct)


class ExceptionIndex:
    """Index for finding the exceptions that apply to a call.

    Every node compiles the policy after every change, and the time for this must not
    grow with the product of routes and exceptions.
    """

    __slots__ = (
        "_by_organisation",
        "_by_scope",
        "_non_repeatable_scopes",
    )

    def __init__(self, exceptions: Iterable[ExceptionEntry]) -> None:
        self._by_scope: dict[ExceptionScope, list[tuple[int, ExceptionEntry]]] = {}
        self._by_organisation: dict[str, list[ExceptionEntry]] = {}
        # (route, service) of each exception that makes calls non-repeatable.
        self._non_repeatable_scopes: set[tuple[str | None, str | None]] = set()
        for position, exception in enumerate(exceptions):
            scope = (exception.route, exception.service, exception.organisation)
            self._by_scope.setdefault(scope, []).append((position, exception))
            if exception.organisation is not None:
                self._by_organisation.setdefault(exception.organisation, []).append(
                    exception
                )
            if exception.repeatable is False:
                self._non_repeatable_scopes.add((exception.route, exception.service))

    def find_applicable(self, route: Route, organisation: str) -> list[ExceptionEntry]:
        """Return the exceptions for an organisation's calls, in order of precedence.

        Later ones override earlier ones.
        """
        scopes = product(
            (None, route.name), (None, route.service), (None, organisation)
        )
        matches = [item for scope in scopes for item in self._by_scope.get(scope, ())]
        matches.sort(key=itemgetter(0))
        return [exception for _, exception in matches]

    def find_by_organisation(self, organisation: str) -> list[ExceptionEntry]:
        """Return the exceptions that name an organisation, in order of precedence."""
        return self._by_organisation.get(organisation, [])

    def has_non_repeatable_calls(self, route: Route) -> bool:
        """Return whether an exception makes some calls of a route non-repeatable."""
        scopes = product((None, route.name), (None, route.service))
        return any(scope in self._non_repeatable_scopes for scope in scopes)


class Policy:
    """Policy lookups for one revision; immutable except for its caches."""

    __slots__ = (
        "_call_policy_cache",
        "_defaults",
        "_exceptions",
        "_fleet_secret",
        "_key_owner_cache",
        "_keys",
        "_limits_cache",
        "_max_path_depth",
        "_routes_by_path",
        "failure_domains",
        "organisations",
        "quota_partitions",
        "retention_s",
        "revision",
        "routes",
        "services",
        "services_with_claims",
    )

    def __init__(
        self,
        revision: int,
        defaults: DefaultsTable,
        failure_domains: list[str],
        organisations: list[str],
        routes: list[Route],
        exceptions: list[ExceptionEntry],
        keys: dict[str, KeyEntry],
        secret: bytes,
    ) -> None:
        self.revision = revision
        self.failure_domains = failure_domains
        self.organisations = organisations
        self.retention_s = defaults.retention_s
        self.quota_partitions = defaults.quota_partitions
        self.routes = routes
        self.services = sorted({route.service for route in routes})
        self._defaults = defaults
        self._exceptions = ExceptionIndex(exceptions)
        self._keys = keys
        self._fleet_secret = secret
        self._routes_by_path: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_path.setdefault(route.path, []).append(route)
        self._max_path_depth = max(
            (path.count("/") for path in self._routes_by_path), default=0
        )
        self._key_owner_cache: dict[str, KeyOwner] = {}
        self._call_policy_cache: dict[tuple[str, str, str], CallPolicy] = {}
        self._limits_cache: dict[str, OrganisationLimits] = {}
        self.services_with_claims = sorted(
            {route.service for route in routes if self._needs_claims(route)}
        )

    @classmethod
    def from_config(cls, document: FleetDocument, secret: bytes) -> Self:
        """Compile a document; `secret` is the fleet secret, the key of the digests.

        Entries were validated when they were declared. An entry that a newer software
        version wrote in another format is skipped, so that the node keeps running.
        """
        entries = document.entries
        organisations = sorted(
            path.partition("/")[2]
            for path in entries
            if path.startswith("organisations/")
        )
        declared_organisations = set(organisations)
        tables = read_section(entries, "routes/", RouteTable)
        exceptions = read_section(entries, "exceptions/", ExceptionEntry)
        keys = read_section(entries, "keys/", KeyEntry)
        return cls(
            document.revision,
            convert_entry(entries.get("defaults"), DefaultsTable) or DefaultsTable(),
            list(entries.get("failure_domains", [])),
            organisations,
            [make_route(table) for _, table in sorted(tables.items())],
            sorted(
                exceptions.values(),
                key=lambda exception: (exception.position, exception.id),
            ),
            # Keys of organisations that are no longer declared are unknown.
            {
                id: key
                for id, key in keys.items()
                if key.organisation in declared_organisations
            },
            secret,
        )

    def match(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix and the method.

        Paths with empty or dot segments match no route, as a backend server could
        normalise them to the path of a route that is not open.
        """
        path = path.partition("?")[0]
        if "%" in path:
            path = unquote(path)
        if not path.startswith("/") or has_unsafe_segments(path):
            return None
        # Segments below the deepest route cannot match. They are cut off because the
        # caller chooses how many there are.
        prefix = "/".join(
            path.split("/", self._max_path_depth + 1)[: self._max_path_depth + 1]
        )
        while prefix:
            for route in self._routes_by_path.get(prefix, ()):
                if route.methods is None or method in route.methods:
                    return route
            prefix = prefix.rpartition("/")[0]
        for route in self._routes_by_path.get("/", ()):
            if route.methods is None or method in route.methods:
                return route
        return None

    def authenticate(self, key: str) -> KeyOwner:
        """Return the owner of a key; raise Refusal if it is unknown or withdrawn."""
        owner = self._key_owner_cache.get(key)
        if owner is not None:
            return owner
        if not key:
            raise make_key_refusal(
                Reason.KEY_MISSING, "send Authorization: Bearer <key>"
            )
        parsed = parse_key(key)
        if parsed is None:
            raise make_key_refusal(
                Reason.KEY_UNKNOWN, "use a key that an operator issued"
            )
        digest = hash_secret(parsed.secret, self._fleet_secret)
        entry = self._keys.get(parsed.key_id)
        expected = entry.digest if entry else bytes(len(digest))
        if not hmac.compare_digest(digest, expected) or entry is None:
            raise make_key_refusal(
                Reason.KEY_UNKNOWN, "use a key that an operator issued"
            )
        if entry.withdrawn:
            raise make_key_refusal(
                Reason.KEY_WITHDRAWN, "ask an operator for a new key"
            )
        owner = KeyOwner(parsed.key_id, entry.organisation)
        self._key_owner_cache[key] = owner
        return owner

    def find_key_organisation(self, key_id: str) -> str | None:
        """Return the organisation of a key, or None if it is withdrawn or unknown."""
        entry = self._keys.get(key_id)
        if entry is None or entry.withdrawn:
            return None
        return entry.organisation

    def classify(self, route: Route, organisation: str, method: str) -> CallPolicy:
        """Return the defaults with the exceptions for a call applied.

        Calls that backend servers make on their own behalf have the lowest importance,
        unless an exception names their organisation.
        """
        cache_key = (route.name, organisation, method)
        call_policy = self._call_policy_cache.get(cache_key)
        if call_policy is None:
            call_policy = self._classify(route, organisation, method)
            if method in STANDARD_METHODS:
                self._call_policy_cache[cache_key] = call_policy
        return call_policy

    def _classify(self, route: Route, organisation: str, method: str) -> CallPolicy:
        defaults = self._defaults
        is_internal = organisation == INTERNAL_ORGANISATION
        importance = (
            max(Importance) if is_internal else parse_importance(defaults.importance)
        )
        repeatable = method in defaults.repeatable_methods
        deadline_ms = defaults.deadline_ms
        extra_attempts = defaults.extra_attempts
        for exception in self._exceptions.find_applicable(route, organisation):
            if exception.importance is not None and (
                not is_internal or exception.organisation
            ):
                importance = parse_importance(exception.importance)
            if exception.repeatable is not None:
                repeatable = exception.repeatable
            if exception.deadline_ms is not None:
                deadline_ms = exception.deadline_ms
            if exception.extra_attempts is not None:
                extra_attempts = exception.extra_attempts
        return CallPolicy(importance, repeatable, deadline_ms / 1000, extra_attempts)

    def get_limits(self, organisation: str) -> OrganisationLimits:
        """Return the rate limit and queueing weight of an organisation."""
        limits = self._limits_cache.get(organisation)
        if limits is None:
            limits = self._compute_limits(organisation)
            if organisation in self.organisations:
                self._limits_cache[organisation] = limits
        return limits

    def _compute_limits(self, organisation: str) -> OrganisationLimits:
        defaults = self._defaults
        rate, burst, weight = defaults.rate, defaults.burst, defaults.weight
        for exception in self._exceptions.find_by_organisation(organisation):
            rate = exception.rate or rate
            burst = exception.burst or burst
            weight = exception.weight or weight
        return OrganisationLimits(rate, burst, weight)

    def _needs_claims(self, route: Route) -> bool:
        """Return whether some calls of the route may be non-repeatable."""
        if self._exceptions.has_non_repeatable_calls(route):
            return True
        methods = route.methods or STANDARD_METHODS
        return any(
            not self._classify(route, "", method).repeatable for method in methods
        )


def convert_entry(value: Any, entry_type: type[Entry]) -> Entry | None:
    try:
        return msgspec.convert(value, entry_type)
    except msgspec.ValidationError:
        return None


def read_section(
    entries: dict[str, Any], prefix: str, entry_type: type[Entry]
) -> dict[str, Entry]:
    """Return the valid entries under a prefix, by name."""
    converted = {
        path.removeprefix(prefix): convert_entry(value, entry_type)
        for path, value in entries.items()
        if path.startswith(prefix)
    }
    return {name: entry for name, entry in converted.items() if entry is not None}


def make_route(table: RouteTable) -> Route:
    methods = None if table.methods is None else frozenset(table.methods)
    return Route(table.name, table.service, table.open, table.path, methods)


def parse_importance(name: str) -> Importance:
    return Importance.__members__.get(name.upper(), Importance.NORMAL)


def has_unsafe_segments(path: str) -> bool:
    if "//" in path or "\\" in path:
        return True
    if "/." not in path:
        return False
    return any(segment in (".", "..") for segment in path.split("/"))


def make_key_refusal(reason: Reason, remedy: str) -> Refusal:
    return Refusal(401, reason, Outcome.NOT_RUN, remedy)
