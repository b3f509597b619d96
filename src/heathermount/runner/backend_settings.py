"""Descriptions of backend servers, as data that settings files carry."""

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
    """A call that a route makes to a deeper service."""

    method: str = "GET"
    path: str
    # Share of the requests that make this call, chosen by the test identifier.
    share: float = 1.0


class RouteDescription(msgspec.Struct, kw_only=True):
    """Work of a backend server on one path and everything below it."""

    path: str
    mean_ms: float = 5.0
    distribution: str = "exponential"
    parallel: bool = False
    calls: list[DownstreamCall] = []


class ServerDescription(msgspec.Struct, kw_only=True):
    """One backend server; times in seconds unless the name says otherwise."""

    name: str
    service: str
    listen: str
    # Local listener of the node beside the server; empty: no node.
    node: str = ""
    slots: int = 10
    connections: int = 100
    routes: list[RouteDescription] = []
    cold_start_s: float = 0.0
    # Requests beyond the slots that wait; further ones are shed.
    backlog: int = 8
    load_lag_s: float = 0.5
    padding_bytes: int = 200
    announce_s: float = 3.0
    # "refuse": the listener is gone for `crash_s`; "exit": the process exits.
    crash: str = "refuse"
    crash_s: float = 2.0


class Behaviour(msgspec.Struct, kw_only=True):
    """What can be changed while a server runs."""

    slowdown: float = 1.0
    failing_share: float = 0.0
    truncate_share: float = 0.0
    healthy: bool = True
    # Sheds every request, as a server does that misjudges its load.
    shed_all: bool = False
    # Reported load is multiplied by this factor.
    load_factor: float = 1.0


class BackendSettings(msgspec.Struct, kw_only=True):
    """Settings of one process of backend servers."""

    seed: int = 1
    # Every run is appended to this file, so that a killed process leaves them.
    record_file: str = ""
    # Longest wait for running requests at a planned stop.
    grace_s: float = 20.0
    servers: list[ServerDescription]

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read a settings file; raise an exception group of all problems."""
        return cls.from_config(load_toml(path), path)

    @classmethod
    def from_config(cls, config: dict[str, Any], source: str) -> Self:
        """Check settings that were read from `source`."""
        checker = TableValidator(source)
        settings = checker.convert(config, cls, "")
        if settings is not None:
            for server in settings.servers:
                check_server(checker, server, len(settings.servers))
        checker.raise_problems()
        assert settings is not None
        return settings


def check_server(
    checker: TableValidator, server: ServerDescription, servers: int
) -> None:
    if server.crash not in CRASH_KINDS:
        checker.add_problem(
            f"{server.name}.crash", f"is {server.crash!r}", 'use "refuse" or "exit"'
        )
    if server.crash == "exit" and servers > 1:
        checker.add_problem(
            f"{server.name}.crash",
            "would end other servers of the process",
            'use "refuse", or give the server a process of its own',
        )
    for route in server.routes:
        if route.distribution not in DISTRIBUTIONS:
            checker.add_problem(
                f"{server.name}{route.path}.distribution",
                f"is {route.distribution!r}",
                'use "exponential" or "fixed"',
            )
