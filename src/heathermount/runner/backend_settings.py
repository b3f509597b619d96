"""Settings of the backend server stand-ins."""

from typing import Any, Final, Self

import msgspec

from heathermount.config.validation import TableValidator, load_toml

__all__ = [
    "BackendSettings",
    "Behaviour",
    "DownstreamCall",
    "RouteDescription",
    "ServerDescription",
]

DISTRIBUTIONS: Final = ("exponential", "fixed")
CRASH_KINDS: Final = ("refuse", "exit")


class DownstreamCall(msgspec.Struct, kw_only=True):
    """A call that a route makes to a downstream service."""

    method: str = "GET"
    path: str
    # Share of the requests that make this call, selected by test identifier.
    share: float = 1.0


class RouteDescription(msgspec.Struct, kw_only=True):
    """Work of a backend server for a path and all paths below it."""

    path: str
    mean_ms: float = 5.0
    distribution: str = "exponential"
    parallel: bool = False
    calls: list[DownstreamCall] = []


class ServerDescription(msgspec.Struct, kw_only=True):
    """Settings of one backend server."""

    name: str
    service: str
    listen: str
    # Address of the node's local listener; empty when the server has no node.
    node: str = ""
    slots: int = 10
    connections: int = 100
    routes: list[RouteDescription] = []
    cold_start_s: float = 0.0
    # Requests beyond the slots that may wait; further ones are shed.
    backlog: int = 8
    # The load path answers with the state of this long ago.
    load_lag_s: float = 0.5
    padding_bytes: int = 200
    # Period of the announcements to the node.
    announce_s: float = 3.0
    # "refuse": the listener is closed for `crash_s`; "exit": the process exits.
    crash: str = "refuse"
    crash_s: float = 2.0


class Behaviour(msgspec.Struct, kw_only=True):
    """Behaviour that can be changed while a server runs."""

    slowdown: float = 1.0
    failing_share: float = 0.0
    truncate_share: float = 0.0
    healthy: bool = True
    # Sheds every request, as a server that misjudges its load does.
    shed_all: bool = False
    # Reported load is multiplied by this factor.
    load_factor: float = 1.0


class BackendSettings(msgspec.Struct, kw_only=True):
    """Settings of one process that hosts backend servers."""

    seed: int = 1
    # Run records are appended to this file, so that they survive a killed process.
    record_file: str = ""
    # Longest wait for running requests at a graceful shutdown.
    grace_s: float = 20.0
    servers: list[ServerDescription]

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read a settings file; raise an exception group of all problems."""
        return cls.from_config(load_toml(path), path)

    @classmethod
    def from_config(cls, config: dict[str, Any], source: str) -> Self:
        """Check settings from `source`; raise an exception group of all problems."""
        validator = TableValidator(source)
        settings = validator.convert(config, cls, "")
        if settings is not None:
            for server in settings.servers:
                validate_server(validator, server, len(settings.servers))
        validator.raise_problems()
        assert settings is not None
        return settings


def validate_server(
    validator: TableValidator, server: ServerDescription, servers: int
) -> None:
    if server.crash not in CRASH_KINDS:
        validator.add_problem(
            f"{server.name}.crash", f"is {server.crash!r}", 'use "refuse" or "exit"'
        )
    if server.crash == "exit" and servers > 1:
        validator.add_problem(
            f"{server.name}.crash",
            "would end the other servers of the process too",
            'use "refuse", or give the server a process of its own',
        )
    for route in server.routes:
        if route.distribution not in DISTRIBUTIONS:
            validator.add_problem(
                f"{server.name}{route.path}.distribution",
                f"is {route.distribution!r}",
                'use "exponential" or "fixed"',
            )
