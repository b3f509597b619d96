"""Request execution: admission, refusals, outcomes and server failures."""

import asyncio
import logging
from typing import Any

import pytest

from builders_gateway import (
    delay_connections,
    make_announcement,
    make_document,
    make_execute,
    make_executor,
    make_organisation,
    make_tracker,
    run_async,
    wait_for,
)
from heathermount.clocks import ManualClock, SystemClock
from heathermount.gateway.request_executor import RequestExecutor
from heathermount.standins.platform_server import (
    Fault,
    PlatformServerStandIn,
    ServedRequest,
)
from heathermount.values import Outcome, Reason


class ExecutorFixture:
    """An executor with its server and a manual clock."""

    def __init__(self, work_s: float = 0.0) -> None:
        self.clock = ManualClock()
        self.server = PlatformServerStandIn("i-1", work_s)
        self.tracker = make_tracker(self.clock)
        self.executor: RequestExecutor

    async def start(self, slots: int = 8) -> None:
        await self.server.start()
        self.executor = make_executor(self.clock, self.tracker)
        self.executor.handle_heartbeat(
            make_announcement(self.server.address, slots=slots)
        )


@pytest.mark.parametrize(
    ("fault", "outcome", "reason", "ran"),
    [
        (Fault.NONE, Outcome.RAN, "", True),
        (Fault.ERROR, Outcome.RAN, "", True),
        (Fault.SHED, Outcome.NOT_RUN, Reason.SHED, False),
        (Fault.LOST, Outcome.UNKNOWN, Reason.SERVER_FAILED, True),
        (Fault.TRUNCATED, Outcome.UNKNOWN, Reason.ANSWER_BROKEN, True),
        (Fault.GARBAGE, Outcome.UNKNOWN, Reason.SERVER_FAILED, True),
        (Fault.UNSIGNED, Outcome.UNKNOWN, Reason.ANSWER_BROKEN, True),
        (Fault.REFUSAL_AGAIN, Outcome.RAN, "", True),
        (Fault.REFUSAL_AGAIN_UNNAMED, Outcome.UNKNOWN, Reason.ANSWER_BROKEN, True),
    ],
)
def test_reports_whether_a_request_has_run(
    fault: Fault, outcome: Outcome, reason: str, ran: bool
) -> None:
    """Guards against NOT_RUN being reported for a request that has run.

    Callers retry such a request elsewhere, so it would run twice.
    """

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        fixture.server.faults = [fault]
        answer = await fixture.executor.execute(make_execute())
        assert (answer.outcome, answer.reason) == (outcome, reason)
        assert bool(fixture.server.served) is ran
        fixture.server.stop()

    run_async(check)


def test_sends_gateway_headers_to_the_server() -> None:
    """Guards against forwarding an API key, or omitting the organisation."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        await fixture.executor.execute(make_execute(method=b"POST", body=b"abc"))
        (request,) = fixture.server.served
        assert request.body == b"abc"
        assert request.headers["x-heathermount-tenant"] == "anna"
        assert request.headers["x-heathermount-expected-instance"] == "i-1"
        assert 0 < int(request.headers["x-heathermount-deadline-milliseconds"]) <= 1000
        assert "x-heathermount-key" not in request.headers
        fixture.server.stop()

    run_async(check)


def test_a_leaving_server_gets_no_requests() -> None:
    """Guards against requests sent to a server after its departure.

    A heartbeat sent before the departure and delayed must not revive the server.
    """

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        fixture.executor.handle_departure("i-other")
        assert not (await fixture.executor.execute(make_execute())).reason
        fixture.executor.handle_heartbeat(
            make_announcement(fixture.server.address, draining=True, sequence=2)
        )
        answer = await fixture.executor.execute(make_execute())
        assert (answer.reason, answer.outcome) == (Reason.DRAINING, Outcome.NOT_RUN)
        # A delayed heartbeat that was sent before the departure.
        fixture.executor.handle_heartbeat(
            make_announcement(fixture.server.address, sequence=1)
        )
        assert not fixture.executor.serving
        # A new start with the same server ID serves again.
        fixture.executor.handle_heartbeat(
            make_announcement(fixture.server.address, born_ms=2)
        )
        assert not (await fixture.executor.execute(make_execute())).reason
        fixture.server.stop()

    run_async(check)


def test_queued_requests_are_not_sent_late_in_a_drain() -> None:
    """Guards against queued requests that reach a server when it may have exited."""

    async def check() -> None:
        fixture = ExecutorFixture(work_s=0.2)
        await fixture.start(slots=1)
        run = asyncio.create_task(fixture.executor.execute(make_execute(b"r-1")))
        await wait_for(lambda: bool(fixture.server.served))
        queued = asyncio.create_task(fixture.executor.execute(make_execute(b"r-2")))
        await asyncio.sleep(0.01)
        fixture.executor.handle_departure("i-1")
        fixture.clock.advance(1.5)
        assert not (await run).reason
        assert (await queued).reason in (Reason.DRAINING, Reason.DEADLINE)
        assert fixture.server.served_request_ids() == ["r-1"]
        fixture.server.stop()

    run_async(check)


@pytest.mark.parametrize(
    ("version", "known_version", "keys", "age_s", "reason"),
    [
        (1, 1, ["key-of-anna"], 0.0, ""),
        # The key was revoked in a version that this node already has.
        (1, 2, ["other"], 0.0, Reason.KEY_WITHDRAWN),
        # The entry node has a newer version, which adds the key.
        (3, 2, ["other"], 0.0, ""),
        # This node may have missed a revocation.
        (1, 1, ["key-of-anna"], 3.5, Reason.CONFIGURATION_STALE),
        (3, 2, ["other"], 3.5, Reason.CONFIGURATION_STALE),
    ],
)
def test_rechecks_the_key_before_the_run(
    version: int, known_version: int, keys: list[str], age_s: float, reason: str
) -> None:
    """Guards against a revoked key that a suspended or stale entry node accepts."""

    async def check() -> None:
        fixture = ExecutorFixture()
        organisations = [make_organisation(keys=keys)]
        document = make_document(known_version, organisations=organisations)
        fixture.tracker = make_tracker(fixture.clock, document)
        await fixture.start()
        fixture.clock.advance(age_s)
        answer = await fixture.executor.execute(
            make_execute(configuration_version=version)
        )
        assert answer.reason == reason
        assert bool(fixture.server.served) is not bool(reason)
        fixture.server.stop()

    run_async(check)


def test_shedding_by_an_idle_server_does_not_lower_its_limit() -> None:
    """Guards against a faulty server whose refusals reduce its limit to nothing."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        fixture.server.faults = [Fault.SHED] * 40
        for _ in range(40):
            await fixture.executor.execute(make_execute())
            fixture.clock.advance(0.05)
        load = fixture.executor.load()
        assert load is not None and load.limit == 8
        fixture.server.stop()

    run_async(check)


@pytest.mark.parametrize(
    ("slots", "limit"), [(1, 1), (9, 9), (10, 9), (20, 18), (34, 32), (100, 94)]
)
def test_limit_leaves_headroom_at_large_servers(slots: int, limit: int) -> None:
    """Guards against an overload that fills all slots, which slows the server down."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start(slots)
        load = fixture.executor.load()
        assert load is not None and load.limit == limit
        fixture.server.stop()

    run_async(check)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_queued_request_does_not_run_after_its_client_disconnects(
    idempotent: bool,
) -> None:
    """Guards against starting a queued request whose client has disconnected.

    A running request continues only if it is not idempotent.
    """

    async def check() -> None:
        server = PlatformServerStandIn("i-1", work_s=0.2)
        await server.start()
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_heartbeat(make_announcement(server.address, slots=1))
        runs = [
            asyncio.create_task(
                executor.execute(make_execute(b"r-%d" % i, idempotent=idempotent))
            )
            for i in range(2)
        ]
        await wait_for(lambda: server.served_request_ids() == ["r-0"])
        for run in runs:
            run.cancel()
        await asyncio.wait(runs)
        assert executor.busy is not idempotent
        await wait_for(lambda: not executor.busy)
        # The queued request never ran.
        assert server.served_request_ids() == ["r-0"]
        await wait_for(lambda: server.cancelled == idempotent)
        server.stop()

    run_async(check)


def test_refuses_requests_that_cannot_meet_their_deadline() -> None:
    """Guards against requests that stay queued until their deadline has passed."""

    async def check() -> None:
        server = PlatformServerStandIn("i-1", work_s=0.3)
        await server.start()
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_heartbeat(make_announcement(server.address, slots=1))
        calls = [
            executor.execute(make_execute(b"r-%d" % i, deadline_s=0.4))
            for i in range(30)
        ]
        answers = await asyncio.gather(*calls)
        refused = [one for one in answers if one.reason]
        assert len(refused) == 29
        assert {one.outcome for one in refused} == {Outcome.NOT_RUN}
        assert server.served_request_ids() == ["r-0"]
        server.stop()

    run_async(check)


def test_a_request_that_crashes_servers_is_quarantined() -> None:
    """Guards against a request that crashes one server after another."""

    async def check() -> None:
        fixture = ExecutorFixture()
        for start in (1, 2):
            fixture.server = PlatformServerStandIn("i-1")

            async def crash(request: ServedRequest) -> int:
                fixture.server.stop()
                raise ConnectionResetError("crashed")

            fixture.server.work = crash
            if start == 1:
                await fixture.start()
            else:
                await fixture.server.start()
                fixture.executor.handle_heartbeat(
                    make_announcement(fixture.server.address, born_ms=start)
                )
            answer = await fixture.executor.execute(make_execute())
            assert answer.reason == Reason.SERVER_FAILED
        fixture.server = PlatformServerStandIn("i-1")
        await fixture.server.start()
        fixture.executor.handle_heartbeat(
            make_announcement(fixture.server.address, born_ms=3)
        )
        answer = await fixture.executor.execute(make_execute())
        assert (answer.reason, answer.outcome) == (Reason.QUARANTINED, Outcome.NOT_RUN)
        other = await fixture.executor.execute(make_execute(fingerprint=b"f-2"))
        assert not other.reason
        fixture.server.stop()

    run_async(check)


@pytest.mark.parametrize("rejects", [Fault.SHED, None])
def test_a_rejection_is_no_completion_of_a_request_that_crashes_servers(
    rejects: Fault | None,
) -> None:
    """Guards against a rejection, 503 or 421, that ends the suspicion of a request."""

    async def check() -> None:
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock))

        async def announce(born_ms: int, server_id: str = "i-1") -> Any:
            server = PlatformServerStandIn(server_id)
            await server.start()
            executor.handle_heartbeat(
                make_announcement(server.address, born_ms=born_ms)
            )
            return server

        async def crash_server(born_ms: int) -> None:
            server = await announce(born_ms)

            async def crash(_: ServedRequest) -> int:
                server.stop()
                raise ConnectionResetError("crashed")

            server.work = crash
            answer = await executor.execute(make_execute())
            assert answer.reason == Reason.SERVER_FAILED

        await crash_server(1)
        rejecting = await announce(2, "i-1" if rejects else "i-2")
        rejecting.faults = [rejects] if rejects else []
        answer = await executor.execute(make_execute())
        assert answer.outcome == Outcome.NOT_RUN
        rejecting.stop()
        await crash_server(3)
        server = await announce(4)
        answer = await executor.execute(make_execute())
        assert answer.reason == Reason.QUARANTINED
        server.stop()

    run_async(check)


def test_a_lost_response_is_not_a_crash() -> None:
    """Guards against quarantine of requests whose responses were merely lost."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        fixture.server.faults = [Fault.LOST] * 5
        for _ in range(5):
            await fixture.executor.execute(make_execute())
        assert not (await fixture.executor.execute(make_execute())).reason
        fixture.server.stop()

    run_async(check)


def test_an_unresponsive_server_gets_no_requests() -> None:
    """Guards against requests that wait for an unreachable server."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        fixture.clock.advance(4.0)
        answer = await fixture.executor.execute(make_execute(key_digest=b""))
        assert (answer.reason, answer.outcome) == (Reason.NO_SERVER, Outcome.NOT_RUN)
        fixture.executor.handle_heartbeat(
            make_announcement(fixture.server.address, sequence=2)
        )
        assert not (await fixture.executor.execute(make_execute(key_digest=b""))).reason
        fixture.server.stop()

    run_async(check)


def test_logs_departures_and_outdated_heartbeats(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against departures and ignored heartbeats that are not logged."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        executor = fixture.executor
        executor.handle_departure("i-other")
        executor.handle_heartbeat(make_announcement(fixture.server.address, sequence=0))
        executor.handle_departure("i-1")
        fixture.server.stop()

    with caplog.at_level(logging.INFO, logger="absl"):
        run_async(check)
    lines = [record.getMessage() for record in caplog.records]
    assert any("event=departure-unknown server=i-other" in line for line in lines)
    assert any(
        "event=heartbeat-older server=i-1" in line and "known_sequence=1" in line
        for line in lines
    )
    assert any(
        "event=server-leaving cause=gone server=i-1 born_ms=1 sequence=1" in line
        for line in lines
    )


def test_the_deadline_includes_the_wait_for_a_connection() -> None:
    """Guards against a server deadline that is later than the client's.

    The remaining time must be computed after the connection is established.
    """

    async def check() -> None:
        clock = ManualClock()
        server = PlatformServerStandIn("i-1")
        await server.start()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_heartbeat(make_announcement(server.address))

        async def wait() -> None:
            clock.advance(0.7)

        with delay_connections(wait):
            answer = await executor.execute(make_execute(deadline_s=1.0))
        assert answer.outcome == Outcome.RAN
        (request,) = server.served
        assert int(request.headers["x-heathermount-deadline-milliseconds"]) <= 300
        server.stop()

    run_async(check)


def test_a_request_without_a_connection_before_its_deadline_has_not_run() -> None:
    """Guards against UNKNOWN being reported for a request that was never sent."""

    async def check() -> None:
        fixture = ExecutorFixture()
        await fixture.start()
        with delay_connections(asyncio.Event().wait):
            answer = await fixture.executor.execute(make_execute(deadline_s=0.05))
        assert (answer.reason, answer.outcome) == (Reason.DEADLINE, Outcome.NOT_RUN)
        assert not answer.sent_to_server
        fixture.server.stop()

    run_async(check)
