"""Tests of the capacity page and of mechanisms that it shows large fleets to need."""

from itertools import product
from pathlib import Path
from random import Random
from typing import Any, Final

import anyio
import pytest

from heathermount.capacity.measurements import fit_line, read_measurements
from heathermount.capacity.page import PAGE_FILE, TEMPLATE_FILE, render_page
from heathermount.clocks import ManualClock
from heathermount.config.documents import FleetDocument
from heathermount.config.policy import Policy
from heathermount.errors import PeerUnreachable
from heathermount.events import EventLog
from heathermount.membership import (
    Directory,
    MemberRecord,
    Roster,
    RosterRecord,
    roster_key,
)
from heathermount.node.owned_partitions import QuotaServiceCache
from heathermount.standins.store import FakeStore, StoreState
from heathermount.values import Importance

DOCS: Final = Path(__file__).parents[1] / "docs"

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
    """Return the effects of all matching exceptions, applied in order."""
    effects: dict[str, Any] = {"importance": "normal", "repeatable": True}
    effects["deadline_ms"] = 2000
    for position in range(12):
        rule = document.entries[f"exceptions/rule-{position}"]
        scope = {"route": route, "service": ROUTES[route], "organisation": organisation}
        if all(rule.get(key, value) == value for key, value in scope.items()):
            effects |= {key: rule[key] for key in effects if key in rule}
    return effects


@pytest.mark.parametrize("seed", range(30))
def test_indexed_exceptions_apply_like_a_scan_in_order(seed: int) -> None:
    """Guards against an exception that the index loses or applies out of order.

    The policy looks exceptions up by route, service and organisation. The expected
    treatment comes from applying all matching exceptions in order.
    """
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
    """Guards against a non-repeatable route whose service has no claim owners.

    An exception can make a route non-repeatable for a single organisation, which must
    be enough for its service to own claims.
    """
    document = make_random_document(Random(seed))
    policy = Policy.from_config(document, b"secret of the test fleet")
    for route, organisation in product(policy.routes, ORGANISATIONS):
        if not policy.classify(route, organisation, "GET").repeatable:
            assert route.service in policy.services_with_claims


def test_quota_services_follow_the_declared_services() -> None:
    """Guards against a cached ranking that still contains a removed service."""
    cache = QuotaServiceCache()
    services = [f"service-{number}" for number in range(20)]
    first = cache.find("quota/a/0", services)
    assert cache.find("quota/a/0", list(services)) == first
    rest = [service for service in services if service != first[0]]
    assert cache.find("quota/a/0", rest)[:2] == first[1:]


def make_roster_record(members: int) -> RosterRecord:
    return RosterRecord(
        service="pantry",
        revision=1,
        members=[
            MemberRecord(
                node=f"pantry-{number}",
                incarnation=str(number),
                peers=f"10.0.0.{number}:1",
                control=f"10.0.0.{number}:2",
                failure_domain="a",
            )
            for number in range(members)
        ],
    )


def test_refresh_asks_several_members_before_the_store() -> None:
    """Guards against a surge of store reads when a failure domain is lost.

    The first members asked for the roster may all be dead. The directory must ask
    further members instead of reading the store at once.
    """
    anyio.run(refresh_with_lost_members)


async def refresh_with_lost_members() -> None:
    clock = ManualClock()
    state = StoreState(clock, Random(1))
    asked: list[str] = []

    async def fetch(address: str, service: str) -> RosterRecord | None:
        asked.append(address)
        if len(asked) < 3:
            raise PeerUnreachable(address)
        return make_roster_record(9)

    directory = Directory(FakeStore(state), clock, Random(1), fetch, list)
    directory.accept(make_roster_record(8))
    await directory.refresh("pantry")
    assert len(set(asked)) == 3
    assert state.counters["range"] == 0


def test_dead_members_are_removed_from_the_roster_in_one_write() -> None:
    """Guards against one store write for each node of a lost failure domain.

    The group's reader must remove all dead members with one write, and must not remove
    a member whose node has since started again with a new incarnation.
    """
    anyio.run(remove_several_members)


async def remove_several_members() -> None:
    clock = ManualClock()
    state = StoreState(clock, Random(1))
    store = FakeStore(state)
    record = make_roster_record(4)
    key = roster_key("pantry")
    assert await store.commit({key: 0}, {key: record.encode()})
    events = EventLog("test", clock, quiet=True)
    roster = Roster("pantry", store, events, Random(1))
    assert await roster.remove(
        {("pantry-1", "1"), ("pantry-2", "2"), ("pantry-3", "0")}
    )
    # The third entry names an earlier incarnation, which is no longer in the roster.
    assert [m.node for m in roster.record.members] == ["pantry-0", "pantry-3"]
    assert state.counters["txn"] == 2


def test_line_fit_requires_three_different_sizes() -> None:
    """Guards against an extrapolated slope that no third size confirms.

    A repeated size must not count as a further one.
    """
    line = fit_line([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)])
    assert (line.intercept, line.slope, line.rms_error) == pytest.approx(
        (1.0, 2.0, 0.0)
    )
    with pytest.raises(ValueError, match="three or more"):
        fit_line([(1.0, 3.0), (2.0, 5.0), (2.0, 6.0)])


def test_committed_page_matches_committed_measurements() -> None:
    """Guards against a figure on the page that the committed data does not give.

    It could have been typed by hand or come from a run that was not committed.
    """
    measurements = read_measurements(DOCS / "measurements" / "capacity.jsonl")
    template = (DOCS / TEMPLATE_FILE).read_text(encoding="utf-8")
    page = (DOCS / PAGE_FILE).read_text(encoding="utf-8")
    assert render_page(template, measurements) == page
