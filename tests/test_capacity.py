"""Tests of the capacity page and of the mechanisms that it made scale."""

from itertools import product
from random import Random
from typing import Any

import pytest

from heathermount.config.documents import FleetDocument
from heathermount.config.policy import Policy
from heathermount.node.partitions import HomeServices
from heathermount.values import Importance

ORGANISATIONS = ("shop-1", "shop-2", "shop-3")
ROUTES = {"read": "pantry", "write": "pantry", "pay": "orders"}


def make_random_document(random: Random) -> FleetDocument:
    entries: dict[str, Any] = {"defaults": {}, "failure_domains": ["a"]}
    for name, service in ROUTES.items():
        table = {"name": name, "service": service, "path": f"/{name}"}
        entries[f"routes/{name}"] = table | {"methods": ["GET"]}
    for organisation in ORGANISATIONS:
        entries[f"organisations/{organisation}"] = {"name": organisation}
    for position in range(12):
        rule = {"id": f"rule-{position}", "reason": "test", "position": position}
        scope = {
            "route": random.choice([None, *ROUTES]),
            "service": random.choice([None, *ROUTES.values()]),
            "organisation": random.choice([None, *ORGANISATIONS]),
        }
        effect = random.choice(
            [
                {"importance": random.choice(["critical", "background"])},
                {"repeatable": random.random() < 0.5},
                {"deadline_ms": random.randrange(100, 5000)},
                {"rate": float(random.randrange(1, 100))},
            ]
        )
        set_scope = {key: value for key, value in scope.items() if value}
        entries[f"exceptions/rule-{position}"] = rule | set_scope | effect
    return FleetDocument(1, "first", entries)


def apply_all(document: FleetDocument, route: str, organisation: str) -> dict[str, Any]:
    """Apply every exception in order, without an index."""
    effects: dict[str, Any] = {"importance": "normal", "repeatable": True}
    effects["deadline_ms"] = 2000
    for position in range(12):
        rule = document.entries[f"exceptions/rule-{position}"]
        scope = {"route": route, "service": ROUTES[route], "organisation": organisation}
        if all(rule.get(key, value) == value for key, value in scope.items()):
            effects |= {key: rule[key] for key in effects if key in rule}
    return effects


@pytest.mark.parametrize("seed", range(30))
def test_indexed_exceptions_apply_like_all_in_order(seed: int) -> None:
    """Guards against an exception that the index loses or applies out of order."""
    document = make_random_document(Random(seed))
    policy = Policy.from_config(document, b"secret of the test fleet")
    routes = {route.name: route for route in policy.routes}
    for name, organisation in product(ROUTES, ORGANISATIONS):
        expected = apply_all(document, name, organisation)
        treatment = policy.classify(routes[name], organisation, "GET")
        level = Importance[expected["importance"].upper()]
        assert treatment.importance is level
        assert treatment.repeatable is expected["repeatable"]
        assert treatment.deadline_s == expected["deadline_ms"] / 1000


@pytest.mark.parametrize("seed", range(30))
def test_services_with_claims_cover_exceptions_of_one_organisation(seed: int) -> None:
    """Guards against a non-repeatable route whose service has no claim owners."""
    document = make_random_document(Random(seed))
    policy = Policy.from_config(document, b"secret of the test fleet")
    for route, organisation in product(policy.routes, ORGANISATIONS):
        if not policy.classify(route, organisation, "GET").repeatable:
            assert route.service in policy.services_with_claims


def test_home_services_follow_the_declared_services() -> None:
    """Guards against homes kept from before a service was removed."""
    homes = HomeServices()
    services = [f"service-{number}" for number in range(20)]
    first = homes.find("quota/a/0", services)
    assert homes.find("quota/a/0", list(services)) == first
    rest = [service for service in services if service != first[0]]
    assert homes.find("quota/a/0", rest)[:2] == first[1:]
