"""Tests that the checks report the violations that records prove, and no others."""

from random import Random

import msgspec
import pytest

from builders_standins import make_result, make_run
from heathermount.runner.rate_limit_check import TokenSpend, find_worst_excess
from heathermount.soak import checks
from heathermount.soak.checks import Drain, RateLimit, RunData, Withdrawal
from heathermount.standins.records import DownstreamResult, RunOutcome

ORDER_RUN = {"method": "POST", "path": "/orders/restock", "idempotency_key": "k"}
DOWNSTREAM_RUN = {"test_id": "run.cart-1.0/0", "attempt": "orders-1:0:1"}
REFUSED_RESULT = {"status": 503, "outcome": "not-run", "reason": "shed"}


def get_check_names(found: list[checks.Violation]) -> list[str]:
    return [violation.check for violation in found]


def test_clean_run_passes_all_checks() -> None:
    """Guards against a check that reports a violation in a correct run."""
    shed = make_run(run_id="pantry-2:0:1", outcome=RunOutcome.SHED)
    data = RunData(
        results=[
            make_result(),
            make_result(test_id="x", attempt="1", **REFUSED_RESULT),
        ],
        records=[make_run(), shed, make_run(**DOWNSTREAM_RUN)],
        rate_limits={"cart-1": RateLimit(1.0, 1.0)},
        drains=[Drain("pantry-1", 9.0)],
        withdrawals=[Withdrawal("k1", 9.5)],
    )
    assert checks.check_all(data) == []


@pytest.mark.parametrize(
    ("second", "expected"),
    [
        ({"root": "root-2", "test_id": "other"}, ["second-run"]),
        ({"idempotency_key": "k2"}, []),
        ({"organisation": "cart-2"}, []),
        ({"outcome": RunOutcome.SHED}, []),
        ({"outcome": RunOutcome.CANCELLED}, ["second-run"]),
    ],
)
def test_finds_second_runs(second: dict[str, object], expected: list[str]) -> None:
    """Guards against missing a non-idempotent request that was executed twice."""
    records = [make_run(**ORDER_RUN), make_run(**(ORDER_RUN | second))]
    assert get_check_names(checks.find_second_runs(records)) == expected


@pytest.mark.parametrize(("root", "expected"), [("root-1", 1), ("root-2", 0)])
def test_finds_second_runs_of_downstream_calls(root: str, expected: int) -> None:
    """Guards against missing a downstream call that ran twice for one root request."""
    first = make_run(**DOWNSTREAM_RUN, method="POST")
    second = make_run(
        **DOWNSTREAM_RUN | {"attempt": "orders-2:0:9"}, method="POST", root=root
    )
    assert len(checks.find_second_runs([first, second])) == expected


def test_finds_false_not_run() -> None:
    """Guards against missing a "not-run" response to a request that a server ran."""
    refused = make_result(**REFUSED_RESULT)
    assert get_check_names(checks.find_false_not_run([refused], [make_run()])) == [
        "false-not-run"
    ]
    other_attempt = make_run(attempt="1")
    shed = make_run(outcome=RunOutcome.SHED)
    assert checks.find_false_not_run([refused], [other_attempt, shed]) == []


def test_finds_false_not_run_of_downstream_calls() -> None:
    """Guards against missing a wrong "not-run" response to a downstream call."""
    downstream = DownstreamResult(
        DOWNSTREAM_RUN["test_id"], DOWNSTREAM_RUN["attempt"], 503, "not-run", "shed"
    )
    records = [make_run(deeper=[downstream]), make_run(**DOWNSTREAM_RUN)]
    assert get_check_names(checks.find_false_not_run([], records)) == ["false-not-run"]


def test_finds_wrong_organisations_at_any_depth() -> None:
    """Guards against missing a downstream call for another organisation."""
    records = [make_run(), make_run(**DOWNSTREAM_RUN, organisation="cart-2")]
    found = checks.find_wrong_organisations([make_result()], records)
    assert [violation.subject for violation in found] == [DOWNSTREAM_RUN["test_id"]]


def test_finds_visible_keys() -> None:
    """Guards against missing an API key that reached a backend server."""
    records = [make_run(key_visible=True), make_run()]
    assert get_check_names(checks.find_visible_keys(records)) == ["key-visible"]


@pytest.mark.parametrize(("sent", "expected"), [(14.9, 0), (15.1, 1)])
def test_finds_uses_after_withdrawal(sent: float, expected: int) -> None:
    """Guards against missing a withdrawn key that still works after the bound."""
    results = [make_result(sent=sent), make_result(sent=sent, status=401)]
    found = checks.find_uses_after_withdrawal(results, [Withdrawal("k1", 10.0)])
    assert len(found) == expected


def test_finds_broken_answers() -> None:
    """Guards against missing partial responses and responses to other requests."""
    broken = DownstreamResult("x/0", "a", 200, whole=False)
    results = [make_result(whole=False), make_result(own=False), make_result()]
    found = checks.find_broken_answers(results, [make_run(deeper=[broken])])
    assert get_check_names(found) == [
        "partial-answer",
        "foreign-answer",
        "broken-deeper-answer",
    ]


@pytest.mark.parametrize(("extra", "expected"), [(2, 0), (3, 1)])
def test_finds_excess_attempts(extra: int, expected: int) -> None:
    """Guards against missing retries at several depths that exceed the limit in sum."""
    records = [make_run(), make_run(**DOWNSTREAM_RUN)]
    records += [make_run(outcome=RunOutcome.SHED)]
    records += [make_run(**DOWNSTREAM_RUN) for _ in range(extra - 1)]
    # Downstream calls of another run of the parent are first attempts.
    records += [make_run(**DOWNSTREAM_RUN | {"attempt": "orders-2:0:1"})]
    records += [make_run(root="root-2") for _ in range(2)]
    assert len(checks.find_excess_attempts(records, 2)) == expected


def test_finds_work_after_drain() -> None:
    """Guards against missing a request to a server whose drain grace is over."""
    drains = [Drain("pantry-1", 10.0, 20.0)]
    records = [make_run(arrived=at) for at in (12.9, 13.1, 20.1)]
    assert len(checks.find_work_after_drain(records, drains)) == 1


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, 1),
        ({"run_id": "pantry-1:earlier:1"}, 0),
        ({"outcome": RunOutcome.CANCELLED}, 0),
        ({"arrived": 21.0}, 0),
    ],
)
def test_finds_interrupted_runs(fields: dict[str, object], expected: int) -> None:
    """Guards against missing a request that a planned stop interrupted."""
    running = make_run(**{"outcome": RunOutcome.RUNNING, "arrived": 11.0} | fields)
    records = [running, make_run(arrived=12.0)]
    found = checks.find_interrupted_runs(records, [Drain("pantry-1", 10.0, 20.0)])
    assert len(found) == expected


def test_finds_excess_losses() -> None:
    """Guards against missing a request that crashed more servers than allowed."""
    fields = {"outcome": RunOutcome.CRASHED, "path": "/pantry/crash"}
    losses = [make_run(**fields, test_id=str(number)) for number in range(3)]
    lost = msgspec.structs.replace(losses[0], outcome=RunOutcome.LOST)
    assert checks.find_excess_losses([*losses[:2], lost]) == []
    assert get_check_names(checks.find_excess_losses(losses)) == ["excess-losses"]


def test_excess_spending_allows_for_the_unknown_spending_time() -> None:
    """Guards against reporting queueing delay as spending above the rate limit.

    The token of a request is spent at any time between its sending and its arrival
    at a server, so requests sent well before a burst of arrivals are no violation.
    """
    rate_limits = {"cart-1": RateLimit(1.0, 2.0)}
    fields = [{"test_id": f"t{n}", "root": f"r{n}"} for n in range(3)]
    records = [make_run(**values) for values in fields for _ in range(2)]
    late = [make_result(test_id=f"t{n}", sent=10.0) for n in range(3)]
    early = [make_result(test_id=f"t{n}", sent=10.0 - n) for n in range(3)]
    assert get_check_names(checks.find_excess_spending(late, records, rate_limits)) == [
        "excess-spending"
    ]
    assert checks.find_excess_spending(early, records, rate_limits) == []


@pytest.mark.parametrize("seed", range(20))
def test_worst_excess_equals_brute_force_over_all_windows(seed: int) -> None:
    """Guards against a time window that the O(n log n) algorithm leaves out."""
    random = Random(seed)
    rate = random.uniform(0.1, 5.0)
    token_spends = []
    for _ in range(random.randint(1, 40)):
        earliest = random.randint(0, 40) / 4
        token_spends.append(
            TokenSpend(earliest, earliest + random.choice((0, 0, 0.5, 3)))
        )
    expected = max(
        sum(a <= s.earliest and s.latest <= b for s in token_spends) - rate * (b - a)
        for a in {s.earliest for s in token_spends}
        for b in {s.latest for s in token_spends}
        if a <= b
    )
    assert find_worst_excess(token_spends, rate) == pytest.approx(expected)
