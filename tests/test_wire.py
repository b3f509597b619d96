"""Tests of links and control connections between nodes, over loopback."""

import ssl
from pathlib import Path
from typing import Any

import anyio
import pytest

from builders_wire import (
    CertificateAuthority,
    make_identity,
    make_tls_contexts,
    open_link_pool,
    run_control_server,
    run_link_server,
    serve_byte_streams,
    wait_for,
)
from heathermount.clocks import ManualClock, SystemClock
from heathermount.errors import (
    ConfigurationProblem,
    PeerError,
    PeerLost,
    PeerRefused,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
)
from heathermount.wire import server as server_module
from heathermount.wire.control import (
    ControlClient,
    ControlServer,
    DrainReply,
    DrainRequest,
    check_token,
    make_token,
)
from heathermount.wire.frames import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    FrameKind,
    encode_frame,
)
from heathermount.wire.messages import (
    Acknowledgement,
    ClaimUpdated,
    Message,
    TokenRequest,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def echo(message: Message, peer: Any) -> Message:
    return message


def make_request(name: str) -> TokenRequest:
    return TokenRequest(name, [])


async def test_answers_reach_their_own_callers() -> None:
    """Guards against a caller that gets the response to another call.

    The peer answers 50 concurrent calls in reverse order.
    """
    gates: dict[str, anyio.Event] = {}

    async def answer_when_released(message: Message, peer: Any) -> Message:
        assert isinstance(message, TokenRequest)
        gate = gates[message.partition] = anyio.Event()
        await gate.wait()
        return message

    answers: dict[str, Message] = {}
    async with (
        run_link_server(answer_when_released) as server,
        open_link_pool() as pool,
    ):

        async def call(name: str) -> None:
            answers[name] = await pool.call(server.address, make_request(name), 5.0)

        names = [f"call-{i}" for i in range(50)]
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(call, name)
            await wait_for(lambda: len(gates) == len(names))
            for name in reversed(names):
                gates[name].set()
    assert answers == {name: make_request(name) for name in names}


async def test_wrong_secret_is_rejected() -> None:
    """Guards against a process without the fleet secret joining the fleet."""
    untrusted_identity = make_identity("orders-1", b"another secret of 16 bytes")
    async with (
        run_link_server(echo) as server,
        open_link_pool(untrusted_identity) as pool,
    ):
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, Acknowledgement(), 1.0)
        assert caught.value.code == "wrong-secret"
        assert not caught.value.sent
        await wait_for(lambda: server.rejected_connections == 1)


async def test_cancelled_call_is_cancelled_at_the_peer() -> None:
    """Guards against work that continues after its caller has stopped waiting."""
    ended: list[str] = []
    started = anyio.Event()

    async def wait_forever(message: Message, peer: Any) -> Message:
        started.set()
        try:
            await anyio.sleep_forever()
        finally:
            ended.append("cancelled")
        return message

    async with run_link_server(wait_forever) as server, open_link_pool() as pool:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.call, server.address, Acknowledgement(), 60.0)
            await started.wait()
            tasks.cancel_scope.cancel()
        await wait_for(lambda: ended == ["cancelled"])


async def test_late_answer_is_dropped_and_counted() -> None:
    """Guards against a late answer that is given to the next call.

    The peer answers the first call only after it has timed out.
    """
    cancelled: list[bool] = []

    async def answer_late(stream: Any) -> None:
        frames, _ = await server_module.authenticate_peer(
            stream, make_identity("p"), False
        )
        first, _, late_body = await frames.read()
        call_number, kind, _ = await frames.read()
        cancelled.append(call_number == first and kind == FrameKind.CANCEL)
        second, _, body = await frames.read()
        await frames.write(encode_frame(first, FrameKind.ANSWER, late_body))
        await frames.write(encode_frame(second, FrameKind.ANSWER, body))
        await anyio.sleep_forever()

    async with serve_byte_streams(answer_late) as address, open_link_pool() as pool:
        with pytest.raises(PeerTimeout):
            await pool.call(address, make_request("late"), 0.05)
        assert await pool.call(address, make_request("next"), 5.0) == make_request(
            "next"
        )
        assert pool.count_late_answers() == 1
    assert cancelled == [True]


async def test_connection_errors_say_whether_the_message_was_sent() -> None:
    """Guards against a refusal that claims "not run" without a proof.

    Only a refused connection proves that the peer did not get the message; a
    connection that is lost later does not.
    """

    async def close_after_request(stream: Any) -> None:
        frames, _ = await server_module.authenticate_peer(
            stream, make_identity("p"), False
        )
        await frames.read()
        await frames.close()

    async with (
        serve_byte_streams(close_after_request) as address,
        open_link_pool() as pool,
    ):
        with pytest.raises(PeerLost) as lost:
            await pool.call(address, Acknowledgement(), 5.0)
        assert lost.value.sent
    async with open_link_pool() as pool:
        with pytest.raises(PeerRefused) as refused:
            await pool.call(address, Acknowledgement(), 5.0)
        assert not refused.value.sent


async def test_call_timeout_includes_connecting() -> None:
    """Guards against calls that wait longer than their timeout.

    They share one connection attempt to a peer that accepts the connection but
    does not take part in the handshake.
    """

    async def never_respond(stream: Any) -> None:
        await anyio.sleep_forever()

    async with serve_byte_streams(never_respond) as address, open_link_pool() as pool:
        errors: list[PeerError] = []

        async def call() -> None:
            with pytest.raises(PeerUnreachable) as caught:
                await pool.call(address, Acknowledgement(), 0.1)
            errors.append(caught.value)

        with anyio.fail_after(0.9):
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(call)
        assert [error.sent for error in errors] == [False] * 20


async def test_oversized_frames_are_rejected() -> None:
    """Guards against a peer that makes a node buffer without a limit."""
    oversized_message = TokenRequest("x" * (MAX_FRAME_BYTES + 1), [])
    async with run_link_server(echo) as server, open_link_pool() as pool:
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, oversized_message, 5.0)
        assert not caught.value.sent
        link = await pool.connect(server.address)
        link._send_queue.put(
            FRAME_HEADER.pack(MAX_FRAME_BYTES + 1, 9, FrameKind.REQUEST)
        )
        await wait_for(lambda: link.closed)
        assert await pool.call(
            server.address, make_request("again"), 5.0
        ) == make_request("again")


MALFORMED_BODIES = {
    "no message": b"\xc0",
    "unknown tag": b"\x91\x7f",
    "truncated": b"\x93\x08",
    "nested": b"\x92\x0d" + b"\x91" * 100_000 + b"\xc0",
}


@pytest.mark.parametrize("body", MALFORMED_BODIES.values(), ids=MALFORMED_BODIES.keys())
async def test_malformed_request_is_rejected(body: bytes) -> None:
    """Guards against malformed bytes of one peer that stop the whole listener."""
    async with run_link_server(echo) as server, open_link_pool() as pool:
        link = await pool.connect(server.address)
        link._send_queue.put(encode_frame(77, FrameKind.REQUEST, body))
        assert await link.call(make_request("same link"), 5.0) == make_request(
            "same link"
        )


@pytest.mark.parametrize("kind", [FrameKind.ANSWER, FrameKind.REJECTED])
@pytest.mark.parametrize("body", MALFORMED_BODIES.values(), ids=MALFORMED_BODIES.keys())
async def test_malformed_answer_fails_only_its_call(
    kind: FrameKind, body: bytes
) -> None:
    """Guards against a malformed answer that ends the caller's link tasks."""

    async def answer_malformed(stream: Any) -> None:
        frames, _ = await server_module.authenticate_peer(
            stream, make_identity("p"), False
        )
        call_number, _, _ = await frames.read()
        await frames.write(encode_frame(call_number, kind, body))
        call_number, _, request = await frames.read()
        await frames.write(encode_frame(call_number, FrameKind.ANSWER, request))
        await anyio.sleep_forever()

    async with (
        serve_byte_streams(answer_malformed) as address,
        open_link_pool() as pool,
    ):
        with pytest.raises(PeerLost):
            await pool.call(address, Acknowledgement(), 5.0)
        assert await pool.call(address, make_request("next"), 5.0) == make_request(
            "next"
        )


@pytest.mark.parametrize("data", [b"", b"\x00" * 13, b"\xff" * 64, b"GET / HTTP/1.1"])
async def test_malformed_handshake_does_not_stop_the_server(data: bytes) -> None:
    """Guards against a node that stops when its ports are scanned."""
    async with run_link_server(echo) as server, open_link_pool() as pool:
        host, _, port = server.address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(data)
        await stream.aclose()
        await wait_for(lambda: server.rejected_connections == 1)
        assert await pool.call(
            server.address, make_request("next"), 5.0
        ) == make_request("next")


async def test_failing_handler_rejects_only_its_message() -> None:
    """Guards against an exception in one handler that ends a node's links."""

    async def fail(message: Message, peer: Any) -> Message:
        if message == Acknowledgement():
            raise KeyError("a fault")
        return message

    async with run_link_server(fail) as server, open_link_pool() as pool:
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, Acknowledgement(), 5.0)
        assert caught.value.code == "internal-error"
        assert await pool.call(
            server.address, make_request("next"), 5.0
        ) == make_request("next")


async def test_closed_listener_lets_open_links_continue() -> None:
    """Guards against a planned shutdown that interrupts running requests."""
    gate, started = anyio.Event(), anyio.Event()

    async def answer_when_released(message: Message, peer: Any) -> Message:
        started.set()
        await gate.wait()
        return ClaimUpdated(True)

    answers: list[Message] = []
    async with (
        run_link_server(answer_when_released) as server,
        open_link_pool() as pool,
    ):

        async def call() -> None:
            answers.append(await pool.call(server.address, Acknowledgement(), 5.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await started.wait()
            await server.close()
            pool.close_link(server.address)
            with pytest.raises(PeerRefused):
                await pool.call(server.address, Acknowledgement(), 5.0)
            gate.set()
    assert answers == [ClaimUpdated(True)]


async def test_idle_link_to_former_member_is_closed() -> None:
    """Guards against connections to former members that stay open."""
    async with run_link_server(echo) as server, open_link_pool() as pool:
        link = await pool.connect(server.address)
        pool.close_link(server.address)
        await wait_for(lambda: link.closed)


async def test_calls_over_mutual_tls(tmp_path: Path) -> None:
    """Guards against calls that fail when both sides check certificates.

    The message is too long for one TLS record.
    """
    authority = CertificateAuthority()
    authority.write_certificate(tmp_path / "p", "pantry-1", "127.0.0.1")
    authority.write_certificate(tmp_path / "o", "orders-1")
    server_side = make_identity("pantry-1", contexts=make_tls_contexts(tmp_path / "p"))
    client_side = make_identity("orders-1", contexts=make_tls_contexts(tmp_path / "o"))
    large_message = TokenRequest("x" * 300_000, [])
    async with (
        run_link_server(echo, server_side) as server,
        open_link_pool(client_side) as pool,
    ):
        assert await pool.call(server.address, large_message, 5.0) == large_message


@pytest.mark.parametrize(
    "fault", ["no certificate", "other authority", "other node", "plain"]
)
async def test_wrong_client_certificate_is_rejected(tmp_path: Path, fault: str) -> None:
    """Guards against a client without a certificate of its own from the fleet."""
    authority = CertificateAuthority()
    authority.write_certificate(tmp_path / "p", "pantry-1", "127.0.0.1")
    server_side = make_identity("pantry-1", contexts=make_tls_contexts(tmp_path / "p"))
    issuer = CertificateAuthority("other") if fault == "other authority" else authority
    issuer.write_certificate(
        tmp_path / "o", "vetrina-1" if fault == "other node" else "orders-1"
    )
    contexts = make_tls_contexts(tmp_path / "o")
    client_side = make_identity("orders-1", contexts=contexts)
    client_side.check_peer_name = None
    contexts.link_client.load_verify_locations(tmp_path / "p" / "authority.pem")
    if fault == "no certificate":
        client_side.client_tls = make_context_without_certificate(
            tmp_path / "p" / "authority.pem"
        )
    if fault == "plain":
        client_side.client_tls = None
    async with run_link_server(echo, server_side) as server:
        async with open_link_pool(client_side) as pool:
            with pytest.raises((PeerRejected, PeerUnreachable)) as caught:
                await pool.call(server.address, Acknowledgement(), 5.0)
            assert not caught.value.sent
        await wait_for(lambda: server.rejected_connections == 1)


def make_context_without_certificate(authority_file: Path) -> Any:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(authority_file)
    return context


async def test_wrong_server_certificate_is_rejected(tmp_path: Path) -> None:
    """Guards against a call to a process that poses as another node.

    Its certificate, from the fleet's authority, is for another name and address.
    """
    authority = CertificateAuthority()
    authority.write_certificate(tmp_path / "p", "dropoff-1", "127.0.0.2")
    authority.write_certificate(tmp_path / "o", "orders-1")
    server_side = make_identity("pantry-1", contexts=make_tls_contexts(tmp_path / "p"))
    client_side = make_identity("orders-1", contexts=make_tls_contexts(tmp_path / "o"))
    async with (
        run_link_server(echo, server_side) as server,
        open_link_pool(client_side) as pool,
    ):
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, Acknowledgement(), 5.0)
        assert caught.value.code == "wrong-certificate"


async def test_certificates_are_renewed_while_links_are_open(tmp_path: Path) -> None:
    """Guards against a new authority that needs a restart or interrupts calls.

    New links need certificates of the same authority on both sides; a link that
    is already open continues.
    """
    old, new = CertificateAuthority("old"), CertificateAuthority("new")
    folders = {"pantry-1": tmp_path / "p", "orders-1": tmp_path / "o"}
    for node, folder in folders.items():
        old.write_certificate(folder, node)
    contexts = {node: make_tls_contexts(folder) for node, folder in folders.items()}
    sides = {node: make_identity(node, contexts=c) for node, c in contexts.items()}
    client_side = sides["orders-1"]
    server_side = sides["pantry-1"]
    async with (
        run_link_server(echo, server_side) as server,
        open_link_pool(client_side) as pool,
    ):
        assert await pool.call(
            server.address, make_request("old"), 5.0
        ) == make_request("old")
        assert not contexts["pantry-1"].reload_if_changed()
        for node, folder in folders.items():
            new.write_certificate(folder, node)
        assert contexts["pantry-1"].reload_if_changed()
        link = await pool.connect(server.address)
        assert await link.call(make_request("open"), 5.0) == make_request("open")
        async with open_link_pool(client_side) as late_pool:
            with pytest.raises(PeerRejected):
                await late_pool.call(server.address, Acknowledgement(), 5.0)
        assert contexts["orders-1"].reload_if_changed()
        async with open_link_pool(client_side) as new_pool:
            assert await new_pool.call(
                server.address, make_request("new"), 5.0
            ) == make_request("new")
        assert await link.call(make_request("open"), 5.0) == make_request("open")


async def test_certificate_errors_name_the_setting(tmp_path: Path) -> None:
    """Guards against a damaged file that stops a running node, or goes unreported.

    Each attempt to reload reports the file.
    """
    CertificateAuthority().write_certificate(tmp_path, "pantry-1")
    contexts = make_tls_contexts(tmp_path)
    (tmp_path / "key.pem").write_text("no key")
    for _ in range(2):
        with pytest.raises(ConfigurationProblem, match="tls_certificate_file"):
            contexts.reload_if_changed()
    (tmp_path / "authority.pem").unlink()
    with pytest.raises(ConfigurationProblem, match="tls_authority_file"):
        contexts.reload_if_changed()


class DrainService:
    """Control service that answers drain requests only."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return None

    async def drain(self, request: DrainRequest) -> DrainReply:
        if not request.draining:
            await anyio.sleep_forever()
        return DrainReply(7)


@pytest.mark.parametrize("with_tls", [False, True])
async def test_control_calls(tmp_path: Path, with_tls: bool) -> None:
    """Guards against control calls that fail with an untyped error or over TLS."""
    contexts = None
    if with_tls:
        CertificateAuthority().write_certificate(tmp_path, "pantry-1")
        contexts = make_tls_contexts(tmp_path)
    tls = contexts and contexts.control_client
    secret, clock = b"a secret of the fleet", SystemClock()
    service: Any = DrainService()
    server = ControlServer(service, secret, clock, contexts and contexts.control_server)
    async with run_control_server(server) as address:
        client = ControlClient(address, secret, clock, tls)
        assert await client.call(DrainRequest(True), DrainReply) == DrainReply(7)
        with pytest.raises(PeerTimeout) as timeout:
            await client.call(DrainRequest(False), DrainReply, timeout_s=0.1)
        assert timeout.value.sent
        client.close()
        untrusted_client = ControlClient(address, b"another secret", clock, tls)
        with pytest.raises(PeerRejected):
            await untrusted_client.call(DrainRequest(True), DrainReply)
        untrusted_client.close()
    client = ControlClient(address, secret, clock, tls)
    with pytest.raises(PeerRefused):
        await client.call(DrainRequest(True), DrainReply)


def test_tokens_are_bound_to_method_and_time() -> None:
    """Guards against a token that is replayed for another method or after 5 minutes."""
    clock = ManualClock()
    token = make_token(b"secret", "/drain", clock)
    assert check_token(b"secret", "/drain", clock, token)
    assert not check_token(b"secret", "/push", clock, token)
    for bad in ("", "1.2.3", "²" + token, "9" * 5000 + ".a.b", token + "é"):
        assert not check_token(b"secret", "/drain", clock, bad)
    clock.advance(301.0)
    assert not check_token(b"secret", "/drain", clock, token)
