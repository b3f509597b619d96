"""Tests of admission at servers with few slots."""

from random import Random

import pytest

from builders_policy import Workload

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize(("slots", "least"), [(4, 0.82), (12, 0.9)])
async def test_few_slots_are_kept_busy(slots: int, least: float) -> None:
    """Guards against idle slots in an overload of a small server.

    Few requests arrive in an interval, so that a single shed request is a large
    share of them. Cutting the threshold by this share rejects too many.
    """
    workload = Workload(slots=slots, service_s=0.25, fair_cohorts=True)
    random = Random(5)
    names = [f"cart-{number}" for number in range(8)]
    rates = (400, 300, 80, 60, 50, 40, 30, 20)

    def draw_request_class() -> tuple[str, int]:
        organisation = random.choices(names, rates)[0]
        return organisation, random.choices([0, 1, 2], [0.2, 0.4, 0.4])[0]

    await workload.run(5.0, 2 * workload.capacity_per_s, draw_request_class)
    workload.reset()
    await workload.run(60.0, 2 * workload.capacity_per_s, draw_request_class)
    assert sum(workload.served.values()) / 60.0 >= least * workload.capacity_per_s
    assert not workload.invariants.violations
