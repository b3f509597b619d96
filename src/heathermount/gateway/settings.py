"""Settings of a gateway node, read from TOML and validated before it starts."""

from typing import Any, Final, Self

import msgspec

from heathermount.config.durations import parse_duration
from heathermount.config.settings import PolicySettings, check_each_address
from heathermount.config.validation import TableValidator, load_toml
from heathermount.gateway.retry_budget import RetryLimits

__all__ = [
    "BoundSettings",
    "GatewayListenSettings",
    "GatewayNodeSettings",
    "GatewaySettings",
    "GatewayStoreSettings",
]


class GatewayNodeSettings(msgspec.Struct, kw_only=True):
    """Configures the identity of the node and the address of its backend server."""

    name: str
    service: str
    failure_domain: str
    application: str
    # True only for the first start of the whole fleet.
    first_start: bool = False


class GatewayListenSettings(msgspec.Struct, kw_only=True):
    """Configures the listener addresses, "ip:port"."""

    outbound: str
    peers: str
    readiness: str
    control: str


class GatewayStoreSettings(msgspec.Struct, kw_only=True):
    """Configures access to the platform's key-value store."""

    endpoint: str
    timeout_s: float = 1.0
    # Delay of the first read of the registered nodes when the whole fleet starts.
    # The nodes register meanwhile, and each of them needs to read only once.
    first_read_delay_s: float = 2.0


class BoundSettings(msgspec.Struct, kw_only=True):
    """Configures the fleet's reaction time limits, as durations, and retry limits."""

    # A backend server that drains or departs gets no new requests after this time.
    drain: str = "2s"
    # A change of the configuration is in force everywhere after this time.
    propagation: str = "2s"
    # A revoked key is refused after this time.
    revocation: str = "5s"
    # A stopped process is killed after this time.
    grace: str = "6s"
    # Retries to a service in any window are limited to ratio x requests + slack.
    repeat_ratio: float = 0.2
    repeat_window: str = "10s"
    repeat_slack: float = 48.0


class GatewaySettings:
    """All settings of a gateway node."""

    __slots__ = (
        "bounds",
        "listen",
        "node",
        "policy",
        "store",
    )

    def __init__(
        self,
        node: GatewayNodeSettings,
        listen: GatewayListenSettings,
        store: GatewayStoreSettings,
        bounds: BoundSettings,
        policy: PolicySettings,
    ) -> None:
        self.node = node
        self.listen = listen
        self.store = store
        self.bounds = bounds
        self.policy = policy

    @property
    def retry_limits(self) -> RetryLimits:
        bounds = self.bounds
        return RetryLimits(
            bounds.repeat_ratio,
            parse_duration(bounds.repeat_window),
            bounds.repeat_slack,
        )

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read and validate a settings file.

        Raises an exception group of all problems.
        """
        return cls.from_config(load_toml(path), path)

    @classmethod
    def from_config(cls, config: dict[str, Any], source: str) -> Self:
        """Validate settings that were read from `source`.

        Raises an exception group of all problems.
        """
        checker = TableValidator(source)
        tables = checker.convert_sections(config, SECTION_TYPES)
        check_addresses(checker, tables["node"], tables["listen"], tables["store"])
        check_durations(checker, tables["bounds"])
        checker.raise_problems()
        return cls(**tables)


SECTION_TYPES: Final[dict[str, type[msgspec.Struct]]] = {
    "node": GatewayNodeSettings,
    "listen": GatewayListenSettings,
    "store": GatewayStoreSettings,
    "bounds": BoundSettings,
    "policy": PolicySettings,
}


def check_addresses(
    checker: TableValidator,
    node: GatewayNodeSettings | None,
    listen: GatewayListenSettings | None,
    store: GatewayStoreSettings | None,
) -> None:
    addresses: dict[str, str] = {}
    if node is not None:
        addresses["node.application"] = node.application
    if listen is not None:
        for name, address in msgspec.structs.asdict(listen).items():
            addresses[f"listen.{name}"] = address
    if store is not None:
        addresses["store.endpoint"] = store.endpoint
    check_each_address(checker, addresses)


def check_durations(checker: TableValidator, bounds: BoundSettings | None) -> None:
    if bounds is None:
        return
    for name in ("drain", "propagation", "revocation", "grace", "repeat_window"):
        try:
            parse_duration(getattr(bounds, name))
        except ValueError as error:
            checker.add_problem(f"bounds.{name}", str(error), "correct the duration")
