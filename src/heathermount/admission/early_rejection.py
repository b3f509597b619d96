"""Early rejection at the entry node, based on thresholds that servers report."""

from collections import deque
from typing import Final, Self

from heathermount.clocks import Clock
from heathermount.config.settings import PolicySettings
from heathermount.values import ServiceThreshold, Threshold

__all__ = ["ThresholdTable"]

# Older reports no longer count.
REPORT_TTL_S: Final = 1.0

# One of this many requests above the threshold is admitted as a probe.
REJECTIONS_PER_PROBE: Final = 32

# Reports kept per service, and the weight of each report relative to the next
# newer one. The servers of a service answer in turn, so that 16 reports cover a
# group of about ten servers and no single server has half of the weight.
MAX_REPORTS_PER_SERVICE: Final = 16
REPORT_WEIGHT_DECAY: Final = 0.9

# A request is rejected when reports with more than this share of the weight would
# reject it.
REJECTION_MAJORITY_RATIO: Final = 0.5

# Shortest time between combinations of the reports: combining takes several
# microseconds, and thresholds change only every 0.1 s.
COMBINE_INTERVAL_S: Final = 0.01

# Smoothing weight of one answer in the share of a route's answers that name a
# service, and the share from which the service's threshold applies to the route.
# A service that few calls of a route reach must not stop the others.
VISIT_WEIGHT: Final = 1 / 16
MIN_VISIT_RATIO: Final = 0.25

# Shares below this are removed.
FORGET_VISIT_RATIO: Final = 0.01


ADMIT_ALL: Final = Threshold()


class ServiceReports:
    """Recent threshold reports from all servers of one service."""

    __slots__ = (
        "_combined",
        "_combined_at",
        "_last_restricted_at",
        "_rejected_count",
        "_reports",
    )

    def __init__(self) -> None:
        self._reports: deque[tuple[float, Threshold]] = deque(
            maxlen=MAX_REPORTS_PER_SERVICE
        )
        self._last_restricted_at = float("-inf")
        self._combined = ADMIT_ALL
        self._combined_at = float("-inf")
        self._rejected_count = 0

    def add(self, threshold: Threshold, now: float) -> None:
        self._reports.append((now, threshold))
        if threshold != ADMIT_ALL:
            self._last_restricted_at = now

    def threshold(self, now: float) -> Threshold:
        """Return the weighted median of the recent reports."""
        if self._last_restricted_at < now - REPORT_TTL_S:
            return ADMIT_ALL
        if now - self._combined_at >= COMBINE_INTERVAL_S:
            self._combined_at = now
            self._combined = self._combine(now - REPORT_TTL_S)
        return self._combined

    def select_probe(self) -> bool:
        """Count a rejected request; return whether to admit it as a probe."""
        self._rejected_count += 1
        return self._rejected_count % REJECTIONS_PER_PROBE == 0

    def _combine(self, oldest: float) -> Threshold:
        weight = 1.0
        total = 0.0
        weights: list[tuple[int, int, float]] = []
        for reported_at, threshold in reversed(self._reports):
            if reported_at < oldest:
                break
            weights.append((threshold.importance, threshold.cohort, weight))
            total += weight
            weight *= REPORT_WEIGHT_DECAY
        weights.sort()
        lower = 0.0
        for importance, cohort, weight in weights:
            lower += weight
            if lower > REJECTION_MAJORITY_RATIO * total:
                return Threshold(importance, cohort)
        return ADMIT_ALL


class ThresholdTable:
    """Thresholds of the services as known to an entry node.

    Thresholds belong to services and apply to all routes. The table learns from
    the answers of each route which services its calls visit.
    """

    __slots__ = ("_clock", "_enabled", "_services", "_visit_ratios")

    def __init__(self, clock: Clock, enabled: bool = True) -> None:
        self._clock = clock
        self._enabled = enabled
        self._services: dict[str, ServiceReports] = {}
        self._visit_ratios: dict[str, dict[str, float]] = {}

    @classmethod
    def from_config(cls, policy: PolicySettings, clock: Clock) -> Self:
        return cls(clock, policy.early_rejection)

    def observe(self, route: str, thresholds: list[ServiceThreshold]) -> None:
        """Record the thresholds that an answer on a route carried.

        The size of the table is bounded, because only declared services and
        routes are named.
        """
        if not thresholds:
            return
        now = self._clock.monotonic()
        visit_ratios = self._visit_ratios.setdefault(route, {})
        named = set()
        for report in thresholds:
            named.add(report.service)
            self._reports(report.service).add(report.threshold, now)
        for service in named - visit_ratios.keys():
            # The first answer has full weight, so that rejection starts at once.
            visit_ratios[service] = 1.0
        for service, ratio in list(visit_ratios.items()):
            ratio += VISIT_WEIGHT * ((service in named) - ratio)
            visit_ratios[service] = ratio
            if ratio < FORGET_VISIT_RATIO:
                del visit_ratios[service]

    def find_rejection(
        self, route: str, importance: int, cohort: int
    ) -> ServiceThreshold | None:
        """Return the service and threshold that reject a request, or None."""
        visit_ratios = self._visit_ratios.get(route)
        if not visit_ratios or not self._enabled:
            return None
        now = self._clock.monotonic()
        for service, ratio in visit_ratios.items():
            if ratio < MIN_VISIT_RATIO:
                continue
            reports = self._services[service]
            threshold = reports.threshold(now)
            if threshold.admits(importance, cohort):
                continue
            if may_probe(importance, threshold) and reports.select_probe():
                return None
            return ServiceThreshold(service, threshold)
        return None

    def forget_route(self, route: str) -> None:
        """Drop the statistics of a route that was removed."""
        self._visit_ratios.pop(route, None)

    def _reports(self, service: str) -> ServiceReports:
        reports = self._services.get(service)
        if reports is None:
            reports = self._services[service] = ServiceReports()
        return reports


def may_probe(importance: int, threshold: Threshold) -> bool:
    """Return whether requests of a class may be admitted as probes.

    Only the class in which the threshold lies, or the next one if that class is
    admitted completely, may. A less important request must not run as a probe
    while more important ones are refused.
    """
    whole_class = threshold.cohort >= ADMIT_ALL.cohort
    return importance <= threshold.importance + whole_class
