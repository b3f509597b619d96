"""Measures memory and CPU time of a claim table, by the rate of claims."""

import time
import tracemalloc
from random import Random
from typing import Final

from heathermount.capacity.measurements import Recorder
from heathermount.capacity.quota_costs import LEASE_DURATION_S, make_record
from heathermount.claims import BodyBudget, ClaimTable
from heathermount.clocks import ManualClock
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership import Partition
from heathermount.values import Outcome
from heathermount.wire.messages import Claim, Settle

__all__ = ["CLAIM_RATES_PER_S", "RETENTION_S", "measure_claims"]

CLAIM_RATES_PER_S: Final = (10.0, 100.0, 1000.0, 10000.0)
# Shorter than the default retention of 600 s, so that the highest rate fits the run.
RETENTION_S: Final = 2.0
# The table keeps entries this much longer than the retention; see TAKEOVER_MARGIN_S.
RETENTION_MARGIN_S: Final = 4.0
TIMED_CLAIM_COUNT: Final = 10_000
PARTITION_NAME: Final = "claims/orders/0"
RESPONSE_BODY: Final = b"x" * 512
RESPONSE_HEADERS: Final = [(b"content-type", b"application/json")]


async def measure_claims(recorder: Recorder, seed: int) -> None:
    """Fill a table to its steady state at each rate, then time further claims."""
    for rate in CLAIM_RATES_PER_S:
        for body in (b"", RESPONSE_BODY):
            recorder.start_point()
            result = measure_claim_table(rate, body, Random(seed))
            recorder.add("claims", {"rate": rate, "body_bytes": len(body)}, result)


def measure_claim_table(rate: float, body: bytes, random: Random) -> dict[str, float]:
    clock = ManualClock()
    table = make_claim_table(clock)
    claim_count = max(50, int(rate * (RETENTION_S + RETENTION_MARGIN_S)))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(claim_count):
        clock.advance(1 / rate)
        claim_and_settle(table, random, body)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    entries = len(table)
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(TIMED_CLAIM_COUNT):
        clock.advance(1 / rate)
        claim_and_settle(table, random, body)
    cpu_s = time.process_time() - started
    started = time.process_time()
    handover_state = table.dump()
    return {
        "held": entries,
        "held_bytes": held_bytes,
        "bytes_per_claim": held_bytes / entries,
        "cpu_us_per_claim": 1e6 * cpu_s / TIMED_CLAIM_COUNT,
        "handover_bytes": len(handover_state),
        "handover_cpu_s": time.process_time() - started,
    }


def make_claim_table(clock: ManualClock) -> ClaimTable:
    deadline = clock.monotonic() + LEASE_DURATION_S
    partition = Partition(
        make_record(PARTITION_NAME), clock, deadline, has_complete_state=True
    )
    return ClaimTable(
        partition,
        clock,
        Invariants(EventLog("capacity", clock, quiet=True)),
        BodyBudget(),
        lambda _: False,
        lambda: RETENTION_S,
    )


def claim_and_settle(table: ClaimTable, random: Random, body: bytes) -> None:
    """Claim a new idempotency key and settle it, as for a call that ran."""
    key, call_id = random.randbytes(32), random.randbytes(16)
    caller = "front-1/0123456789abcdef"
    table.handle(Claim(PARTITION_NAME, key, caller, call_id, 0.0, random.randbytes(32)))
    table.handle(
        Settle(
            PARTITION_NAME,
            key,
            caller,
            call_id,
            Outcome.RAN,
            200,
            list(RESPONSE_HEADERS),
            bytes(bytearray(body)),
            bool(body),
        )
    )
