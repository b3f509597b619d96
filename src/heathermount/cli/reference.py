"""Writes the reference of all settings; run it to renew docs/settings.md.

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

__all__ = ["make_reference"]


class Note(NamedTuple):
    """What a setting means, its unit, and when it is refused."""

    meaning: str
    unit: str = ""
    refused: str = ""


class Section(NamedTuple):
    """One table of a file."""

    title: str
    kind: type[msgspec.Struct]
    notes: Mapping[str, Note]


ADDRESS: Final = "is not `ip:port` with an IP number"
POSITIVE: Final = "is zero or less"
NAME: Final = "has other characters than letters, digits, `.`, `_` and `-`"
UNKNOWN: Final = "is not declared"
SHARES: Final = "is set together with `route` or `service`; is zero or less"
SECRET: Final = "both or neither of the two are set; has fewer than 16 bytes"
TLS: Final = "only some of the three files are set"
SWITCH: Final = "switched off for measurements only"

NODE_SECTIONS: Final = (
    Section(
        "[node]",
        NodeSettings,
        {
            "name": Note("Name of the node, unique in the fleet."),
            "service": Note("Service of the backend server beside the node."),
            "failure_domain": Note("Failure domain of the instance, as declared."),
            "region": Note("Region of the instance."),
        },
    ),
    Section(
        "[listen]",
        ListenSettings,
        {
            "callers": Note("HTTP listener for callers.", "ip:port", ADDRESS),
            "local": Note(
                "HTTP listener for the backend server beside the node; loopback.",
                "ip:port",
                ADDRESS,
            ),
            "peers": Note("Framed links between nodes.", "ip:port", ADDRESS),
            "control": Note("gRPC for nodes and operators.", "ip:port", ADDRESS),
            "observe": Note(
                "HTTP listener for metrics, health and events.", "ip:port", ADDRESS
            ),
        },
    ),
    Section(
        "[store]",
        StoreSettings,
        {
            "endpoint": Note("The key-value service.", "ip:port", ADDRESS),
            "prefix": Note("Prefix of all keys; one for each fleet."),
            "timeout_s": Note("Longest wait for one call to the store.", "s"),
        },
    ),
    Section(
        "[security]",
        SecuritySettings,
        {
            "fleet_secret": Note("The fleet secret itself.", "", SECRET),
            "fleet_secret_file": Note(
                "File with the fleet secret, relative to the settings file.",
                "",
                SECRET + "; cannot be read",
            ),
            "tls_certificate_file": Note(
                "PEM certificate for mutual TLS between nodes, with the node's name "
                "or IP number as subject alternative name.",
                "",
                TLS,
            ),
            "tls_key_file": Note("PEM key without a pass phrase.", "", TLS),
            "tls_authority_file": Note(
                "PEM authority that signs all certificates of the fleet.", "", TLS
            ),
        },
    ),
    Section(
        "[peers]",
        PeerSettings,
        {
            "seeds": Note(
                "Control addresses of nodes to ask when the store is down at start.",
                "ip:port",
                ADDRESS,
            ),
        },
    ),
    Section(
        "[limits]",
        LimitSettings,
        {
            "max_body_bytes": Note(
                "Longest body of a request or a response.", "bytes", POSITIVE
            ),
            "max_header_bytes": Note(
                "Size of all headers of a request together.", "bytes", POSITIVE
            ),
        },
    ),
    Section(
        "[timings]",
        TimingSettings,
        {
            "heartbeat_s": Note("Period of heartbeats in the group.", "s", POSITIVE),
            "config_poll_s": Note(
                "Period at which a group's reader reads the store.", "s", POSITIVE
            ),
            "owner_term_s": Note(
                "Time an owner of a partition may decide without the store.",
                "s",
                POSITIVE,
            ),
            "freshness_s": Note(
                "Age of the last confirmation above which keyed routes are refused.",
                "s",
                POSITIVE,
            ),
            "shutdown_grace_s": Note(
                "Longest wait for running requests at a planned stop.", "s", POSITIVE
            ),
        },
    ),
    Section(
        "[policy]",
        PolicySettings,
        {
            "early_rejection": Note(f"Refuse at the entry node; {SWITCH}."),
            "cohorts": Note(f"Shed root requests by cohort; {SWITCH}."),
            "chain_retries": Note(f"Bound retries over the whole chain; {SWITCH}."),
            "fair_queueing": Note(f"Queue fairly by organisation; {SWITCH}."),
            "adaptive_limit": Note(f"Adapt the concurrency limit; {SWITCH}."),
            "admission": Note(f"Limit and queue at the server; {SWITCH}."),
        },
    ),
)

DEFAULT_NOTES: Final = {
    "importance": Note(
        "Class of calls: `critical`, `normal` or `background`.",
        "",
        "is another word",
    ),
    "deadline_ms": Note("Time for a call in its whole chain.", "ms", POSITIVE),
    "extra_attempts": Note(
        "Retries for one root request in its whole chain.",
        "attempts",
        "is below 0 or above 10",
    ),
    "rate": Note("Calls of one organisation at all instances.", "calls/s", POSITIVE),
    "burst": Note(
        "Calls above the rate that may come at once.",
        "calls",
        "is below 1, or a failure domain's share is less than one call",
    ),
    "weight": Note("Share in queues relative to others.", "", POSITIVE),
}

DECLARATION_SECTIONS: Final = (
    Section(
        "[defaults]",
        DefaultsTable,
        {
            **DEFAULT_NOTES,
            "repeatable_methods": Note(
                "Methods whose requests may run more than once.",
                "",
                "is empty, or a method is not in capitals",
            ),
            "quota_partitions": Note(
                "Partitions of the organisations' limits in each failure domain; "
                "one for each 100 calls/s that enter the domain. A new partition "
                "starts with full buckets, so change it while traffic is low.",
                "",
                "is not from 1 to 512",
            ),
            "retention_s": Note(
                "Time for which idempotency keys and responses are held.",
                "s",
                POSITIVE,
            ),
        },
    ),
    Section(
        "[[routes]]",
        RouteTable,
        {
            "name": Note("Name of the route, unique.", "", NAME),
            "service": Note("Service that takes its calls.", "", NAME),
            "path": Note(
                "This path and everything below it; the longest match wins.",
                "",
                "does not start with `/`, ends with `/`, or has `%`, `?`, empty or "
                "dot segments; another route has the same path and method",
            ),
            "methods": Note(
                "Methods it takes; all when absent.",
                "",
                "is empty, or a method is not in capitals",
            ),
            "open": Note("Whether callers may enter, or only backend servers."),
        },
    ),
    Section(
        "[[organisations]]",
        OrganisationTable,
        {
            "name": Note(
                "Name of the organisation, unique.",
                "",
                f"{NAME}; is `internal`; it is removed while it has usable keys",
            ),
        },
    ),
    Section(
        "[[exceptions]]",
        ExceptionTable,
        {
            "id": Note("Name of the exception, unique.", "", NAME),
            "reason": Note("Why the defaults fail here.", "", "is empty"),
            "route": Note("Only calls of this route.", "", UNKNOWN),
            "service": Note("Only calls of this service's routes.", "", UNKNOWN),
            "organisation": Note("Only calls of this organisation.", "", UNKNOWN),
            "importance": DEFAULT_NOTES["importance"],
            "repeatable": Note("Whether requests may run more than once."),
            "deadline_ms": DEFAULT_NOTES["deadline_ms"],
            "extra_attempts": DEFAULT_NOTES["extra_attempts"],
            "rate": DEFAULT_NOTES["rate"]._replace(refused=SHARES),
            "burst": DEFAULT_NOTES["burst"]._replace(
                refused="is set together with `route` or `service`; is below 1"
            ),
            "weight": DEFAULT_NOTES["weight"]._replace(refused=SHARES),
        },
    ),
)

HEAD: Final = """# Settings

This page is written by `python -m heathermount.cli.reference` from the code that
checks the files; a test keeps it up to date. Both files are TOML. A file is
checked in full: all problems are printed together, each as
`FILE: KEY: PROBLEM; REMEDY`, and nothing starts or changes until there are none.
`heathermountctl check FILE` does the same without a fleet.

Everywhere, an unknown key, a missing required key and a value of another type are
refused. The column "refused when" lists what is refused besides. In exceptions, a
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


DURATION: Final = "is no number with `ms` or `s`"

GATEWAY_HEAD: Final = """
# Settings of a gateway node

The settings of a node on the platform ([platform](platform.md)), which renders them
from `deploy/node.toml.template`. `[policy]` is that of a node. Changes of `[bounds]`
hold after SIGHUP or 2 s; other changes need a new start.
"""

GATEWAY_SECTIONS: Final = (
    Section(
        "[node]",
        GatewayNodeSettings,
        {
            "name": Note("name of this node, unique in the fleet"),
            "service": Note("service of the backend server beside it"),
            "failure_domain": Note("failure domain of the instance"),
            "application": Note("address of the backend server", "", ADDRESS),
            "first_start": Note("the whole fleet starts for the first time"),
        },
    ),
    Section(
        "[listen]",
        GatewayListenSettings,
        {
            "outbound": Note("requests of clients and of the server", "", ADDRESS),
            "peers": Note("links of other nodes", "", ADDRESS),
            "readiness": Note("readiness, and `/metrics`", "", ADDRESS),
            "control": Note("heartbeats of the backend server", "", ADDRESS),
        },
    ),
    Section(
        "[store]",
        GatewayStoreSettings,
        {
            "endpoint": Note("the platform's store", "", ADDRESS),
            "timeout_s": Note("deadline of one call, without the wait of a watch", "s"),
        },
    ),
    Section(
        "[bounds]",
        BoundSettings,
        {
            "drain": Note("a leaving server gets no request after it", "", DURATION),
            "revocation": Note("a withdrawn key is dead after it", "", DURATION),
            "grace": Note("a stopped process is killed after it", "", DURATION),
            "repeat_ratio": Note("repeats for each request to a service"),
            "repeat_window": Note("window of that bound", "", DURATION),
            "repeat_slack": Note("repeats that are always allowed", "requests"),
        },
    ),
)


def make_reference() -> str:
    """Return the page; raise KeyError for a setting without a description."""
    lines = [HEAD, "# Settings of a node"]
    for section in NODE_SECTIONS:
        lines += write_section(section)
    lines.append(GATEWAY_HEAD.rstrip())
    for section in GATEWAY_SECTIONS:
        lines += write_section(section)
    lines.append(DECLARATION_HEAD.rstrip())
    for section in DECLARATION_SECTIONS:
        lines += write_section(section)
    return "\n".join(lines) + "\n"


def write_section(section: Section) -> Iterator[str]:
    yield f"\n## `{section.title}`\n"
    yield str(section.kind.__doc__)
    yield "\n| setting | type | unit | default | meaning | refused when |"
    yield "|---|---|---|---|---|---|"
    for field in msgspec.structs.fields(section.kind):
        note = section.notes[field.name]
        cells = (
            f"`{field.name}`",
            name_type(field.type),
            note.unit,
            name_default(field),
            note.meaning,
            note.refused,
        )
        yield f"| {' | '.join(cells)} |"


def name_type(kind: Any) -> str:
    if get_origin(kind) in (Union, types.UnionType):
        parts = [part for part in get_args(kind) if part is not type(None)]
        return " or ".join(name_type(part) for part in parts)
    if get_origin(kind) is list:
        return f"list of {name_type(get_args(kind)[0])}s"
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    return names[kind]


def name_default(field: Any) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    if default is None:
        return "absent"
    return f"`{msgspec.json.encode(default).decode()}`"


if __name__ == "__main__":
    print(make_reference(), end="")
