"""Early rejection at the entry node from thresholds that servers reported."""

from collections import deque
from typing import Final, Self

from heathermount.clocks import Clock
from heathermount.config.settings import PolicySettings
from heathermount.values import ServiceThreshold, Threshold

__all__ = ["ThresholdTable"]

# Age at which a report no longer counts, in seconds.
VALIDITY_S: Final = 1.0

# One of this many requests that would be rejected is let through.
PROBE_PERIOD: Final = 32

# Reports kept per service, and the weight of each one relative to the next
# newer one. Servers of one service answer in turn, so that sixteen reports
# cover a group of about ten, and no single server holds half of the weight.
REPORTS: Final = 16
AGEING: Final = 0.9

# A service rejects when reports of more than this share of the weight do.
MAJORITY: Final = 0.5

# Reports are combined at most this often, in seconds, because combining costs
# several microseconds and thresholds move every 0.1 s.
REFRESH_S: Final = 0.01

# Weight of one answer in the share of a route's answers that name a service,
# and the share from which the route counts as visiting it. A service that few
# calls of a route reach must not stop the others.
VISIT_WEIGHT: Final = 1 / 16
VISIT_SHARE: Final = 0.25

# A visit share below this is forgotten.
FORGET_SHARE: Final = 0.01


OPEN: Final = Threshold()


class ServiceReports:
    """Recent reports of all servers of one service."""

    __slots__ = (
        "_combined",
        "_combined_at",
        "_latest_restriction",
        "_rejected",
        "_reports",
    )

    def __init__(self) -> None:
        self._reports: deque[tuple[float, Threshold]] = deque(maxlen=REPORTS)
        self._latest_restriction = float("-inf")
        self._combined = OPEN
        self._combined_at = float("-inf")
        self._rejected = 0

    def add(self, threshold: Threshold, now: float) -> None:
        self._reports.append((now, threshold))
        if threshold != OPEN:
            self._latest_restriction = now

    def threshold(self, now: float) -> Threshold:
        """Return the threshold that more than half of the weight agrees on."""
        if self._latest_restriction < now - VALIDITY_S:
            return OPEN
        if now - self._combined_at >= REFRESH_S:
            self._combined_at = now
            self._combined = self._combine(now - VALIDITY_S)
        return self._combined

    def probes(self) -> bool:
        """Tell whether to let this request through although it is rejected."""
        self._rejected += 1
        return self._rejected % PROBE_PERIOD == 0

    def _combine(self, oldest: float) -> Threshold:
        weight = 1.0
        total = 0.0
        weights: list[tuple[int, int, float]] = []
        for reported_at, threshold in reversed(self._reports):
            if reported_at < oldest:
                break
            weights.append((threshold.importance, threshold.cohort, weight))
            total += weight
            weight *= AGEING
        weights.sort()
        lower = 0.0
        for importance, cohort, weight in weights:
            lower += weight
            if lower > MAJORITY * total:
                return Threshold(importance, cohort)
        return OPEN


class ThresholdTable:
    """What an entry node knows about the thresholds of the services.

    Thresholds belong to services and are shared by all routes; the table
    learns for each route which services its calls visit.
    """

    __slots__ = ("_clock", "_enabled", "_services", "_visits")

    def __init__(self, clock: Clock, enabled: bool = True) -> None:
        self._clock = clock
        self._enabled = enabled
        self._services: dict[str, ServiceReports] = {}
        self._visits: dict[str, dict[str, float]] = {}

    @classmethod
    def from_config(cls, policy: PolicySettings, clock: Clock) -> Self:
        return cls(clock, policy.early_rejection)

    def observe(self, route: str, thresholds: list[ServiceThreshold]) -> None:
        """Take the thresholds that came with an answer on a route.

        Names are those of the declaration, which bounds the table.
        """
        if not thresholds:
            return
        now = self._clock.monotonic()
        visits = self._visits.setdefault(route, {})
        named = set()
        for report in thresholds:
            named.add(report.service)
            self._reports(report.service).add(report.threshold, now)
        for service in named - visits.keys():
            # The first answer counts in full, so that rejection starts at once.
            visits[service] = 1.0
        for service, share in list(visits.items()):
            share += VISIT_WEIGHT * ((service in named) - share)
            visits[service] = share
            if share < FORGET_SHARE:
                del visits[service]

    def admits(
        self, route: str, importance: int, cohort: int
    ) -> ServiceThreshold | None:
        """Return None to admit, else the service and threshold that reject."""
        visits = self._visits.get(route)
        if not visits or not self._enabled:
            return None
        now = self._clock.monotonic()
        for service, share in visits.items():
            if share < VISIT_SHARE:
                continue
            reports = self._services[service]
            threshold = reports.threshold(now)
            if threshold.admits(importance, cohort):
                continue
            if may_probe(importance, threshold) and reports.probes():
                return None
            return ServiceThreshold(service, threshold)
        return None

    def forget(self, route: str) -> None:
        """Drop what was learned about a route that was removed."""
        self._visits.pop(route, None)

    def _reports(self, service: str) -> ServiceReports:
        reports = self._services.get(service)
        if reports is None:
            reports = self._services[service] = ServiceReports()
        return reports


def may_probe(importance: int, threshold: Threshold) -> bool:
    """Tell whether requests of a class may serve as probes.

    Only those next to the threshold: a less important request must not run as
    a probe while a more important one is refused.
    """
    whole_class = threshold.cohort >= OPEN.cohort
    return importance <= threshold.importance + whole_class
