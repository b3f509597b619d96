"""Client and helpers for tests that run a fleet of processes."""

import itertools
import uuid
from collections.abc import Awaitable, Callable

import anyio

from heathermount.runner.fleet import Fleet
from heathermount.standins.http_client import (
    ConnectionPool,
    HttpResponse,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.records import RunRecord


class Client:
    """Calls the nodes of a fleet with the API key of an organisation."""

    def __init__(self, fleet: Fleet, organisation: str = "cart-1") -> None:
        self.key = fleet.keys[organisation]
        self._connections: dict[str, ConnectionPool] = {}
        self._fleet = fleet

    async def call(
        self,
        node: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        **headers: str,
    ) -> HttpResponse | None:
        """Return the answer of a node, or None after a connection error or timeout.

        An empty header value removes the header. Underscores in header names stand
        for hyphens.
        """
        connections = self._connections.setdefault(
            node, ConnectionPool(self._fleet.members[node].callers)
        )
        all_headers = {"authorization": f"Bearer {self.key}"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        header_pairs = [(k.encode(), v.encode()) for k, v in all_headers.items() if v]
        try:
            with anyio.fail_after(8.0):
                return await connections.request(method, path, header_pairs, body)
        except (RequestNotSent, RequestBroken, TimeoutError):
            return None

    async def send_order(
        self, node: str, key: str, test_id: str
    ) -> HttpResponse | None:
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
    """Return an idempotency key with the issue time `wall_time` (Unix seconds)."""
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    return str(
        uuid.UUID(int=int(wall_time * 1000) << 80 | 7 << 76 | 2 << 62 | random_bits)
    )


def find_runs(fleet: Fleet, test_id: str) -> list[RunRecord]:
    """Return the recorded runs of one request, without its downstream calls."""
    return [run for run in fleet.run_records() if run.test_id == test_id and run.ran]


def get_reason(answer: HttpResponse | None) -> str:
    """Return the reason of a refusal; empty for other answers, `none` without one."""
    return answer.text_header(b"heathermount-reason") if answer is not None else "none"


async def wait_for(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds; raise TimeoutError after `timeout_s`."""
    with anyio.fail_after(timeout_s):
        for _ in itertools.count():
            if await condition():
                return
            await anyio.sleep(0.05)
