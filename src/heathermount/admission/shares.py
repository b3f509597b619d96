"""Weighted fairness between organisations in the assignment of cohorts."""

import math
from typing import Final

from heathermount.clocks import Clock

__all__ = ["FairCohorts"]

# Time constant of the arrival rates, in seconds: several threshold intervals,
# and short against the minutes over which demand shifts.
MEMORY_S: Final = 2.0

# Period after which the highest demand is determined anew, in seconds.
REFRESH_S: Final = 0.1

# A decayed count below this is forgotten.
FORGET_COUNT: Final = 0.01


class Demand:
    """Decayed count of the arrivals of one organisation in one class."""

    __slots__ = ("count", "updated_at", "weight")

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.updated_at = now
        self.weight = 1

    def level(self, now: float) -> float:
        """Return the arrivals per unit of weight, decayed to now."""
        decay = math.exp((self.updated_at - now) / MEMORY_S)
        return self.count * decay / self.weight


class FairCohorts:
    """Scales cohorts so that one threshold sheds weighted fairly.

    A threshold on plain cohorts sheds the same share of every organisation,
    so that one organisation's excess costs the others as well. Here a cohort
    is multiplied by the organisation's demand per weight relative to the
    highest one of its class. All requests at or below a threshold then make up
    the same rate per weight for each organisation that exceeds it, and all
    requests of the organisations that don't: weighted max-min fairness.
    """

    __slots__ = ("_clock", "_demands", "_highest", "_refreshed_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._demands: dict[tuple[int, str], Demand] = {}
        self._highest: dict[int, float] = {}
        self._refreshed_at = clock.monotonic()

    def scale(
        self, organisation: str, weight: int, importance: int, cohort: int
    ) -> int:
        """Count one root request and return its cohort to use from now on."""
        now = self._clock.monotonic()
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now)
        key = (importance, organisation)
        demand = self._demands.get(key)
        if demand is None:
            demand = self._demands[key] = Demand(now)
        demand.weight = max(1, weight)
        level = demand.level(now) + 1.0 / demand.weight
        demand.count = level * demand.weight
        demand.updated_at = now
        highest = max(level, self._highest.get(importance, 0.0))
        self._highest[importance] = highest
        return int(cohort * level / highest)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._highest.clear()
        for key, demand in list(self._demands.items()):
            level = demand.level(now)
            if level * demand.weight < FORGET_COUNT:
                del self._demands[key]
                continue
            importance = key[0]
            self._highest[importance] = max(level, self._highest.get(importance, 0.0))
