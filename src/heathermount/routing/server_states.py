"""What a node knows of the servers that it may choose, by service."""

from collections.abc import Container
from typing import Final

from heathermount.routing.members import Member
from heathermount.values import Load

__all__ = [
    "RATE_REPORT_TTL_S",
    "ServerGroup",
    "ServerState",
    "select_within_rates",
]

# A reported load loses half of its weight in this time, because the requests that
# it counted end meanwhile.
LOAD_HALF_LIFE_S: Final = 0.25

# Smoothing weight of one response time: the mean covers about thirty calls.
RESPONSE_TIME_WEIGHT: Final = 1 / 16

# Older response times no longer count, so that a server that was slow is tried
# again.
RESPONSE_TIME_TTL_S: Final = 10.0

# Period at which the mean response time of a group is recomputed.
GROUP_MEAN_REFRESH_S: Final = 0.1

# Older reports of a server's stated rate no longer count, so that the server is tried
# again.
RATE_REPORT_TTL_S: Final = 5.0

# A node whose request was refused because of a server's rate avoids the server for the
# reported wait, doubled with each further refusal up to this factor. Other nodes wait
# for the same tokens.
MAX_RATE_BACKOFF_FACTOR: Final = 8.0

# Share of its limit with which a cold server starts.
COLD_START_RATIO: Final = 0.1


class ServerState:
    """Statistics about one incarnation of a server."""

    __slots__ = (
        "consecutive_failures",
        "ejected_until",
        "ejection_s",
        "failure_ratio",
        "limit",
        "member",
        "other_nodes_requests",
        "outstanding",
        "rate",
        "rate_avoided_until",
        "rate_backoff_factor",
        "rate_free_at",
        "rate_reported_at",
        "reported_at",
        "response_time_at",
        "response_time_s",
        "service",
    )

    def __init__(self, service: str, member: Member, now: float) -> None:
        self.service = service
        self.member = member
        self.outstanding = 0
        self.consecutive_failures = 0
        # Smoothed share of failed calls.
        self.failure_ratio = 0.0
        self.ejection_s = 0.0
        self.ejected_until = float("-inf")
        self.limit = max(1, member.slots)
        # Requests of other nodes in the last load report, and the report's time.
        self.other_nodes_requests = 0
        self.reported_at = now
        # Requests per second that the server states it takes, 0 without a limit; when
        # it takes the next one; and until when this node avoids it.
        self.rate = 0.0
        self.rate_reported_at = float("-inf")
        self.rate_free_at = float("-inf")
        self.rate_avoided_until = float("-inf")
        self.rate_backoff_factor = 1.0
        # Smoothed response time of successful calls, and the time of the last one.
        self.response_time_s = 0.0
        self.response_time_at = float("-inf")

    def record_response_time(self, response_time_s: float, now: float) -> None:
        """Update the mean with the response time of a successful call."""
        if now - self.response_time_at > RESPONSE_TIME_TTL_S:
            self.response_time_s = response_time_s
        else:
            self.response_time_s += RESPONSE_TIME_WEIGHT * (
                response_time_s - self.response_time_s
            )
        self.response_time_at = now

    def relative_time(self, group_mean_s: float, now: float) -> float:
        """Return the response time as a multiple of the group's mean."""
        if group_mean_s <= 0.0 or now - self.response_time_at > RESPONSE_TIME_TTL_S:
            return 1.0
        return self.response_time_s / group_mean_s

    def record_load(self, load: Load, now: float) -> None:
        self.limit = max(1, load.limit)
        self.other_nodes_requests = max(
            0, load.running + load.queued - self.outstanding
        )
        self.reported_at = now
        self.rate = load.rate
        if load.rate:
            self.rate_reported_at = now
            self.rate_free_at = now + load.rate_wait_s

    def record_rate_decision(self, refused: bool, now: float, jitter: float) -> None:
        """Record whether a request was refused to keep the server's rate."""
        if not refused:
            self.rate_backoff_factor = 1.0
            self.rate_avoided_until = now
            return
        wait_s = max(0.0, self.rate_free_at - now)
        self.rate_avoided_until = now + wait_s * self.rate_backoff_factor * jitter
        self.rate_backoff_factor = min(
            MAX_RATE_BACKOFF_FACTOR, 2.0 * self.rate_backoff_factor
        )

    def is_limited(self, now: float) -> bool:
        """Whether the server has lately stated a limit of its rate."""
        return self.rate > 0.0 and now - self.rate_reported_at < RATE_REPORT_TTL_S

    def may_take(self, now: float) -> bool:
        """Whether the server's rate is likely to allow a request now."""
        if not self.is_limited(now):
            return True
        return now >= max(self.rate_free_at, self.rate_avoided_until)

    def estimate_load_ratio(self, now: float, wall: float) -> float:
        """Return the requests per unit of the limit if one more were sent."""
        age_s = now - self.reported_at
        busy = self.outstanding + 1
        other_nodes_requests = self.other_nodes_requests
        if other_nodes_requests:
            # Rounded down, so that the remainder of an old report does not decide
            # every choice.
            busy += int(other_nodes_requests * 0.5 ** (age_s / LOAD_HALF_LIFE_S))
        return busy / (self.limit * self.compute_cold_start_ratio(wall))

    def compute_cold_start_ratio(self, wall: float) -> float:
        """Return the share of its limit that a server may use while it warms up."""
        cold_start_s = self.member.cold_start_s
        if cold_start_s <= 0.0:
            return 1.0
        warm = (wall - self.member.joined_at) / cold_start_s
        return COLD_START_RATIO + (1.0 - COLD_START_RATIO) * min(1.0, max(0.0, warm))


class ServerGroup:
    """Servers of one service, and those that may be chosen now."""

    __slots__ = (
        "local",
        "mean_response_time_s",
        "next_return_at",
        "rates_until",
        "refreshed_at",
        "selectable",
        "states",
    )

    def __init__(self) -> None:
        self.states: list[ServerState] = []
        self.selectable: list[ServerState] = []
        self.local: list[ServerState] = []
        self.next_return_at = float("inf")
        # Zero until a response time is known.
        self.mean_response_time_s = 0.0
        self.refreshed_at = float("-inf")
        # Until when at least one of the servers counts as limited in its rate.
        self.rates_until = float("-inf")

    def refresh_mean(self, now: float) -> None:
        """Recompute the mean response time if it is too old."""
        if now - self.refreshed_at < GROUP_MEAN_REFRESH_S:
            return
        self.refreshed_at = now
        oldest = now - RESPONSE_TIME_TTL_S
        times = [
            s.response_time_s for s in self.selectable if s.response_time_at >= oldest
        ]
        self.mean_response_time_s = sum(times) / len(times) if times else 0.0


def select_within_rates(
    states: list[ServerState], tried: Container[str], now: float
) -> list[ServerState]:
    """Return the servers to choose from while some of them limit their rates.

    These are the servers that are likely to take a request at once. After a failed
    attempt, they are those without a limit. If there are none, they are the servers
    whose rates allow the next request first.
    """
    untried = [state for state in states if state.member.node not in tried]
    if len(untried) < len(states):
        unlimited = [state for state in untried if not state.is_limited(now)]
        if unlimited:
            return unlimited
    taking = [state for state in untried if state.may_take(now)]
    if taking or not untried:
        return taking
    first_free_at = max(now, min(state.rate_free_at for state in untried))
    return [state for state in untried if state.rate_free_at <= first_free_at]
