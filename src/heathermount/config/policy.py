"""A document compiled for use on every request."""

import hmac
from collections.abc import Iterable
from itertools import product
from operator import itemgetter
from typing import Any, Final, Self, TypeVar
from urllib.parse import unquote

import msgspec

from heathermount.config.declaration import DefaultsTable, ExceptionTable, RouteTable
from heathermount.config.documents import FleetDocument
from heathermount.config.keys import digest_secret, parse_key
from heathermount.errors import Refusal
from heathermount.values import INTERNAL_ORGANISATION, Importance, Outcome, Reason

__all__ = ["Allotment", "KeyEntry", "KeyOwner", "Policy", "Route", "Treatment"]

# Route, service and organisation that an exception is for; None stands for all.
Scope = tuple[str | None, str | None, str | None]

# Methods whose treatment is cached. A caller chooses the method, so that a
# cache of any method would grow without bound.
STANDARD_METHODS: Final = frozenset(
    {"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"}
)


class Route(msgspec.Struct, frozen=True):
    """A declared route; `open` tells whether callers may enter through it."""

    name: str
    service: str
    open: bool
    path: str = "/"
    # None stands for all methods.
    methods: frozenset[str] | None = None


class KeyOwner(msgspec.Struct, frozen=True):
    """Identifier of a key and the organisation that it belongs to."""

    key_id: str
    organisation: str


class Treatment(msgspec.Struct, frozen=True):
    """How a call is treated; the deadline is in seconds."""

    importance: Importance
    repeatable: bool
    deadline_s: float
    extra_attempts: int


class Allotment(msgspec.Struct, frozen=True):
    """Rate in calls per second, burst in calls, and weight in fair queues."""

    rate: float
    burst: float
    weight: int


class KeyEntry(msgspec.Struct, kw_only=True):
    """The document's entry of a key; it holds no secret."""

    organisation: str
    digest: bytes
    withdrawn: bool = False


class RuleEntry(ExceptionTable, kw_only=True, omit_defaults=True):
    """The document's entry of an exception."""

    position: int = 0


Entry = TypeVar("Entry", bound=msgspec.Struct)


class RuleIndex:
    """Finds the exceptions that apply to a call without trying each of them.

    A policy is compiled at every node for every change, and its time must not
    grow with the product of routes and exceptions.
    """

    __slots__ = ("_by_organisation", "_by_scope", "_not_repeatable")

    def __init__(self, rules: Iterable[RuleEntry]) -> None:
        self._by_scope: dict[Scope, list[tuple[int, RuleEntry]]] = {}
        self._by_organisation: dict[str, list[RuleEntry]] = {}
        # (route, service) of the exceptions that make calls non-repeatable.
        self._not_repeatable: set[tuple[str | None, str | None]] = set()
        for position, rule in enumerate(rules):
            scope = (rule.route, rule.service, rule.organisation)
            self._by_scope.setdefault(scope, []).append((position, rule))
            if rule.organisation is not None:
                self._by_organisation.setdefault(rule.organisation, []).append(rule)
            if rule.repeatable is False:
                self._not_repeatable.add((rule.route, rule.service))

    def find(self, route: Route, organisation: str) -> list[RuleEntry]:
        """Return the exceptions for an organisation's calls, the strongest last."""
        scopes = product(
            (None, route.name), (None, route.service), (None, organisation)
        )
        found = [one for scope in scopes for one in self._by_scope.get(scope, ())]
        found.sort(key=itemgetter(0))
        return [rule for _, rule in found]

    def of_organisation(self, organisation: str) -> list[RuleEntry]:
        """Return the exceptions that name an organisation, in order."""
        return self._by_organisation.get(organisation, [])

    def forbid_repeats(self, route: Route) -> bool:
        """Tell whether an exception makes calls of some organisation non-repeatable."""
        scopes = product((None, route.name), (None, route.service))
        return any(scope in self._not_repeatable for scope in scopes)


class Policy:
    """Answers questions about one revision; immutable but for its caches."""

    __slots__ = (
        "_allotments",
        "_defaults",
        "_depth",
        "_keys",
        "_owners",
        "_routes",
        "_rules",
        "_secret",
        "_treatments",
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
        rules: list[RuleEntry],
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
        self._rules = RuleIndex(rules)
        self._keys = keys
        self._secret = secret
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.path, []).append(route)
        self._depth = max((path.count("/") for path in self._routes), default=0)
        self._owners: dict[str, KeyOwner] = {}
        self._treatments: dict[tuple[str, str, str], Treatment] = {}
        self._allotments: dict[str, Allotment] = {}
        self.services_with_claims = sorted(
            {route.service for route in routes if self._needs_claims(route)}
        )

    @classmethod
    def from_config(cls, document: FleetDocument, secret: bytes) -> Self:
        """Compile a document; `secret` is the fleet secret that keys the digests.

        Entries were checked when they were declared. An entry that a later
        version wrote in another form is left out, so that a node never stops.
        """
        entries = document.entries
        organisations = sorted(
            path.partition("/")[2]
            for path in entries
            if path.startswith("organisations/")
        )
        owners = set(organisations)
        tables = read_section(entries, "routes/", RouteTable)
        rules = read_section(entries, "exceptions/", RuleEntry)
        keys = read_section(entries, "keys/", KeyEntry)
        return cls(
            document.revision,
            convert_entry(entries.get("defaults"), DefaultsTable) or DefaultsTable(),
            list(entries.get("failure_domains", [])),
            organisations,
            [make_route(table) for _, table in sorted(tables.items())],
            sorted(rules.values(), key=lambda rule: (rule.position, rule.id)),
            # A key of an organisation that is no longer declared is unknown.
            {id: key for id, key in keys.items() if key.organisation in owners},
            secret,
        )

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of the longest path prefix that takes the method.

        Paths with empty or dot segments have no route: a backend server could
        read them as another path, one that is not open.
        """
        path = path.partition("?")[0]
        if "%" in path:
            path = unquote(path)
        if not path.startswith("/") or has_odd_segments(path):
            return None
        # Segments below the deepest route cannot matter; the caller chooses how
        # many there are.
        prefix = "/".join(path.split("/", self._depth + 1)[: self._depth + 1])
        while prefix:
            for route in self._routes.get(prefix, ()):
                if route.methods is None or method in route.methods:
                    return route
            prefix = prefix.rpartition("/")[0]
        for route in self._routes.get("/", ()):
            if route.methods is None or method in route.methods:
                return route
        return None

    def authenticate(self, key: str) -> KeyOwner:
        """Return the owner of a key; raise Refusal when it must not be used."""
        owner = self._owners.get(key)
        if owner is not None:
            return owner
        if not key:
            raise refuse_key(Reason.KEY_MISSING, "send Authorization: Bearer <key>")
        parsed = parse_key(key)
        if parsed is None:
            raise refuse_key(Reason.KEY_UNKNOWN, "use a key that an operator issued")
        digest = digest_secret(parsed.secret, self._secret)
        entry = self._keys.get(parsed.key_id)
        expected = entry.digest if entry else bytes(len(digest))
        if not hmac.compare_digest(digest, expected) or entry is None:
            raise refuse_key(Reason.KEY_UNKNOWN, "use a key that an operator issued")
        if entry.withdrawn:
            raise refuse_key(Reason.KEY_WITHDRAWN, "ask an operator for a new key")
        owner = KeyOwner(parsed.key_id, entry.organisation)
        self._owners[key] = owner
        return owner

    def key_organisation(self, key_id: str) -> str | None:
        """Return the owner of a key, None when it is withdrawn or unknown."""
        entry = self._keys.get(key_id)
        if entry is None or entry.withdrawn:
            return None
        return entry.organisation

    def classify(self, route: Route, organisation: str, method: str) -> Treatment:
        """Apply defaults and exceptions to a call.

        Calls that backend servers make on their own account are of the lowest
        class unless an exception names their organisation.
        """
        name = (route.name, organisation, method)
        treatment = self._treatments.get(name)
        if treatment is None:
            treatment = self._classify(route, organisation, method)
            if method in STANDARD_METHODS:
                self._treatments[name] = treatment
        return treatment

    def _classify(self, route: Route, organisation: str, method: str) -> Treatment:
        defaults = self._defaults
        internal = organisation == INTERNAL_ORGANISATION
        importance = max(Importance) if internal else read_level(defaults.importance)
        repeatable = method in defaults.repeatable_methods
        deadline_ms = defaults.deadline_ms
        extra_attempts = defaults.extra_attempts
        for rule in self._rules.find(route, organisation):
            if rule.importance is not None and (not internal or rule.organisation):
                importance = read_level(rule.importance)
            if rule.repeatable is not None:
                repeatable = rule.repeatable
            if rule.deadline_ms is not None:
                deadline_ms = rule.deadline_ms
            if rule.extra_attempts is not None:
                extra_attempts = rule.extra_attempts
        return Treatment(importance, repeatable, deadline_ms / 1000, extra_attempts)

    def allotment(self, organisation: str) -> Allotment:
        """Return an organisation's share of the fleet."""
        allotment = self._allotments.get(organisation)
        if allotment is None:
            allotment = self._allot(organisation)
            if organisation in self.organisations:
                self._allotments[organisation] = allotment
        return allotment

    def _allot(self, organisation: str) -> Allotment:
        defaults = self._defaults
        rate, burst, weight = defaults.rate, defaults.burst, defaults.weight
        for rule in self._rules.of_organisation(organisation):
            rate = rule.rate or rate
            burst = rule.burst or burst
            weight = rule.weight or weight
        return Allotment(rate, burst, weight)

    def _needs_claims(self, route: Route) -> bool:
        """Tell whether some call of the route may be non-repeatable."""
        if self._rules.forbid_repeats(route):
            return True
        methods = route.methods or STANDARD_METHODS
        return any(
            not self._classify(route, "", method).repeatable for method in methods
        )


def convert_entry(value: Any, kind: type[Entry]) -> Entry | None:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return None


def read_section(
    entries: dict[str, Any], prefix: str, kind: type[Entry]
) -> dict[str, Entry]:
    """Return the valid entries under a prefix by name."""
    converted = {
        path.removeprefix(prefix): convert_entry(value, kind)
        for path, value in entries.items()
        if path.startswith(prefix)
    }
    return {name: entry for name, entry in converted.items() if entry is not None}


def make_route(table: RouteTable) -> Route:
    methods = None if table.methods is None else frozenset(table.methods)
    return Route(table.name, table.service, table.open, table.path, methods)


def read_level(name: str) -> Importance:
    return Importance.__members__.get(name.upper(), Importance.NORMAL)


def has_odd_segments(path: str) -> bool:
    if "//" in path or "\\" in path:
        return True
    if "/." not in path:
        return False
    return any(segment in (".", "..") for segment in path.split("/"))


def refuse_key(reason: Reason, remedy: str) -> Refusal:
    return Refusal(401, reason, Outcome.NOT_RUN, remedy)
