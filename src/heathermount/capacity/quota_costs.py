"""Measures token allocators and spenders, by number of organisations."""

import time
import tracemalloc
from random import Random
from typing import Final

import anyio
import msgspec

from heathermount.capacity.measurements import Recorder
from heathermount.clocks import SystemClock
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership import OwnerRecord, Partition
from heathermount.quota import Allocator, Allotment, QuotaClient
from heathermount.wire.frames import FrameKind, encode_frame
from heathermount.wire.messages import TokenReply, TokenRequest

__all__ = ["ORGANISATION_COUNTS", "measure_quota"]

ORGANISATION_COUNTS: Final = (8, 32, 128, 512)
FAILURE_DOMAINS: Final = ("a", "b", "c", "d")
GRANT_COUNT: Final = 40_000
# Calls/s that enter at one node at the two-year size, if all come from outside.
ENTRY_CALLS_PER_S: Final = 105.0
SPENDING_WINDOW_S: Final = 5.0
ALLOTMENT: Final = Allotment(rate=1e6, burst=4e6)
# Outlasts every measurement, so that no renewal is needed.
LEASE_DURATION_S: Final = 1e6


async def measure_quota(recorder: Recorder, seed: int) -> None:
    """Measure grants and memory of an allocator, then messages of a spending node."""
    for count in ORGANISATION_COUNTS:
        recorder.start_point()
        recorder.add("allocator", {"organisations": count}, measure_allocator(count))
    for count in ORGANISATION_COUNTS:
        recorder.start_point()
        result = await measure_spender(count, Random(seed))
        recorder.add("spender", {"organisations": count}, result)


def make_record(partition: str) -> OwnerRecord:
    return OwnerRecord(partition, "node-1", "1", "ip:1", "ip:2", 1, LEASE_DURATION_S)


def make_allocator(partition: str) -> Allocator:
    clock = SystemClock()
    deadline = clock.monotonic() + LEASE_DURATION_S
    owned_partition = Partition(
        make_record(partition), clock, deadline, has_complete_state=True
    )
    return Allocator(
        owned_partition, clock, Invariants(EventLog("capacity", clock, quiet=True))
    )


def measure_allocator(organisation_count: int) -> dict[str, float]:
    """Grant to organisations in turn; memory is traced before the timed grants."""
    names = [f"organisation-{n}" for n in range(organisation_count)]
    tracemalloc.start()
    allocator = make_allocator("quota/a/0")
    before = tracemalloc.get_traced_memory()[0]
    for name in names:
        allocator.grant(name, 1, ALLOTMENT, FAILURE_DOMAINS)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    for number in range(GRANT_COUNT):
        allocator.grant(
            names[number % organisation_count], 1, ALLOTMENT, FAILURE_DOMAINS
        )
    cpu_s = time.process_time() - started
    return {
        "state_bytes": held_bytes,
        "grant_cpu_us": 1e6 * cpu_s / GRANT_COUNT,
        "handover_bytes": len(allocator.dump()),
    }


class InProcessOwners:
    """Partition owners that answer at once, and count messages and their bytes."""

    def __init__(self) -> None:
        self.allocator_by_partition: dict[str, Allocator] = {}
        self.message_count = 0
        self.message_bytes = 0
        self.demand_count = 0

    def find_owner(self, partition: str) -> OwnerRecord | None:
        return make_record(partition)

    async def refresh(self, partition: str) -> OwnerRecord | None:
        return make_record(partition)

    async def request_tokens(
        self, record: OwnerRecord, request: TokenRequest, timeout_s: float
    ) -> TokenReply:
        name = record.partition
        if name not in self.allocator_by_partition:
            self.allocator_by_partition[name] = make_allocator(name)
        reply = self.allocator_by_partition[name].answer(
            request, lambda _: ALLOTMENT, FAILURE_DOMAINS
        )
        self.message_count += 1
        self.demand_count += len(request.demands)
        for kind, message in ((FrameKind.REQUEST, request), (FrameKind.ANSWER, reply)):
            body = msgspec.msgpack.encode(message)
            self.message_bytes += len(encode_frame(1, kind, body))
        return reply


async def measure_spender(organisation_count: int, random: Random) -> dict[str, float]:
    """Spend tokens for one node's calls, spread evenly over the organisations."""
    clock = SystemClock()
    owners = InProcessOwners()
    names = [f"organisation-{n}" for n in range(organisation_count)]
    call_count = 0
    async with anyio.create_task_group() as tasks:
        client = QuotaClient.from_config(
            "a",
            owners,
            owners.request_tokens,
            lambda _: ALLOTMENT,
            lambda: FAILURE_DOMAINS,
            clock,
            Invariants(EventLog("capacity", clock, quiet=True)),
            tasks,
        )

        started, cpu_before = time.monotonic(), time.process_time()
        next_at = anyio.current_time()
        ends_at = next_at + SPENDING_WINDOW_S
        while next_at < ends_at:
            next_at += random.expovariate(ENTRY_CALLS_PER_S)
            await anyio.sleep_until(next_at)
            await client.acquire(random.choice(names))
            call_count += 1
        seconds = time.monotonic() - started
        cpu_s = time.process_time() - cpu_before
    return {
        "calls_per_s": call_count / seconds,
        "messages_per_s": owners.message_count / seconds,
        "messages_per_call": owners.message_count / call_count,
        "bytes_per_message": owners.message_bytes / owners.message_count,
        "cpu_us_per_call": 1e6 * cpu_s / call_count,
        "partitions": len(owners.allocator_by_partition),
    }
