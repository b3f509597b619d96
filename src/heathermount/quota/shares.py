"""Division of an organisation's rate and burst among the failure domains."""

import math
from collections.abc import Sequence
from typing import Final

import msgspec

from heathermount.ownership import compute_partition_index, rank_candidates

__all__ = [
    "Allotment",
    "Share",
    "divide_allotment",
    "get_partition_name",
    "select_share_domains",
]

MAX_VALIDITY_S: Final = 1.0
# Tokens with a lifetime below a few network round trips expire unspent.
MIN_VALIDITY_S: Final = 0.05


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit of one organisation for the whole fleet.

    `rate` is in calls per second, `burst` in calls.
    """

    rate: float
    burst: float


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Token bucket parameters of one organisation at one allocator.

    `rate` is in tokens per second. A capacity of 0 means that other failure
    domains hold the whole allotment.
    """

    capacity: float
    rate: float
    validity_s: float


def get_partition_name(organisation: str, domain: str, partition_count: int) -> str:
    """Return the partition that holds a domain's share of an allotment."""
    return (
        f"quota/{domain}/"
        f"{compute_partition_index(organisation.encode(), partition_count)}"
    )


def compute_validity_s(allotment: Allotment) -> float:
    """Return the lifetime of a token from its request on, in seconds."""
    rate, burst = allotment.rate, allotment.burst
    if rate <= 0:
        return MAX_VALIDITY_S
    validity_s = min(MAX_VALIDITY_S, burst / (2 * rate))
    if burst - rate * validity_s >= 1:
        return validity_s
    return max((burst - 1) / rate, min(validity_s, MIN_VALIDITY_S))


def select_share_domains(
    organisation: str, allotment: Allotment, domains: Sequence[str]
) -> list[str]:
    """Return the failure domains that hold a share of an allotment.

    A bucket with a capacity below one token never grants any, so a small burst is
    divided among fewer domains. They are chosen by rendezvous hashing.
    """
    if allotment.burst < 1 or not domains:
        return []
    usable_burst = allotment.burst - allotment.rate * compute_validity_s(allotment)
    domain_count = min(len(domains), max(1, math.floor(usable_burst)))
    return rank_candidates(organisation, domains)[:domain_count]


def divide_allotment(allotment: Allotment, domain_count: int) -> Share:
    """Return the share of each of `domain_count` domains.

    Let V be the token lifetime. Tokens spent within a time t were granted within
    t + V. The sum of capacity + rate * (t + V) over the domains must therefore not
    exceed burst + rate * t.

    A bucket must hold at least one token. If burst - rate * V is less than that, a
    single bucket holds one token and refills more slowly instead. The n-th token is
    then spent at least (n - 1) / refill_rate - V after the first one, and
    `refill_rate` keeps n within burst + rate * ((n - 1) / refill_rate - V).
    """
    validity_s = compute_validity_s(allotment)
    refilled_during_validity = allotment.rate * validity_s
    usable_burst = allotment.burst - refilled_during_validity
    if usable_burst >= 1 or allotment.rate <= 0:
        return Share(
            usable_burst / domain_count, allotment.rate / domain_count, validity_s
        )
    refill_rate = allotment.rate / (2 - allotment.burst + refilled_during_validity)
    return Share(1.0, refill_rate, validity_s)
