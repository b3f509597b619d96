"""TLS contexts of a node, made from its settings and renewed without a restart.

TLS is mutual, version 1.3 only, and both sides must have a certificate signed by
the fleet's authority. Host names are not checked by the TLS library, because
nodes are reached by IP number. Instead each side of a framed link checks that
the peer's certificate has the peer's IP number or node name as a subject
alternative name (`check_peer_name`). Control connections check the signature of
the authority only, since the operators' tool is no node; the fleet secret
authenticates each of their calls.
"""

import ipaddress
import ssl
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Final, Self

from heathermount.config.settings import SecuritySettings
from heathermount.errors import ConfigurationProblem, PeerRejected
from heathermount.wire.handshake import Identity

__all__ = ["TlsContexts"]

# Distinct protocols, so that a framed link never reaches the gRPC listener.
LINK_PROTOCOL: Final = "heathermount/1"
CONTROL_PROTOCOL: Final = "h2"
FILE_KEYS: Final = ("tls_certificate_file", "tls_key_file", "tls_authority_file")


class TlsContexts:
    """The contexts in force for links and for control connections.

    Listeners keep their context object for their whole life, so it hands each
    handshake to the newest context. Connections that are open continue with the
    certificates they were made with.
    """

    __slots__ = (
        "_folder",
        "_identities",
        "_security",
        "_source",
        "_stamps",
        "client",
        "control_client",
        "control_server",
        "server",
    )

    def __init__(self, security: SecuritySettings, source: str) -> None:
        self._security = security
        self._source = source
        self._folder = Path(source).parent
        self._identities: list[Identity] = []
        self._stamps = self._read_stamps()
        self.client = self._make_client(LINK_PROTOCOL)
        self.control_client = self._make_client(CONTROL_PROTOCOL)
        self.server = self._make_listening(LINK_PROTOCOL)
        self.control_server = self._make_listening(CONTROL_PROTOCOL)

    @classmethod
    def from_config(cls, security: SecuritySettings, source: str) -> Self | None:
        """Return the contexts, or None when the settings name no certificate.

        File names are relative to the settings file `source`. Raises
        ConfigurationProblem when a file cannot be used.
        """
        if not security.tls_certificate_file:
            return None
        return cls(security, source)

    def attach(self, identity: Identity) -> None:
        """Give a node's identity the contexts now and after each reload."""
        self._identities.append(identity)
        self._update(identity)

    def reload_if_changed(self) -> bool:
        """Load the files again when one of them changed; tell whether it did.

        Raises ConfigurationProblem when the new files cannot be used; the
        contexts in force remain, and the next call tries again.
        """
        stamps = self._read_stamps()
        if stamps == self._stamps:
            return False
        client = self._make_client(LINK_PROTOCOL)
        control_client = self._make_client(CONTROL_PROTOCOL)
        server = self._make_server(LINK_PROTOCOL)
        control_server = self._make_server(CONTROL_PROTOCOL)
        self._stamps = stamps
        self.client, self.control_client = client, control_client
        self.server.sni_callback = hand_over_to(server)
        self.control_server.sni_callback = hand_over_to(control_server)
        for identity in self._identities:
            self._update(identity)
        return True

    def _update(self, identity: Identity) -> None:
        identity.client_tls = self.client
        identity.server_tls = self.server
        identity.check_peer_name = check_peer_name

    def _path(self, key: str) -> Path:
        return self._folder / str(getattr(self._security, key))

    def _read_stamps(self) -> list[tuple[int, int, int]]:
        stamps = []
        for key in FILE_KEYS:
            try:
                status = self._path(key).stat()
            except OSError as error:
                raise self._problem(key, error) from error
            stamps.append((status.st_mtime_ns, status.st_size, status.st_ino))
        return stamps

    def _make_client(self, protocol: str) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        return self._complete(context, protocol)

    def _make_server(self, protocol: str) -> ssl.SSLContext:
        return self._complete(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), protocol)

    def _make_listening(self, protocol: str) -> ssl.SSLContext:
        """Return a server context whose handshakes can be handed over later."""
        context = self._make_server(protocol)
        # A resumed session would keep the authority it was first checked with.
        context.num_tickets = 0
        context.sni_callback = hand_over_to(self._make_server(protocol))
        return context

    def _complete(self, context: ssl.SSLContext, protocol: str) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols([protocol])
        try:
            context.load_verify_locations(self._path("tls_authority_file"))
        except (OSError, ValueError) as error:
            raise self._problem("tls_authority_file", error) from error
        try:
            context.load_cert_chain(
                self._path("tls_certificate_file"),
                self._path("tls_key_file"),
                # Without this the library asks for a pass phrase on the terminal.
                password=lambda: "",
            )
        except (OSError, ValueError) as error:
            raise self._problem("tls_certificate_file", error) from error
        return context

    def _problem(self, key: str, error: Exception) -> ConfigurationProblem:
        return ConfigurationProblem(
            self._source,
            f"security.{key}",
            f"{self._path(key)}: {error}",
            "name a PEM file without a pass phrase that belongs to the others",
        )


def hand_over_to(newest: ssl.SSLContext) -> Callable[[Any, Any, Any], None]:
    """Return a callback that continues a handshake with another context.

    The TLS library runs it for each ClientHello, with or without a name.
    """

    def choose(connection: Any, name: Any, context: Any) -> None:
        connection.context = newest

    return choose


def check_peer_name(certificate: dict[str, Any], node: str, ip_number: str) -> None:
    """Raise PeerRejected unless the certificate is for the node or IP number."""
    names = {name_of(*entry) for entry in certificate.get("subjectAltName", ())}
    if ("DNS", node) not in names and name_of("IP Address", ip_number) not in names:
        raise PeerRejected(
            "wrong-certificate",
            f"issue one with the subject alternative name {node} or {ip_number}",
        )


def name_of(kind: str, value: str) -> tuple[str, str]:
    """Return a subject alternative name in its shortest form."""
    if kind == "IP Address":
        with suppress(ValueError):
            return kind, str(ipaddress.ip_address(value))
    return kind, value
