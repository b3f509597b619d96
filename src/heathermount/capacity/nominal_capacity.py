"""Computes a fleet's nominal capacity and the rates organisations are entitled to.

Costs are slot seconds of one request at nominal service times. They include the time
that a server waits for its downstream calls, but not the processes' own CPU time.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import Final

import msgspec

from heathermount.runner.caller import RouteShare
from heathermount.runner.topologies import FleetDescription, FleetRoute

__all__ = ["CostModel", "scale_fleet", "compute_entitlements"]

IMPORTANCES: Final = ("critical", "normal", "background")
# Steps of the progressive filling. The error of an entitlement is below
# 1/FILLING_STEPS.
FILLING_STEPS: Final = 2000


def scale_fleet(
    fleet: FleetDescription, slot_divisor: int, service_time_factor: int
) -> FleetDescription:
    """Divide slots and backlogs by one factor and service rates by another."""
    services = []
    for service in fleet.services:
        slots = max(1, round(service.slots / slot_divisor))
        services.append(
            msgspec.structs.replace(
                service,
                slots=slots,
                # Without admission control, only the connections limit the backlog.
                backlog=round(service.connections / slot_divisor) - slots,
                routes=tuple(
                    msgspec.structs.replace(
                        route, mean_ms=route.mean_ms * service_time_factor
                    )
                    for route in service.routes
                ),
            )
        )
    return msgspec.structs.replace(fleet, services=tuple(services))


class CostModel:
    """Slot seconds that one request of a route takes at each service."""

    __slots__ = ("_route_by_target", "_service_by_route", "fleet", "slots")

    def __init__(self, fleet: FleetDescription) -> None:
        self.fleet = fleet
        self.slots = {s.name: s.slots * s.servers for s in fleet.services}
        self._service_by_route = {
            route.name: service.name
            for service in fleet.services
            for route in service.routes
        }
        self._route_by_target = {
            (method, route.path): route
            for route in fleet.routes()
            for method in route.methods
        }

    def find_route(self, method: str, path: str) -> FleetRoute:
        return self._route_by_target[method, path]

    def compute_duration_s(self, route: FleetRoute) -> float:
        """Return the nominal time of a request, downstream calls included."""
        deeper_s = [
            share * self.compute_duration_s(self.find_route(method, path))
            for method, path, share in route.calls
        ]
        waiting_s = max(deeper_s, default=0.0) if route.parallel else sum(deeper_s)
        return route.mean_ms / 1000 + waiting_s

    def compute_cost(self, route: FleetRoute) -> dict[str, float]:
        """Return service → slot seconds of one request."""
        costs: defaultdict[str, float] = defaultdict(float)
        costs[self._service_by_route[route.name]] += self.compute_duration_s(route)
        for method, path, share in route.calls:
            for service, seconds in self.compute_cost(
                self.find_route(method, path)
            ).items():
                costs[service] += share * seconds
        return costs

    def compute_utilisation(self, rates: Mapping[tuple[str, str], float]) -> float:
        """Return the share of slots in use at the most heavily used service."""
        used_slots: defaultdict[str, float] = defaultdict(float)
        for (method, path), rate in rates.items():
            for service, seconds in self.compute_cost(
                self.find_route(method, path)
            ).items():
                used_slots[service] += rate * seconds
        return (
            max(used_slots[name] / self.slots[name] for name in used_slots)
            if used_slots
            else 0.0
        )

    def compute_capacity(self, mix: list[RouteShare]) -> float:
        """Return the requests/s of a mix at which one service has no free slots."""
        total_weight = sum(share.weight for share in mix)
        rates: defaultdict[tuple[str, str], float] = defaultdict(float)
        for share in mix:
            rates[share.method, share.path] += share.weight / total_weight
        return 1 / self.compute_utilisation(rates)

    def find_importance(self, route: FleetRoute) -> str:
        """Return a root request's importance as the exceptions state it."""
        importance = "normal"
        for exception in self.fleet.exceptions:
            matches_route = exception.get("route", route.name) == route.name
            service = self._service_by_route[route.name]
            matches_service = exception.get("service", service) == service
            if matches_route and matches_service and "importance" in exception:
                importance = exception["importance"]
        return importance


def compute_entitlements(
    model: CostModel, demand: Mapping[tuple[str, str, str], float]
) -> dict[str, float]:
    """Return organisation → entitled rate for (organisation, method, path) → rate.

    Importance classes are served in order. Within a class, all rates rise in proportion
    to the organisations' weights until the demand is met or a service on the route is
    full.
    """
    free_slots: dict[str, float] = dict(model.slots)
    weights = {o.name: o.weight for o in model.fleet.organisations}
    entitled: defaultdict[str, float] = defaultdict(float)
    for importance in IMPORTANCES:
        class_demand = {
            key: rate
            for key, rate in demand.items()
            if model.find_importance(model.find_route(key[1], key[2])) == importance
        }
        fill_importance_class(model, class_demand, weights, free_slots, entitled)
    return dict(entitled)


def fill_importance_class(
    model: CostModel,
    demand: Mapping[tuple[str, str, str], float],
    weights: Mapping[str, int],
    free_slots: dict[str, float],
    entitled: defaultdict[str, float],
) -> None:
    """Add the entitled rates of one importance class, by progressive filling.

    Each step raises every unmet demand's rate by a small amount times the
    organisation's weight and takes the slots it needs from `free_slots`.
    """
    step = max(demand.values(), default=0.0) / FILLING_STEPS
    unmet_demand = dict(demand)
    costs_by_key = {
        key: model.compute_cost(model.find_route(key[1], key[2])) for key in demand
    }
    while unmet_demand and step > 0:
        for key in list(unmet_demand):
            rate = min(step * weights[key[0]], unmet_demand[key])
            slot_costs = costs_by_key[key]
            if any(
                free_slots[name] < rate * seconds
                for name, seconds in slot_costs.items()
            ):
                del unmet_demand[key]
                continue
            for name, seconds in slot_costs.items():
                free_slots[name] -= rate * seconds
            entitled[key[0]] += rate
            unmet_demand[key] -= rate
            if unmet_demand[key] <= 0:
                del unmet_demand[key]
