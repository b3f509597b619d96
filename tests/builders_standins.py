"""Builders of records, results and server descriptions for tests."""

from typing import Any

from heathermount.runner.backend_settings import RouteDescription, ServerDescription
from heathermount.standins.records import CallResult, RunOutcome, RunRecord


def make_run(**fields: Any) -> RunRecord:
    """Return the record of a successful GET request, with fields replaced."""
    values: dict[str, Any] = {
        "run_id": "pantry-1:0:1",
        "server": "pantry-1",
        "service": "pantry",
        "root": "root-1",
        "organisation": "cart-1",
        "method": "GET",
        "path": "/pantry/stock",
        "test_id": "run.cart-1.0",
        "attempt": "0",
        "idempotency_key": "",
        "body_digest": "00",
        "arrived": 10.0,
        "started": 10.0,
        "finished": 10.1,
        "outcome": RunOutcome.ANSWERED,
    }
    return RunRecord(**(values | fields))


def make_result(**fields: Any) -> CallResult:
    """Return the result of a successful call, with fields replaced."""
    values: dict[str, Any] = {
        "test_id": "run.cart-1.0",
        "attempt": "0",
        "organisation": "cart-1",
        "key_id": "k1",
        "entry": "127.0.0.1:1",
        "method": "GET",
        "path": "/pantry/stock",
        "scheduled": 9.9,
        "sent": 9.9,
        "finished": 10.2,
        "status": 200,
    }
    return CallResult(**(values | fields))


def make_server_description(**fields: Any) -> ServerDescription:
    """Return a fast server with two slots and no node, on a free port."""
    values: dict[str, Any] = {
        "name": "pantry-1",
        "service": "pantry",
        "listen": "127.0.0.1:0",
        "slots": 2,
        "backlog": 1,
        "load_lag_s": 0.0,
        "crash_s": 0.05,
        "routes": [
            RouteDescription(path="/pantry", mean_ms=1.0, distribution="fixed"),
            RouteDescription(path="/slow", mean_ms=60_000.0, distribution="fixed"),
        ],
    }
    return ServerDescription(**(values | fields))
