"""Validation of fleet declarations and the policy derived from them."""

from pathlib import Path
from typing import Any

import pytest

from builders_config import (
    SECRET,
    make_declaration,
    make_declaration_table,
    make_document,
)
from heathermount.config.declaration import Declaration
from heathermount.config.documents import Change, FleetDocument
from heathermount.config.policy import Policy
from heathermount.config.settings import Settings
from heathermount.values import Importance

EXAMPLES = Path(__file__).parent.parent / "examples"


def make_policy_exception(**fields: Any) -> dict[str, Any]:
    return {"id": "one", "reason": "test"} | fields


BAD_SECTIONS = [
    ({"colour": 1}, "colour"),
    ({"version": 2}, "version"),
    ({"failure_domains": ["a", "a"]}, "failure_domains"),
    ({"failure_domains": []}, "failure_domains"),
    ({"defaults": {"rate": 0.0}}, "defaults.rate"),
    ({"defaults": {"rate": float("nan")}}, "defaults.rate"),
    ({"defaults": {"burst": 0.5}}, "defaults.burst"),
    ({"defaults": {"rate": 5.0, "burst": 5.0}}, "defaults.burst"),
    ({"defaults": {"importance": "huge"}}, "defaults.importance"),
    ({"defaults": {"objective": "speed"}}, "defaults.objective"),
    ({"defaults": {"quota_partitions": 0}}, "defaults.quota_partitions"),
    ({"defaults": {"deadline_ms": 0}}, "defaults.deadline_ms"),
    ({"defaults": {"repeatable_methods": ["get"]}}, "defaults.repeatable_methods"),
    ({"organisations": [{"name": "x"}, {"name": "x"}]}, "organisations[1].name"),
    ({"organisations": [{"name": "internal"}]}, "organisations[0].name"),
    ({"organisations": [{"name": "a/b"}]}, "organisations[0].name"),
    (
        {"routes": [{"name": "r", "service": "s", "path": p} for p in ("/a", "/b")]},
        "routes[1].name",
    ),
    (
        {"routes": [{"name": n, "service": "s", "path": "/a"} for n in "rt"]},
        "routes[1].path",
    ),
    ({"routes": [{"name": "r", "service": "s", "path": "/a/.."}]}, "routes[0].path"),
]

BAD_EXCEPTIONS = [
    ({"rate": 5.0}, "exceptions[0]"),
    ({"route": "stock"}, "exceptions[0]"),
    ({"route": "stock", "rate": 5.0}, "exceptions[0]"),
    ({"organisation": "cart-1", "route": "stock", "weight": 2}, "exceptions[0]"),
    ({"route": "stock", "service": "menu", "repeatable": True}, "exceptions[0]"),
    ({"route": "x", "repeatable": True}, "exceptions[0].route"),
    ({"service": "x", "repeatable": True}, "exceptions[0].service"),
    ({"organisation": "x", "rate": 5.0}, "exceptions[0].organisation"),
    ({"organisation": "cart-1", "rate": -1.0}, "exceptions[0].rate"),
    ({"organisation": "cart-1", "burst": 2.0}, "exceptions[0].burst"),
    (
        {"route": "stock", "repeatable": True, "reason": " "},
        "exceptions[0].reason",
    ),
    ({"route": "stock", "extra_attempts": 99}, "exceptions[0].extra_attempts"),
]


@pytest.mark.parametrize(
    ("sections", "key"),
    BAD_SECTIONS
    + [
        ({"exceptions": [make_policy_exception(**f)]}, key) for f, key in BAD_EXCEPTIONS
    ],
)
def test_invalid_declaration_is_rejected(sections: dict[str, Any], key: str) -> None:
    """Guards against an invalid declaration that reaches the fleet."""
    with pytest.raises(ExceptionGroup) as caught:
        make_declaration(**sections)
    assert {problem.key for problem in caught.value.exceptions} == {key}


def test_declaration_problems_are_reported_together() -> None:
    """Guards against reporting only the first problem, one per run."""
    table = make_declaration_table(
        defaults={"rate": -1.0, "colour": "red"},
        exceptions=[{"id": "one", "route": "nowhere", "repeatable": True}],
    )
    del table["version"]
    with pytest.raises(ExceptionGroup) as caught:
        Declaration.from_config(table, "fleet.toml")
    keys = {problem.key for problem in caught.value.exceptions}
    assert keys == {"version", "defaults.colour", "exceptions[0].reason"}


@pytest.mark.parametrize(
    ("fleet", "claims"),
    [
        ("kettering", ["dispatch", "dropoff", "orders", "pantry"]),
        ("cancelli", ["contabile", "fucina"]),
    ],
)
def test_examples_are_valid(fleet: str, claims: list[str]) -> None:
    """Guards against shipped examples that nodes and operator tools reject."""
    declaration = Declaration.from_file(str(EXAMPLES / fleet / "fleet.toml"))
    settings = Settings.from_file(str(EXAMPLES / fleet / "node.toml"))
    change = Change(1, "first", "", "test", "", 1.0, declaration.to_entries(), [])
    policy = Policy.from_config(FleetDocument().apply(change), SECRET)
    assert settings.node.service in policy.services
    assert settings.node.failure_domain in policy.failure_domains
    assert len(policy.organisations) == 8
    assert policy.services_with_claims == claims


@pytest.mark.parametrize(
    ("method", "path", "name"),
    [
        ("GET", "/pantry/stock", "stock"),
        ("GET", "/pantry/stock/", "stock"),
        ("GET", "/pantry/stock?x=/pantry/stock/shelf", "stock"),
        ("GET", "/pantry/stock/7/8/9/10", "stock"),
        ("GET", "/pantry/stocks", None),
        ("GET", "/pantry", None),
        ("GET", "/pantry/stock/shelf/7", "shelf"),
        ("POST", "/pantry/stock/shelf/7", "stock"),
        ("GET", "/pantry/stock/%73helf", "shelf"),
        ("POST", "/menu", None),
        ("GET", "/menu/../pantry/stock", None),
        ("GET", "/menu/%2e%2e/pantry/stock", None),
        ("GET", "/menu//x", None),
        ("GET", "menu", None),
        ("GET", "", None),
    ],
)
def test_longest_path_prefix_wins(method: str, path: str, name: str | None) -> None:
    """Guards against a path that matches a route it must not reach.

    Percent-encoding, dot segments and empty segments could bypass the prefix match.
    """
    route = Policy.from_config(make_document(), SECRET).match(method, path)
    assert (route and route.name) == name


def test_later_exceptions_win() -> None:
    """Guards against shedding a call that an exception marks as important.

    That happens if an exception does not override those listed before it.
    """
    document = make_document(
        exceptions=[
            make_policy_exception(id="z", service="pantry", importance="critical"),
            make_policy_exception(id="a", route="stock", importance="background"),
            make_policy_exception(
                id="b", organisation="cart-1", route="stock", repeatable=True
            ),
            make_policy_exception(id="c", organisation="cart-1", rate=7.0, weight=3),
        ]
    )
    policy = Policy.from_config(document, SECRET)
    stock = policy.match("POST", "/pantry/stock")
    shelf = policy.match("GET", "/pantry/stock/shelf")
    assert stock and shelf
    assert policy.classify(shelf, "cart-2", "GET").importance is Importance.CRITICAL
    assert policy.classify(stock, "cart-2", "GET").importance is Importance.BACKGROUND
    assert not policy.classify(stock, "cart-2", "POST").repeatable
    assert policy.classify(stock, "cart-1", "POST").repeatable
    assert policy.classify(shelf, "internal", "GET").importance is Importance.BACKGROUND
    share = policy.get_limits("cart-1")
    assert (share.rate, share.burst, share.weight) == (7.0, 200.0, 3)
    assert policy.get_limits("cart-2").rate == 100.0
    assert policy.services_with_claims == ["pantry"]
