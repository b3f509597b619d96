"""Measures configuration documents and rosters of several sizes, in one process."""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

from heathermount.capacity.measurements import Recorder
from heathermount.clocks import SystemClock
from heathermount.config.documents import (
    Change,
    FleetDocument,
    encode_head,
    encode_message,
    encode_snapshot,
)
from heathermount.config.policy import Policy
from heathermount.config.tracker import ConfigTracker
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.membership import Group, MemberRecord, Roster, RosterRecord
from heathermount.membership.group import PeerState
from heathermount.standins.store import FakeStore, StoreState
from heathermount.wire.control import ConfigurationReply

__all__ = [
    "DOCUMENT_SIZES_KB",
    "ROSTER_SIZES",
    "measure_configuration",
    "measure_rosters",
]

DOCUMENT_SIZES_KB: Final = (10, 30, 100, 300, 1000)
ROSTER_SIZES: Final = (4, 16, 32, 48, 64, 128, 512)
CHANGE_COUNT: Final = 12
FLEET_SECRET: Final = b"a secret of the capacity run"


async def measure_configuration(recorder: Recorder, seed: int) -> None:
    """Adopt small changes to documents of several sizes."""
    for size_kb in DOCUMENT_SIZES_KB:
        recorder.start_point()
        result = measure_document(size_kb * 1000, Random(seed))
        recorder.add("configuration", {"kilobytes": size_kb}, result)


def make_document(size_bytes: int, random: Random) -> FleetDocument:
    """Return a document of about this size, with as many routes as organisations."""
    entries: dict[str, Any] = {
        "defaults": {},
        "failure_domains": ["a", "b", "c", "d"],
    }
    number = 0
    while len(encode_message(FleetDocument(1, "first", entries))) < size_bytes:
        for _ in range(max(1, number // 20)):
            entries |= make_entries(number, random)
            number += 1
    return FleetDocument(1, "first", entries, [(1, "first")], "operator")


def make_entries(number: int, random: Random) -> dict[str, Any]:
    organisation = f"organisation-{number}"
    key = {
        "organisation": organisation,
        "digest": random.randbytes(32),
        "withdrawn": False,
    }
    rate_exception = {
        "id": f"share-{number}",
        "reason": "agreed share of the organisation",
        "organisation": organisation,
        "rate": 100.0 + number,
        "burst": 200.0,
        "position": number,
    }
    return {
        f"routes/route-{number}": {
            "name": f"route-{number}",
            "service": f"service-{number // 3}",
            "path": f"/service-{number // 3}/route-{number}",
            "methods": ["GET"],
            "open": True,
        },
        f"organisations/{organisation}": {"name": organisation},
        f"keys/{random.randbytes(6).hex()}": key,
        f"exceptions/share-{number}": rate_exception,
    }


def make_tracker() -> ConfigTracker:
    clock = SystemClock()
    events = EventLog("capacity", clock, quiet=True)
    store = FakeStore(StoreState(clock, Random(1)))
    return ConfigTracker(
        store, clock, events, Invariants(events), FLEET_SECRET, "a", 4.0
    )


def measure_document(size_bytes: int, random: Random) -> dict[str, float]:
    document = make_document(size_bytes, random)
    encoded = encode_message(document)
    tracker = make_tracker()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    reply = ConfigurationReply(document.revision, [], encoded)
    tracker.accept_reply(reply, 0.0)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    cpu_s, delta_bytes, longest_s = adopt_changes(tracker)
    recent = list(tracker._recent_changes)
    return {
        "document_bytes": len(encoded),
        "entries": len(document.entries),
        "state_bytes": held_bytes,
        "adopt_cpu_ms": 1e3 * cpu_s / CHANGE_COUNT,
        "adopt_longest_ms": 1e3 * longest_s,
        "delta_bytes": delta_bytes / CHANGE_COUNT,
        "head_bytes": len(encode_head(tracker.document, recent)),
        "snapshot_bytes": len(encode_snapshot(document)),
        "snapshot_cpu_ms": 1e3 * measure_cpu_s(lambda: encode_snapshot(document)),
        "compile_cpu_ms": 1e3
        * measure_cpu_s(lambda: Policy.from_config(document, FLEET_SECRET)),
    }


def adopt_changes(tracker: ConfigTracker) -> tuple[float, int, float]:
    """Adopt changes to one exception.

    Returns the total CPU time, the total size in bytes and the longest CPU time.
    """
    total_s, total_bytes, longest_s = 0.0, 0, 0.0
    path = "exceptions/share-0"
    for _ in range(CHANGE_COUNT):
        document = tracker.document
        entry = document.entries[path]
        change = Change(
            document.revision + 1,
            f"{document.revision + 1:016x}",
            document.change_id,
            "operator",
            "raise the burst of one organisation",
            0.0,
            {path: entry | {"burst": entry["burst"] + 1}},
            [],
        )
        total_bytes += len(encode_message(change))
        cpu_s = measure_cpu_s(partial(tracker.offer_change, change))
        total_s += cpu_s
        longest_s = max(longest_s, cpu_s)
    return total_s, total_bytes, longest_s


def measure_cpu_s(function: Callable[[], Any]) -> float:
    """Return the CPU time of a call, in seconds."""
    started = time.process_time()
    function()
    return time.process_time() - started


async def measure_rosters(recorder: Recorder, seed: int) -> None:
    """Measure roster records, and how many members act as the group's reader."""
    for member_count in ROSTER_SIZES:
        recorder.start_point()
        recorder.add("roster", {"members": member_count}, measure_roster(member_count))


def measure_roster(size: int) -> dict[str, float]:
    members = [make_member(number) for number in range(size)]
    record = RosterRecord(service="service-1", revision=1, members=members)
    encoded = record.encode()
    cpu_s = (
        measure_cpu_s(lambda: [RosterRecord.decode(encoded) for _ in range(20)]) / 20
    )
    views = [make_group_view(member.node, record) for member in members]
    live_counts = [len(view.live_members()) for view in views]
    return {
        "record_bytes": len(encoded),
        "decode_cpu_us": 1e6 * cpu_s,
        "readers": sum(view.is_reader() for view in views),
        "live_members_seen": min(live_counts),
    }


def make_member(number: int) -> MemberRecord:
    return MemberRecord(
        node=f"service-1-{number:03}",
        incarnation=f"{number:016x}",
        peers=f"10.0.{number // 250}.{number % 250}:8082",
        control=f"10.0.{number // 250}.{number % 250}:8083",
        failure_domain="abcd"[number % 4],
        slots=50,
        cold_start_s=1.0,
        joined_at=1_700_000_000.0,
    )


def make_group_view(node: str, record: RosterRecord) -> Group:
    """Return a member's view of its group in which every peer answers."""
    clock = SystemClock()
    events = EventLog("capacity", clock, quiet=True)
    store = FakeStore(StoreState(clock, Random(1)))
    roster = Roster(record.service, store, events, Random(1))
    roster.record = record
    unused: Any = None
    group = Group(node, roster, unused, clock, events, 0.5, unused, unused)
    now = clock.monotonic()
    for member in group._find_monitored_members():
        group.peers[member.node] = PeerState(member, now)
    return group
