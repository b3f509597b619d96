"""Backoff of a node whose store does not answer."""

from random import Random

from heathermount.gateway.backoff import RetryBackoff


def test_delays_limit_the_calls_during_an_outage() -> None:
    """Guards against retries that use up the store's rate limits during an outage."""
    backoff = RetryBackoff(Random(1))
    delays_s = [backoff.next_delay_s() for _ in range(9)]
    assert sum(delays_s) >= 8.0
    # Expired entries must be written again within two seconds after the outage.
    assert max(delays_s) < 1.5
    backoff.reset()
    assert backoff.next_delay_s() <= 0.36
