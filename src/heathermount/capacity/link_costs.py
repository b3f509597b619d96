"""Measures the cost of messages and open links between nodes, in one process."""

import os
import time
from random import Random
from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.capacity.measurements import Recorder, read_process_usage
from heathermount.wire.handshake import Identity
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import (
    Message,
    TokenDemand,
    TokenGrant,
    TokenReply,
    TokenRequest,
)
from heathermount.wire.server import LinkServer

__all__ = ["LINK_COUNTS", "MESSAGE_RATES_PER_S", "measure_links"]

LINK_SECRET: Final = b"a secret of the capacity run"
MESSAGE_RATES_PER_S: Final = (250.0, 500.0, 1000.0, 2000.0)
WINDOW_S: Final = 4.0
LINK_COUNTS: Final = (100, 300, 600)
CALL_TIMEOUT_S: Final = 5.0


async def grant_tokens(message: Message) -> Message:
    assert isinstance(message, TokenRequest)
    grants = [
        TokenGrant(demand.organisation, 1, 1.0, 0.0) for demand in message.demands
    ]
    return TokenReply(True, grants)


async def measure_links(recorder: Recorder, seed: int) -> None:
    """Measure messages at several rates on one link, then many idle links."""
    async with anyio.create_task_group() as tasks:
        server = LinkServer(
            Identity("owner-1", "1", LINK_SECRET),
            lambda message, _: grant_tokens(message),
        )
        address = await server.bind("127.0.0.1", 0)
        tasks.start_soon(server.run)
        for rate in MESSAGE_RATES_PER_S:
            recorder.start_point()
            result = await measure_message_rate(address, rate, Random(seed), tasks)
            recorder.add("link-messages", {"rate": rate}, result)
        await measure_open_links(recorder, address, tasks)
        await server.close()
        tasks.cancel_scope.cancel()


async def measure_message_rate(
    address: str, rate: float, random: Random, tasks: TaskGroup
) -> dict[str, float]:
    """Return the CPU share of both ends for requests and replies at one rate."""
    pool = LinkPool(Identity("spender-1", "1", LINK_SECRET), tasks)
    request = TokenRequest("quota/a/0", [TokenDemand("organisation-1", 1)])
    await pool.call(address, request, CALL_TIMEOUT_S)
    sent = 0
    started, cpu_before = time.monotonic(), time.process_time()
    async with anyio.create_task_group() as calls:
        next_at = anyio.current_time()
        ends_at = next_at + WINDOW_S
        while next_at < ends_at:
            next_at += random.expovariate(rate)
            await anyio.sleep_until(next_at)
            calls.start_soon(pool.call, address, request, CALL_TIMEOUT_S)
            sent += 1
    seconds = time.monotonic() - started
    cpu_s = time.process_time() - cpu_before
    return {"messages_per_s": sent / seconds, "cpu_share": cpu_s / seconds}


async def measure_open_links(
    recorder: Recorder, address: str, tasks: TaskGroup
) -> None:
    """Open increasing numbers of idle links; memory covers both ends."""
    open_count = 0
    for link_count in LINK_COUNTS:
        recorder.start_point()
        cpu_before = time.process_time()
        added_links = link_count - open_count
        while open_count < link_count:
            pool = LinkPool(Identity(f"spender-{open_count}", "1", LINK_SECRET), tasks)
            await pool.connect(address)
            open_count += 1
        cpu_s = time.process_time() - cpu_before
        usage = read_process_usage(os.getpid())
        recorder.add(
            "open-links",
            {"links": link_count},
            {
                "memory_bytes": usage.memory_bytes,
                "connect_cpu_ms": 1e3 * cpu_s / added_links,
            },
        )
