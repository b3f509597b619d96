"""Pauses of a node whose store does not answer."""

from random import Random

from heathermount.gateway.pauses import RetryPause


def test_an_outage_costs_few_calls_and_ends_quickly() -> None:
    """Guards against nodes that spend the store's rates while it refuses them."""
    pause = RetryPause(Random(1))
    pauses = [pause.choose() for _ in range(9)]
    assert sum(pauses) >= 8.0
    # What lapsed during the outage must be back within two seconds.
    assert max(pauses) < 1.5
    pause.succeeded()
    assert pause.choose() <= 0.36
