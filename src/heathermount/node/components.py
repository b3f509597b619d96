"""Components of a node that exist before its tasks start."""

import random
import secrets
from typing import Self

from heathermount.clocks import Clock
from heathermount.config.settings import Settings
from heathermount.config.tracker import ConfigTracker
from heathermount.entry.calls import ContextTable
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.node.control_clients import ControlClientPool
from heathermount.node.metrics import Metrics
from heathermount.node.owned_partitions import OwnedPartitions
from heathermount.routing import Balancer, Quarantine
from heathermount.store import CountingStore, Store
from heathermount.wire.link import Identity
from heathermount.wire.tls import TlsContexts

__all__ = ["NodeComponents"]


class NodeComponents:
    """State and services of a node that its tasks share."""

    __slots__ = (
        "balancer",
        "call_contexts",
        "clock",
        "control_clients",
        "events",
        "identity",
        "invariants",
        "metrics",
        "owned_partitions",
        "quarantine",
        "rng",
        "settings",
        "store",
        "tls",
        "tracker",
    )

    def __init__(
        self,
        settings: Settings,
        store: Store,
        clock: Clock,
        rng: random.Random,
        tls: TlsContexts | None,
    ) -> None:
        name = settings.node.name
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.tls = tls
        self.identity = Identity(name, secrets.token_hex(8), settings.secret)
        if tls is not None:
            tls.attach(self.identity)
        self.events = EventLog(name, clock)
        self.invariants = Invariants(self.events)
        self.metrics = Metrics(clock, self.invariants)
        self.store = CountingStore(store, self.metrics.count_store_call)
        self.tracker = ConfigTracker.from_config(
            settings, self.store, clock, self.events, self.invariants
        )
        self.balancer = Balancer(clock, rng, settings.node.failure_domain)
        self.quarantine = Quarantine(clock)
        self.call_contexts = ContextTable(clock)
        self.owned_partitions = OwnedPartitions(self.tracker, clock, self.invariants)
        self.control_clients = ControlClientPool(settings.secret, clock, tls)

    @classmethod
    def from_config(
        cls, settings: Settings, source: str, store: Store, clock: Clock
    ) -> Self:
        """Build the components; raise ConfigurationProblem for unusable TLS files."""
        tls = TlsContexts.from_config(settings.security, source)
        return cls(settings, store, clock, random.Random(secrets.randbits(64)), tls)
