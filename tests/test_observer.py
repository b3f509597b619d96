"""Tests of the observe listener: metrics, readiness and events."""

import asyncio
from typing import Any

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from heathermount.clocks import ManualClock
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.node.metrics import Metrics
from heathermount.node.observe_app import ObserveApp
from heathermount.values import Importance, Load


def fetch(app: ObserveApp, path: str, query: bytes = b"") -> tuple[int, bytes]:
    sent: list[Any] = []

    async def send(message: Any) -> None:
        sent.append(message)

    async def receive() -> Any:
        return {"type": "http.request", "body": b""}

    scope = {"type": "http", "method": "GET", "path": path, "query_string": query}
    asyncio.run(app(scope, receive, send))
    return sent[0]["status"], sent[1]["body"]


def make_observe_app(reasons: list[str]) -> tuple[ObserveApp, Metrics, EventLog]:
    clock = ManualClock()
    events = EventLog("pantry-1", clock, quiet=True)
    metrics = Metrics(clock, Invariants(events))
    return ObserveApp(metrics, events, lambda: reasons), metrics, events


def test_metrics_are_exported() -> None:
    """Guards against a counter that is not exported or has wrong labels."""
    app, metrics, _ = make_observe_app([])
    metrics.count_call("pantry", "ran")
    metrics.count_call("pantry", "not-run", "shed")
    metrics.count_shed(Importance.BACKGROUND)
    metrics.count_retry("pantry")
    metrics.count_tokens("granted", 5)
    metrics.count_claim("granted")
    metrics.count_store_call("get")
    assert metrics.invariants is not None
    metrics.invariants.check(False, "one-owner")
    metrics.state_readers.load = lambda: Load(running=3, queued=2, limit=7)
    metrics.state_readers.configuration = lambda: (12, 0.5)
    metrics.observe_call(total_s=0.010, server_time_s=0.009)
    metrics.traffic.count_sent(100, is_data_path=False)
    status, body = fetch(app, "/metrics")
    # The text format sorts labels by name.
    samples = {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(body.decode())
        for sample in family.samples
    }
    assert status == 200
    expected = {
        ("heathermount_calls_total", "not-run", "shed", "pantry"): 1,
        ("heathermount_sheds_total", "background"): 1,
        ("heathermount_retries_total", "pantry"): 1,
        ("heathermount_tokens_total", "granted"): 5,
        ("heathermount_claims_total", "granted"): 1,
        ("heathermount_store_calls_total", "get"): 1,
        ("heathermount_invariant_violations_total", "one-owner"): 1,
        ("heathermount_running_requests",): 3,
        ("heathermount_concurrency_limit",): 7,
        ("heathermount_configuration_revision",): 12,
        ("heathermount_peer_bytes_total", "sent", "control"): 100,
    }
    assert expected.items() <= samples.items()
    assert 0.0009 < samples["heathermount_added_latency_seconds", "0.99"] < 0.0011


def test_old_latency_leaves_the_quantiles() -> None:
    """Guards against an old latency peak that hides the current latency."""
    clock = ManualClock()
    metrics = Metrics(clock)
    metrics.total_latency.record(5.0)
    assert metrics.total_latency.compute_quantiles()[1.0] > 4.9
    for _ in range(2):
        clock.advance(60.0)
        metrics.total_latency.record(0.001)
        quantiles = metrics.total_latency.compute_quantiles()
    assert quantiles[1.0] < 0.0011


def test_readiness_names_the_reasons() -> None:
    """Guards against a node that is not ready and does not say why."""
    app, _, _ = make_observe_app(["no backend server announced", "starting"])
    status, body = fetch(app, "/readyz")
    lines = [msgspec.json.decode(line) for line in body.splitlines()]
    assert status == 503
    assert [line["reason"] for line in lines][1] == "starting"
    assert fetch(make_observe_app([])[0], "/readyz") == (200, b"")
    assert fetch(app, "/healthz")[0] == 200


def test_timeline_checks_its_query() -> None:
    """Guards against a malformed query that is answered with status 500."""
    app, _, events = make_observe_app([])
    event = events.record("drain", running=3)
    status, body = fetch(app, "/timeline", b"since_us=%d" % event.wall_us)
    assert status == 200
    assert msgspec.json.decode(body)["fields"] == {"running": "3"}
    later = b"since_us=%d" % (event.wall_us + 1)
    assert fetch(app, "/timeline", later) == (200, b"")
    for query in ("since_us=x", "since_us=²", "since_us=" + "9" * 5000):
        assert fetch(app, "/timeline", query.encode())[0] == 400
