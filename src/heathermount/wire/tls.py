"""TLS contexts of a node, made from its settings and renewed without a restart.

TLS is mutual, version 1.3 only, and both sides must have a certificate signed by
the fleet's authority. Host names are not checked by the TLS library, because
nodes are reached by IP address. Instead each side of a framed link checks that
the peer's certificate has the peer's IP address or node name as a subject
alternative name (`check_peer_name`). Control connections check the signature of
the authority only, because the operators' tool is not a node; the fleet secret
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

# Distinct ALPN protocols, so that a framed link never reaches the gRPC listener.
LINK_PROTOCOL: Final = "heathermount/1"
CONTROL_PROTOCOL: Final = "h2"
FILE_SETTINGS: Final = ("tls_certificate_file", "tls_key_file", "tls_authority_file")


class TlsContexts:
    """Current TLS contexts for links and for control connections.

    A listener keeps its context object for its whole life; that object switches
    each handshake to the newest context. Open connections continue with the
    certificates they were made with.
    """

    __slots__ = (
        "_directory",
        "_file_states",
        "_identities",
        "_security",
        "_source",
        "control_client",
        "control_server",
        "link_client",
        "link_server",
    )

    def __init__(self, security: SecuritySettings, source: str) -> None:
        self._security = security
        self._source = source
        self._directory = Path(source).parent
        self._identities: list[Identity] = []
        self._file_states = self._read_file_states()
        self.link_client = self._make_client_context(LINK_PROTOCOL)
        self.control_client = self._make_client_context(CONTROL_PROTOCOL)
        self.link_server = self._make_listener_context(LINK_PROTOCOL)
        self.control_server = self._make_listener_context(CONTROL_PROTOCOL)

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
        """Set the contexts of a node's identity, now and after each reload."""
        self._identities.append(identity)
        self._set_contexts(identity)

    def reload_if_changed(self) -> bool:
        """Reload the files if one of them has changed; return whether one has.

        Raises ConfigurationProblem when the new files cannot be used; the
        current contexts stay in use, and the next call tries again.
        """
        file_states = self._read_file_states()
        if file_states == self._file_states:
            return False
        link_client = self._make_client_context(LINK_PROTOCOL)
        control_client = self._make_client_context(CONTROL_PROTOCOL)
        link_server = self._make_server_context(LINK_PROTOCOL)
        control_server = self._make_server_context(CONTROL_PROTOCOL)
        self._file_states = file_states
        self.link_client, self.control_client = link_client, control_client
        self.link_server.sni_callback = switch_context_to(link_server)
        self.control_server.sni_callback = switch_context_to(control_server)
        for identity in self._identities:
            self._set_contexts(identity)
        return True

    def _set_contexts(self, identity: Identity) -> None:
        identity.client_tls = self.link_client
        identity.server_tls = self.link_server
        identity.check_peer_name = check_peer_name

    def _resolve_path(self, key: str) -> Path:
        return self._directory / str(getattr(self._security, key))

    def _read_file_states(self) -> list[tuple[int, int, int]]:
        file_states = []
        for key in FILE_SETTINGS:
            try:
                status = self._resolve_path(key).stat()
            except OSError as error:
                raise self._make_problem(key, error) from error
            file_states.append((status.st_mtime_ns, status.st_size, status.st_ino))
        return file_states

    def _make_client_context(self, protocol: str) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        return self._load_certificates(context, protocol)

    def _make_server_context(self, protocol: str) -> ssl.SSLContext:
        return self._load_certificates(
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), protocol
        )

    def _make_listener_context(self, protocol: str) -> ssl.SSLContext:
        """Return a server context that can switch its handshakes to another one."""
        context = self._make_server_context(protocol)
        # No session tickets: a resumed session would not be checked against an
        # authority that was loaded after its first handshake.
        context.num_tickets = 0
        context.sni_callback = switch_context_to(self._make_server_context(protocol))
        return context

    def _load_certificates(
        self, context: ssl.SSLContext, protocol: str
    ) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols([protocol])
        try:
            context.load_verify_locations(self._resolve_path("tls_authority_file"))
        except (OSError, ValueError) as error:
            raise self._make_problem("tls_authority_file", error) from error
        try:
            context.load_cert_chain(
                self._resolve_path("tls_certificate_file"),
                self._resolve_path("tls_key_file"),
                # Without a callback OpenSSL asks for a passphrase on the terminal.
                password=lambda: "",
            )
        except (OSError, ValueError) as error:
            raise self._make_problem("tls_certificate_file", error) from error
        return context

    def _make_problem(self, key: str, error: Exception) -> ConfigurationProblem:
        return ConfigurationProblem(
            self._source,
            f"security.{key}",
            f"{self._resolve_path(key)}: {error}",
            "use a PEM file without a passphrase that fits the other TLS files",
        )


def switch_context_to(
    newest_context: ssl.SSLContext,
) -> Callable[[Any, Any, Any], None]:
    """Return an SNI callback that continues a handshake with another context.

    OpenSSL calls it for each ClientHello, with or without a server name.
    """

    def switch_context(connection: Any, name: Any, context: Any) -> None:
        connection.context = newest_context

    return switch_context


def check_peer_name(certificate: dict[str, Any], node: str, ip_address: str) -> None:
    """Raise PeerRejected unless the certificate names the node or IP address."""
    names = {normalise_name(*entry) for entry in certificate.get("subjectAltName", ())}
    if ("DNS", node) not in names and normalise_name(
        "IP Address", ip_address
    ) not in names:
        raise PeerRejected(
            "wrong-certificate",
            "issue a certificate with the subject alternative name "
            f"{node} or {ip_address}",
        )


def normalise_name(kind: str, value: str) -> tuple[str, str]:
    """Return a subject alternative name with an IP address in canonical form."""
    if kind == "IP Address":
        with suppress(ValueError):
            return kind, str(ipaddress.ip_address(value))
    return kind, value
