"""State of requests running at the local backend server."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging

from heathermount.admission import Permit
from heathermount.gateway.messages import Answer, Execute
from heathermount.values import ServiceThreshold

__all__ = ["RunContext", "run_shielded"]


class RunContext:
    """A request running at the backend server, and the state of its nested calls.

    Collects the shedding thresholds of all services that the nested calls reach,
    so that the entry node can shed early when one of them is overloaded.
    """

    __slots__ = (
        "message",
        "nested_call_failed",
        "nested_calls",
        "permit",
        "thresholds",
    )

    def __init__(self, message: Execute, permit: Permit) -> None:
        self.message = message
        self.permit = permit
        self.nested_calls = 0
        self.nested_call_failed = False
        self.thresholds: dict[str, ServiceThreshold] = {}

    def record_thresholds(self, thresholds: list[ServiceThreshold]) -> None:
        for threshold in thresholds:
            self.thresholds[threshold.service] = threshold


async def run_shielded(run: Coroutine[Any, Any, Answer]) -> Answer:
    """Await a run that continues when the caller is cancelled."""
    task = asyncio.ensure_future(run)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(log_abandoned_run)
        raise


def log_abandoned_run(task: asyncio.Task[Answer]) -> None:
    """Log the result of a run whose caller was cancelled."""
    error = None if task.cancelled() else task.exception()
    logging.info(
        'event=run-abandoned cancelled=%s error="%s"', task.cancelled(), error or ""
    )
