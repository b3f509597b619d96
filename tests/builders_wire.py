"""Test helpers for TLS certificates, links between nodes and control servers."""

import datetime
import ipaddress
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketAttribute
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from heathermount.config.settings import SecuritySettings
from heathermount.wire.control import ControlServer
from heathermount.wire.link import Identity, LinkPool, LinkServer
from heathermount.wire.messages import Message
from heathermount.wire.tls import TlsContexts

SECRET = b"a secret of the test fleet"
TIMEOUT_S = 10.0


class CertificateAuthority:
    """A certificate authority that writes the certificates it issues to files."""

    def __init__(self, name: str = "fleet") -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._build_certificate(
            self.name, self.key.public_key(), x509.BasicConstraints(True, None), []
        )

    def _build_certificate(
        self,
        subject: x509.Name,
        key: Any,
        constraints: x509.BasicConstraints,
        subject_names: Any,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(constraints, critical=True)
        )
        if subject_names:
            builder = builder.add_extension(
                x509.SubjectAlternativeName(subject_names), False
            )
        return builder.sign(self.key, hashes.SHA256())

    def write_certificate(
        self, folder: Path, node_name: str, ip_address: str = ""
    ) -> None:
        """Issue a certificate; write certificate.pem, key.pem and authority.pem."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject_names: list[x509.GeneralName] = [x509.DNSName(node_name)]
        if ip_address:
            subject_names.append(x509.IPAddress(ipaddress.ip_address(ip_address)))
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, node_name)])
        certificate = self._build_certificate(
            subject, key.public_key(), x509.BasicConstraints(False, None), subject_names
        )
        folder.mkdir(exist_ok=True)
        pem_encoding = serialization.Encoding.PEM
        (folder / "certificate.pem").write_bytes(certificate.public_bytes(pem_encoding))
        (folder / "authority.pem").write_bytes(
            self.certificate.public_bytes(pem_encoding)
        )
        (folder / "key.pem").write_bytes(
            key.private_bytes(
                pem_encoding,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )


def make_tls_contexts(folder: Path) -> TlsContexts:
    security = SecuritySettings(
        tls_certificate_file="certificate.pem",
        tls_key_file="key.pem",
        tls_authority_file="authority.pem",
    )
    contexts = TlsContexts.from_config(security, str(folder / "node.toml"))
    assert contexts is not None
    return contexts


def make_identity(
    node_name: str, secret: bytes = SECRET, contexts: TlsContexts | None = None
) -> Identity:
    identity = Identity(node_name, f"{node_name}-incarnation", secret)
    if contexts is not None:
        contexts.attach(identity)
    return identity


Handler = Callable[[Message, Any], Awaitable[Message]]


@asynccontextmanager
async def run_link_server(
    handler: Handler, identity: Identity | None = None
) -> AsyncIterator[LinkServer]:
    """Run a link server on a port chosen by the operating system."""
    server = LinkServer(identity or make_identity("pantry-1"), handler)
    await server.bind("127.0.0.1", 0)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            yield server
            await server.close()
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def open_link_pool(identity: Identity | None = None) -> AsyncIterator[LinkPool]:
    async with anyio.create_task_group() as tasks:
        yield LinkPool(identity or make_identity("orders-1"), tasks)
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def run_control_server(server: ControlServer) -> AsyncIterator[str]:
    address = await server.start("127.0.0.1", 0)
    try:
        yield address
    finally:
        await server.close()


@asynccontextmanager
async def serve_byte_streams(
    handler: Callable[[Any], Awaitable[None]],
) -> AsyncIterator[str]:
    """Serve TCP byte streams on a free loopback port; yield its address."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    with anyio.fail_after(TIMEOUT_S):
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handler)
            yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
            tasks.cancel_scope.cancel()


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after TIMEOUT_S."""
    with anyio.fail_after(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.005)
