"""Protocol between the system's own processes."""

from heathermount.wire.control import ControlClient, ControlServer, ControlService
from heathermount.wire.link import Identity, Link, LinkPool, LinkServer, PeerHello
from heathermount.wire.tls import TlsContexts
from heathermount.wire.traffic import Traffic

__all__ = [
    "ControlClient",
    "ControlServer",
    "ControlService",
    "Identity",
    "Link",
    "LinkPool",
    "LinkServer",
    "PeerHello",
    "TlsContexts",
    "Traffic",
]
