"""Links between gateway nodes: answers, cancellation, lost connections, closing."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest.mock import patch

import pytest

from builders_gateway import delay_connections, make_execute, run_async, wait_for
from heathermount.clocks import SystemClock
from heathermount.errors import PeerLost, PeerTimeout, PeerUnreachable
from heathermount.framing import FRAME_HEADER, FrameKind
from heathermount.gateway import links
from heathermount.gateway.links import Link, LinkTable
from heathermount.gateway.messages import (
    MESSAGE_ENCODER,
    Answer,
    Execute,
    Message,
    Ping,
    Pong,
)
from heathermount.gateway.peer_connections import PeerConnection


def make_table() -> LinkTable:
    return LinkTable(SystemClock(), lambda: Ping("n-1", 0, 0.0), lambda *_: None)


async def answer_pings(message: Message) -> Message:
    assert isinstance(message, Ping)
    return Pong(0, 0.0, None, True)


@asynccontextmanager
async def serve_peer(
    handler: Callable[[Message], Awaitable[Message]],
) -> AsyncIterator[tuple[LinkTable, Link, set[PeerConnection]]]:
    """Serve a peer; yield a link table, its connected link, and the peer's side."""
    connections: set[PeerConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: PeerConnection(handler, connections), "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    table = make_table()
    link = await table.connect(f"{host}:{port}", 5.0)
    try:
        yield table, link, connections
    finally:
        table.close()
        server.close()


class SlowPeer:
    """Answers Execute messages once `release` is set and counts cancelled calls."""

    def __init__(self) -> None:
        self.started = 0
        self.cancelled = 0
        self.release = asyncio.Event()

    async def handle(self, message: Message) -> Message:
        if isinstance(message, Ping):
            return Pong(0, 0.0, None, True)
        assert isinstance(message, Execute)
        self.started += 1
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return Answer(200, [], message.target, "ran")


def test_matches_answers_that_arrive_out_of_order() -> None:
    """Guards against an answer that is delivered to the wrong call."""

    async def echo(message: Message) -> Message:
        if isinstance(message, Ping):
            return Pong(0, 0.0, None, True)
        assert isinstance(message, Execute)
        await asyncio.sleep(0.02 if message.target.endswith(b"0") else 0.0)
        return Answer(200, [], message.target, "ran")

    async def check() -> None:
        async with serve_peer(echo) as (_, link, _):
            targets = [b"/%d" % i for i in range(50)]
            answers = await asyncio.gather(
                *(link.call(make_execute(target=one), 5.0) for one in targets)
            )
            assert [one.body for one in answers if isinstance(one, Answer)] == targets

    run_async(check)


def test_timed_out_call_is_cancelled_at_the_peer() -> None:
    """Guards against work at the peer for a caller that no longer waits."""

    async def check() -> None:
        peer = SlowPeer()
        async with serve_peer(peer.handle) as (_, link, _):
            with pytest.raises(PeerTimeout):
                await link.call(make_execute(), 0.05)
            await wait_for(lambda: peer.cancelled == 1)

    run_async(check)


def test_link_closes_only_after_its_pending_calls() -> None:
    """Guards against calls that fail when their peer leaves the registry.

    The link is then dropped from the table while a call is still pending on it.
    """

    async def check() -> None:
        peer = SlowPeer()
        async with serve_peer(peer.handle) as (table, link, connections):
            call = asyncio.create_task(link.call(make_execute(), 5.0))
            await wait_for(lambda: peer.started == 1)
            table.close_all_except(set())
            await asyncio.sleep(0.05)
            peer.release.set()
            assert isinstance(await call, Answer)
            await wait_for(lambda: not connections)

    run_async(check)


def test_lost_connection_fails_its_calls_and_is_reopened() -> None:
    """Guards against calls that hang after their peer has crashed."""

    async def check() -> None:
        peer = SlowPeer()
        async with serve_peer(peer.handle) as (_, link, connections):
            call = asyncio.create_task(link.call(make_execute(), 5.0))
            await wait_for(lambda: peer.started == 1)
            for connection in list(connections):
                connection.close()
            with pytest.raises(PeerLost):
                await call
            await wait_for(lambda: link.usable)
            peer.release.set()
            assert isinstance(await link.call(make_execute(), 5.0), Answer)

    run_async(check)


def test_reconnects_to_a_resetting_peer_with_backoff() -> None:
    """Guards against a busy loop of connections to a peer that is down.

    Found by the soak with seed 222: a proxy accepted and reset thousands of
    connections while the node behind it was down.
    """

    async def check() -> None:
        accepted = 0

        def refuse(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal accepted
            accepted += 1
            writer.transport.abort()

        server = await asyncio.start_server(refuse, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        table = make_table()
        table.get(f"{host}:{port}")
        await asyncio.sleep(1.0)
        # Backoff delays of 0.2, 0.4 and 0.8 s.
        assert 1 <= accepted <= 4
        table.close()
        server.close()

    run_async(check)


def test_silent_connection_is_replaced() -> None:
    """Guards against a link stuck on an open connection that carries no answers.

    The peer stops answering pings, as after a network partition.
    """

    async def check() -> None:
        silent = asyncio.Event()

        async def handle(message: Message) -> Message:
            if silent.is_set():
                await asyncio.Event().wait()
            return await answer_pings(message)

        async with serve_peer(handle) as (_, link, connections):
            await wait_for(lambda: link.usable)
            (first,) = connections
            silent.set()
            await wait_for(lambda: not link.usable, 5.0)
            await wait_for(lambda: first not in connections, 5.0)
            silent.clear()
            await wait_for(lambda: link.usable, 5.0)

    run_async(check)


def test_call_without_a_connection_counts_as_not_sent() -> None:
    """Guards against a call reported as sent although it never left the node.

    Callers retry safely only if the error says that nothing was sent.
    """

    async def check() -> None:
        table = make_table()
        link = table.get("127.0.0.1:1")
        with pytest.raises(PeerUnreachable) as caught:
            await link.call(make_execute(), 1.0)
        assert not caught.value.sent
        table.close()

    run_async(check)


def test_link_to_a_silent_node_that_has_left_does_not_reconnect() -> None:
    """Guards against a link that connects again for ever to a node that has left.

    A ping is pending when the node leaves, and the node never answers it.
    """

    async def check() -> None:
        silent = asyncio.Event()

        async def handle(message: Message) -> Message:
            if silent.is_set():
                await asyncio.Event().wait()
            return await answer_pings(message)

        async with serve_peer(handle) as (table, link, connections):
            silent.set()
            call = asyncio.create_task(link.call(make_execute(), 0.3))
            await asyncio.sleep(0)
            table.close_all_except(set())
            with pytest.raises(PeerTimeout):
                await call
            await wait_for(lambda: not connections, 10.0)
            await asyncio.sleep(1.0)
            assert not connections

    run_async(check)


def test_malformed_answer_fails_its_call_at_once() -> None:
    """Guards against a caller that waits for its timeout after a malformed answer."""

    async def check() -> None:
        def answer_badly(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(FRAME_HEADER.pack(1, 1, FrameKind.ANSWER) + b"\xc1")

        server = await asyncio.start_server(answer_badly, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        table = make_table()
        link = await table.connect(f"{host}:{port}", 5.0)
        with pytest.raises(PeerLost):
            await link.call(make_execute(), 20.0)
        table.close()
        server.close()

    run_async(check)


def test_unreachable_peer_delays_only_the_first_caller() -> None:
    """Guards against each request waiting for a node that does not answer."""

    async def check() -> None:
        table = make_table()
        loop = asyncio.get_running_loop()
        with delay_connections(asyncio.Event().wait):
            with pytest.raises(PeerUnreachable):
                await table.connect("127.0.0.1:1", 2.0)
            assert table.suspected("127.0.0.1:1")
            started_at = loop.time()
            with pytest.raises(PeerUnreachable):
                await table.connect("127.0.0.1:1", 2.0)
            assert loop.time() - started_at < 0.5
        table.close()

    run_async(check)


def test_unused_link_is_neither_pinged_nor_kept() -> None:
    """Guards against a cost for each node that was called once."""

    async def check() -> None:
        pings = 0

        async def handle(message: Message) -> Message:
            nonlocal pings
            pings += isinstance(message, Ping)
            return await answer_pings(message)

        with patch.object(links, "CLOSE_UNUSED_AFTER_S", 1.5):
            async with serve_peer(handle) as (table, _, connections):
                await wait_for(lambda: not connections, 10.0)
                assert table.count() == 0
                assert pings <= 2

    run_async(check)


def test_first_call_on_an_unused_link_is_answered() -> None:
    """Guards against a peer that is suspected because nothing was sent to it."""

    async def check() -> None:
        async with serve_peer(answer_pings) as (table, link, _):
            # Longer than the silence after which a link in use is given up.
            await asyncio.sleep(2.5)
            assert not table.suspected(link.address)
            answer = await link.call(Ping("n-2", 0, 0.0), 1.0)
            assert isinstance(answer, Pong) and link.usable

    run_async(check)


@pytest.mark.parametrize(
    "data",
    [
        FRAME_HEADER.pack(2**31, 1, 0),
        FRAME_HEADER.pack(3, 1, 0) + b"\xc1\xc1\xc1",
        FRAME_HEADER.pack(5000, 1, 0) + b"\x91" * 5000,
        FRAME_HEADER.pack(1, 1, 9) + b"\x00",
    ],
    ids=["long", "no msgpack", "nested", "no message"],
)
def test_malformed_frame_closes_only_its_connection(data: bytes) -> None:
    """Guards against malformed bytes that crash the node or break other links."""

    async def check() -> None:
        async with serve_peer(answer_pings) as (_, link, _):
            host, _, port = link.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            assert await reader.read() == b""
            writer.close()
            answer = await link.call(Ping("n-2", 0, 0.0), 5.0)
            assert isinstance(answer, Pong)

    run_async(check)


def test_endless_answers_close_the_connection() -> None:
    """Guards against a peer whose answers without a call take processor time."""

    async def check() -> None:
        frame = FRAME_HEADER.pack(0, 1, FrameKind.REJECTED)
        closed = asyncio.Event()

        async def answer_endlessly(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    writer.write(frame * 1000)
                    await writer.drain()
            except OSError:
                # The link has closed the connection.
                pass
            finally:
                # Also when the loop ends while the link has connected again.
                writer.close()
            closed.set()

        server = await asyncio.start_server(answer_endlessly, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        table = make_table()
        await table.connect(f"{host}:{port}", 5.0)
        await asyncio.wait_for(closed.wait(), 5.0)
        table.close()
        server.close()

    run_async(check)


def test_late_answers_to_cancelled_calls_keep_the_connection() -> None:
    """Guards against a bound on unexpected answers that counts expected ones."""

    async def check() -> None:
        peer = SlowPeer()
        async with serve_peer(peer.handle) as (_, link, connections):
            for _ in range(20):
                with pytest.raises(PeerTimeout):
                    await link.call(make_execute(), 0.01)
                (connection,) = connections
                connection.send_frame(1, FrameKind.REJECTED)
            answer = await link.call(Ping("n-1", 0, 0.0), 5.0)
            assert isinstance(answer, Pong) and link.usable

    run_async(check)


def test_message_that_is_no_request_closes_its_connection() -> None:
    """Guards against a log line for each message that no node can have sent."""

    async def check() -> None:
        async with serve_peer(answer_pings) as (_, link, _):
            host, _, port = link.address.rpartition(":")
            body = MESSAGE_ENCODER.encode(Pong(0, 0.0, None, True))
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(FRAME_HEADER.pack(len(body), 1, FrameKind.REQUEST) + body)
            assert await asyncio.wait_for(reader.read(), 5.0) == b""
            writer.close()

    run_async(check)
