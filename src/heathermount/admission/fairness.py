"""Weighted fairness between organisations in the assignment of cohorts."""

import math
from typing import Final

from heathermount.clocks import Clock

__all__ = ["FairCohortScaler"]

# Time constant of the arrival rates, in seconds: several threshold intervals,
# and short against the minutes over which demand shifts.
ARRIVALS_TIME_CONSTANT_S: Final = 2.0

# Period after which the highest demand is determined anew, in seconds.
HIGHEST_DEMAND_REFRESH_S: Final = 0.1

# A decayed count below this is forgotten.
MIN_ARRIVAL_COUNT: Final = 0.01


class ArrivalCount:
    """Decayed count of the arrivals of one organisation in one class."""

    __slots__ = ("updated_at", "value", "weight")

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now
        self.weight = 1

    def per_weight(self, now: float) -> float:
        """Return the arrivals per unit of weight, decayed to now."""
        decay = math.exp((self.updated_at - now) / ARRIVALS_TIME_CONSTANT_S)
        return self.value * decay / self.weight


class FairCohortScaler:
    """Scales cohorts so that one threshold sheds weighted fairly.

    A threshold on plain cohorts sheds the same share of every organisation,
    so that one organisation's excess costs the others as well. Here a cohort
    is multiplied by the organisation's demand per weight relative to the
    highest one of its class. All requests at or below a threshold then make up
    the same rate per weight for each organisation that exceeds it, and all
    requests of the organisations that don't: weighted max-min fairness.
    """

    __slots__ = ("_arrival_counts", "_clock", "_highest_per_class", "_refreshed_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._arrival_counts: dict[tuple[int, str], ArrivalCount] = {}
        self._highest_per_class: dict[int, float] = {}
        self._refreshed_at = clock.monotonic()

    def scale(
        self, organisation: str, weight: int, importance: int, cohort: int
    ) -> int:
        """Count one root request and return its cohort to use from now on."""
        now = self._clock.monotonic()
        if now - self._refreshed_at >= HIGHEST_DEMAND_REFRESH_S:
            self._refresh(now)
        key = (importance, organisation)
        arrivals = self._arrival_counts.get(key)
        if arrivals is None:
            arrivals = self._arrival_counts[key] = ArrivalCount(now)
        arrivals.weight = max(1, weight)
        per_weight = arrivals.per_weight(now) + 1.0 / arrivals.weight
        arrivals.value = per_weight * arrivals.weight
        arrivals.updated_at = now
        highest = max(per_weight, self._highest_per_class.get(importance, 0.0))
        self._highest_per_class[importance] = highest
        return int(cohort * per_weight / highest)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._highest_per_class.clear()
        for key, arrivals in list(self._arrival_counts.items()):
            per_weight = arrivals.per_weight(now)
            if per_weight * arrivals.weight < MIN_ARRIVAL_COUNT:
                del self._arrival_counts[key]
                continue
            importance = key[0]
            self._highest_per_class[importance] = max(
                per_weight, self._highest_per_class.get(importance, 0.0)
            )
