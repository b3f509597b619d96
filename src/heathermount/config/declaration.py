"""The fleet's declaration: default policies, routes, organisations and exceptions."""

import math
import re
from collections.abc import Callable, Container, Mapping
from typing import Any, Final, Self, TypeVar

import msgspec

from heathermount.config.validation import TableValidator, load_toml
from heathermount.values import INTERNAL_ORGANISATION, Importance

__all__ = [
    "Declaration",
    "DefaultsTable",
    "ExceptionTable",
    "OrganisationTable",
    "RouteTable",
]

DECLARATION_VERSION: Final = 1
TOP_LEVEL_KEYS: Final = (
    "version",
    "failure_domains",
    "defaults",
    "routes",
    "organisations",
    "exceptions",
)
NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
METHOD_PATTERN: Final = re.compile(r"[A-Z]+")
PATH_PATTERN: Final = re.compile(r"/|(/[A-Za-z0-9_~.!$&'()*+,;=:@-]+)+")
DEFAULT_REPEATABLE_METHODS: Final = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
IMPORTANCE_NAMES: Final = tuple(level.name.lower() for level in Importance)
# Ten extra attempts per root request at least triple the load on a call chain, so a
# higher value is treated as a mistake.
MAX_EXTRA_ATTEMPTS: Final = 10

LIMIT_FIELDS: Final = ("rate", "burst", "weight")
CALL_FIELDS: Final = ("importance", "repeatable", "deadline_ms", "extra_attempts")
OVERRIDE_FIELDS: Final = (*CALL_FIELDS, *LIMIT_FIELDS)

# Each partition costs one write to the store every 40 s in each failure domain.
MAX_QUOTA_PARTITIONS: Final = 512


class DefaultsTable(msgspec.Struct, kw_only=True):
    """Configures fleet-wide defaults; rates are per organisation, in calls/s."""

    importance: str = "normal"
    deadline_ms: int = 2000
    extra_attempts: int = 2
    repeatable_methods: list[str] = msgspec.field(
        default_factory=lambda: list(DEFAULT_REPEATABLE_METHODS)
    )
    retention_s: float = 600.0
    rate: float = 100.0
    burst: float = 200.0
    weight: int = 1
    quota_partitions: int = 8


class RouteTable(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Configures a route of a service; without `methods` it accepts all methods."""

    name: str
    service: str
    path: str
    methods: list[str] | None = None
    open: bool = False


class OrganisationTable(msgspec.Struct, kw_only=True):
    """Configures an organisation that calls the fleet."""

    name: str


class ExceptionTable(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Configures an exception to the defaults, with its scope and its reason."""

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
    """The desired configuration, which operators keep in version control."""

    __slots__ = (
        "defaults",
        "exceptions",
        "failure_domains",
        "organisations",
        "routes",
    )

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
        """Read a declaration; raise an ExceptionGroup of all problems if invalid."""
        return cls.from_config(load_toml(path), path)

    @classmethod
    def from_config(cls, config: dict[str, Any], source: str) -> Self:
        """Validate a declaration; `source` names its file in error messages."""
        validator = DeclarationValidator(source)
        declaration = cls(
            validator.read_top_level(config),
            validator.read_defaults(config),
            validator.read_tables(config, "routes", RouteTable),
            validator.read_tables(config, "organisations", OrganisationTable),
            validator.read_tables(config, "exceptions", ExceptionTable),
        )
        validator.check_routes(declaration.routes)
        validator.check_organisations(declaration.organisations)
        validator.check_exceptions(declaration)
        validator.check_domain_shares(declaration)
        validator.raise_problems()
        return declaration

    def to_entries(self) -> dict[str, Any]:
        """Return the declaration as document entries by path, without API keys.

        The entry of an exception holds its position, as later exceptions override
        earlier ones.
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


class DeclarationValidator(TableValidator):
    """Validates a whole declaration."""

    __slots__ = ("_table_keys",)

    def __init__(self, source: str) -> None:
        super().__init__(source)
        # Key of each table in the file, such as "routes[0]", by the struct's id().
        self._table_keys: dict[int, str] = {}

    def read_top_level(self, config: dict[str, Any]) -> list[str]:
        """Check the top-level keys; return the failure domains."""
        for name in sorted(config.keys() - set(TOP_LEVEL_KEYS)):
            self.add_problem(
                name, "is unknown", f"remove it or use: {', '.join(TOP_LEVEL_KEYS)}"
            )
        version = config.get("version")
        if version is None:
            self.add_problem(
                "version", "is missing", f"set it to {DECLARATION_VERSION}"
            )
        elif version != DECLARATION_VERSION:
            self.add_problem(
                "version", f"is {version!r}", f"set it to {DECLARATION_VERSION}"
            )
        domains = config.get("failure_domains")
        if not isinstance(domains, list) or not domains:
            self.add_problem(
                "failure_domains",
                "is missing, empty or not a list",
                "list at least one name",
            )
            return []
        for domain in domains:
            self.check_name("failure_domains", domain)
        if len(set(map(str, domains))) < len(domains):
            self.add_problem(
                "failure_domains", "has a name twice", "list each name once"
            )
        return [str(domain) for domain in domains]

    def read_defaults(self, config: dict[str, Any]) -> DefaultsTable:
        table = self.convert(config.get("defaults", {}), DefaultsTable, "defaults")
        if table is None:
            return DefaultsTable()
        self.check_values("defaults", table)
        if table.retention_s <= 0:
            self.add_problem("defaults.retention_s", "is not above zero", "raise it")
        if not 1 <= table.quota_partitions <= MAX_QUOTA_PARTITIONS:
            self.add_problem(
                "defaults.quota_partitions",
                f"is {table.quota_partitions}",
                f"set it from 1 to {MAX_QUOTA_PARTITIONS}",
            )
        self.check_methods("defaults.repeatable_methods", table.repeatable_methods)
        return table

    def read_tables(
        self, config: dict[str, Any], section: str, table_type: type[Table]
    ) -> list[Table]:
        tables = config.get(section, [])
        if not isinstance(tables, list):
            self.add_problem(section, "is not a list", f"write each as [[{section}]]")
            return []
        converted: list[Table] = []
        for index, raw in enumerate(tables):
            table_key = f"{section}[{index}]"
            table = self.convert(raw, table_type, table_key)
            if table is not None:
                self._table_keys[id(table)] = table_key
                converted.append(table)
        return converted

    def check_routes(self, routes: list[RouteTable]) -> None:
        self.check_unique("name", routes, lambda route: route.name)
        seen_routes: dict[tuple[str, str], str] = {}
        for route in routes:
            table_key = self._table_keys[id(route)]
            self.check_name(f"{table_key}.name", route.name)
            self.check_name(f"{table_key}.service", route.service)
            if not is_valid_route_path(route.path):
                self.add_problem(
                    f"{table_key}.path",
                    f"is {route.path!r}",
                    'start it with "/"; use no "%", "?", empty segments, dot segments '
                    'or trailing "/"',
                )
            if route.methods is not None:
                self.check_methods(f"{table_key}.methods", route.methods)
            for method in route.methods or ["*"]:
                other_route = seen_routes.setdefault((route.path, method), route.name)
                if other_route != route.name:
                    self.add_problem(
                        f"{table_key}.path",
                        f"has the same path and method as route {other_route}",
                        "remove one of them",
                    )

    def check_organisations(self, organisations: list[OrganisationTable]) -> None:
        self.check_unique("name", organisations, lambda table: table.name)
        for organisation in organisations:
            key = f"{self._table_keys[id(organisation)]}.name"
            self.check_name(key, organisation.name)
            if organisation.name == INTERNAL_ORGANISATION:
                self.add_problem(
                    key,
                    f"is {INTERNAL_ORGANISATION!r}, reserved for backend servers",
                    "choose another name",
                )

    def check_exceptions(self, declaration: Declaration) -> None:
        exceptions = declaration.exceptions
        self.check_unique("id", exceptions, lambda exception: exception.id)
        services = {route.name: route.service for route in declaration.routes}
        declared_names = {
            "route": services.keys(),
            "service": set(services.values()),
            "organisation": {
                INTERNAL_ORGANISATION,
                *(organisation.name for organisation in declaration.organisations),
            },
        }
        for exception in exceptions:
            table_key = self._table_keys[id(exception)]
            self.check_name(f"{table_key}.id", exception.id)
            if not exception.reason.strip():
                self.add_problem(
                    f"{table_key}.reason",
                    "is empty",
                    "say why the defaults are unsuitable",
                )
            self.check_scope(table_key, exception, declared_names)
            self.check_values(table_key, exception)
            route_service = services.get(exception.route or "")
            if (
                route_service
                and exception.service
                and route_service != exception.service
            ):
                self.add_problem(
                    table_key,
                    f"never applies: route {exception.route} belongs to service "
                    f"{route_service}",
                    "remove service or route",
                )

    def check_scope(
        self,
        table_key: str,
        exception: ExceptionTable,
        declared_names: Mapping[str, Container[str]],
    ) -> None:
        scope = [
            name for name in declared_names if getattr(exception, name) is not None
        ]
        if not scope:
            self.add_problem(
                table_key, "applies to nothing", "set route, service or organisation"
            )
        for name in scope:
            value = getattr(exception, name)
            if value not in declared_names[name]:
                self.add_problem(
                    f"{table_key}.{name}",
                    f"is {value!r}, which is not declared",
                    "declare it or correct the name",
                )
        overrides = [f for f in OVERRIDE_FIELDS if getattr(exception, f) is not None]
        if not overrides:
            self.add_problem(
                table_key, "changes nothing", f"set {', '.join(OVERRIDE_FIELDS)}"
            )
        limits = [name for name in LIMIT_FIELDS if name in overrides]
        if limits and scope != ["organisation"]:
            self.add_problem(
                table_key,
                f"sets {', '.join(limits)} but is not for a single organisation",
                "set only organisation, without route and service",
            )

    def check_values(
        self, table_key: str, table: DefaultsTable | ExceptionTable
    ) -> None:
        """Check the values that both defaults and exceptions can set."""
        if table.importance is not None and table.importance not in IMPORTANCE_NAMES:
            self.add_problem(
                f"{table_key}.importance",
                f"is {table.importance!r}",
                f"use one of {', '.join(IMPORTANCE_NAMES)}",
            )
        for name in ("deadline_ms", "rate", "weight"):
            value = getattr(table, name)
            if value is not None and not 0 < value < math.inf:
                self.add_problem(
                    f"{table_key}.{name}", f"is {value}", "set it above zero"
                )
        if table.burst is not None and not 1 <= table.burst < math.inf:
            self.add_problem(
                f"{table_key}.burst", f"is {table.burst}", "set it to at least 1"
            )
        extra_attempts = table.extra_attempts
        if extra_attempts is not None and not 0 <= extra_attempts <= MAX_EXTRA_ATTEMPTS:
            self.add_problem(
                f"{table_key}.extra_attempts",
                f"is {extra_attempts}",
                f"set it between 0 and {MAX_EXTRA_ATTEMPTS}",
            )

    def check_domain_shares(self, declaration: Declaration) -> None:
        """Check that the share of each failure domain is at least one call.

        A smaller token bucket never grants a call.
        """
        if self.problems:
            return
        domain_count = len(declaration.failure_domains)
        defaults = declaration.defaults
        limits: dict[str | None, tuple[float, float, str]] = {}
        limits[None] = (defaults.rate, defaults.burst, "defaults")
        for exception in declaration.exceptions:
            if exception.rate is None and exception.burst is None:
                continue
            rate, burst, _ = limits.get(exception.organisation, limits[None])
            table_key = self._table_keys[id(exception)]
            limits[exception.organisation] = (
                exception.rate or rate,
                exception.burst or burst,
                table_key,
            )
        for rate, burst, table_key in limits.values():
            # The token buckets of all failure domains hold burst - rate * validity
            # calls in total, because a granted token can be used until it expires.
            validity_s = min(1.0, burst / (2 * rate))
            if burst - rate * validity_s < domain_count:
                min_burst = min(2 * domain_count, rate + domain_count)
                self.add_problem(
                    f"{table_key}.burst",
                    f"is {burst}, which leaves less than one call per failure domain",
                    f"set it to at least {min_burst:g}",
                )

    def check_methods(self, key: str, methods: list[str]) -> None:
        if not methods:
            self.add_problem(key, "is empty", "list at least one method")
        for method in methods:
            if not METHOD_PATTERN.fullmatch(method):
                self.add_problem(key, f"has {method!r}", "write methods in upper case")

    def check_name(self, key: str, name: object) -> None:
        if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
            self.add_problem(
                key,
                f"is {name!r}",
                "use letters, digits, '.', '_' and '-'; start with a letter or digit",
            )

    def check_unique(
        self, field: str, tables: list[Table], get_name: Callable[[Table], str]
    ) -> None:
        seen_names: set[str] = set()
        for table in tables:
            name = get_name(table)
            if name in seen_names:
                table_key = self._table_keys[id(table)]
                self.add_problem(
                    f"{table_key}.{field}",
                    f"is {name!r}, which is already in use",
                    "rename one of them",
                )
            seen_names.add(name)


def is_valid_route_path(path: str) -> bool:
    if not PATH_PATTERN.fullmatch(path):
        return False
    return not {".", ".."} & set(path.split("/"))
