"""Builders for tests that drive a fleet of processes."""

import itertools
import uuid
from collections.abc import Awaitable, Callable

import anyio

from heathermount.runner.fleet import Fleet
from heathermount.standins.connections import (
    Connections,
    HttpAnswer,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.records import RunRecord


class Client:
    """Calls the nodes of a fleet with an organisation's key."""

    def __init__(self, fleet: Fleet, organisation: str = "cart-1") -> None:
        self.key = fleet.keys[organisation]
        self._connections: dict[str, Connections] = {}
        self._fleet = fleet

    async def call(
        self,
        node: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        **headers: str,
    ) -> HttpAnswer | None:
        """Return the answer of a node, or None when it cannot be reached."""
        connections = self._connections.setdefault(
            node, Connections(self._fleet.members[node].callers)
        )
        given = {"authorization": f"Bearer {self.key}"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        pairs = [(k.encode(), v.encode()) for k, v in given.items() if v]
        try:
            with anyio.fail_after(8.0):
                return await connections.request(method, path, pairs, body)
        except (RequestNotSent, RequestBroken, TimeoutError):
            return None

    async def send_order(self, node: str, key: str, test_id: str) -> HttpAnswer | None:
        """Send a restock order, which may run at most once."""
        return await self.call(
            node,
            "/orders/restock",
            "POST",
            test_id.encode(),
            idempotency_key=key,
            x_test_id=test_id,
        )


def make_uuid7_at(wall_time: float) -> str:
    """Return an idempotency key that tells its issue time."""
    random = uuid.uuid4().int & ((1 << 62) - 1)
    return str(uuid.UUID(int=int(wall_time * 1000) << 80 | 7 << 76 | 2 << 62 | random))


def find_runs(fleet: Fleet, test_id: str) -> list[RunRecord]:
    """Return the runs of one request, without its deeper calls."""
    return [run for run in fleet.run_records() if run.test_id == test_id and run.ran]


def get_reason(answer: HttpAnswer | None) -> str:
    return answer.text_header(b"heathermount-reason") if answer is not None else "none"


async def wait_for(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds; fail after `timeout_s` seconds."""
    with anyio.fail_after(timeout_s):
        for _ in itertools.count():
            if await condition():
                return
            await anyio.sleep(0.05)
