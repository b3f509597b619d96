"""Tests of the refusals that an executing node makes before it runs a request."""

from random import Random
from typing import Any

import msgspec
import pytest

from builders import make_settings_table
from heathermount.clocks import ManualClock
from heathermount.config.documents import FleetDocument
from heathermount.config.settings import Settings
from heathermount.execution.announcements import Announcement
from heathermount.execution.executor import Executor
from heathermount.membership import RosterRecord
from heathermount.node.components import NodeComponents
from heathermount.routing import Member
from heathermount.standins.store import FakeStore, StoreState
from heathermount.wire.messages import Answer, Execute, QuarantineNotice

pytestmark = pytest.mark.anyio


async def ignore_notice(notice: QuarantineNotice) -> None:
    return None


async def fail_to_run_elsewhere(member: Member, message: Execute) -> Answer:
    raise AssertionError("the request was sent to another member")


def make_executor() -> tuple[Executor, NodeComponents, ManualClock]:
    """Return an executor whose announced backend server accepts no connections."""
    clock = ManualClock()
    settings = Settings.from_config(make_settings_table(), "node.toml")
    components = NodeComponents(
        settings, FakeStore(StoreState(clock)), clock, Random(1), None
    )
    executor = Executor(
        components,
        ignore_notice,
        fail_to_run_elsewhere,
        lambda: RosterRecord(service="pantry"),
    )
    executor.accept_announcement(Announcement("127.0.0.1:1", slots=4, connections=8))
    executor.suspicions_synchronised = True
    return executor, components, clock


def make_execute(clock: ManualClock, **fields: Any) -> Execute:
    """Return a request that is not repeatable."""
    message = Execute(
        call_id=b"call",
        root="root",
        service="pantry",
        route="restock",
        method="POST",
        target="/pantry/restock",
        headers=[],
        body=b"",
        organisation="cart-1",
        key_id="",
        importance=1,
        cohort=0,
        weight=1,
        deadline_s=2.0,
        sent_at=clock.wall(),
        allowance=2,
        depth=1,
        fingerprint=b"fingerprint",
        repeatable=False,
        resend=False,
        revision=0,
    )
    return msgspec.structs.replace(message, **fields)


async def test_request_delayed_beyond_its_deadline_does_not_run() -> None:
    """Guards against a second run of a request whose claim has expired.

    A request that is not repeatable arrives late, for example because the process
    that sent it was paused. Its key may have been claimed again since.
    """
    executor, _, clock = make_executor()
    message = make_execute(clock)
    clock.advance(5.0)
    answer = await executor.execute(message)
    assert (answer.reason, answer.outcome) == ("deadline", "not-run")


async def test_executing_node_refuses_key_withdrawn_since_entry() -> None:
    """Guards against a run under an API key that has been withdrawn.

    The entry node has an older configuration and still accepts the key. An entry node
    with a newer configuration is trusted, because it may know a key that the executing
    node does not know yet.
    """
    executor, components, clock = make_executor()
    entries = {"failure_domains": ["a"], "organisations/cart-1": {}}
    components.tracker.offer_document(FleetDocument(7, "change-7", entries))
    assert components.tracker.revision == 7
    older = make_execute(clock, key_id="k1", revision=6)
    assert (await executor.execute(older)).reason == "key-withdrawn"
    newer = make_execute(clock, key_id="k1", revision=8)
    assert (await executor.execute(newer)).reason == "no-server"


async def test_drain_and_quarantine_refuse_before_the_run() -> None:
    """Guards against a run at a draining server, or of a request that crashes it.

    The refusals must say that the request did not run, so that callers may send it
    again.
    """
    executor, components, clock = make_executor()
    components.quarantine.record_loss(b"fingerprint", "server-1")
    components.quarantine.record_loss(b"fingerprint", "server-2")
    answer = await executor.execute(make_execute(clock))
    assert (answer.reason, answer.outcome) == ("quarantined", "not-run")
    executor.draining = True
    answer = await executor.execute(make_execute(clock))
    assert (answer.reason, answer.outcome) == ("draining", "not-run")
    assert components.invariants.violations == {}
