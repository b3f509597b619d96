"""The gateway's HTTP client and connection pool for backend servers."""

import asyncio

import pytest

from builders_gateway import run_async, wait_for
from heathermount.gateway.http_client import (
    ResponseIncomplete,
    ServerConnectionPool,
    ServerUnreachable,
)
from heathermount.standins.platform_server import (
    Fault,
    PlatformServerStandIn,
    make_response,
)

ID_HEADER = b"x-heathermount-request-id"


def encode_request(request_id: str) -> bytes:
    header = f"{ID_HEADER.decode()}: {request_id}"
    return f"GET /{request_id} HTTP/1.1\r\n{header}\r\n\r\n".encode()


async def start_server_and_pool(
    *faults: Fault, work_s: float = 0.0
) -> tuple[PlatformServerStandIn, ServerConnectionPool]:
    server = PlatformServerStandIn("i-1", work_s)
    server.faults = list(faults)
    await server.start()
    return server, ServerConnectionPool(server.address, ID_HEADER, 4)


@pytest.mark.parametrize(
    ("fault", "connections"),
    [
        (Fault.NONE, 1),
        # A connection with unsolicited bytes is not reused.
        (Fault.EXTRA, 2),
        (Fault.CROSSED, 2),
        (Fault.UNFRAMED, 2),
    ],
)
def test_returns_the_response_to_the_same_request(
    fault: Fault, connections: int
) -> None:
    """Guards against late, extra or unframed responses that reach another caller."""

    async def check() -> None:
        server, pool = await start_server_and_pool(fault)
        for request_id in ("r-1", "r-2", "r-3"):
            answer = await pool.exchange(
                encode_request(request_id), request_id.encode()
            )
            assert answer.body == f"i-1 /{request_id}".encode()
        assert server.accepted_connections == connections
        server.stop()

    run_async(check)


@pytest.mark.parametrize(
    ("fault", "response_started"),
    [
        (Fault.TRUNCATED, True),
        (Fault.UNFRAMED_RESET, True),
        (Fault.LOST, False),
        (Fault.GARBAGE, False),
    ],
)
def test_does_not_return_an_incomplete_response(
    fault: Fault, response_started: bool
) -> None:
    """Guards against forwarding a partial response as a complete one."""

    async def check() -> None:
        server, pool = await start_server_and_pool(fault)
        with pytest.raises(ResponseIncomplete) as caught:
            await pool.exchange(encode_request("r-1"), b"r-1")
        assert caught.value.response_started is response_started
        answer = await pool.exchange(encode_request("r-2"), b"r-2")
        assert answer.body == b"i-1 /r-2"
        server.stop()

    run_async(check)


def test_a_response_cut_at_any_byte_is_incomplete() -> None:
    """Guards against a response that ends in its head and looks complete."""

    async def check() -> None:
        server, pool = await start_server_and_pool()
        response = make_response(200, "r-1", b"body")
        for length in range(len(response)):
            server.faults = [Fault.NONE, Fault.CUT]
            server.cut_at = length
            # The connection has carried a whole response before.
            await pool.exchange(encode_request("r-0"), b"r-0")
            with pytest.raises(ResponseIncomplete):
                await pool.exchange(encode_request("r-1"), b"r-1")
        server.stop()

    run_async(check)


def test_closes_the_connection_of_a_cancelled_request() -> None:
    """Guards against servers that keep working for cancelled callers."""

    async def check() -> None:
        server, pool = await start_server_and_pool(work_s=5.0)
        task = asyncio.create_task(pool.exchange(encode_request("r-1"), b"r-1"))
        await wait_for(lambda: bool(server.served))
        task.cancel()
        await asyncio.wait([task])
        await wait_for(lambda: server.cancelled == 1)
        server.stop()

    run_async(check)


def test_stays_below_the_connection_limit() -> None:
    """Guards against connections over the limit, which the server would reset."""

    async def check() -> None:
        server, pool = await start_server_and_pool(work_s=0.05)
        ids = [f"r-{i}" for i in range(12)]
        await asyncio.gather(
            *(pool.exchange(encode_request(one), one.encode()) for one in ids)
        )
        assert server.accepted_connections <= 4
        assert sorted(server.served_request_ids()) == sorted(ids)
        server.stop()

    run_async(check)


def test_a_refused_connection_means_that_nothing_was_sent() -> None:
    """Guards against counting a request as run although it was never sent."""

    async def check() -> None:
        server, pool = await start_server_and_pool()
        server.stop()
        with pytest.raises(ServerUnreachable):
            await pool.exchange(encode_request("r-1"), b"r-1")

    run_async(check)


def test_does_not_reuse_a_connection_near_its_keep_alive_timeout() -> None:
    """Guards against a request sent while the server closes the idle connection."""

    async def check() -> None:
        server, pool = await start_server_and_pool()
        server.keep_alive = "timeout=1"
        await pool.exchange(encode_request("r-1"), b"r-1")
        await pool.exchange(encode_request("r-2"), b"r-2")
        assert server.accepted_connections == 2
        server.stop()

    run_async(check)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_an_informational_response_is_not_the_final_response(method: bytes) -> None:
    """Guards against forwarding a 100 Continue if the server then closes."""

    async def check() -> None:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ServerConnectionPool(f"{host}:{port}", ID_HEADER, 4)
        with pytest.raises(ResponseIncomplete) as caught:
            await pool.exchange(
                method + b" / HTTP/1.1\r\n\r\n", b"r-1", method == b"HEAD"
            )
        assert not caught.value.response_started
        server.close()

    run_async(check)
