"""Nominal capacity of a described fleet and what each organisation is entitled to.

Costs are slot seconds for one request at nominal service times, with the time
that a server waits for its deeper calls; the processes' own time is not included.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import Final

import msgspec

from heathermount.runner.caller import RouteShare
from heathermount.runner.topologies import FleetDescription, FleetRoute

__all__ = ["CostModel", "scale_fleet", "share_capacity"]

IMPORTANCES: Final = ("critical", "normal", "background")
# Levels of the progressive filling; the error of an entitlement is below 1/STEPS.
STEPS: Final = 2000


def scale_fleet(
    fleet: FleetDescription, slot_factor: int, time_factor: int
) -> FleetDescription:
    """Divide slots and waiting requests by one factor, service rates by another."""
    services = []
    for service in fleet.services:
        slots = max(1, round(service.slots / slot_factor))
        services.append(
            msgspec.structs.replace(
                service,
                slots=slots,
                # Without control, a server takes what its connections bring.
                backlog=round(service.connections / slot_factor) - slots,
                routes=tuple(
                    msgspec.structs.replace(route, mean_ms=route.mean_ms * time_factor)
                    for route in service.routes
                ),
            )
        )
    return msgspec.structs.replace(fleet, services=tuple(services))


class CostModel:
    """Slot seconds that one request of a route takes at each service."""

    __slots__ = ("_routes", "_service_of", "fleet", "slots")

    def __init__(self, fleet: FleetDescription) -> None:
        self.fleet = fleet
        self.slots = {s.name: s.slots * s.servers for s in fleet.services}
        self._service_of = {
            route.name: service.name
            for service in fleet.services
            for route in service.routes
        }
        self._routes = {
            (method, route.path): route
            for route in fleet.routes()
            for method in route.methods
        }

    def route(self, method: str, path: str) -> FleetRoute:
        return self._routes[method, path]

    def duration_s(self, route: FleetRoute) -> float:
        """Return the nominal time of a request, deeper calls included."""
        deeper = [
            share * self.duration_s(self.route(method, path))
            for method, path, share in route.calls
        ]
        waiting = max(deeper, default=0.0) if route.parallel else sum(deeper)
        return route.mean_ms / 1000 + waiting

    def cost(self, route: FleetRoute) -> dict[str, float]:
        """Return service → slot seconds of one request."""
        total: defaultdict[str, float] = defaultdict(float)
        total[self._service_of[route.name]] += self.duration_s(route)
        for method, path, share in route.calls:
            for service, seconds in self.cost(self.route(method, path)).items():
                total[service] += share * seconds
        return total

    def utilisation(self, rates: Mapping[tuple[str, str], float]) -> float:
        """Return the used share of the slots at the service that is used most."""
        used: defaultdict[str, float] = defaultdict(float)
        for (method, path), rate in rates.items():
            for service, seconds in self.cost(self.route(method, path)).items():
                used[service] += rate * seconds
        return max(used[name] / self.slots[name] for name in used) if used else 0.0

    def capacity(self, mix: list[RouteShare]) -> float:
        """Return the requests/s of a mix at which one service's slots are all used."""
        total = sum(share.weight for share in mix)
        rates: defaultdict[tuple[str, str], float] = defaultdict(float)
        for share in mix:
            rates[share.method, share.path] += share.weight / total
        return 1 / self.utilisation(rates)

    def importance(self, route: FleetRoute) -> str:
        """Return a root request's importance as the exceptions state it."""
        found = "normal"
        for exception in self.fleet.exceptions:
            by_route = exception.get("route", route.name) == route.name
            service = self._service_of[route.name]
            by_service = exception.get("service", service) == service
            if by_route and by_service and "importance" in exception:
                found = exception["importance"]
        return found


def share_capacity(
    model: CostModel, demand: Mapping[tuple[str, str, str], float]
) -> dict[str, float]:
    """Return organisation → entitled rate for (organisation, method, path) → rate.

    Classes are served in order of importance. Within a class all organisations
    rise by their weight until their demand is met or a service on the route is full.
    """
    free: dict[str, float] = dict(model.slots)
    weights = {o.name: o.weight for o in model.fleet.organisations}
    entitled: defaultdict[str, float] = defaultdict(float)
    for importance in IMPORTANCES:
        rows = {
            key: rate
            for key, rate in demand.items()
            if model.importance(model.route(key[1], key[2])) == importance
        }
        fill_class(model, rows, weights, free, entitled)
    return dict(entitled)


def fill_class(
    model: CostModel,
    rows: Mapping[tuple[str, str, str], float],
    weights: Mapping[str, int],
    free: dict[str, float],
    entitled: defaultdict[str, float],
) -> None:
    step = max(rows.values(), default=0.0) / STEPS
    open_rows = dict(rows)
    costs = {key: model.cost(model.route(key[1], key[2])) for key in rows}
    while open_rows and step > 0:
        for key in list(open_rows):
            given = min(step * weights[key[0]], open_rows[key])
            cost = costs[key]
            if any(free[name] < given * seconds for name, seconds in cost.items()):
                del open_rows[key]
                continue
            for name, seconds in cost.items():
                free[name] -= given * seconds
            entitled[key[0]] += given
            open_rows[key] -= given
            if open_rows[key] <= 0:
                del open_rows[key]
