"""Allocators and wallets in one process, by the number of organisations."""

import time
import tracemalloc
from random import Random
from typing import Final

import anyio
import msgspec

from heathermount.capacity.records import Recorder
from heathermount.clocks import SystemClock
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership import OwnerRecord, Partition
from heathermount.quota import Allocator, Allotment, QuotaClient
from heathermount.wire.frames import FrameKind, frame
from heathermount.wire.messages import TokenReply, TokenRequest

__all__ = ["ORGANISATIONS", "measure_quota"]

ORGANISATIONS: Final = (8, 32, 128, 512)
DOMAINS: Final = ("a", "b", "c", "d")
GRANTS: Final = 40_000
# Calls that enter at one node at the two-year size, if none were deeper calls.
ENTRY_CALLS_PER_S: Final = 105.0
SPEND_S: Final = 5.0
ALLOTMENT: Final = Allotment(rate=1e6, burst=4e6)
TERM_S: Final = 1e6


async def measure_quota(recorder: Recorder, seed: int) -> None:
    """Measure grants and memory at an allocator, and messages of a node."""
    for count in ORGANISATIONS:
        recorder.begin()
        recorder.add("allocator", {"organisations": count}, measure_allocator(count))
    for count in ORGANISATIONS:
        recorder.begin()
        result = await measure_spender(count, Random(seed))
        recorder.add("spender", {"organisations": count}, result)


def make_record(partition: str) -> OwnerRecord:
    return OwnerRecord(partition, "node-1", "1", "ip:1", "ip:2", 1, TERM_S)


def make_allocator(partition: str) -> Allocator:
    clock = SystemClock()
    deadline = clock.monotonic() + TERM_S
    held = Partition(make_record(partition), clock, deadline, has_complete_state=True)
    return Allocator(held, clock, Invariants(EventLog("capacity", clock, quiet=True)))


def measure_allocator(count: int) -> dict[str, float]:
    """Grant to organisations in turn; memory is counted apart from the time."""
    names = [f"organisation-{n}" for n in range(count)]
    tracemalloc.start()
    allocator = make_allocator("quota/a/0")
    before = tracemalloc.get_traced_memory()[0]
    for name in names:
        allocator.grant(name, 1, ALLOTMENT, DOMAINS)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    for number in range(GRANTS):
        allocator.grant(names[number % count], 1, ALLOTMENT, DOMAINS)
    cpu_s = time.process_time() - started
    return {
        "state_bytes": held_bytes,
        "grant_cpu_us": 1e6 * cpu_s / GRANTS,
        "handover_bytes": len(allocator.dump()),
    }


class Allocators:
    """Owners that answer at once; counts messages and their bytes."""

    def __init__(self) -> None:
        self.allocators: dict[str, Allocator] = {}
        self.messages = 0
        self.message_bytes = 0
        self.wishes = 0

    def find_owner(self, partition: str) -> OwnerRecord | None:
        return make_record(partition)

    async def refresh(self, partition: str) -> OwnerRecord | None:
        return make_record(partition)

    async def ask(
        self, record: OwnerRecord, request: TokenRequest, timeout_s: float
    ) -> TokenReply:
        name = record.partition
        if name not in self.allocators:
            self.allocators[name] = make_allocator(name)
        reply = self.allocators[name].answer(request, lambda _: ALLOTMENT, DOMAINS)
        self.messages += 1
        self.wishes += len(request.wishes)
        for kind, message in ((FrameKind.REQUEST, request), (FrameKind.ANSWER, reply)):
            body = msgspec.msgpack.encode(message)
            self.message_bytes += len(frame(1, kind, body))
        return reply


async def measure_spender(count: int, random: Random) -> dict[str, float]:
    """Spend one node's calls over equally busy organisations."""
    clock = SystemClock()
    owners = Allocators()
    names = [f"organisation-{n}" for n in range(count)]
    spent = 0
    async with anyio.create_task_group() as tasks:
        client = QuotaClient.from_config(
            "a",
            owners,
            owners.ask,
            lambda _: ALLOTMENT,
            lambda: DOMAINS,
            clock,
            Invariants(EventLog("capacity", clock, quiet=True)),
            tasks,
        )

        started, cpu = time.monotonic(), time.process_time()
        next_at = anyio.current_time()
        ends_at = next_at + SPEND_S
        while next_at < ends_at:
            next_at += random.expovariate(ENTRY_CALLS_PER_S)
            await anyio.sleep_until(next_at)
            await client.acquire(random.choice(names))
            spent += 1
        seconds = time.monotonic() - started
        cpu_s = time.process_time() - cpu
    return {
        "calls_per_s": spent / seconds,
        "messages_per_s": owners.messages / seconds,
        "messages_per_call": owners.messages / spent,
        "bytes_per_message": owners.message_bytes / owners.messages,
        "cpu_us_per_call": 1e6 * cpu_s / spent,
        "partitions": len(owners.allocators),
    }
