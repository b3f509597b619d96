"""The gateway's HTTP server."""

import asyncio

import pytest

from builders_gateway import run_async, serve_http
from heathermount.gateway.http_server import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from heathermount.standins.platform_client import read_response

LIMITS = HttpLimits(2000, 3000, 0.2, 0.4)


async def echo(request: HttpRequest) -> HttpResponse:
    headers = [(b"x-method", request.method)]
    return HttpResponse(200, headers, request.target + b" " + request.body)


@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 200, b"/a "),
        (b"POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 200, b"/b abc"),
        (
            b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            200,
            b"/c abcde",
        ),
        (b"no request\r\n\r\n", 400, b""),
        (
            b"POST /d HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n0\r\n\r\n",
            400,
            b"",
        ),
        (b"GET /e HTTP/1.1\r\nx: " + b"y" * 3000 + b"\r\n\r\n", 431, b""),
        (
            b"POST /f HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + b"z" * 5000,
            413,
            b"",
        ),
    ],
)
def test_answers_valid_and_rejects_invalid_requests(
    data: bytes, status: int, body: bytes
) -> None:
    """Guards against forwarding smuggled, oversized or malformed requests."""

    async def check() -> None:
        async with serve_http(echo, LIMITS) as (reader, writer):
            writer.write(data)
            found = await read_response(reader)
            assert (found[0], found[2]) == (status, body)
            if status != 200:
                assert found[1]["connection"] == "close"

    run_async(check)


def test_answers_pipelined_requests_in_order() -> None:
    """Guards against responses to pipelined requests in the wrong order."""

    async def slow(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.02 if request.target == b"/0" else 0.0)
        return await echo(request)

    async def check() -> None:
        async with serve_http(slow, LIMITS) as (reader, writer):
            for i in range(40):
                writer.write(b"GET /%d HTTP/1.1\r\n\r\n" % i)
            for i in range(40):
                assert (await read_response(reader))[2] == b"/%d " % i

    run_async(check)


UPGRADE = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"
)


@pytest.mark.parametrize(
    ("framing", "sent_body", "body"),
    [
        (b"", b"", b""),
        (b"Content-Length: 0\r\n", b"", b""),
        (b"Content-Length: 16\r\n", b"GET /x HTTP/1.1\n", b"GET /x HTTP/1.1\n"),
        (
            b"Transfer-Encoding: chunked\r\n",
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            b"abcde",
        ),
    ],
    ids=["no body", "empty", "length", "chunked"],
)
@pytest.mark.parametrize("part_bytes", [1, 7, 100_000])
def test_answers_requests_that_offer_an_upgrade(
    framing: bytes, sent_body: bytes, body: bytes, part_bytes: int
) -> None:
    """Guards against a run without an answer, and a body taken for a request.

    The offer is ignored, and the connection serves the next, pipelined requests.
    """

    async def echo_slowly(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.01)
        return await echo(request)

    async def check() -> None:
        request = b"POST /a HTTP/1.1\r\n" + UPGRADE + framing + b"\r\n" + sent_body
        data = request * 3 + b"GET /b HTTP/1.1\r\n\r\n" + request
        async with serve_http(echo_slowly, LIMITS) as (reader, writer):
            for offset in range(0, len(data), part_bytes):
                writer.write(data[offset : offset + part_bytes])
                await asyncio.sleep(0)
            answers = [await read_response(reader) for _ in range(5)]
        expected = b"/a " + body
        bodies = [answer[2] for answer in answers]
        assert bodies == [expected, expected, expected, b"/b ", expected]
        assert {answer[0] for answer in answers} == {200}
        assert not any("connection" in answer[1] for answer in answers)

    run_async(check)


def test_a_long_body_after_an_offer_to_upgrade_is_rejected() -> None:
    """Guards against a body that escapes the size limit."""

    async def check() -> None:
        async with serve_http(echo, LIMITS) as (reader, writer):
            writer.write(b"POST /a HTTP/1.1\r\n" + UPGRADE)
            writer.write(b"Content-Length: 5000\r\n\r\n" + b"z" * 5000)
            assert (await read_response(reader))[0] == 413

    run_async(check)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_head_does_not_count_against_the_limit_of_the_body(framing: str) -> None:
    """Guards against 413 for a body within its limit, and 431 for a short trailer.

    A trailer is no header of the request.
    """
    received: list[HttpRequest] = []

    async def keep(request: HttpRequest) -> HttpResponse:
        received.append(request)
        return HttpResponse(200, [])

    async def check() -> None:
        body = b"z" * LIMITS.max_body_bytes
        async with serve_http(keep, LIMITS) as (reader, writer):
            writer.write(b"POST /a HTTP/1.1\r\nx: " + b"y" * 1900 + b"\r\n")
            if framing == "length":
                writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            else:
                writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n0\r\n" % (len(body), body))
                writer.write(b"x-trailer: z\r\n\r\n")
            assert (await read_response(reader))[0] == 200
        (request,) = received
        assert request.body == body
        assert not find_header(request.headers, b"x-trailer")

    run_async(check)


def test_connect_is_rejected() -> None:
    """Guards against a tunnel whose bytes would be taken for requests."""

    async def check() -> None:
        async with serve_http(echo, LIMITS) as (reader, writer):
            writer.write(b"CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\nbytes")
            assert (await read_response(reader))[0] == 400

    run_async(check)


def test_cancels_a_request_when_its_client_disconnects() -> None:
    """Guards against work for clients that have disconnected."""
    cancelled = asyncio.Event()

    async def wait(request: HttpRequest) -> HttpResponse:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return HttpResponse(200, [])

    async def check() -> None:
        async with serve_http(wait, LIMITS) as (_, writer):
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.02)
            writer.close()
            await asyncio.wait_for(cancelled.wait(), 2.0)

    run_async(check)


@pytest.mark.parametrize(
    ("data", "expected"),
    [(b"", b""), (b"GET / HTTP/1.1\r\nHost:", b"HTTP/1.1 408")],
    ids=["idle", "unfinished"],
)
def test_closes_idle_connections_and_incomplete_requests(
    data: bytes, expected: bytes
) -> None:
    """Guards against connections that stay open forever without a request."""

    async def check() -> None:
        async with serve_http(echo, HttpLimits(2000, 3000, 0.05, 0.1)) as (
            reader,
            writer,
        ):
            writer.write(data)
            rest = await asyncio.wait_for(reader.read(), 5.0)
            assert rest.startswith(expected)

    run_async(check)


def test_a_handler_error_is_answered_with_502() -> None:
    """Guards against a handler error that stops the node.

    The status must not claim that the request has not run, as 503 does.
    """

    async def fail(request: HttpRequest) -> HttpResponse:
        raise RuntimeError("bug in the handler")

    async def check() -> None:
        async with serve_http(fail, LIMITS) as (reader, writer):
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            assert (await read_response(reader))[0] == 502

    run_async(check)
