"""Checks of a gateway soak, which compare clients' results with servers' records.

A check reports only violations that the records prove.
"""

from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec

from heathermount.config.durations import parse_duration
from heathermount.soak.checks import Violation
from heathermount.soak.instances import (
    DRAIN_BOUND,
    REVOCATION_BOUND,
    RequestRun,
    StatedLimit,
)

__all__ = ["ClientResult", "check_gateway_run", "find_runs_over_limit"]

# Statuses that guarantee that a request was not executed and never will be.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Statuses that a client with a valid key and a known route must never get.
DENIAL_STATUSES: Final = frozenset({400, 401, 403, 404})


# A server that states a limit for longer than the first time gets in each window at
# most this many times what the limit allows, and a few requests more.
LIMIT_GRACE_S: Final = 3.0
LIMIT_WINDOW_S: Final = 4.0
LIMIT_RATIO: Final = 1.5
LIMIT_EXTRA_REQUESTS: Final = 5


class ClientResult(msgspec.Struct, kw_only=True):
    """One request of a client; times are monotonic, in seconds."""

    request_id: str
    key: str
    idempotent: bool
    node: str
    sent_at: float
    ended_at: float
    # None if no complete response was received.
    status: int | None = None
    # False if a success response has a wrong identifier, stamp or body.
    whole: bool = True
    # Whether the key was valid in every configuration that a node may use.
    entitled: bool = True
    # Whether the node ran undisturbed from before the request until its end.
    undisturbed: bool = True


def check_gateway_run(
    results: Sequence[ClientResult],
    runs: Iterable[RequestRun],
    withdrawn_keys: Mapping[str, float],
    drains: Iterable[tuple[str, float]],
    stated_limits: Iterable[StatedLimit],
    timeout_s: float,
) -> list[Violation]:
    """Return all violations of the guarantees to clients and servers."""
    runs_by_request: dict[str, list[RequestRun]] = defaultdict(list)
    for run in runs:
        runs_by_request[run.request_id].append(run)
    violations = []
    for result in results:
        request_runs = runs_by_request.get(result.request_id, [])
        violations += check_request(result, request_runs, withdrawn_keys, timeout_s)
    violations += find_runs_without_request(results, runs_by_request)
    violations += find_runs_after_drain(runs_by_request, drains)
    violations += find_runs_over_limit(runs_by_request, stated_limits)
    return violations


def check_request(
    result: ClientResult,
    runs: Sequence[RequestRun],
    withdrawn_keys: Mapping[str, float],
    timeout_s: float,
) -> list[Violation]:
    """Return the violations that concern one request."""
    found = []
    detail = f"node={result.node} status={result.status} runs={len(runs)}"
    if not result.idempotent and len(runs) > 1:
        found.append("ran-twice")
    if not result.idempotent and result.status in NOT_RUN_STATUSES and runs:
        found.append("false-refusal")
    if not result.whole:
        found.append("mixed-answer")
    if result.entitled and result.status in DENIAL_STATUSES:
        found.append("denied")
    withdrawn_at = withdrawn_keys.get(result.key)
    if withdrawn_at is not None and runs:
        late_s = result.sent_at - withdrawn_at
        if late_s > parse_duration(REVOCATION_BOUND):
            found.append("withdrawn-key-used")
            detail += f" late_s={late_s:.2f}"
    if result.undisturbed and result.ended_at - result.sent_at > timeout_s:
        found.append("no-answer")
    return [Violation(check, result.request_id, detail) for check in found]


def find_runs_without_request(
    results: Iterable[ClientResult], runs_by_request: Mapping[str, list[RequestRun]]
) -> list[Violation]:
    """Return executions of requests that no client sent."""
    sent = {result.request_id for result in results}
    return [
        Violation("unasked", request_id, f"runs={len(runs)}")
        for request_id, runs in runs_by_request.items()
        if request_id not in sent
    ]


def find_runs_after_drain(
    runs_by_request: Mapping[str, list[RequestRun]], drains: Iterable[tuple[str, float]]
) -> list[Violation]:
    """Return executions later than the drain bound after an acknowledged drain."""
    drain_times = dict(drains)
    late_runs: Counter[str] = Counter()
    for runs in runs_by_request.values():
        for run in runs:
            drained_at = drain_times.get(run.server_id)
            if drained_at is not None and run.started_at - drained_at > parse_duration(
                DRAIN_BOUND
            ):
                late_runs[run.server_id] += 1
    return [
        Violation("late-at-leaving-server", server, f"requests={count}")
        for server, count in late_runs.items()
    ]


def find_runs_over_limit(
    runs_by_request: Mapping[str, list[RequestRun]],
    stated_limits: Iterable[StatedLimit],
) -> list[Violation]:
    """Return windows in which a server got more than the limit that it stated."""
    times_by_server: dict[str, list[float]] = defaultdict(list)
    for runs in runs_by_request.values():
        for run in runs:
            times_by_server[run.server_id].append(run.started_at)
    violations = []
    for limit in stated_limits:
        allowed = LIMIT_RATIO * limit.rate * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS
        bound_from = limit.started_at + LIMIT_GRACE_S
        times = sorted(
            one
            for one in times_by_server[limit.server_id]
            if bound_from <= one <= limit.ended_at
        )
        most = max(
            (
                bisect(times, start + LIMIT_WINDOW_S) - i
                for i, start in enumerate(times)
            ),
            default=0,
        )
        if most > allowed:
            detail = f"rate={limit.rate} requests={most} allowed={allowed:.0f}"
            violations.append(Violation("over-stated-limit", limit.server_id, detail))
    return violations
