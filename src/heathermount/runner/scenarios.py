"""Scenarios and policy variants of the policy measurements."""

from typing import Final

import msgspec

from heathermount.runner.caller import RetrySettings

__all__ = [
    "POLICY_MECHANISMS",
    "SCENARIOS",
    "SLOWDOWN_FACTOR",
    "VARIANTS",
    "Scenario",
    "make_overrides",
]

POLICY_MECHANISMS: Final = (
    "early_rejection",
    "cohorts",
    "chain_retries",
    "fair_queueing",
    "adaptive_limit",
)

# Service times of a slowed service are multiplied by this.
SLOWDOWN_FACTOR: Final = 5.0

DEFAULT_RETRIES: Final = RetrySettings(limit=1, delay_s=0.2)
AGGRESSIVE_RETRIES: Final = RetrySettings(
    limit=4,
    delay_s=0.1,
    reasons=("not-run", "unknown", "failed", "timeout", "broken", "refused"),
)


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Load and disturbance of a run; times in seconds after the load's start.

    `base_load` and `declared_load` are shares of the nominal capacity: the load
    offered outside the surge, and the sum of the organisations' declared rates.
    """

    name: str
    title: str
    base_load: float = 0.7
    declared_load: float = 1.0
    start_s: float = 4.0
    end_s: float = 13.0
    duration_s: float = 17.5
    # Multiplies the load of all organisations, or only of that at `surging_position`.
    surge_factor: float = 1.0
    # Index of the surging organisation; -1 for all.
    surging_position: int = -1
    # One of: none, slow, lose-third, store-outage, cold-start.
    disturbance: str = "none"
    # Recovery is measured from the "end" or the "start" of the disturbance.
    recovery_from: str = "end"
    retries: RetrySettings = msgspec.field(default_factory=lambda: DEFAULT_RETRIES)


SCENARIOS: Final = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            name="overload",
            title="2x overload of the whole fleet",
            declared_load=2.4,
            surge_factor=2.0 / 0.7,
        ),
        Scenario(
            name="long",
            title="2x overload for 30 s",
            declared_load=2.4,
            surge_factor=2.0 / 0.7,
            end_s=34.0,
            duration_s=39.0,
        ),
        Scenario(
            name="slow",
            title="deep service 5x slower, callers resend hard",
            disturbance="slow",
            retries=AGGRESSIVE_RETRIES,
        ),
        Scenario(name="steady", title="steady at 70% of capacity"),
        Scenario(
            name="surge",
            title="one large organisation at 5x its load",
            surge_factor=5.0,
            surging_position=1,
        ),
        Scenario(
            name="loss",
            title="a third of the deep service's servers lost",
            base_load=0.6,
            disturbance="lose-third",
            recovery_from="start",
        ),
        Scenario(
            name="store",
            title="store outage",
            disturbance="store-outage",
        ),
        Scenario(
            name="cold",
            title="deep service gone for 2 s, then cold",
            disturbance="cold-start",
            end_s=9.0,
            recovery_from="start",
        ),
    )
}

# Mechanisms that each variant enables; POLICY_MECHANISMS does not include admission.
VARIANTS: Final[dict[str, tuple[str, ...]]] = {
    "none": (),
    "fixed": ("admission",),
    "all": ("admission", *POLICY_MECHANISMS),
    **{
        f"less {omitted}": (
            "admission",
            *(name for name in POLICY_MECHANISMS if name != omitted),
        )
        for omitted in POLICY_MECHANISMS
    },
}


def make_overrides(variant: str) -> dict[str, dict[str, bool]]:
    """Return the settings of a variant, the same for every node."""
    enabled_mechanisms = VARIANTS[variant]
    return {
        "policy": {
            name: name in enabled_mechanisms
            for name in ("admission", *POLICY_MECHANISMS)
        }
    }
