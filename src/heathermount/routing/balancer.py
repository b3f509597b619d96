"""Load balancing of calls over the servers of a service."""

from collections.abc import Container, Sequence
from random import Random
from typing import Final

from heathermount.clocks import Clock
from heathermount.errors import Refusal
from heathermount.routing.members import Member
from heathermount.routing.server_states import (
    RATE_REPORT_TTL_S,
    ServerGroup,
    ServerState,
    select_within_rates,
)
from heathermount.values import Load, Outcome, Reason

__all__ = ["Balancer", "NoServer"]

# Consecutive failures after which a server is ejected. In a small group, a lower
# number would eject a server for one lost connection that carried several calls.
# After an ejection, a single failure ejects again until a call has succeeded.
EJECT_AFTER_FAILURES: Final = 5

# Duration of the first ejection, doubled each time up to the longest one.
FIRST_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0

# Load, as a share of its limit, up to which a server of this node's failure domain
# is preferred. The rest is a margin for calls of other nodes that no report shows
# yet. Above this load the cost of any server rises steeply.
CROWDING_LOAD_RATIO: Final = 0.8

# A server of this node's failure domain is preferred only if its response time is
# at most this many times the mean of its group: a call to another failure domain
# takes only one or two milliseconds longer.
MAX_LOCAL_TIME_RATIO: Final = 1.25

# Slope of the cost of a server above `CROWDING_LOAD_RATIO`: at its limit, a server
# costs as much as an idle one that is six times slower.
CROWDING_COST_SLOPE: Final = 10.0

# Smoothing weight of one result in the share of failed calls. A server that fails
# fast has few outstanding requests and would attract calls, so it is avoided with
# a probability of this many times its share of failures, up to the maximum.
FAILURE_RATIO_WEIGHT: Final = 1 / 16
AVOIDANCE_PER_FAILURE_RATIO: Final = 2.0
MAX_AVOIDANCE_PROBABILITY: Final = 0.9

# Up to this share of failures, a server is never avoided.
MIN_FAILURE_RATIO: Final = 0.02

# Factor by which the response time of an avoided server is multiplied.
AVOIDED_TIME_FACTOR: Final = 8.0

NO_SERVER_RETRY_AFTER_S: Final = 1.0


class NoServer(Refusal):
    """No server of the service is left to try."""

    def __init__(self, service: str) -> None:
        super().__init__(
            503,
            Reason.NO_SERVER,
            Outcome.NOT_RUN,
            f"no server of {service} is available; send the request again later",
            NO_SERVER_RETRY_AFTER_S,
        )


class Balancer:
    """Chooses the better of two random servers.

    The cost of a server is its recent response time, raised with its load. The
    load is the number of its requests divided by its limit: the outstanding
    requests of this node plus the decayed number of those of other nodes in its
    last load report. Reports include running requests as well as queued ones,
    because below saturation there is no queue that tells which server is less
    busy. With spare capacity, slow servers get fewer calls; near saturation, all
    slots are used.
    """

    __slots__ = ("_clock", "_failure_domain", "_groups", "_random", "_states")

    def __init__(self, clock: Clock, random: Random, failure_domain: str) -> None:
        self._clock = clock
        self._random = random
        self._failure_domain = failure_domain
        self._groups: dict[str, ServerGroup] = {}
        self._states: dict[tuple[str, str], ServerState] = {}

    def update(self, service: str, members: Sequence[Member]) -> None:
        """Replace the members of a service; known incarnations keep statistics."""
        now = self._clock.monotonic()
        group = self._groups.setdefault(service, ServerGroup())
        former = {state_key(state.member): state for state in group.states}
        group.states = []
        for member in members:
            state = former.pop(state_key(member), None)
            if state is None:
                state = ServerState(service, member, now)
                self._states[state_key(member)] = state
            state.member = member
            group.states.append(state)
        for key in former:
            del self._states[key]
        self._update_selectable(group, now)

    def members(self, service: str) -> list[Member]:
        group = self._groups.get(service)
        return [state.member for state in group.states] if group else []

    def choose(self, service: str, tried: Container[str] = ()) -> Member:
        """Return a server whose node is not in `tried`; raise NoServer if none."""
        group = self._groups.get(service)
        if group is None:
            raise NoServer(service)
        now = self._clock.monotonic()
        if now >= group.next_return_at:
            self._update_selectable(group, now)
        wall = self._clock.wall()
        group.refresh_mean(now)
        selectable, local = group.selectable, group.local
        if now < group.rates_until:
            selectable = select_within_rates(selectable, tried, now)
            local = [state for state in selectable if self._is_local(state)]
        if local:
            state, relative_time = self._choose_of_two(local, group, tried, now, wall)
            if state is not None and relative_time <= MAX_LOCAL_TIME_RATIO:
                return state.member
        state, _ = self._choose_of_two(selectable, group, tried, now, wall)
        if state is None:
            state = self._choose_ejected(group, tried)
        if state is None:
            raise NoServer(service)
        return state.member

    def has_room(self, service: str, tried: Container[str]) -> bool:
        """Return whether a server that is not in `tried` can take a request at once.

        False if no server limits its rate, because any server then lets requests wait.
        """
        group = self._groups.get(service)
        now = self._clock.monotonic()
        if group is None or now >= group.rates_until:
            return False
        wall = self._clock.wall()
        return any(
            state.member.node not in tried
            and state.may_take(now)
            and state.estimate_load_ratio(now, wall) <= 1.0
            for state in group.selectable
        )

    def record_start(self, member: Member) -> float:
        """Count a request that is sent to a server; return the current time."""
        state = self._states.get(state_key(member))
        if state is not None:
            state.outstanding += 1
        return self._clock.monotonic()

    def record_end(
        self,
        member: Member,
        success: bool | None,
        load: Load | None = None,
        ran_since: float | None = None,
        over_rate: bool = False,
    ) -> None:
        """Count the end of a call; every `record_start` needs one `record_end`.

        `success` is false when the server or its node failed, and None when the
        caller cancelled first. A refusal by an overloaded server counts as a
        success, because its reported load already keeps calls away. `ran_since`
        is the time that `record_start` returned; it is given only if the server ran
        the request, so that a fast refusal does not count as a fast answer.
        `over_rate` tells that it was refused to keep the rate that the server states.
        """
        state = self._states.get(state_key(member))
        if state is None:
            return
        now = self._clock.monotonic()
        state.outstanding = max(0, state.outstanding - 1)
        if load is not None:
            state.record_load(load, now)
            if load.rate:
                group = self._groups[state.service]
                group.rates_until = now + RATE_REPORT_TTL_S
                state.record_rate_decision(
                    over_rate, now, self._random.uniform(0.5, 1.5)
                )
        if success:
            if ran_since is not None:
                state.record_response_time(now - ran_since, now)
            self._record_success(state, now)
        elif success is not None:
            self._record_failure(state, now)

    def record_load(self, member: Member, load: Load) -> None:
        """Record a load report that arrived without an answer."""
        state = self._states.get(state_key(member))
        if state is not None:
            state.record_load(load, self._clock.monotonic())

    def outstanding(self, service: str) -> dict[str, int]:
        """Return the number of this node's outstanding calls by the server's node."""
        group = self._groups.get(service)
        if group is None:
            return {}
        return {state.member.node: state.outstanding for state in group.states}

    def ejected(self, service: str) -> list[str]:
        """Return the nodes whose servers are ejected because of failures."""
        group = self._groups.get(service)
        if group is None:
            return []
        selectable = {id(state) for state in group.selectable}
        return [
            state.member.node
            for state in group.states
            if not state.member.draining and id(state) not in selectable
        ]

    def _choose_of_two(
        self,
        states: list[ServerState],
        group: ServerGroup,
        tried: Container[str],
        now: float,
        wall: float,
    ) -> tuple[ServerState | None, float]:
        """Return the cheaper of two random servers and its relative response time.

        The time is infinite if the server's load exceeds `CROWDING_LOAD_RATIO`.
        """
        if tried:
            states = [state for state in states if state.member.node not in tried]
        count = len(states)
        if count == 0:
            return None, 0.0
        # `random()` is several times faster than `sample()`.
        first = int(self._random.random() * count)
        state = states[first]
        cost, relative_time = self._estimate_cost(state, group, now, wall)
        if count > 1:
            second = int(self._random.random() * (count - 1))
            other = states[second if second < first else second + 1]
            other_cost, other_relative_time = self._estimate_cost(
                other, group, now, wall
            )
            if other_cost < cost:
                return other, other_relative_time
        return state, relative_time

    def _estimate_cost(
        self, state: ServerState, group: ServerGroup, now: float, wall: float
    ) -> tuple[float, float]:
        """Return the cost of a call to a server, and its relative response time."""
        relative_time = state.relative_time(group.mean_response_time_s, now)
        if state.failure_ratio > MIN_FAILURE_RATIO:
            avoidance_probability = min(
                MAX_AVOIDANCE_PROBABILITY,
                AVOIDANCE_PER_FAILURE_RATIO * state.failure_ratio,
            )
            if self._random.random() < avoidance_probability:
                relative_time *= AVOIDED_TIME_FACTOR
        load = state.estimate_load_ratio(now, wall)
        if load <= CROWDING_LOAD_RATIO:
            return relative_time * (1.0 + load), relative_time
        crowding = 1.0 + CROWDING_COST_SLOPE * (load - CROWDING_LOAD_RATIO)
        return relative_time * (1.0 + load) * crowding, float("inf")

    def _is_local(self, state: ServerState) -> bool:
        return state.member.failure_domain == self._failure_domain

    def _choose_ejected(
        self, group: ServerGroup, tried: Container[str]
    ) -> ServerState | None:
        """Return the ejected server whose ejection ends first."""
        choices = [
            state
            for state in group.states
            if not state.member.draining and state.member.node not in tried
        ]
        return min(choices, key=lambda state: state.ejected_until, default=None)

    def _record_success(self, state: ServerState, now: float) -> None:
        state.failure_ratio *= 1.0 - FAILURE_RATIO_WEIGHT
        state.consecutive_failures = 0
        state.ejection_s = 0.0
        if state.ejected_until > now:
            state.ejected_until = now
            self._update_selectable(self._groups[state.service], now)

    def _record_failure(self, state: ServerState, now: float) -> None:
        state.consecutive_failures += 1
        state.failure_ratio += FAILURE_RATIO_WEIGHT * (1.0 - state.failure_ratio)
        if state.ejected_until > now:
            # This call was sent before the ejection.
            return
        if (
            state.consecutive_failures < EJECT_AFTER_FAILURES
            and state.ejection_s == 0.0
        ):
            return
        ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * state.ejection_s))
        state.ejection_s = ejection_s
        state.ejected_until = now + ejection_s * self._random.uniform(0.8, 1.2)
        self._update_selectable(self._groups[state.service], now)

    def _update_selectable(self, group: ServerGroup, now: float) -> None:
        active = [state for state in group.states if not state.member.draining]
        ejected = [state for state in active if state.ejected_until > now]
        # At most half of the group stays ejected: those whose ejection ends last.
        ejected.sort(key=lambda state: -state.ejected_until)
        out = {id(state) for state in ejected[: len(active) // 2]}
        group.selectable = [state for state in active if id(state) not in out]
        group.local = [state for state in group.selectable if self._is_local(state)]
        times = [state.ejected_until for state in ejected]
        group.next_return_at = min(times, default=float("inf"))


def state_key(member: Member) -> tuple[str, str]:
    return member.node, member.incarnation
