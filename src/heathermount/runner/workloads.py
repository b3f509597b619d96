"""Loads for a described fleet."""

from collections.abc import Mapping

from heathermount.runner.caller import OrganisationLoad, RouteShare
from heathermount.runner.topologies import FleetDescription
from heathermount.soak.checks import RateLimit

__all__ = ["make_loads", "make_mix", "make_shares"]

READ_ROUTE_WEIGHT = 2.0
# Most callers send UUIDv7 idempotency keys, some send keys without a time.
UUID7_KEY_WEIGHT = 0.7
OPAQUE_KEY_WEIGHT = 0.3


def make_mix(fleet: FleetDescription) -> list[RouteShare]:
    """Return all open routes: two readings for each order."""
    shares = []
    for route in fleet.routes():
        if not route.open:
            continue
        if route.methods == ("GET",):
            shares.append(RouteShare(path=route.path, weight=READ_ROUTE_WEIGHT))
            continue
        for kind, weight in (
            ("uuid7", UUID7_KEY_WEIGHT),
            ("opaque", OPAQUE_KEY_WEIGHT),
        ):
            share = RouteShare(
                path=route.path, method="POST", weight=weight, key_kind=kind
            )
            shares.append(share)
    return shares


def make_loads(
    fleet: FleetDescription, keys: Mapping[str, str], scale: float
) -> list[OrganisationLoad]:
    """Return a load of `scale` x its rate for each organisation that has a key."""
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


def make_shares(fleet: FleetDescription) -> dict[str, RateLimit]:
    """Return each organisation's declared rate and burst."""
    return {o.name: RateLimit(o.rate, o.burst) for o in fleet.organisations}
