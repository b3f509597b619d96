"""Endless requests and responses: error handling and memory limits."""

import asyncio
import logging
import time
import tracemalloc
from typing import Any
from unittest.mock import patch

import pytest

from builders_gateway import (
    make_announcement,
    make_execute,
    make_executor,
    make_tracker,
    run_async,
    serve_http,
    wait_for,
)
from heathermount.clocks import SystemClock
from heathermount.gateway.http_client import (
    MAX_BUFFERED_BYTES,
    ResponseIncomplete,
    ServerConnectionPool,
    ServerResponse,
)
from heathermount.gateway.http_server import HttpLimits, HttpRequest, HttpResponse
from heathermount.gateway.server_connection import ServerConnection
from heathermount.standins.endless_server import (
    FOREIGN_RESPONSE,
    EndlessPart,
    EndlessServerStandIn,
)
from heathermount.values import Outcome, Reason

# Longest time until an endless response is aborted when it is sent at full speed.
# Leaves room for a busy machine.
MAX_ABORT_S = 10.0

# Memory for the stand-in, pending reads and a copy of one response.
MEMORY_MARGIN_BYTES = 32 * 1024 * 1024

REQUEST_DEADLINE_S = 0.5

# Calls of the parser's callbacks for one response: some tenths of a second of processor
# time on the slowest instances.
MAX_STEPS_PER_RESPONSE = 100_000
MAX_LOG_LINES_PER_RESPONSE = 10


@pytest.mark.parametrize("kind", list(EndlessPart))
def test_an_endless_response_is_aborted_and_its_connection_closed(
    kind: EndlessPart,
) -> None:
    """Guards against a response head or body that exhausts the memory of a node."""

    async def check() -> None:
        server = EndlessServerStandIn(kind)
        await server.start()
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock, freshness_s=60.0))
        executor.handle_heartbeat(make_announcement(server.address))
        tracemalloc.start()
        started = time.monotonic()
        answers = await asyncio.gather(
            *(
                executor.execute(make_execute(b"r-%d" % number, deadline_s=MAX_ABORT_S))
                for number in range(8)
            )
        )
        await wait_for(lambda: not server.open_connections)
        elapsed_s = time.monotonic() - started
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert {(answer.status, answer.reason) for answer in answers} == {
            (502, Reason.ANSWER_BROKEN)
        }
        assert {answer.outcome for answer in answers} == {Outcome.UNKNOWN}
        assert not any(answer.body for answer in answers)
        assert peak_bytes < MAX_BUFFERED_BYTES + MEMORY_MARGIN_BYTES
        assert elapsed_s < MAX_ABORT_S
        server.stop()

    run_async(check)


# Aborted before any deadline: the first for its Content-Length, the other after a few
# responses.
ABORTED_EARLY = {EndlessPart.SIZED_BODY, EndlessPart.FOREIGN_RESPONSES}


@pytest.mark.parametrize(
    "kind", [kind for kind in EndlessPart if kind not in ABORTED_EARLY]
)
def test_a_slow_endless_response_is_aborted_at_the_deadline(
    kind: EndlessPart,
) -> None:
    """Guards against a response that trickles in and never ends its request."""

    async def check() -> None:
        server = EndlessServerStandIn(kind, chunk_bytes=16, pause_s=0.02)
        await server.start()
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock))
        executor.handle_heartbeat(make_announcement(server.address))
        answer = await executor.execute(make_execute(deadline_s=REQUEST_DEADLINE_S))
        assert (answer.reason, answer.outcome) == (Reason.DEADLINE, Outcome.UNKNOWN)
        await wait_for(lambda: not server.open_connections, 1.0)
        server.stop()

    run_async(check)


@pytest.mark.parametrize(
    ("kind", "pause_s"),
    [
        (EndlessPart.FOREIGN_RESPONSES, 0.0),
        (EndlessPart.FOREIGN_RESPONSES, 0.01),
        (EndlessPart.TINY_CHUNKS, 0.0),
        (EndlessPart.INFORMATIONAL, 0.0),
    ],
)
def test_an_endless_response_costs_a_bounded_number_of_steps(
    kind: EndlessPart, pause_s: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against bytes that are cheap to send and expensive to handle.

    Bounds the callbacks of the parser and the log lines that a server can cause.
    """
    steps = 0

    def count_steps(name: str) -> Any:
        callback = getattr(ServerConnection, name)

        def call(*arguments: Any) -> None:
            nonlocal steps
            steps += 1
            callback(*arguments)

        return patch.object(ServerConnection, name, call)

    async def check() -> None:
        server = EndlessServerStandIn(kind, pause_s=pause_s)
        await server.start()
        clock = SystemClock()
        executor = make_executor(clock, make_tracker(clock, freshness_s=60.0))
        executor.handle_heartbeat(make_announcement(server.address))
        with (
            count_steps("on_message_begin"),
            count_steps("on_body"),
            count_steps("data_received"),
        ):
            answer = await executor.execute(make_execute(deadline_s=MAX_ABORT_S))
            await wait_for(lambda: not server.open_connections)
        assert (answer.status, answer.reason) == (502, Reason.ANSWER_BROKEN)
        assert steps < MAX_STEPS_PER_RESPONSE
        server.stop()

    with caplog.at_level(logging.INFO):
        run_async(check)
    assert len(caplog.records) < MAX_LOG_LINES_PER_RESPONSE


async def exchange_with_server(response: bytes, request_id: bytes) -> ServerResponse:
    """Send one request to a server that sends the given bytes; return its response."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = ServerConnectionPool(f"{host}:{port}", b"x-heathermount-request-id", 4)
    try:
        return await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", request_id)
    finally:
        server.close()


def test_late_responses_to_earlier_requests_are_skipped() -> None:
    """Guards against a bound that rejects the few late answers of a sound server."""

    async def check() -> None:
        expected = b"HTTP/1.1 200 OK\r\nX-Heathermount-Request-Id: r-1\r\n"
        expected += b"Content-Length: 5\r\n\r\nwhole"
        response = await exchange_with_server(FOREIGN_RESPONSE * 3 + expected, b"r-1")
        assert (response.status, response.body) == (200, b"whole")

    run_async(check)


@pytest.mark.parametrize("part_bytes", [2, 1_000])
def test_a_body_in_small_parts_is_whole(part_bytes: int) -> None:
    """Guards against a bound on work that cuts off a body in small parts."""

    async def check() -> None:
        part = b"a" * part_bytes
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"%x\r\n%b\r\n" % (part_bytes, part) * 4_000
        response = await exchange_with_server(head + chunks + b"0\r\n\r\n", b"")
        assert response.body == part * 4_000

    run_async(check)


def test_endless_responses_do_not_affect_other_requests() -> None:
    """Guards against a memory limit that aborts short responses."""

    async def check() -> None:
        server = EndlessServerStandIn(EndlessPart.BODY)
        server.healthy_paths = {"good"}
        await server.start()
        pool = ServerConnectionPool(server.address, b"x-heathermount-request-id", 16)

        def encode(name: str) -> bytes:
            return f"GET /{name} HTTP/1.1\r\n\r\n".encode()

        endless = [
            asyncio.create_task(pool.exchange(encode("endless"), b"")) for _ in range(8)
        ]
        for _ in range(20):
            answer = await pool.exchange(encode("good"), b"")
            assert (answer.status, answer.body) == (200, b"whole")
        for result in await asyncio.gather(*endless, return_exceptions=True):
            assert isinstance(result, ResponseIncomplete) and result.response_started
        server.stop()

    run_async(check)


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"GET /", b"a" * 65_536),
        (b"GET / HTTP/1.1\r\nX-Long: ", b"a" * 65_536),
        (b"GET / HTTP/1.1\r\n", b"X-Short: a\r\n" * 5_000),
        (b"a", b"a" * 65_536),
    ],
    ids=["target", "header value", "headers", "method"],
)
def test_an_endless_request_head_is_rejected(start: bytes, part: bytes) -> None:
    """Guards against a request head that exhausts the memory of a node."""

    async def check() -> None:
        async def handle(_: HttpRequest) -> HttpResponse:
            raise AssertionError("no request is complete")

        tracemalloc.start()
        async with serve_http(handle, HttpLimits()) as (reader, writer):
            writer.write(start)
            sent = 0
            try:
                while sent < 50_000_000:
                    writer.write(part)
                    sent += len(part)
                    await writer.drain()
                    await asyncio.sleep(0)
            except OSError:
                # The node has closed the connection.
                pass
            _, peak_bytes = tracemalloc.get_traced_memory()
            answer = await read_to_end(reader)
        tracemalloc.stop()
        assert peak_bytes < 8 * 1024 * 1024
        assert sent < 50_000_000 or answer.startswith(
            (b"HTTP/1.1 431", b"HTTP/1.1 400")
        )

    run_async(check)


def test_a_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes() -> None:
    """Guards against chunks of a few bytes that take many times their size."""

    async def check() -> None:
        body = b"ab" * 500_000
        received: list[bytes] = []

        async def handle(request: HttpRequest) -> HttpResponse:
            received.append(request.body)
            return HttpResponse(200, [])

        chunks = b"2\r\nab\r\n" * 500_000
        async with serve_http(handle, HttpLimits()) as (reader, writer):
            tracemalloc.start()
            writer.write(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
            for offset in range(0, len(chunks), 70_000):
                writer.write(chunks[offset : offset + 70_000])
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        assert received == [body]
        assert peak_bytes < 8 * len(body)

    run_async(check)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read()
    except OSError:
        return b""
