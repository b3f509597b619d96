"""Workloads for a described fleet: route mixes and loads."""

from collections.abc import Mapping

from heathermount.runner.caller import OrganisationLoad, RouteShare
from heathermount.runner.topologies import FleetDescription
from heathermount.soak.checks import RateLimit

__all__ = ["make_loads", "make_mix", "make_rate_limits"]

READ_ROUTE_WEIGHT = 2.0
# Most callers send UUIDv7 idempotency keys, some send keys without a timestamp.
UUID7_KEY_WEIGHT = 0.7
OPAQUE_KEY_WEIGHT = 0.3


def make_mix(fleet: FleetDescription) -> list[RouteShare]:
    """Return a mix of all open routes, with two reads for each write."""
    route_shares = []
    for route in fleet.routes():
        if not route.open:
            continue
        if route.methods == ("GET",):
            route_shares.append(RouteShare(path=route.path, weight=READ_ROUTE_WEIGHT))
            continue
        for key_kind, weight in (
            ("uuid7", UUID7_KEY_WEIGHT),
            ("opaque", OPAQUE_KEY_WEIGHT),
        ):
            route_share = RouteShare(
                path=route.path, method="POST", weight=weight, key_kind=key_kind
            )
            route_shares.append(route_share)
    return route_shares


def make_loads(
    fleet: FleetDescription, keys: Mapping[str, str], scale: float
) -> list[OrganisationLoad]:
    """Return a load of `scale` x the declared rate of each organisation with a key."""
    return [
        OrganisationLoad(
            name=organisation.name,
            key=keys[organisation.name],
            rate=organisation.rate * scale,
            routes=make_mix(fleet),
        )
        for organisation in fleet.organisations
        if organisation.name in keys
    ]


def make_rate_limits(fleet: FleetDescription) -> dict[str, RateLimit]:
    """Return each organisation's declared rate and burst."""
    return {o.name: RateLimit(o.rate, o.burst) for o in fleet.organisations}
