"""The fleet's declaration: defaults, routes, organisations and exceptions."""

import math
import re
from collections.abc import Callable, Container, Mapping
from typing import Any, Final, Self, TypeVar

import msgspec

from heathermount.config.checking import TableChecker, load_toml
from heathermount.values import INTERNAL_ORGANISATION, Importance

__all__ = [
    "Declaration",
    "DefaultsTable",
    "ExceptionTable",
    "OrganisationTable",
    "RouteTable",
]

VERSION: Final = 1
KEYS: Final = (
    "version",
    "failure_domains",
    "defaults",
    "routes",
    "organisations",
    "exceptions",
)
NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
METHOD: Final = re.compile(r"[A-Z]+")
PATH: Final = re.compile(r"/|(/[A-Za-z0-9_~.!$&'()*+,;=:@-]+)+")
REPEATABLE_METHODS: Final = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
IMPORTANCES: Final = tuple(level.name.lower() for level in Importance)
# Ten extra attempts per root request triple the load of a chain at the very
# least; more is a mistake in the declaration.
MAX_EXTRA_ATTEMPTS: Final = 10

SHARE_FIELDS: Final = ("rate", "burst", "weight")
CALL_FIELDS: Final = ("importance", "repeatable", "deadline_ms", "extra_attempts")
EFFECT_FIELDS: Final = (*CALL_FIELDS, *SHARE_FIELDS)

# Each is one write to the store every 40 s in each failure domain.
MAX_QUOTA_PARTITIONS: Final = 512


class DefaultsTable(msgspec.Struct, kw_only=True):
    """Fleet-wide defaults; rates in calls per second and organisation."""

    importance: str = "normal"
    deadline_ms: int = 2000
    extra_attempts: int = 2
    repeatable_methods: list[str] = msgspec.field(
        default_factory=lambda: list(REPEATABLE_METHODS)
    )
    retention_s: float = 600.0
    rate: float = 100.0
    burst: float = 200.0
    weight: int = 1
    quota_partitions: int = 8


class RouteTable(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Paths of a service; `methods` None stands for all methods."""

    name: str
    service: str
    path: str
    methods: list[str] | None = None
    open: bool = False


class OrganisationTable(msgspec.Struct, kw_only=True):
    """A caller of the fleet."""

    name: str


class ExceptionTable(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What differs from the defaults, for whom, and why."""

    id: str
    reason: str
    route: str | None = None
    service: str | None = None
    organisation: str | None = None
    importance: str | None = None
    repeatable: bool | None = None
    deadline_ms: int | None = None
    extra_attempts: int | None = None
    rate: float | None = None
    burst: float | None = None
    weight: int | None = None


class Declaration:
    """The declaration that operators keep in version control."""

    __slots__ = ("defaults", "exceptions", "failure_domains", "organisations", "routes")

    def __init__(
        self,
        failure_domains: list[str],
        defaults: DefaultsTable,
        routes: list[RouteTable],
        organisations: list[OrganisationTable],
        exceptions: list[ExceptionTable],
    ) -> None:
        self.failure_domains = failure_domains
        self.defaults = defaults
        self.routes = routes
        self.organisations = organisations
        self.exceptions = exceptions

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read and check a declaration; raise an exception group of all problems."""
        return cls.from_config(load_toml(path), path)

    @classmethod
    def from_config(cls, config: dict[str, Any], source: str) -> Self:
        """Check a declaration that was read from `source`."""
        checker = DeclarationChecker(source)
        declaration = cls(
            checker.read_head(config),
            checker.read_defaults(config),
            checker.read_tables(config, "routes", RouteTable),
            checker.read_tables(config, "organisations", OrganisationTable),
            checker.read_tables(config, "exceptions", ExceptionTable),
        )
        checker.check_routes(declaration.routes)
        checker.check_organisations(declaration.organisations)
        checker.check_exceptions(declaration)
        checker.check_shares(declaration)
        checker.finish()
        return declaration

    def to_entries(self) -> dict[str, Any]:
        """Return the flat entries of the document, without keys.

        An exception's entry holds its position, as later exceptions win.
        """
        entries: dict[str, Any] = {
            "defaults": msgspec.to_builtins(self.defaults),
            "failure_domains": sorted(self.failure_domains),
        }
        for route in self.routes:
            entries[f"routes/{route.name}"] = msgspec.to_builtins(route)
        for organisation in self.organisations:
            path = f"organisations/{organisation.name}"
            entries[path] = msgspec.to_builtins(organisation)
        for position, exception in enumerate(self.exceptions):
            entry = msgspec.to_builtins(exception) | {"position": position}
            entries[f"exceptions/{exception.id}"] = entry
        return entries


Table = TypeVar("Table", RouteTable, OrganisationTable, ExceptionTable)


class DeclarationChecker(TableChecker):
    """Collects the problems of a whole declaration."""

    __slots__ = ("_labels",)

    def __init__(self, source: str) -> None:
        super().__init__(source)
        # Keys of the tables in the file, for messages.
        self._labels: dict[int, str] = {}

    def read_head(self, config: dict[str, Any]) -> list[str]:
        """Check the top level; return the failure domains."""
        for name in sorted(config.keys() - set(KEYS)):
            self.add(name, "is unknown", f"remove it or use: {', '.join(KEYS)}")
        version = config.get("version")
        if version is None:
            self.add("version", "is missing", f"set it to {VERSION}")
        elif version != VERSION:
            self.add("version", f"is {version!r}", f"set it to {VERSION}")
        domains = config.get("failure_domains")
        if not isinstance(domains, list) or not domains:
            self.add("failure_domains", "are missing", "list at least one name")
            return []
        for domain in domains:
            self.check_name("failure_domains", domain)
        if len(set(map(str, domains))) < len(domains):
            self.add("failure_domains", "has a name twice", "list each name once")
        return [str(domain) for domain in domains]

    def read_defaults(self, config: dict[str, Any]) -> DefaultsTable:
        table = self.convert(config.get("defaults", {}), DefaultsTable, "defaults")
        if table is None:
            return DefaultsTable()
        self.check_effects("defaults", table)
        if table.retention_s <= 0:
            self.add("defaults.retention_s", "is not above zero", "raise it")
        if not 1 <= table.quota_partitions <= MAX_QUOTA_PARTITIONS:
            self.add(
                "defaults.quota_partitions",
                f"is {table.quota_partitions}",
                f"set it from 1 to {MAX_QUOTA_PARTITIONS}",
            )
        self.check_methods("defaults.repeatable_methods", table.repeatable_methods)
        return table

    def read_tables(
        self, config: dict[str, Any], section: str, kind: type[Table]
    ) -> list[Table]:
        tables = config.get(section, [])
        if not isinstance(tables, list):
            self.add(section, "is not a list", f"write each as [[{section}]]")
            return []
        converted: list[Table] = []
        for index, raw in enumerate(tables):
            label = f"{section}[{index}]"
            table = self.convert(raw, kind, label)
            if table is not None:
                self._labels[id(table)] = label
                converted.append(table)
        return converted

    def check_routes(self, routes: list[RouteTable]) -> None:
        self.check_unique("name", routes, lambda route: route.name)
        seen: dict[tuple[str, str], str] = {}
        for route in routes:
            label = self._labels[id(route)]
            self.check_name(f"{label}.name", route.name)
            self.check_name(f"{label}.service", route.service)
            if not is_plain_path(route.path):
                self.add(
                    f"{label}.path",
                    f"is {route.path!r}",
                    'start it with "/", without "%", "?", empty or dot segments '
                    'and without "/" at its end',
                )
            if route.methods is not None:
                self.check_methods(f"{label}.methods", route.methods)
            for method in route.methods or ["*"]:
                other = seen.setdefault((route.path, method), route.name)
                if other != route.name:
                    self.add(
                        f"{label}.path",
                        f"has the same path and method as route {other}",
                        "remove one of them",
                    )

    def check_organisations(self, organisations: list[OrganisationTable]) -> None:
        self.check_unique("name", organisations, lambda table: table.name)
        for organisation in organisations:
            key = f"{self._labels[id(organisation)]}.name"
            self.check_name(key, organisation.name)
            if organisation.name == INTERNAL_ORGANISATION:
                self.add(
                    key,
                    f"is {INTERNAL_ORGANISATION!r}, which stands for backend servers",
                    "choose another name",
                )

    def check_exceptions(self, declaration: Declaration) -> None:
        exceptions = declaration.exceptions
        self.check_unique("id", exceptions, lambda exception: exception.id)
        services = {route.name: route.service for route in declaration.routes}
        known = {
            "route": services.keys(),
            "service": set(services.values()),
            "organisation": {
                INTERNAL_ORGANISATION,
                *(organisation.name for organisation in declaration.organisations),
            },
        }
        for exception in exceptions:
            label = self._labels[id(exception)]
            self.check_name(f"{label}.id", exception.id)
            if not exception.reason.strip():
                self.add(f"{label}.reason", "is empty", "say why the defaults fail")
            self.check_scope(label, exception, known)
            self.check_effects(label, exception)
            home = services.get(exception.route or "")
            if home and exception.service and home != exception.service:
                self.add(
                    label,
                    f"can never apply: route {exception.route} belongs to {home}",
                    "remove service or route",
                )

    def check_scope(
        self, label: str, exception: ExceptionTable, known: Mapping[str, Container[str]]
    ) -> None:
        scope = [name for name in known if getattr(exception, name) is not None]
        if not scope:
            self.add(label, "names nobody", "set route, service or organisation")
        for name in scope:
            value = getattr(exception, name)
            if value not in known[name]:
                self.add(
                    f"{label}.{name}",
                    f"is {value!r}, which is not declared",
                    "declare it or correct the name",
                )
        effects = [f for f in EFFECT_FIELDS if getattr(exception, f) is not None]
        if not effects:
            self.add(label, "changes nothing", f"set {', '.join(EFFECT_FIELDS)}")
        shares = [name for name in SHARE_FIELDS if name in effects]
        if shares and scope != ["organisation"]:
            self.add(
                label,
                f"sets {', '.join(shares)} for other than an organisation alone",
                "set organisation, and neither route nor service",
            )

    def check_effects(self, label: str, table: DefaultsTable | ExceptionTable) -> None:
        """Check the values that both defaults and exceptions may set."""
        if table.importance is not None and table.importance not in IMPORTANCES:
            self.add(
                f"{label}.importance",
                f"is {table.importance!r}",
                f"use one of {', '.join(IMPORTANCES)}",
            )
        for name in ("deadline_ms", "rate", "weight"):
            value = getattr(table, name)
            if value is not None and not 0 < value < math.inf:
                self.add(f"{label}.{name}", f"is {value}", "set it above zero")
        if table.burst is not None and not 1 <= table.burst < math.inf:
            self.add(f"{label}.burst", f"is {table.burst}", "set it to at least 1")
        extra = table.extra_attempts
        if extra is not None and not 0 <= extra <= MAX_EXTRA_ATTEMPTS:
            self.add(
                f"{label}.extra_attempts",
                f"is {extra}",
                f"set it between 0 and {MAX_EXTRA_ATTEMPTS}",
            )

    def check_shares(self, declaration: Declaration) -> None:
        """Check that each failure domain's share can ever grant one call."""
        if self.problems:
            return
        domains = len(declaration.failure_domains)
        defaults = declaration.defaults
        shares: dict[str | None, tuple[float, float, str]] = {}
        shares[None] = (defaults.rate, defaults.burst, "defaults")
        for exception in declaration.exceptions:
            if exception.rate is None and exception.burst is None:
                continue
            rate, burst, _ = shares.get(exception.organisation, shares[None])
            label = self._labels[id(exception)]
            shares[exception.organisation] = (
                exception.rate or rate,
                exception.burst or burst,
                label,
            )
        for rate, burst, label in shares.values():
            # Section 6: capacity of an allocator's bucket.
            validity_s = min(1.0, burst / (2 * rate))
            if burst - rate * validity_s < domains:
                least = min(2 * domains, rate + domains)
                self.add(
                    f"{label}.burst",
                    f"is {burst}, less than one call for each failure domain",
                    f"set it to at least {least:g}",
                )

    def check_methods(self, key: str, methods: list[str]) -> None:
        if not methods:
            self.add(key, "is empty", "list at least one method")
        for method in methods:
            if not METHOD.fullmatch(method):
                self.add(key, f"has {method!r}", "write methods in capitals")

    def check_name(self, key: str, name: object) -> None:
        if not isinstance(name, str) or not NAME.fullmatch(name):
            self.add(
                key,
                f"is {name!r}",
                "start with a letter or digit, go on with those, '.', '_' and '-'",
            )

    def check_unique(
        self, field: str, tables: list[Table], name_of: Callable[[Table], str]
    ) -> None:
        seen: set[str] = set()
        for table in tables:
            name = name_of(table)
            if name in seen:
                label = self._labels[id(table)]
                self.add(f"{label}.{field}", f"is {name!r} again", "rename one of them")
            seen.add(name)


def is_plain_path(path: str) -> bool:
    if not PATH.fullmatch(path):
        return False
    return not {".", ".."} & set(path.split("/"))
