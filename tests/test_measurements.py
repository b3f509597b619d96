"""The measurement page and the figures on it."""

from pathlib import Path

import pytest

from heathermount.capacity.policy import CostModel, scale_fleet, share_capacity
from heathermount.measurement.page import render_page
from heathermount.measurement.policy_figures import (
    Request,
    find_recovery,
    worst_ratio,
    wrongful_share,
)
from heathermount.runner.scenarios import SCENARIOS
from heathermount.runner.topologies import CANCELLI, KETTERING, FleetDescription
from heathermount.runner.workloads import make_mix
from heathermount.standins.records import CallResult

DOCS = Path(__file__).resolve().parents[1] / "docs"


def test_page_is_what_the_data_gives() -> None:
    """Guards against figures typed by hand and against a page left behind."""
    page = (DOCS / "measurements.md").read_text()
    assert page == render_page(DOCS)


@pytest.mark.parametrize("fleet", [KETTERING, CANCELLI])
def test_scaling_divides_capacity_by_both_factors(fleet: FleetDescription) -> None:
    """Guards against a load that is not the stated share of the capacity."""
    whole = CostModel(fleet).capacity(make_mix(fleet))
    scaled = CostModel(scale_fleet(fleet, 10, 20)).capacity(make_mix(fleet))
    assert scaled == pytest.approx(whole / 200, rel=0.01)


def test_entitlement_serves_small_demands_and_levels_large_ones() -> None:
    """Guards against an entitlement that follows demand instead of weight."""
    model = CostModel(KETTERING)
    route = ("GET", "/orders/status")
    capacity = 1 / model.utilisation({route: 1.0})
    demand = {
        ("cart-1", *route): 2 * capacity,
        ("cart-2", *route): 2 * capacity,
        ("cart-3", *route): 0.1 * capacity,
    }
    entitled = share_capacity(model, demand)
    assert entitled["cart-3"] == pytest.approx(0.1 * capacity, rel=0.02)
    assert entitled["cart-1"] == pytest.approx(0.45 * capacity, rel=0.02)
    assert entitled["cart-2"] == pytest.approx(0.45 * capacity, rel=0.02)


def test_important_requests_are_entitled_first() -> None:
    """Guards against an entitlement that ignores the classes."""
    model = CostModel(KETTERING)
    restock = ("POST", "/orders/restock")
    status = ("GET", "/orders/status")
    capacity = 1 / model.utilisation({restock: 1.0})
    demand = {("cart-1", *restock): capacity, ("cart-2", *status): capacity}
    entitled = share_capacity(model, demand)
    assert entitled["cart-1"] == pytest.approx(capacity, rel=0.02)
    assert entitled.get("cart-2", 0.0) < 0.05 * capacity


def make_result(sent: float, status: int, outcome: str = "") -> CallResult:
    return CallResult(
        test_id=f"{sent}",
        attempt="0",
        organisation="cart-8",
        key_id="k",
        entry="127.0.0.1:1",
        method="GET",
        path="/pantry/stock",
        scheduled=sent,
        sent=sent,
        status=status,
        outcome=outcome,
    )


def make_request(at_s: float, succeeded: bool) -> Request:
    result = make_result(at_s, 200 if succeeded else 503)
    return Request("cart-8", "GET", "/pantry/stock", at_s, succeeded, 0.1, result)


def test_recovery_counts_from_the_end_of_the_disturbance() -> None:
    """Guards against a recovery that is read from requests before or after it."""
    scenario = SCENARIOS["overload"]
    requests = [
        make_request(tenth / 10, not 40 <= tenth < 145)
        for tenth in range(int(scenario.duration_s * 10))
    ]
    assert find_recovery(requests, scenario, 1.0) == 1.5
    never = [make_request(request.at_s, False) for request in requests]
    assert find_recovery(never, scenario, 1.0) == -1.0


def test_refusals_of_an_empty_bucket_are_not_wrongful() -> None:
    """Guards against counting due refusals, and refusals that ran nothing as runs."""
    # cart-8 has a burst of 40 calls and a rate of 20 calls/s.
    spent = [make_result(1.0, 200) for _ in range(40)]
    due = make_result(1.01, 429, "not-run")
    wrongful = make_result(1.2, 429, "not-run")
    assert wrongful_share(KETTERING, [*spent, due], 41) == 0.0
    assert wrongful_share(KETTERING, [*spent, due, wrongful], 42) == 1 / 42
    shed = [make_result(1.0, 503, "not-run") for _ in range(40)]
    assert wrongful_share(KETTERING, [*shed, due], 41) == 1 / 41


def test_worst_ratio_names_the_organisation_served_least() -> None:
    """Guards against a ratio of the fleet instead of the worst organisation."""
    requests = [make_request(1.0, number % 2 == 0) for number in range(20)]
    assert worst_ratio(requests, {"cart-8": 5.0}, 4.0) == (0.5, "cart-8")
