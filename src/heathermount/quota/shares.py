"""How rate and burst of an organisation are divided over failure domains."""

import math
from collections.abc import (
    Sequence,
)
from typing import (
    Final,
)

import msgspec

from heathermount.ownership import (
    compute_slot,
    rank_candidates,
)

__all__ = [
    "Allotment",
    "Share",
    "divide_allotment",
    "get_partition_name",
    "select_share_domains",
]

MAX_VALIDITY_S: Final = 1.0
# Tokens that live shorter than a few network round trips expire unspent.
MIN_VALIDITY_S: Final = 0.05


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """What one organisation may spend in the whole fleet.

    `rate` is in calls/s, `burst` in calls.
    """

    rate: float
    burst: float


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Bucket parameters of one organisation at one allocator.

    `rate` is in tokens/s; a capacity of 0 means that other failure domains hold
    the whole allotment.
    """

    capacity: float
    rate: float
    validity_s: float


def get_partition_name(organisation: str, domain: str, partitions: int) -> str:
    """Return the partition that holds a domain's share of an organisation."""
    return f"quota/{domain}/{compute_slot(organisation.encode(), partitions)}"


def compute_validity_s(allotment: Allotment) -> float:
    """Return how long a token may be spent after it was asked for, in seconds."""
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
    """Return the domains that hold a share of an organisation.

    A bucket below one token never grants, so a small burst is divided over
    fewer domains, which are chosen by rendezvous hash.
    """
    if allotment.burst < 1 or not domains:
        return []
    usable_burst = allotment.burst - allotment.rate * compute_validity_s(allotment)
    domain_count = min(len(domains), max(1, math.floor(usable_burst)))
    return rank_candidates(organisation, domains)[:domain_count]


def divide_allotment(allotment: Allotment, domain_count: int) -> Share:
    """Return the share of each of `count` domains.

    Tokens spent within t were granted within t + V, so that
    capacity + rate * (t + V), summed over the domains, must not exceed
    burst + rate * t. When a single bucket must hold one token although
    burst - rate * V is less, it refills more slowly instead: the n-th token
    is spent at least (n - 1) / refill - V after the first, and the refill rate
    below keeps n within burst + rate * ((n - 1) / refill - V) for every n.
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
