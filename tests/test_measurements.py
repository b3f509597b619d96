"""The measurement page and the figures on it."""

from pathlib import Path

import pytest

from heathermount.standins.fleet_capacity import CostModel, scale_fleet, share_capacity
from heathermount.standins.fleets import CANCELLI, KETTERING, FleetDescription
from heathermount.standins.loads import make_mix
from heathermount.standins.measurement_page import render_page

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
