"""Checks of a fleet soak, which compare callers' results with servers' records.

Each check is a function that returns the violations it finds. A check has no
false positives: it reports only violations that the records prove.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec

from heathermount.runner.rate_limit_check import TokenSpend, find_worst_excess
from heathermount.standins.records import CallResult, RunOutcome, RunRecord
from heathermount.values import Outcome

__all__ = [
    "Drain",
    "RateLimit",
    "RunData",
    "Violation",
    "Withdrawal",
    "check_all",
    "find_broken_answers",
    "find_excess_attempts",
    "find_excess_losses",
    "find_excess_spending",
    "find_false_not_run",
    "find_interrupted_runs",
    "find_second_runs",
    "find_uses_after_withdrawal",
    "find_visible_keys",
    "find_work_after_drain",
    "find_wrong_organisations",
    "pick_first",
]

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})

# Number of violations of one check that a report lists.
MAX_REPORTED_PER_CHECK: Final = 5

# Number of servers that one request may crash before it is quarantined.
MAX_SERVERS_CRASHED: Final = 2


class Violation(msgspec.Struct, frozen=True):
    """A violated guarantee, and its subject, such as a request or a server."""

    check: str
    subject: str
    detail: str


class RateLimit(msgspec.Struct, frozen=True):
    """Rate limit of an organisation: rate in calls/s and burst in calls."""

    rate: float
    burst: float


class Drain(msgspec.Struct, frozen=True):
    """Drain of a server, with the times of its request and the end of the stop."""

    server: str
    started: float
    ended: float = float("inf")


class Withdrawal(msgspec.Struct, frozen=True):
    """Withdrawal of a key, with the time of its acceptance."""

    key_id: str
    accepted: float


class RunData(msgspec.Struct, kw_only=True):
    """Input of the checks."""

    results: Sequence[CallResult]
    records: Sequence[RunRecord]
    rate_limits: Mapping[str, RateLimit] = {}
    drains: Sequence[Drain] = ()
    withdrawals: Sequence[Withdrawal] = ()
    extra_attempts: int = 2
    drain_grace_s: float = 3.0
    withdrawal_bound_s: float = 5.0


def find_second_runs(records: Iterable[RunRecord]) -> list[Violation]:
    """Find non-idempotent requests that were executed more than once."""
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for record in records:
        if record.ran and record.method not in IDEMPOTENT_METHODS:
            runs[get_request_identity(record)].append(record)
    return [
        Violation("second-run", identity, describe_runs(group))
        for identity, group in runs.items()
        if len(group) > 1
    ]


def get_request_identity(record: RunRecord) -> str:
    """Return the identity of a request that may be executed at most once.

    Retries of a caller have the same idempotency key and test identifier.
    Downstream calls are the same request only if they have the same root request.
    """
    if record.depth == 0:
        key = record.idempotency_key or record.test_id
    else:
        key = f"{record.root}/{record.test_id}"
    return f"{record.organisation} {record.method} {record.path} {key}"


def find_false_not_run(
    results: Iterable[CallResult], records: Iterable[RunRecord]
) -> list[Violation]:
    """Find "not-run" responses to attempts that a server executed."""
    records = list(records)
    runs: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
    for record in records:
        if record.ran:
            runs[record.test_id, record.attempt].append(record)
    refused = [
        (result.test_id, result.attempt, result.reason)
        for result in results
        if result.outcome == Outcome.NOT_RUN
    ]
    for record in records:
        refused.extend(
            (
                downstream_result.test_id,
                downstream_result.attempt,
                downstream_result.reason,
            )
            for downstream_result in record.deeper
            if downstream_result.outcome == Outcome.NOT_RUN
        )
    return [
        Violation(
            "false-not-run",
            f"{test_id} attempt {attempt}",
            f"refused as {reason}; {describe_runs(runs[test_id, attempt])}",
        )
        for test_id, attempt, reason in refused
        if (test_id, attempt) in runs
    ]


def find_wrong_organisations(
    results: Iterable[CallResult], records: Iterable[RunRecord]
) -> list[Violation]:
    """Find requests that ran for an organisation other than their own."""
    organisations = {result.test_id: result.organisation for result in results}
    found = []
    for record in records:
        expected = organisations.get(record.test_id.partition("/")[0])
        if expected is not None and record.organisation != expected:
            detail = f"{record.server} executed it for {record.organisation!r}"
            found.append(
                Violation("wrong-organisation", record.test_id, f"{expected}: {detail}")
            )
    return found


def find_visible_keys(records: Iterable[RunRecord]) -> list[Violation]:
    """Find requests that exposed a caller's API key to a backend server."""
    return [
        Violation("key-visible", record.server, f"in request {record.test_id}")
        for record in records
        if record.key_visible
    ]


def find_uses_after_withdrawal(
    results: Iterable[CallResult],
    withdrawals: Iterable[Withdrawal],
    bound_s: float = 5.0,
) -> list[Violation]:
    """Find successful calls sent with a withdrawn key after the bound."""
    accepted = {w.key_id: w.accepted for w in withdrawals}
    found = []
    for result in results:
        accepted_at = accepted.get(result.key_id)
        if accepted_at is None or not result.succeeded:
            continue
        late_s = result.sent - accepted_at
        if late_s > bound_s:
            detail = f"{result.entry} accepted it {late_s:.2f} s after the withdrawal"
            found.append(Violation("withdrawn-key-used", result.test_id, detail))
    return found


def find_broken_answers(
    results: Iterable[CallResult], records: Iterable[RunRecord]
) -> list[Violation]:
    """Find partial responses and responses to another request."""
    found = []
    for result in results:
        if not result.whole:
            found.append(Violation("partial-answer", result.test_id, result.entry))
        elif not result.own:
            found.append(Violation("foreign-answer", result.test_id, result.entry))
    for record in records:
        found.extend(
            Violation("broken-deeper-answer", downstream_result.test_id, record.server)
            for downstream_result in record.deeper
            if not downstream_result.whole
        )
    return found


def find_excess_attempts(
    records: Iterable[RunRecord], allowance: int
) -> list[Violation]:
    """Find root requests whose call tree made more extra attempts than allowed.

    Retries are limited over the whole call tree. Attempts of one call share the test
    identifier and the `run_id` of the parent. Each attempt that reached a server,
    except the first, is an extra attempt.
    """
    calls: dict[str, dict[tuple[str, str], int]] = defaultdict(dict)
    for record in records:
        # A retry by the caller is a new root request.
        attempts = calls[record.root]
        key = (record.test_id, record.attempt)
        attempts[key] = attempts.get(key, 0) + 1
    found = []
    for root, attempts in calls.items():
        extra = sum(count - 1 for count in attempts.values())
        if root and extra > allowance:
            detail = f"{extra} extra attempts, {allowance} allowed"
            found.append(Violation("excess-attempts", root, detail))
    return found


def find_excess_spending(
    results: Iterable[CallResult],
    records: Iterable[RunRecord],
    rate_limits: Mapping[str, RateLimit],
) -> list[Violation]:
    """Find organisations that spent more than burst + rate x window.

    Rate and burst hold over the whole fleet, for every time window. The token of a
    root request is spent at an unknown time between the first send and the arrival
    at a server. A violation holds for every choice of these times.
    """
    sent: dict[str, float] = {}
    for result in results:
        sent[result.test_id] = min(result.sent, sent.get(result.test_id, result.sent))
    arrived: dict[str, RunRecord] = {}
    for record in records:
        known = arrived.get(record.root)
        if record.depth == 0 and (known is None or record.arrived < known.arrived):
            arrived[record.root] = record
    token_spends: dict[str, list[TokenSpend]] = defaultdict(list)
    for record in arrived.values():
        earliest = sent.get(record.test_id, record.arrived)
        token_spend = TokenSpend(min(earliest, record.arrived), record.arrived)
        token_spends[record.organisation].append(token_spend)
    found = []
    for organisation, rate_limit in rate_limits.items():
        excess = find_worst_excess(token_spends[organisation], rate_limit.rate)
        if excess > rate_limit.burst:
            detail = (
                f"{excess - rate_limit.burst:.1f} calls above "
                f"burst {rate_limit.burst:g} and rate {rate_limit.rate:g}"
            )
            found.append(Violation("excess-spending", organisation, detail))
    return found


def find_work_after_drain(
    records: Iterable[RunRecord], drains: Iterable[Drain], grace_s: float = 3.0
) -> list[Violation]:
    """Find requests that reached a draining server after the grace period.

    A server that restarts after a crash announces itself, which ends the drain of
    the previous incarnation.
    """
    by_server: dict[str, list[RunRecord]] = defaultdict(list)
    for record in records:
        by_server[record.server].append(record)
    found = []
    for drain in drains:
        runs = sorted(by_server[drain.server], key=lambda record: record.arrived)
        before = {run.incarnation for run in runs if run.arrived <= drain.started}
        for run in runs:
            if before and run.incarnation not in before:
                continue
            late_s = run.arrived - drain.started
            if late_s > grace_s and run.arrived < drain.ended:
                detail = f"{run.test_id} arrived {late_s:.2f} s after the drain began"
                found.append(Violation("work-after-drain", run.server, detail))
    return found


def find_interrupted_runs(
    records: Iterable[RunRecord], drains: Iterable[Drain]
) -> list[Violation]:
    """Find requests that a planned stop interrupted."""
    by_server: dict[str, list[RunRecord]] = defaultdict(list)
    for record in records:
        by_server[record.server].append(record)
    found: list[Violation] = []
    for drain in drains:
        before = [r for r in by_server[drain.server] if r.arrived < drain.ended]
        if not before or drain.ended == float("inf"):
            continue
        # Unfinished requests of other incarnations are due to an earlier kill.
        stopped_incarnation = max(before, key=lambda record: record.arrived).incarnation
        found.extend(
            Violation("interrupted-run", record.test_id, f"{record.run_id} {drain}")
            for record in before
            if record.incarnation == stopped_incarnation
            and record.outcome is RunOutcome.RUNNING
        )
    return found


def find_excess_losses(
    records: Iterable[RunRecord], limit: int = MAX_SERVERS_CRASHED
) -> list[Violation]:
    """Find requests that crashed more servers than the limit, including retries.

    Requests with the same organisation, method, path and body are the same.
    """
    losses: dict[str, list[RunRecord]] = defaultdict(list)
    for record in records:
        if record.outcome is RunOutcome.CRASHED:
            identity = (
                f"{record.organisation} {record.method} {record.path} "
                f"{record.body_digest}"
            )
            losses[identity].append(record)
    return [
        Violation("excess-losses", identity, describe_runs(group))
        for identity, group in losses.items()
        if len(group) > limit
    ]


def describe_runs(records: Sequence[RunRecord]) -> str:
    runs = ", ".join(
        f"{record.run_id} at {record.started:.3f} {record.outcome}"
        for record in records
    )
    return f"{len(records)} runs: {runs}"


def check_all(data: RunData) -> list[Violation]:
    """Run every check."""
    results, records = data.results, data.records
    return [
        *find_second_runs(records),
        *find_false_not_run(results, records),
        *find_wrong_organisations(results, records),
        *find_visible_keys(records),
        *find_uses_after_withdrawal(results, data.withdrawals, data.withdrawal_bound_s),
        *find_broken_answers(results, records),
        *find_excess_attempts(records, data.extra_attempts),
        *find_excess_spending(results, records, data.rate_limits),
        *find_work_after_drain(records, data.drains, data.drain_grace_s),
        *find_interrupted_runs(records, data.drains),
        *find_excess_losses(records),
    ]


def pick_first(violations: list[Violation]) -> list[Violation]:
    """Return at most MAX_REPORTED_PER_CHECK violations of each check."""
    listed: Counter[str] = Counter()
    picked = []
    for violation in violations:
        listed[violation.check] += 1
        if listed[violation.check] <= MAX_REPORTED_PER_CHECK:
            picked.append(violation)
    return picked
