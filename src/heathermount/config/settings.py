"""Settings of a node, read from TOML and validated before the node starts."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, Self

import msgspec

from heathermount.addresses import is_address
from heathermount.config.validation import TableValidator, load_toml

__all__ = [
    "LimitSettings",
    "ListenSettings",
    "NodeSettings",
    "PeerSettings",
    "PolicySettings",
    "SecuritySettings",
    "Settings",
    "StoreSettings",
    "TimingSettings",
]

MIN_FLEET_SECRET_BYTES: Final = 16


class NodeSettings(msgspec.Struct, kw_only=True):
    """Configures the identity of the node."""

    name: str
    service: str
    failure_domain: str
    region: str = ""


class ListenSettings(msgspec.Struct, kw_only=True):
    """Configures the listener addresses, "ip:port"."""

    callers: str
    local: str
    peers: str
    control: str
    observe: str


class StoreSettings(msgspec.Struct, kw_only=True):
    """Configures access to the platform's key-value store."""

    endpoint: str
    prefix: str = "/heathermount"
    timeout_s: float = 1.0


class SecuritySettings(msgspec.Struct, kw_only=True):
    """Configures the fleet secret and the files for mutual TLS between nodes."""

    fleet_secret: str = ""
    fleet_secret_file: str = ""
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    tls_authority_file: str = ""


class PeerSettings(msgspec.Struct, kw_only=True):
    """Configures the nodes to ask if the store is down at startup."""

    seeds: list[str] = []


class LimitSettings(msgspec.Struct, kw_only=True):
    """Configures the maximum sizes of requests and responses, in bytes."""

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384


class TimingSettings(msgspec.Struct, kw_only=True):
    """Configures intervals, lease durations and timeouts, in seconds."""

    heartbeat_s: float = 0.5
    config_poll_s: float = 1.0
    owner_term_s: float = 120.0
    freshness_s: float = 4.0
    shutdown_grace_s: float = 30.0


class PolicySettings(msgspec.Struct, kw_only=True):
    """Configures which mechanisms are enabled; disable them only for measurements."""

    early_rejection: bool = True
    cohorts: bool = True
    chain_retries: bool = True
    fair_queueing: bool = True
    adaptive_limit: bool = True
    admission: bool = True


class Settings:
    """All settings of a node."""

    __slots__ = (
        "limits",
        "listen",
        "node",
        "peers",
        "policy",
        "secret",
        "security",
        "store",
        "timings",
    )

    def __init__(
        self,
        node: NodeSettings,
        listen: ListenSettings,
        store: StoreSettings,
        security: SecuritySettings,
        secret: bytes,
        peers: PeerSettings | None = None,
        limits: LimitSettings | None = None,
        timings: TimingSettings | None = None,
        policy: PolicySettings | None = None,
    ) -> None:
        self.node = node
        self.listen = listen
        self.store = store
        self.security = security
        self.secret = secret
        self.peers = peers or PeerSettings()
        self.limits = limits or LimitSettings()
        self.timings = timings or TimingSettings()
        self.policy = policy or PolicySettings()

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read a settings file; raise an ExceptionGroup of all problems if invalid."""
        return cls.from_config(load_toml(path), path)

    @classmethod
    def from_config(cls, config: dict[str, Any], source: str) -> Self:
        """Validate settings; `source` names their file in error messages."""
        validator = TableValidator(source)
        tables = validator.convert_sections(config, SECTION_TYPES)
        check_addresses(validator, tables["listen"], tables["store"], tables["peers"])
        check_positive(validator, "timings", tables["timings"])
        check_positive(validator, "limits", tables["limits"])
        secret = read_secret(validator, tables["security"], source)
        check_tls_files(validator, tables["security"])
        validator.raise_problems()
        return cls(secret=secret, **tables)


SECTION_TYPES: Final[dict[str, type[msgspec.Struct]]] = {
    "node": NodeSettings,
    "listen": ListenSettings,
    "store": StoreSettings,
    "security": SecuritySettings,
    "peers": PeerSettings,
    "limits": LimitSettings,
    "timings": TimingSettings,
    "policy": PolicySettings,
}


def check_addresses(
    validator: TableValidator,
    listen: ListenSettings | None,
    store: StoreSettings | None,
    peers: PeerSettings | None,
) -> None:
    addresses: dict[str, str] = {}
    if listen is not None:
        for name, address in msgspec.structs.asdict(listen).items():
            addresses[f"listen.{name}"] = address
    if store is not None:
        addresses["store.endpoint"] = store.endpoint
    if peers is not None:
        addresses |= {f"peers.seeds[{i}]": a for i, a in enumerate(peers.seeds)}
    check_each_address(validator, addresses)


def check_each_address(validator: TableValidator, addresses: Mapping[str, str]) -> None:
    """Add a problem for each address that is not "ip:port".

    `addresses` maps the key of each setting to its value.
    """
    for key, address in addresses.items():
        if not is_address(address):
            validator.add_problem(
                key,
                f"is {address!r}",
                'write "ip:port" with an IP address, not a host name',
            )


def check_positive(
    validator: TableValidator, section: str, table: msgspec.Struct | None
) -> None:
    if table is None:
        return
    for name, value in msgspec.structs.asdict(table).items():
        if value <= 0:
            validator.add_problem(
                f"{section}.{name}", f"is {value}", "set it above zero"
            )


def read_secret(
    validator: TableValidator, security: SecuritySettings | None, source: str
) -> bytes:
    """Return the fleet secret, from the settings or from its file.

    The path of the file is relative to the settings file. Returns b"" if there is
    a problem with the setting or the file.
    """
    if security is None:
        return b""
    if bool(security.fleet_secret) == bool(security.fleet_secret_file):
        validator.add_problem(
            "security.fleet_secret",
            "must be set either directly or by file",
            "set exactly one of fleet_secret and fleet_secret_file",
        )
        return b""
    secret = security.fleet_secret.encode()
    if security.fleet_secret_file:
        path = Path(source).parent / security.fleet_secret_file
        try:
            secret = path.read_bytes().strip()
        except OSError as error:
            validator.add_problem(
                "security.fleet_secret_file",
                f"{path}: {error.strerror}",
                "specify a file that the node can read",
            )
            return b""
    if len(secret) < MIN_FLEET_SECRET_BYTES:
        validator.add_problem(
            "security.fleet_secret",
            f"has only {len(secret)} bytes",
            f"use at least {MIN_FLEET_SECRET_BYTES} random bytes",
        )
    return secret


def check_tls_files(
    validator: TableValidator, security: SecuritySettings | None
) -> None:
    if security is None:
        return
    names = ("tls_certificate_file", "tls_key_file", "tls_authority_file")
    configured = [name for name in names if getattr(security, name)]
    if configured and len(configured) < len(names):
        validator.add_problem(
            "security",
            f"sets only {', '.join(configured)}",
            f"set all of {', '.join(names)} or none",
        )
