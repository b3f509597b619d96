"""Generates the reference of all settings, docs/settings.md.

python -m heathermount.cli.reference > docs/settings.md
"""

import types
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple, Union, get_args, get_origin

import msgspec

from heathermount.config.declaration import (
    DefaultsTable,
    ExceptionTable,
    OrganisationTable,
    RouteTable,
)
from heathermount.config.settings import (
    LimitSettings,
    ListenSettings,
    NodeSettings,
    PeerSettings,
    PolicySettings,
    SecuritySettings,
    StoreSettings,
    TimingSettings,
)
from heathermount.gateway.settings import (
    BoundSettings,
    GatewayListenSettings,
    GatewayNodeSettings,
    GatewayStoreSettings,
)

__all__ = ["render_reference"]


class SettingNote(NamedTuple):
    """Meaning of a setting, its unit, and when it is refused."""

    meaning: str
    unit: str = ""
    refused_when: str = ""


class SettingsTable(NamedTuple):
    """One TOML table of a file, with a note on each setting."""

    title: str
    struct_type: type[msgspec.Struct]
    notes: Mapping[str, SettingNote]


INVALID_ADDRESS: Final = "is not `ip:port` with an IP address"
NOT_POSITIVE: Final = "is zero or less"
NOT_A_NAME: Final = (
    "has characters other than letters, digits, `.`, `_` and `-`, or does not start "
    "with a letter or digit"
)
UNDECLARED: Final = "is not declared"
INVALID_SHARE: Final = "is set together with `route` or `service`; is zero or less"
INVALID_SECRET: Final = "both or neither of the two are set; has fewer than 16 bytes"
INCOMPLETE_TLS: Final = "only some of the three files are set"
MEASUREMENT_SWITCH: Final = "switched off for measurements only"

NODE_TABLES: Final = (
    SettingsTable(
        "[node]",
        NodeSettings,
        {
            "name": SettingNote("Name of the node, unique in the fleet."),
            "service": SettingNote("Service of the backend server beside the node."),
            "failure_domain": SettingNote(
                "Failure domain of the instance, as declared."
            ),
            "region": SettingNote("Region of the instance."),
        },
    ),
    SettingsTable(
        "[listen]",
        ListenSettings,
        {
            "callers": SettingNote(
                "HTTP listener for callers.", "ip:port", INVALID_ADDRESS
            ),
            "local": SettingNote(
                "HTTP listener for the backend server beside the node; loopback.",
                "ip:port",
                INVALID_ADDRESS,
            ),
            "peers": SettingNote(
                "Framed links between nodes.", "ip:port", INVALID_ADDRESS
            ),
            "control": SettingNote(
                "gRPC for nodes and operators.", "ip:port", INVALID_ADDRESS
            ),
            "observe": SettingNote(
                "HTTP listener for metrics, health and events.",
                "ip:port",
                INVALID_ADDRESS,
            ),
        },
    ),
    SettingsTable(
        "[store]",
        StoreSettings,
        {
            "endpoint": SettingNote(
                "Address of the key-value store.", "ip:port", INVALID_ADDRESS
            ),
            "prefix": SettingNote("Prefix of all keys; unique to the fleet."),
            "timeout_s": SettingNote("Timeout of one store call.", "s"),
        },
    ),
    SettingsTable(
        "[security]",
        SecuritySettings,
        {
            "fleet_secret": SettingNote("The fleet secret itself.", "", INVALID_SECRET),
            "fleet_secret_file": SettingNote(
                "File with the fleet secret, relative to the settings file.",
                "",
                INVALID_SECRET + "; cannot be read",
            ),
            "tls_certificate_file": SettingNote(
                "PEM certificate for mutual TLS between nodes, with the node's name "
                "or IP address as subject alternative name.",
                "",
                INCOMPLETE_TLS,
            ),
            "tls_key_file": SettingNote(
                "PEM private key without a passphrase.", "", INCOMPLETE_TLS
            ),
            "tls_authority_file": SettingNote(
                "PEM certificate of the authority that signs the fleet's certificates.",
                "",
                INCOMPLETE_TLS,
            ),
        },
    ),
    SettingsTable(
        "[peers]",
        PeerSettings,
        {
            "seeds": SettingNote(
                "Control addresses of nodes to ask if the store is down at startup.",
                "ip:port",
                INVALID_ADDRESS,
            ),
        },
    ),
    SettingsTable(
        "[limits]",
        LimitSettings,
        {
            "max_body_bytes": SettingNote(
                "Maximum size of a request or response body.", "bytes", NOT_POSITIVE
            ),
            "max_header_bytes": SettingNote(
                "Maximum total size of the headers of a request.", "bytes", NOT_POSITIVE
            ),
        },
    ),
    SettingsTable(
        "[timings]",
        TimingSettings,
        {
            "heartbeat_s": SettingNote(
                "Interval between heartbeats in the group.", "s", NOT_POSITIVE
            ),
            "config_poll_s": SettingNote(
                "Interval at which a group's reader polls the store.", "s", NOT_POSITIVE
            ),
            "owner_term_s": SettingNote(
                "Lease duration: how long a partition's owner may decide without "
                "the store.",
                "s",
                NOT_POSITIVE,
            ),
            "freshness_s": SettingNote(
                "Age of the last confirmation above which keyed routes are refused.",
                "s",
                NOT_POSITIVE,
            ),
            "shutdown_grace_s": SettingNote(
                "Maximum wait for running requests at a graceful stop.",
                "s",
                NOT_POSITIVE,
            ),
        },
    ),
    SettingsTable(
        "[policy]",
        PolicySettings,
        {
            "early_rejection": SettingNote(
                f"Refuse at the entry node; {MEASUREMENT_SWITCH}."
            ),
            "cohorts": SettingNote(
                f"Shed root requests by cohort; {MEASUREMENT_SWITCH}."
            ),
            "chain_retries": SettingNote(
                f"Bound retries over the whole chain; {MEASUREMENT_SWITCH}."
            ),
            "fair_queueing": SettingNote(
                f"Queue fairly by organisation; {MEASUREMENT_SWITCH}."
            ),
            "adaptive_limit": SettingNote(
                f"Adapt the concurrency limit; {MEASUREMENT_SWITCH}."
            ),
            "admission": SettingNote(
                f"Limit and queue at the server; {MEASUREMENT_SWITCH}."
            ),
        },
    ),
)

DEFAULT_NOTES: Final = {
    "importance": SettingNote(
        "Class of calls: `critical`, `normal` or `background`.",
        "",
        "is another value",
    ),
    "deadline_ms": SettingNote(
        "Time limit of a call including its downstream calls.", "ms", NOT_POSITIVE
    ),
    "extra_attempts": SettingNote(
        "Maximum retries for one root request over its whole chain.",
        "attempts",
        "is below 0 or above 10",
    ),
    "rate": SettingNote(
        "Call rate of one organisation over all instances.", "calls/s", NOT_POSITIVE
    ),
    "burst": SettingNote(
        "Calls above the rate that may arrive at once.",
        "calls",
        "is below 1, or a failure domain's share is less than one call",
    ),
    "weight": SettingNote("Relative weight in fair queueing.", "", NOT_POSITIVE),
}

DECLARATION_TABLES: Final = (
    SettingsTable(
        "[defaults]",
        DefaultsTable,
        {
            **DEFAULT_NOTES,
            "repeatable_methods": SettingNote(
                "Methods whose requests may run more than once.",
                "",
                "is empty, or a method is not in upper case",
            ),
            "quota_partitions": SettingNote(
                "Partitions of the organisations' limits in each failure domain; "
                "one for each 100 calls/s that enter the domain. A new partition "
                "starts with full buckets, so change it while traffic is low.",
                "",
                "is not from 1 to 512",
            ),
            "retention_s": SettingNote(
                "Retention time of idempotency keys and responses.",
                "s",
                NOT_POSITIVE,
            ),
        },
    ),
    SettingsTable(
        "[[routes]]",
        RouteTable,
        {
            "name": SettingNote("Name of the route, unique.", "", NOT_A_NAME),
            "service": SettingNote("Service that handles its calls.", "", NOT_A_NAME),
            "path": SettingNote(
                "This path and everything below it; the longest match wins.",
                "",
                "does not start with `/`, ends with `/`, or has `%`, `?`, empty or "
                "dot segments; another route has the same path and method",
            ),
            "methods": SettingNote(
                "Methods it accepts; all if absent.",
                "",
                "is empty, or a method is not in upper case",
            ),
            "open": SettingNote("Whether callers may use it, or only backend servers."),
        },
    ),
    SettingsTable(
        "[[organisations]]",
        OrganisationTable,
        {
            "name": SettingNote(
                "Name of the organisation, unique.",
                "",
                f"{NOT_A_NAME}; is `internal`; it is removed while it has usable keys",
            ),
        },
    ),
    SettingsTable(
        "[[exceptions]]",
        ExceptionTable,
        {
            "id": SettingNote("Name of the exception, unique.", "", NOT_A_NAME),
            "reason": SettingNote(
                "Why the defaults are unsuitable here.", "", "is empty"
            ),
            "route": SettingNote(
                "Restricts it to calls of this route.", "", UNDECLARED
            ),
            "service": SettingNote(
                "Restricts it to calls of this service's routes.", "", UNDECLARED
            ),
            "organisation": SettingNote(
                "Restricts it to calls of this organisation.", "", UNDECLARED
            ),
            "importance": DEFAULT_NOTES["importance"],
            "repeatable": SettingNote("Whether requests may run more than once."),
            "deadline_ms": DEFAULT_NOTES["deadline_ms"],
            "extra_attempts": DEFAULT_NOTES["extra_attempts"],
            "rate": DEFAULT_NOTES["rate"]._replace(refused_when=INVALID_SHARE),
            "burst": DEFAULT_NOTES["burst"]._replace(
                refused_when="is set together with `route` or `service`; is below 1"
            ),
            "weight": DEFAULT_NOTES["weight"]._replace(refused_when=INVALID_SHARE),
        },
    ),
)

PAGE_HEAD: Final = """# Settings

This page is generated by `python -m heathermount.cli.reference` from the code that
validates the files; a test keeps it up to date. Both files are TOML. A file is
checked in full: all problems are printed together, each as
`FILE: KEY: PROBLEM; REMEDY`, and nothing starts or changes until there are none.
`heathermountctl check FILE` does the same without a fleet.

In all tables, an unknown key, a missing required key and a value of another type are
refused. The column "refused when" lists what else is refused. In exceptions, a
setting that is absent leaves the earlier value in force.
"""

DECLARATION_HEAD: Final = """
# Declaration of the fleet

At the top of the file, `version = 1` and `failure_domains` (a list of unique
names, at least one) are required. An exception names at least one of `route`,
`service` and `organisation`, and changes at least one setting; exceptions apply
in the order of the file and later ones win. `rate`, `burst` and `weight` apply to
an organisation as a whole.
"""


INVALID_DURATION: Final = "is not a number followed by `ms` or `s`"

GATEWAY_HEAD: Final = """
# Settings of a gateway node

The settings of a node on the platform ([platform](platform.md)), which renders them
from `deploy/node.toml.template`. `[policy]` is that of a node. Changes of `[bounds]`
take effect after SIGHUP or within 2 s; other changes need a restart.
"""

GATEWAY_TABLES: Final = (
    SettingsTable(
        "[node]",
        GatewayNodeSettings,
        {
            "name": SettingNote("name of the node, unique in the fleet"),
            "service": SettingNote("service of the backend server beside the node"),
            "failure_domain": SettingNote("failure domain of the instance"),
            "application": SettingNote(
                "address of the backend server", "", INVALID_ADDRESS
            ),
            "first_start": SettingNote("the whole fleet starts for the first time"),
        },
    ),
    SettingsTable(
        "[listen]",
        GatewayListenSettings,
        {
            "outbound": SettingNote(
                "requests of clients and of the server", "", INVALID_ADDRESS
            ),
            "peers": SettingNote("links of other nodes", "", INVALID_ADDRESS),
            "readiness": SettingNote("readiness, and `/metrics`", "", INVALID_ADDRESS),
            "control": SettingNote(
                "heartbeats of the backend server", "", INVALID_ADDRESS
            ),
        },
    ),
    SettingsTable(
        "[store]",
        GatewayStoreSettings,
        {
            "endpoint": SettingNote("the platform's store", "", INVALID_ADDRESS),
            "timeout_s": SettingNote(
                "timeout of one store call, without the wait of a watch", "s"
            ),
            "first_read_delay_s": SettingNote(
                "delay of the first read of the nodes at the fleet's first start", "s"
            ),
        },
    ),
    SettingsTable(
        "[bounds]",
        BoundSettings,
        {
            "drain": SettingNote(
                "time after which a leaving server gets no requests",
                "",
                INVALID_DURATION,
            ),
            "propagation": SettingNote(
                "time within which a change of the configuration is in force",
                "",
                INVALID_DURATION,
            ),
            "revocation": SettingNote(
                "time after which a withdrawn key is refused", "", INVALID_DURATION
            ),
            "grace": SettingNote(
                "time after which a stopping process is killed", "", INVALID_DURATION
            ),
            "repeat_ratio": SettingNote("retries allowed per request to a service"),
            "repeat_window": SettingNote("window of that limit", "", INVALID_DURATION),
            "repeat_slack": SettingNote(
                "retries allowed in addition in each window", "requests"
            ),
        },
    ),
)


def render_reference() -> str:
    """Return the page; raise KeyError for a setting without a note."""
    lines = [PAGE_HEAD, "# Settings of a node"]
    for table in NODE_TABLES:
        lines += render_table(table)
    lines.append(GATEWAY_HEAD.rstrip())
    for table in GATEWAY_TABLES:
        lines += render_table(table)
    lines.append(DECLARATION_HEAD.rstrip())
    for table in DECLARATION_TABLES:
        lines += render_table(table)
    return "\n".join(lines) + "\n"


def render_table(table: SettingsTable) -> Iterator[str]:
    yield f"\n## `{table.title}`\n"
    yield str(table.struct_type.__doc__)
    yield "\n| setting | type | unit | default | meaning | refused when |"
    yield "|---|---|---|---|---|---|"
    for field in msgspec.structs.fields(table.struct_type):
        note = table.notes[field.name]
        cells = (
            f"`{field.name}`",
            format_type(field.type),
            note.unit,
            format_default(field),
            note.meaning,
            note.refused_when,
        )
        yield f"| {' | '.join(cells)} |"


def format_type(field_type: Any) -> str:
    if get_origin(field_type) in (Union, types.UnionType):
        parts = [part for part in get_args(field_type) if part is not type(None)]
        return " or ".join(format_type(part) for part in parts)
    if get_origin(field_type) is list:
        return f"list of {format_type(get_args(field_type)[0])}s"
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    return names[field_type]


def format_default(field: Any) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    if default is None:
        return "absent"
    return f"`{msgspec.json.encode(default).decode()}`"


if __name__ == "__main__":
    print(render_reference(), end="")
