"""Links and control connections between nodes, over loopback."""

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
from heathermount.wire.frames import FRAME_HEADER, MAX_FRAME_BYTES, FrameKind, frame
from heathermount.wire.messages import ClaimUpdated, Message, Received, TokenRequest

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def echo(message: Message, peer: Any) -> Message:
    return message


def ask(name: str) -> TokenRequest:
    return TokenRequest(name, [])


async def test_answers_find_their_calls() -> None:
    """Guards against a caller that gets the response to another call."""
    gates: dict[str, anyio.Event] = {}

    async def answer_when_told(message: Message, peer: Any) -> Message:
        assert isinstance(message, TokenRequest)
        gate = gates[message.partition] = anyio.Event()
        await gate.wait()
        return message

    answers: dict[str, Message] = {}
    async with run_link_server(answer_when_told) as server, open_link_pool() as pool:

        async def call(name: str) -> None:
            answers[name] = await pool.call(server.address, ask(name), 5.0)

        names = [f"call-{i}" for i in range(50)]
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(call, name)
            await wait_for(lambda: len(gates) == len(names))
            for name in reversed(names):
                gates[name].set()
    assert answers == {name: ask(name) for name in names}


async def test_wrong_secret_is_rejected() -> None:
    """Guards against a process without the fleet secret joining the fleet."""
    stranger = make_identity("orders-1", b"another secret of 16 bytes")
    async with run_link_server(echo) as server, open_link_pool(stranger) as pool:
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, Received(), 1.0)
        assert caught.value.code == "wrong-secret"
        assert not caught.value.sent
        await wait_for(lambda: server.rejected == 1)


async def test_cancelled_call_is_cancelled_at_the_peer() -> None:
    """Guards against work that continues after its caller has gone."""
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
            tasks.start_soon(pool.call, server.address, Received(), 60.0)
            await started.wait()
            tasks.cancel_scope.cancel()
        await wait_for(lambda: ended == ["cancelled"])


async def test_late_answer_is_dropped_and_counted() -> None:
    """Guards against a late answer that is given to the next call."""
    cancelled: list[bool] = []

    async def answer_late(stream: Any) -> None:
        frames, _ = await server_module.greet(stream, make_identity("p"), False)
        first, _, late_body = await frames.read()
        number, kind, _ = await frames.read()
        cancelled.append(number == first and kind == FrameKind.CANCEL)
        second, _, body = await frames.read()
        await frames.write(frame(first, FrameKind.ANSWER, late_body))
        await frames.write(frame(second, FrameKind.ANSWER, body))
        await anyio.sleep_forever()

    async with serve_byte_streams(answer_late) as address, open_link_pool() as pool:
        with pytest.raises(PeerTimeout):
            await pool.call(address, ask("late"), 0.05)
        assert await pool.call(address, ask("next"), 5.0) == ask("next")
        assert pool.late_answers() == 1
    assert cancelled == [True]


async def test_connection_failures_are_typed() -> None:
    """Guards against a refusal that claims "not run" without a proof."""

    async def hang_up(stream: Any) -> None:
        frames, _ = await server_module.greet(stream, make_identity("p"), False)
        await frames.read()
        await frames.close()

    async with serve_byte_streams(hang_up) as address, open_link_pool() as pool:
        with pytest.raises(PeerLost) as lost:
            await pool.call(address, Received(), 5.0)
        assert lost.value.sent
    async with open_link_pool() as pool:
        with pytest.raises(PeerRefused) as refused:
            await pool.call(address, Received(), 5.0)
        assert not refused.value.sent


async def test_connecting_counts_into_the_timeout() -> None:
    """Guards against calls that queue for a peer which accepts and says nothing."""

    async def say_nothing(stream: Any) -> None:
        await anyio.sleep_forever()

    async with serve_byte_streams(say_nothing) as address, open_link_pool() as pool:
        errors: list[PeerError] = []

        async def call() -> None:
            with pytest.raises(PeerUnreachable) as caught:
                await pool.call(address, Received(), 0.1)
            errors.append(caught.value)

        with anyio.fail_after(0.9):
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(call)
        assert [error.sent for error in errors] == [False] * 20


async def test_large_frames_are_refused() -> None:
    """Guards against a peer that makes a node buffer without bounds."""
    huge = TokenRequest("x" * (MAX_FRAME_BYTES + 1), [])
    async with run_link_server(echo) as server, open_link_pool() as pool:
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, huge, 5.0)
        assert not caught.value.sent
        link = await pool.connect(server.address)
        link._outbox.put(FRAME_HEADER.pack(MAX_FRAME_BYTES + 1, 9, FrameKind.REQUEST))
        await wait_for(lambda: link.closed)
        assert await pool.call(server.address, ask("again"), 5.0) == ask("again")


MALFORMED = {
    "no message": b"\xc0",
    "unknown tag": b"\x91\x7f",
    "truncated": b"\x93\x08",
    "nested": b"\x92\x0d" + b"\x91" * 100_000 + b"\xc0",
}


@pytest.mark.parametrize("body", MALFORMED.values(), ids=MALFORMED.keys())
async def test_malformed_request_is_rejected(body: bytes) -> None:
    """Guards against bytes of one peer that end the whole listener."""
    async with run_link_server(echo) as server, open_link_pool() as pool:
        link = await pool.connect(server.address)
        link._outbox.put(frame(77, FrameKind.REQUEST, body))
        assert await link.call(ask("same link"), 5.0) == ask("same link")


@pytest.mark.parametrize("kind", [FrameKind.ANSWER, FrameKind.REJECTED])
@pytest.mark.parametrize("body", MALFORMED.values(), ids=MALFORMED.keys())
async def test_malformed_answer_fails_only_its_call(
    kind: FrameKind, body: bytes
) -> None:
    """Guards against an answer that ends the calling node's link tasks."""

    async def answer_badly(stream: Any) -> None:
        frames, _ = await server_module.greet(stream, make_identity("p"), False)
        number, _, _ = await frames.read()
        await frames.write(frame(number, kind, body))
        number, _, request = await frames.read()
        await frames.write(frame(number, FrameKind.ANSWER, request))
        await anyio.sleep_forever()

    async with serve_byte_streams(answer_badly) as address, open_link_pool() as pool:
        with pytest.raises(PeerLost):
            await pool.call(address, Received(), 5.0)
        assert await pool.call(address, ask("next"), 5.0) == ask("next")


@pytest.mark.parametrize("data", [b"", b"\x00" * 13, b"\xff" * 64, b"GET / HTTP/1.1"])
async def test_malformed_handshake_never_ends_the_server(data: bytes) -> None:
    """Guards against a port scan that ends a node."""
    async with run_link_server(echo) as server, open_link_pool() as pool:
        host, _, port = server.address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(data)
        await stream.aclose()
        await wait_for(lambda: server.rejected == 1)
        assert await pool.call(server.address, ask("next"), 5.0) == ask("next")


async def test_failing_handler_rejects_only_its_message() -> None:
    """Guards against a fault in one handler that ends all links of a node."""

    async def fail(message: Message, peer: Any) -> Message:
        if message == Received():
            raise KeyError("a fault")
        return message

    async with run_link_server(fail) as server, open_link_pool() as pool:
        with pytest.raises(PeerRejected) as caught:
            await pool.call(server.address, Received(), 5.0)
        assert caught.value.code == "internal-error"
        assert await pool.call(server.address, ask("next"), 5.0) == ask("next")


async def test_closed_listener_lets_open_links_continue() -> None:
    """Guards against a planned stop that interrupts running requests."""
    gate, started = anyio.Event(), anyio.Event()

    async def answer_when_told(message: Message, peer: Any) -> Message:
        started.set()
        await gate.wait()
        return ClaimUpdated(True)

    answers: list[Message] = []
    async with run_link_server(answer_when_told) as server, open_link_pool() as pool:

        async def call() -> None:
            answers.append(await pool.call(server.address, Received(), 5.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await started.wait()
            await server.close()
            pool.forget(server.address)
            with pytest.raises(PeerRefused):
                await pool.call(server.address, Received(), 5.0)
            gate.set()
    assert answers == [ClaimUpdated(True)]


async def test_forgotten_link_is_closed() -> None:
    """Guards against connections to former members that stay open."""
    async with run_link_server(echo) as server, open_link_pool() as pool:
        link = await pool.connect(server.address)
        pool.forget(server.address)
        await wait_for(lambda: link.closed)


async def test_mutual_tls(tmp_path: Path) -> None:
    """Guards against links that TLS breaks or that are not checked on both sides."""
    authority = CertificateAuthority()
    authority.write_certificate(tmp_path / "p", "pantry-1", "127.0.0.1")
    authority.write_certificate(tmp_path / "o", "orders-1")
    server_side = make_identity("pantry-1", contexts=make_tls_contexts(tmp_path / "p"))
    client_side = make_identity("orders-1", contexts=make_tls_contexts(tmp_path / "o"))
    big = TokenRequest("x" * 300_000, [])
    async with (
        run_link_server(echo, server_side) as server,
        open_link_pool(client_side) as pool,
    ):
        assert await pool.call(server.address, big, 5.0) == big


@pytest.mark.parametrize(
    "fault", ["no certificate", "other authority", "other node", "plain"]
)
async def test_wrong_client_certificate_is_rejected(tmp_path: Path, fault: str) -> None:
    """Guards against a client whose certificate the fleet did not give it."""
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
    contexts.client.load_verify_locations(tmp_path / "p" / "authority.pem")
    if fault == "no certificate":
        client_side.client_tls = make_bare_context(tmp_path / "p" / "authority.pem")
    if fault == "plain":
        client_side.client_tls = None
    async with run_link_server(echo, server_side) as server:
        async with open_link_pool(client_side) as pool:
            with pytest.raises((PeerRejected, PeerUnreachable)) as caught:
                await pool.call(server.address, Received(), 5.0)
            assert not caught.value.sent
        await wait_for(lambda: server.rejected == 1)


def make_bare_context(authority_file: Path) -> Any:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(authority_file)
    return context


async def test_wrong_server_certificate_is_rejected(tmp_path: Path) -> None:
    """Guards against a call to a process that poses as another node."""
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
            await pool.call(server.address, Received(), 5.0)
        assert caught.value.code == "wrong-certificate"


async def test_certificates_are_renewed_while_links_are_open(tmp_path: Path) -> None:
    """Guards against a restart, or interrupted calls, for a new authority."""
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
        assert await pool.call(server.address, ask("old"), 5.0) == ask("old")
        assert not contexts["pantry-1"].reload_if_changed()
        for node, folder in folders.items():
            new.write_certificate(folder, node)
        assert contexts["pantry-1"].reload_if_changed()
        link = await pool.connect(server.address)
        assert await link.call(ask("open"), 5.0) == ask("open")
        async with open_link_pool(client_side) as late_pool:
            with pytest.raises(PeerRejected):
                await late_pool.call(server.address, Received(), 5.0)
        assert contexts["orders-1"].reload_if_changed()
        async with open_link_pool(client_side) as new_pool:
            assert await new_pool.call(server.address, ask("new"), 5.0) == ask("new")
        assert await link.call(ask("open"), 5.0) == ask("open")


async def test_unusable_certificates_name_the_file(tmp_path: Path) -> None:
    """Guards against a bad file that ends a node which runs with a good one."""
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
    """Answers drain requests; the other methods are not called."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return None

    async def drain(self, request: DrainRequest) -> DrainReply:
        if not request.draining:
            await anyio.sleep_forever()
        return DrainReply(7)


@pytest.mark.parametrize("secured", [False, True])
async def test_control_calls(tmp_path: Path, secured: bool) -> None:
    """Guards against control calls that fail untyped, with or without TLS."""
    contexts = None
    if secured:
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
        stranger = ControlClient(address, b"another secret", clock, tls)
        with pytest.raises(PeerRejected):
            await stranger.call(DrainRequest(True), DrainReply)
        stranger.close()
    client = ControlClient(address, secret, clock, tls)
    with pytest.raises(PeerRefused):
        await client.call(DrainRequest(True), DrainReply)


def test_tokens_are_bound_to_method_and_time() -> None:
    """Guards against a token that is replayed for another method or much later."""
    clock = ManualClock()
    token = make_token(b"secret", "/drain", clock)
    assert check_token(b"secret", "/drain", clock, token)
    assert not check_token(b"secret", "/push", clock, token)
    for bad in ("", "1.2.3", "²" + token, "9" * 5000 + ".a.b", token + "é"):
        assert not check_token(b"secret", "/drain", clock, bad)
    clock.advance(301.0)
    assert not check_token(b"secret", "/drain", clock, token)
