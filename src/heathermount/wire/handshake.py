"""Handshake of a link: each side proves that it knows the fleet secret."""

import hmac
import secrets
import ssl
from collections.abc import Callable
from typing import Any, Final

import msgspec

from heathermount.errors import PeerRejected
from heathermount.wire.frames import FrameKind, FrameStream, decode_body, encode_frame

__all__ = ["Identity", "PeerHello", "perform_handshake"]

# Bounds what a peer that is not yet authenticated can make a node buffer.
MAX_HANDSHAKE_BYTES: Final = 4096
ENCODER: Final = msgspec.msgpack.Encoder()


class PeerHello(msgspec.Struct, frozen=True, array_like=True):
    """First frame of each side; `incarnation` identifies the node's process."""

    node: str
    incarnation: str
    nonce: bytes


HELLO_DECODER: Final = msgspec.msgpack.Decoder(PeerHello)


class Identity:
    """Name and credentials that this process presents to its peers.

    With TLS, `check_peer_name(certificate, node, ip_address)` raises
    PeerRejected when the certificate belongs to another node.
    """

    __slots__ = (
        "check_peer_name",
        "client_tls",
        "incarnation",
        "node",
        "secret",
        "server_tls",
    )

    def __init__(
        self,
        node: str,
        incarnation: str,
        secret: bytes,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
        check_peer_name: Callable[[dict[str, Any], str, str], None] | None = None,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.secret = secret
        self.client_tls = client_tls
        self.server_tls = server_tls
        self.check_peer_name = check_peer_name

    def make_proof(self, role: bytes, own: PeerHello, peer: PeerHello) -> bytes:
        """Return an HMAC of the role and both hellos, keyed with the fleet secret."""
        transcript = msgspec.msgpack.encode([role, own, peer])
        return hmac.digest(self.secret, transcript, "sha256")


async def perform_handshake(
    stream: FrameStream,
    identity: Identity,
    connecting: bool,
    check_hello: Callable[[PeerHello], None] | None = None,
) -> PeerHello:
    """Exchange hellos and proofs; return the peer's hello.

    Raises PeerRejected for a wrong secret or a hello that `check_hello`
    rejects, and InvalidMessage for malformed frames. A peer whose hello is
    rejected gets no proof, so that its handshake fails and it sends no request.
    """
    roles = (b"connect", b"accept") if connecting else (b"accept", b"connect")
    own = PeerHello(identity.node, identity.incarnation, secrets.token_bytes(16))
    await stream.write(encode_frame(0, FrameKind.REQUEST, ENCODER.encode(own)))
    _, _, body = await stream.read(MAX_HANDSHAKE_BYTES)
    peer = decode_body(HELLO_DECODER, body)
    if check_hello is not None:
        check_hello(peer)
    await stream.write(
        encode_frame(0, FrameKind.ANSWER, identity.make_proof(roles[0], own, peer))
    )
    _, _, proof = await stream.read(MAX_HANDSHAKE_BYTES)
    if not hmac.compare_digest(proof, identity.make_proof(roles[1], peer, own)):
        raise PeerRejected("wrong-secret", "use the same fleet secret on all nodes")
    return peer
