"""Weighted fairness between organisations by scaling the cohorts of requests."""

import math
from typing import Final

from heathermount.clocks import Clock

__all__ = ["FairCohortScaler"]

# Time constant of the decay: several threshold intervals, but short compared
# with the minutes over which demand shifts.
ARRIVALS_TIME_CONSTANT_S: Final = 2.0

# Period at which the highest demand per weight is recomputed.
HIGHEST_DEMAND_REFRESH_S: Final = 0.1

# Decayed counts below this are removed.
MIN_ARRIVAL_COUNT: Final = 0.01


class ArrivalCount:
    """Exponentially decayed count of an organisation's arrivals in one class."""

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
    """Scales cohorts so that a common threshold sheds by weighted fairness.

    A threshold on plain cohorts sheds the same share of every organisation's
    requests, so that one organisation's excess also costs the others. Here a
    cohort is multiplied by the organisation's demand per weight, relative to
    the highest demand per weight in the class. The threshold then admits the
    same rate per weight of each organisation that exceeds this rate, and all
    requests of the other organisations: weighted max-min fairness.
    """

    __slots__ = (
        "_arrival_counts",
        "_clock",
        "_highest_demand_by_class",
        "_refreshed_at",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._arrival_counts: dict[tuple[int, str], ArrivalCount] = {}
        self._highest_demand_by_class: dict[int, float] = {}
        self._refreshed_at = clock.monotonic()

    def scale(
        self, organisation: str, weight: int, importance: int, cohort: int
    ) -> int:
        """Count one root request and return its scaled cohort."""
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
        highest = max(per_weight, self._highest_demand_by_class.get(importance, 0.0))
        self._highest_demand_by_class[importance] = highest
        return int(cohort * per_weight / highest)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._highest_demand_by_class.clear()
        for key, arrivals in list(self._arrival_counts.items()):
            per_weight = arrivals.per_weight(now)
            if per_weight * arrivals.weight < MIN_ARRIVAL_COUNT:
                del self._arrival_counts[key]
                continue
            importance = key[0]
            self._highest_demand_by_class[importance] = max(
                per_weight, self._highest_demand_by_class.get(importance, 0.0)
            )
