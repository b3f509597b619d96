"""Protocols between nodes, and between nodes and the operators' tool."""

from typing import TYPE_CHECKING

from heathermount.lazy_exports import make_lazy_exports

if TYPE_CHECKING:
    from heathermount.wire.control import ControlClient, ControlServer, ControlService
    from heathermount.wire.link import Identity, Link, LinkPool, LinkServer, PeerHello
    from heathermount.wire.tls import TlsContexts
    from heathermount.wire.traffic import TrafficCounters

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
    "TrafficCounters",
]

__getattr__ = make_lazy_exports(
    __name__,
    {
        "heathermount.wire.control": [
            "ControlClient",
            "ControlServer",
            "ControlService",
        ],
        "heathermount.wire.link": [
            "Identity",
            "Link",
            "LinkPool",
            "LinkServer",
            "PeerHello",
        ],
        "heathermount.wire.tls": ["TlsContexts"],
        "heathermount.wire.traffic": ["TrafficCounters"],
    },
)
