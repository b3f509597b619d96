"""Departures of backend servers: persistence, and requests during the drain."""

import asyncio

import pytest

from builders_gateway import (
    RunningNode,
    delay_connections,
    make_announcement,
    make_execute,
    make_executor,
    make_lifecycle,
    make_tracker,
    run_async,
    run_fleet,
    wait_for,
)
from heathermount.clocks import ManualClock, SystemClock
from heathermount.gateway.departures import Departures
from heathermount.standins.platform_client import KEY, send_request
from heathermount.standins.platform_server import PlatformServerStandIn, ServedRequest
from heathermount.standins.platform_store import PlatformStoreStandIn
from heathermount.values import Outcome, Reason


async def announce_departure(one: RunningNode) -> int:
    """Report the departure of a node's server; return the response status."""
    path, _ = one.server.make_heartbeat("pantry", 8, 1, "ready", 1)
    status, _, _ = await send_request(one.settings.listen.control, "DELETE", path)
    return status


def test_a_late_heartbeat_does_not_start_a_departed_server() -> None:
    """Guards against requests to a server whose DELETE preceded its first heartbeat."""

    async def check() -> None:
        clock = ManualClock()
        server = PlatformServerStandIn("i-1")
        await server.start()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_departure("i-1")
        executor.handle_heartbeat(make_announcement(server.address, sequence=7))
        answer = await executor.execute(make_execute())
        assert answer.outcome == Outcome.NOT_RUN
        assert not server.served
        assert not executor.serving
        # A later start with the same server ID serves.
        born_ms = int(clock.wall() * 1000) + 1
        executor.handle_heartbeat(make_announcement(server.address, born_ms=born_ms))
        assert (await executor.execute(make_execute())).outcome == Outcome.RAN
        server.stop()

    run_async(check)


def test_a_departure_after_another_one_covers_starts_that_are_not_known() -> None:
    """Guards against a start that leaves before its first heartbeat arrives.

    The start before it, with the same server ID, has left already.
    """
    clock = ManualClock()
    lifecycle = make_lifecycle(clock)
    lifecycle.handle_departures_loaded()
    now_ms = int(clock.wall() * 1000)
    first = make_announcement("127.0.0.1:1", born_ms=now_ms)
    assert lifecycle.handle_heartbeat(first)
    lifecycle.handle_departure("i-1")
    clock.advance(5.0)
    lifecycle.handle_departure("i-1")
    assert not lifecycle.handle_heartbeat(
        make_announcement("127.0.0.1:1", born_ms=now_ms + 4000)
    )
    assert not lifecycle.serving
    assert lifecycle.handle_heartbeat(
        make_announcement("127.0.0.1:1", born_ms=now_ms + 6000)
    )


@pytest.mark.parametrize(
    "late_heartbeat",
    [
        {"sequence": 3, "slots": 4},
        {"sequence": 3, "address": "127.0.0.1:1"},
        {"sequence": 3},
    ],
    ids=["other slots", "other address", "ready again"],
)
@pytest.mark.parametrize("departure_signals", ["draining", "DELETE", "both"])
def test_a_departed_server_start_stays_out_of_service(
    departure_signals: str, late_heartbeat: dict[str, object]
) -> None:
    """Guards against a heartbeat that revives a departed server.

    This includes heartbeats with another address or number of slots.
    """

    async def check() -> None:
        executor = make_executor(ManualClock(), make_tracker(ManualClock()))
        executor.handle_heartbeat(make_announcement("127.0.0.1:1"))
        if departure_signals != "DELETE":
            executor.handle_heartbeat(
                make_announcement("127.0.0.1:1", sequence=2, draining=True)
            )
        if departure_signals != "draining":
            executor.handle_departure("i-1")
        executor.handle_heartbeat(
            make_announcement(**{"address": "127.0.0.1:2"} | late_heartbeat)
        )
        assert not executor.serving
        answer = await executor.execute(make_execute())
        assert (answer.reason, answer.outcome) == (Reason.DRAINING, Outcome.NOT_RUN)

    run_async(check)


def test_a_restarted_node_remembers_departures() -> None:
    """Guards against a restart that loses a departure.

    A heartbeat that was sent before the departure and arrives after the restart
    would then put the server back into service.
    """

    async def check() -> None:
        async with run_fleet() as (_, nodes):
            leaving = nodes[0]
            assert await announce_departure(leaving) == 200
            await leaving.kill()
            await leaving.start_process()
            # A heartbeat as it was before the departure.
            assert await leaving.send_heartbeat("ready") == 200
            await asyncio.sleep(0.2)
            assert not leaving.node.executor.serving
            status, _, body = await nodes[1].request(key=KEY)
            assert (status, body) == (200, b"i-1 /stock/1")
            await wait_for(
                lambda: leaving.settings.node.name in nodes[1].node.registry.nodes
            )
            assert not leaving.server.served

    run_async(check)


def test_a_departure_outlives_the_leases_of_the_store() -> None:
    """Guards against a departure that is forgotten with all leases of an outage.

    Found by the gateway soak with seed 3122: the leases lapse, the node is killed,
    and a heartbeat from before the departure starts the server again.
    """

    async def check() -> None:
        async with run_fleet() as (store, nodes):
            leaving = nodes[0]
            assert await announce_departure(leaving) == 200
            store.down = True
            store.lapse_leases()
            await asyncio.sleep(1.0)
            await leaving.kill()
            store.down = False
            await leaving.start_process()
            assert await leaving.send_heartbeat("ready") == 200
            await asyncio.sleep(0.2)
            assert not leaving.node.executor.serving

    run_async(check)


def test_a_departure_is_saved_before_it_is_acknowledged() -> None:
    """Guards against losing an acknowledged departure if the node then crashes."""

    async def check() -> None:
        async with run_fleet(("pantry",)) as (store, (node,)):
            assert not [key for key in store.items if key.startswith("departures/")]
            assert await announce_departure(node) == 200
            assert "departures/n-0" in store.items

    run_async(check)


@pytest.mark.parametrize("signal", ["DELETE", "draining"])
@pytest.mark.parametrize("store_fault", ["down", "silent", "limited"])
def test_an_unsaved_departure_takes_effect_without_an_acknowledgement(
    store_fault: str, signal: str
) -> None:
    """Guards against an acknowledgement that a restart of the node makes untrue.

    The departure is saved once the store is back, and acknowledged when the server
    reports it again.
    """

    async def check() -> None:
        async with run_fleet(("pantry",)) as (store, (node,)):

            async def report_departure() -> int:
                if signal == "DELETE":
                    return await announce_departure(node)
                return await node.send_heartbeat("draining")

            setattr(store, store_fault, True)
            started = asyncio.get_running_loop().time()
            assert await report_departure() == 503
            assert asyncio.get_running_loop().time() - started < 1.0
            assert not node.node.executor.serving
            setattr(store, store_fault, False)
            await wait_for(lambda: "departures/n-0" in store.items)
            assert await report_departure() == 200
            assert not node.node.executor.serving

    run_async(check)


@pytest.mark.parametrize("signal", ["DELETE", "draining"])
@pytest.mark.parametrize("outage_s", [0.1, 0.6, 2.0])
@pytest.mark.parametrize(
    "store_fault", ["down", "silent", "limited", "lose_answers", "malformed"]
)
def test_an_acknowledged_departure_survives_a_kill_in_a_store_outage(
    store_fault: str, outage_s: float, signal: str
) -> None:
    """Guards against a server that serves again after its node was killed.

    Its last heartbeat from before the departure arrives at the new process, which
    finds no record of the departure. Whether a departure is acknowledged depends on
    the length of the outage; if it is, it must last.
    """

    async def check() -> None:
        async with run_fleet() as (store, nodes):
            leaving = nodes[0]
            path, late_heartbeat = leaving.server.make_heartbeat(
                "pantry", 8, leaving.sequence, "ready", 1
            )
            setattr(store, store_fault, True)
            outage = asyncio.create_task(end_fault(store, store_fault, outage_s))
            if signal == "DELETE":
                status = await announce_departure(leaving)
            else:
                status = await leaving.send_heartbeat("draining")
            await leaving.kill()
            await outage
            await leaving.start_process()
            control = leaving.settings.listen.control
            await send_request(control, "PUT", path, body=late_heartbeat)
            await asyncio.sleep(0.5)
            executor = leaving.node.executor
            assert status == 503 or not executor.serving
            assert status == 503 or "departures/n-0" in store.items

    run_async(check)


async def end_fault(store: PlatformStoreStandIn, fault: str, after_s: float) -> None:
    """End a fault of the store after some time; calls without an answer are cut."""
    await asyncio.sleep(after_s)
    setattr(store, fault, False)
    store.cut_connections()


@pytest.mark.parametrize("sequences", [(7,), (7, 7), (7, 8), (7, 8, 9, 10)])
def test_heartbeats_start_no_server_before_the_departures_are_loaded(
    sequences: tuple[int, ...],
) -> None:
    """Guards against late heartbeats of a departed server at a restarted node.

    Several of them may arrive while the store does not answer. A server that has not
    left starts once the departures are loaded.
    """
    lifecycle = make_lifecycle(ManualClock())
    for sequence in sequences:
        announcement = make_announcement("127.0.0.1:1", sequence=sequence)
        assert not lifecycle.handle_heartbeat(announcement)
        assert not lifecycle.serving
    assert lifecycle.handle_departures_loaded()
    assert lifecycle.serving


def test_a_departure_loaded_after_a_heartbeat_still_applies() -> None:
    """Guards against a departed server that serves because the store was slow.

    Its delayed heartbeat arrives before the stored departures are loaded.
    """
    departures = Departures()
    lifecycle = make_lifecycle(ManualClock(), departures)
    lifecycle.handle_heartbeat(make_announcement("127.0.0.1:1", sequence=7))
    departures.merge({"i-1": 1})
    assert not lifecycle.handle_departures_loaded()
    assert lifecycle.leaving
    assert not lifecycle.handle_heartbeat(make_announcement("127.0.0.1:1", sequence=8))
    assert lifecycle.handle_heartbeat(make_announcement("127.0.0.1:1", born_ms=2))


def test_a_late_response_of_a_former_server_does_not_retire_its_successor() -> None:
    """Guards against an old 421 response that takes a new server out of service.

    The request was sent to the former server, and the 421 arrives after the
    successor's announcement.
    """

    async def check() -> None:
        clock = SystemClock()
        former = PlatformServerStandIn("i-1")
        release = asyncio.Event()

        async def answer_late(_: ServedRequest) -> int:
            await release.wait()
            return 421

        former.work = answer_late
        await former.start()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_heartbeat(make_announcement(former.address))
        run = asyncio.create_task(executor.execute(make_execute()))
        await wait_for(lambda: bool(former.served))
        executor.handle_heartbeat(
            make_announcement(former.address, server_id="i-2", born_ms=2)
        )
        release.set()
        assert (await run).outcome == Outcome.NOT_RUN
        assert executor.serving
        former.stop()

    run_async(check)


def test_a_request_waiting_for_a_connection_is_not_sent_late_in_a_drain() -> None:
    """Guards against a departure between the admission check and the send.

    The wait for a connection can take seconds, so the check must be repeated.
    """

    async def check() -> None:
        clock = ManualClock()
        server = PlatformServerStandIn("i-1")
        await server.start()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_heartbeat(make_announcement(server.address))
        connecting, release = asyncio.Event(), asyncio.Event()

        async def wait() -> None:
            connecting.set()
            await release.wait()

        with delay_connections(wait):
            run = asyncio.create_task(executor.execute(make_execute()))
            await connecting.wait()
            executor.handle_departure("i-1")
            clock.advance(1.5)
            release.set()
            answer = await run
        assert (answer.reason, answer.outcome) == (Reason.DRAINING, Outcome.NOT_RUN)
        assert not server.served
        server.stop()

    run_async(check)
