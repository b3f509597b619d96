"""Decoder and reader of the operators' configuration in the platform's store."""

from typing import Final

import msgspec
from absl import logging

from heathermount.config.durations import parse_duration
from heathermount.errors import InvalidMessage
from heathermount.gateway.configuration_document import (
    GatewayDocument,
    OrganisationEntry,
    RouteEntry,
    RouteTarget,
    ServiceEntry,
)
from heathermount.gateway.http_server import HttpLimits
from heathermount.platform.store import PlatformStore

__all__ = ["CONFIGURATION_KEY", "PlatformConfigurationReader", "decode_configuration"]

CONFIGURATION_KEY: Final = "op/config"

# Requests on routes of these kinds may run more than once.
IDEMPOTENT_ROUTE_KINDS: Final = frozenset({"safe", "download"})


class TrafficShare(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    priority: int = 0
    service: str = ""
    traffic_split: list[TrafficShare] = []
    max_attempts: int = 1
    # Whether requests are accepted without a key.
    public: bool = False


class Service(msgspec.Struct, rename="pascal"):
    name: str
    health_check_path: str = ""
    # Connections that one backend server accepts from all callers together.
    connection_limit: int = 0


class Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # 0 means no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[Route]
    services: list[Service]
    limits: Limits
    tenants: list[Tenant] = []


CONFIGURATION_DECODER: Final = msgspec.json.Decoder(Configuration)


def decode_configuration(data: bytes) -> GatewayDocument:
    """Decode a configuration; raise InvalidMessage if it is malformed."""
    try:
        configuration = CONFIGURATION_DECODER.decode(data)
        return convert_configuration(configuration)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidMessage(f"{CONFIGURATION_KEY} is invalid: {error}") from error


def convert_configuration(configuration: Configuration) -> GatewayDocument:
    limits = configuration.limits
    return GatewayDocument(
        configuration.version,
        [convert_route(route) for route in configuration.routes],
        [
            ServiceEntry(entry.name, entry.health_check_path, entry.connection_limit)
            for entry in configuration.services
        ],
        [
            OrganisationEntry(
                entry.name,
                entry.api_keys,
                entry.priority,
                entry.rate_per_s,
                entry.burst,
            )
            for entry in configuration.tenants
        ],
        HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            parse_duration(limits.header_timeout),
            parse_duration(limits.idle_timeout),
        ),
    )


def convert_route(route: Route) -> RouteEntry:
    targets = [
        RouteTarget(share.service, share.weight) for share in route.traffic_split
    ]
    return RouteEntry(
        route.name,
        route.host,
        route.prefix,
        targets or [RouteTarget(route.service)],
        route.kind in IDEMPOTENT_ROUTE_KINDS,
        parse_duration(route.timeout),
        parse_duration(route.target_latency),
        route.priority,
        route.max_attempts,
        route.public,
    )


class PlatformConfigurationReader:
    """Reads the operators' configuration from the platform's store.

    Implements ConfigurationReader.
    """

    __slots__ = ("_last_read_revision", "_store")

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        # Revision of the key when it was last read, even if its value was invalid.
        self._last_read_revision = 0

    async def read(self) -> tuple[GatewayDocument | None, int]:
        items, revision = await self._store.read_prefix(CONFIGURATION_KEY)
        item = items.get(CONFIGURATION_KEY)
        if item is None or item.version == self._last_read_revision:
            return None, revision
        self._last_read_revision = item.version
        try:
            return decode_configuration(item.value), revision
        except InvalidMessage as error:
            logging.error('event=configuration-invalid error="%s"', error)
            return None, revision

    async def check_available(self) -> None:
        await self._store.read_prefix(CONFIGURATION_KEY, stale=True)

    async def wait_for_change(
        self, after_revision: int, timeout_s: float
    ) -> tuple[bool, int]:
        changes = await self._store.watch(CONFIGURATION_KEY, after_revision, timeout_s)
        return bool(changes.events), changes.revision
