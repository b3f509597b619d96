"""Graceful stop of a node: which requests are taken, and how they end."""

import asyncio
import time

from builders_gateway import (
    RunningNode,
    find_free_ports,
    make_document,
    make_route,
    run_async,
    run_fleet,
    wait_for,
)
from heathermount.clocks import ManualClock
from heathermount.framing import FRAME_HEADER, FrameKind
from heathermount.gateway.graceful_stop import GracefulStop
from heathermount.gateway.http_server import HttpLimits
from heathermount.gateway.listeners import Listeners
from heathermount.gateway.messages import MESSAGE_ENCODER, Answer, Message, Ping
from heathermount.standins.platform_client import (
    encode_request,
    read_response,
    send_request,
)
from heathermount.standins.platform_server import ServedRequest

# More than the buffers of a loopback connection hold, less than a node's limit.
LONG_BODY_BYTES = 14_000_000

ROUTES = [
    make_route(),
    make_route("order", "/order/", ("pantry",), idempotent=False, timeout_s=6.0),
    make_route("ledger", "/ledger/", ("orders",), public=True),
]


def test_stopping_node_takes_requests_that_end_before_its_exit() -> None:
    """Guards against requests that are taken although the process ends before them."""
    clock = ManualClock()
    stop = GracefulStop(clock)
    assert stop.takes_requests
    assert stop.limit_deadline(100.0) == 100.0
    stop.begin(10.0)
    killed_at = clock.monotonic() + 10.0
    assert stop.takes_requests
    assert stop.limit_deadline(killed_at) < killed_at
    while stop.takes_requests:
        clock.advance(0.1)
    # Requests taken last have as much time as those that were taken first.
    assert not stop.exit_due
    assert stop.limit_deadline(killed_at) - clock.monotonic() > 3.0


async def begin_stop(one: RunningNode) -> asyncio.Task[None]:
    assert one.task is not None
    one.node.stop()
    await asyncio.sleep(0.05)
    return one.task


def test_requests_late_in_the_grace_period_are_refused_as_not_run() -> None:
    """Guards against requests that are taken late and cut off without an answer.

    The client has connected to the stopping node in time, and sends its order late.
    """

    async def check() -> None:
        async with run_fleet(("pantry",), make_document(1, ROUTES), grace="2s") as (
            _,
            (node,),
        ):
            node.server.work_s = 1.0
            host, _, port = node.settings.listen.outbound.rpartition(":")
            task = await begin_stop(node)
            reader, writer = await asyncio.open_connection(host, int(port))
            running = asyncio.create_task(node.request("/order/0", request_id="r-0"))
            await asyncio.sleep(1.1)
            writer.write(encode_request("POST", "/order/1", "r-1"))
            try:
                status, headers, _ = await read_response(reader)
            except asyncio.IncompleteReadError as error:
                # Closing the connection before the request is read is as good.
                assert not error.partial
            else:
                assert (status, headers["heathermount-outcome"]) == (503, "not-run")
                assert float(headers["retry-after"]) > 0.0
            writer.close()
            assert (await node.request("/order/2", request_id="r-2"))[0] == 503
            assert (await running)[0] == 200
            await asyncio.wait([task])
            assert node.server.served_request_ids() == ["r-0"]

    run_async(check)


def test_running_requests_are_answered_before_the_exit() -> None:
    """Guards against runs that a stopping node cuts off at the end of the grace period.

    The server gets a deadline that lets it answer before.
    """

    async def check() -> None:
        async with run_fleet(("pantry",), make_document(1, ROUTES), grace="2s") as (
            _,
            (node,),
        ):
            await begin_stop(node)
            started_at = time.monotonic()
            assert (await node.request("/order/1"))[0] == 200
            (request,) = node.server.served
            deadline_ms = int(request.headers["x-heathermount-deadline-milliseconds"])
            assert time.monotonic() - started_at + deadline_ms / 1000 < 2.0

    run_async(check)


def test_running_requests_may_make_calls_late_in_the_grace_period() -> None:
    """Guards against runs that fail because their own node refuses their calls."""

    async def check() -> None:
        async with run_fleet(
            ("pantry", "orders"), make_document(1, ROUTES), grace="2s"
        ) as (_, nodes):

            async def call_late(request: ServedRequest) -> int:
                await asyncio.sleep(1.3)
                status, _, _ = await send_request(
                    nodes[0].settings.listen.outbound,
                    "GET",
                    "/ledger/1",
                    request_id=f"{request.request_id}.c-1",
                    key="",
                )
                return status

            nodes[0].server.work = call_late
            running = asyncio.create_task(nodes[1].request("/order/1"))
            await asyncio.sleep(0.05)
            await begin_stop(nodes[0])
            assert (await running)[0] == 200
            assert len(nodes[1].server.served) == 1

    run_async(check)


def test_stopping_node_waits_for_the_readers_of_its_responses() -> None:
    """Guards against an exit while a response is in the buffers of the process.

    The server has ended its work, and the client is still reading.
    """

    async def check() -> None:
        async with run_fleet(("pantry",), make_document(1, ROUTES), grace="4s") as (
            _,
            (node,),
        ):
            node.server.padding = b"a" * LONG_BODY_BYTES
            host, _, port = node.settings.listen.outbound.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request("GET", "/stock/1"))
            await wait_for(lambda: bool(node.server.served))
            await asyncio.sleep(0.3)
            task = await begin_stop(node)
            # Requests are refused after half of the grace period.
            await asyncio.sleep(2.5)
            assert not task.done()
            status, _, body = await read_response(reader)
            assert (status, len(body) > LONG_BODY_BYTES) == (200, True)
            await asyncio.wait([task], timeout=1.0)
            assert task.done()
            writer.close()

    run_async(check)


def test_responses_that_a_peer_has_not_read_are_pending() -> None:
    """Guards against an exit while the entry node is still reading a response."""

    async def check() -> None:
        async def answer(_: Message) -> Message:
            return Answer(200, [], b"a" * LONG_BODY_BYTES, "ran")

        listeners = Listeners(HttpLimits, lambda: False)
        (port,) = find_free_ports(1)
        await listeners.accept_peers(f"127.0.0.1:{port}", answer)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        body = MESSAGE_ENCODER.encode(Ping("n-2", 0, 0.0))
        writer.write(FRAME_HEADER.pack(len(body), 1, FrameKind.REQUEST) + body)
        await wait_for(listeners.has_pending_responses)
        await asyncio.sleep(0.3)
        assert listeners.has_pending_responses()
        await reader.readexactly(LONG_BODY_BYTES)
        await wait_for(lambda: not listeners.has_pending_responses())
        writer.close()
        listeners.close()

    run_async(check)
