"""Tests of the measurement page and of the calculations behind its figures."""

from pathlib import Path

import pytest

from heathermount.capacity.nominal_capacity import (
    CostModel,
    compute_entitlements,
    scale_fleet,
)
from heathermount.measurement.page import render_page
from heathermount.measurement.policy_evaluation import (
    RootRequest,
    compute_wrongful_429_ratio,
    find_recovery_time,
    find_worst_ratio,
)
from heathermount.runner.scenarios import SCENARIOS
from heathermount.runner.topologies import CANCELLI, KETTERING, FleetDescription
from heathermount.runner.workloads import make_mix
from heathermount.standins.records import CallResult

DOCS = Path(__file__).resolve().parents[1] / "docs"


def test_committed_page_matches_committed_data() -> None:
    """Guards against figures typed by hand and a page not rendered after a run."""
    page = (DOCS / "measurements.md").read_text()
    assert page == render_page(DOCS)


@pytest.mark.parametrize("fleet", [KETTERING, CANCELLI])
def test_scaling_divides_capacity_by_both_factors(fleet: FleetDescription) -> None:
    """Guards against a load that is not the stated share of the capacity.

    Runs use a scaled fleet and derive their load from its capacity.
    """
    whole = CostModel(fleet).compute_capacity(make_mix(fleet))
    scaled = CostModel(scale_fleet(fleet, 10, 20)).compute_capacity(make_mix(fleet))
    assert scaled == pytest.approx(whole / 200, rel=0.01)


def test_entitlement_meets_small_demands_and_levels_large_ones() -> None:
    """Guards against an entitlement that follows demand instead of weight.

    Organisations of equal weight must get equal rates unless they ask for less.
    """
    model = CostModel(KETTERING)
    route = ("GET", "/orders/status")
    capacity = 1 / model.compute_utilisation({route: 1.0})
    demand = {
        ("cart-1", *route): 2 * capacity,
        ("cart-2", *route): 2 * capacity,
        ("cart-3", *route): 0.1 * capacity,
    }
    entitled = compute_entitlements(model, demand)
    assert entitled["cart-3"] == pytest.approx(0.1 * capacity, rel=0.02)
    assert entitled["cart-1"] == pytest.approx(0.45 * capacity, rel=0.02)
    assert entitled["cart-2"] == pytest.approx(0.45 * capacity, rel=0.02)


def test_critical_requests_are_entitled_first() -> None:
    """Guards against an entitlement that ignores importance classes.

    Critical requests must get all the capacity that they can use before others.
    """
    model = CostModel(KETTERING)
    restock = ("POST", "/orders/restock")
    status = ("GET", "/orders/status")
    capacity = 1 / model.compute_utilisation({restock: 1.0})
    demand = {("cart-1", *restock): capacity, ("cart-2", *status): capacity}
    entitled = compute_entitlements(model, demand)
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


def make_request(at_s: float, succeeded: bool) -> RootRequest:
    result = make_result(at_s, 200 if succeeded else 503)
    return RootRequest("cart-8", "GET", "/pantry/stock", at_s, succeeded, 0.1, result)


def test_recovery_counts_from_the_end_of_the_disturbance() -> None:
    """Guards against a recovery time that is measured from the wrong moment.

    Requests fail from the start of the disturbance until 1.5 s after its end.
    """
    scenario = SCENARIOS["overload"]
    requests = [
        make_request(tenth / 10, not 40 <= tenth < 145)
        for tenth in range(int(scenario.duration_s * 10))
    ]
    assert find_recovery_time(requests, scenario, 1.0) == 1.5
    never = [make_request(request.scheduled_s, False) for request in requests]
    assert find_recovery_time(never, scenario, 1.0) == -1.0


def test_429_with_an_empty_bucket_is_not_wrongful() -> None:
    """Guards against counting justified 429s and charging calls that did not run.

    A 429 is wrongful only if the organisation's bucket held a token. Calls refused
    with "not-run" must not take tokens from that bucket.
    """
    # cart-8 has a burst of 40 calls and a rate of 20 calls/s.
    spent = [make_result(1.0, 200) for _ in range(40)]
    early_refusal = make_result(1.01, 429, "not-run")
    late_refusal = make_result(1.2, 429, "not-run")
    assert compute_wrongful_429_ratio(KETTERING, [*spent, early_refusal], 41) == 0.0
    assert (
        compute_wrongful_429_ratio(KETTERING, [*spent, early_refusal, late_refusal], 42)
        == 1 / 42
    )
    shed = [make_result(1.0, 503, "not-run") for _ in range(40)]
    assert compute_wrongful_429_ratio(KETTERING, [*shed, early_refusal], 41) == 1 / 41


def test_worst_ratio_names_the_organisation_served_least() -> None:
    """Guards against a ratio of the whole fleet instead of its worst organisation."""
    requests = [make_request(1.0, number % 2 == 0) for number in range(20)]
    assert find_worst_ratio(requests, {"cart-8": 5.0}, 4.0) == (0.5, "cart-8")
