"""A claim table in one process, by the rate of claims."""

import time
import tracemalloc
from random import Random
from typing import Final

from heathermount.capacity.quota import TERM_S, make_record
from heathermount.capacity.records import Recorder
from heathermount.claims import BodyBudget, ClaimTable
from heathermount.clocks import ManualClock
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.ownership import Partition
from heathermount.values import Outcome
from heathermount.wire.messages import Claim, Settle

__all__ = ["CLAIM_RATES", "HELD_S", "measure_claims"]

CLAIM_RATES: Final = (10.0, 100.0, 1000.0, 10000.0)
# Shorter than the 600 s of the product, so that the highest rate fits the run.
HELD_S: Final = 2.0
# The table keeps entries this much longer; see TAKEOVER_MARGIN_S.
MARGIN_S: Final = 4.0
TIMED_CLAIMS: Final = 10_000
NAME: Final = "claims/orders/0"
BODY: Final = b"x" * 512
HEADERS: Final = [(b"content-type", b"application/json")]


async def measure_claims(recorder: Recorder, seed: int) -> None:
    """Fill a table to its steady state at each rate, then time claims."""
    for rate in CLAIM_RATES:
        for body in (b"", BODY):
            recorder.begin()
            result = measure_table(rate, body, Random(seed))
            recorder.add("claims", {"rate": rate, "body_bytes": len(body)}, result)


def measure_table(rate: float, body: bytes, random: Random) -> dict[str, float]:
    clock = ManualClock()
    table = make_table(clock)
    held = max(50, int(rate * (HELD_S + MARGIN_S)))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(held):
        clock.advance(1 / rate)
        run_claim(table, random, body)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    entries = len(table)
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(TIMED_CLAIMS):
        clock.advance(1 / rate)
        run_claim(table, random, body)
    cpu_s = time.process_time() - started
    started = time.process_time()
    dumped = table.dump()
    return {
        "held": entries,
        "held_bytes": held_bytes,
        "bytes_per_claim": held_bytes / entries,
        "cpu_us_per_claim": 1e6 * cpu_s / TIMED_CLAIMS,
        "handover_bytes": len(dumped),
        "handover_cpu_s": time.process_time() - started,
    }


def make_table(clock: ManualClock) -> ClaimTable:
    deadline = clock.monotonic() + TERM_S
    held = Partition(make_record(NAME), clock, deadline, has_complete_state=True)
    return ClaimTable(
        held,
        clock,
        Invariants(EventLog("capacity", clock, quiet=True)),
        BodyBudget(),
        lambda _: False,
        lambda: HELD_S,
    )


def run_claim(table: ClaimTable, random: Random, body: bytes) -> None:
    """Claim a new key and settle it, as a call that ran does."""
    key, call_id = random.randbytes(32), random.randbytes(16)
    caller = "front-1/0123456789abcdef"
    table.handle(Claim(NAME, key, caller, call_id, 0.0, random.randbytes(32)))
    table.handle(
        Settle(
            NAME,
            key,
            caller,
            call_id,
            Outcome.RAN,
            200,
            list(HEADERS),
            bytes(bytearray(body)),
            bool(body),
        )
    )
