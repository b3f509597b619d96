"""Follows the operators' configuration in the store."""

import asyncio
from random import Random
from typing import Final, Protocol

from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import RetryBackoff
from heathermount.gateway.configuration_document import GatewayDocument
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.registry import Registry
from heathermount.store.interface import HistoryLost

__all__ = ["ConfigurationReader", "ConfigurationUpdater"]

# Longest wait of a watch of the configuration, in seconds. It only brings changes
# early: proofs that nothing changed come from reads, which no dropped history
# can mislead.
WATCH_TIMEOUT_S: Final = 20.0

# Period of the reads of a node that reads for the others, in seconds, and the
# share of the freshness bound at whose age any node reads for itself. Peers pass
# proofs on with every ping.
DOMAIN_READER_INTERVAL_S: Final = 1.0
OWN_READ_FRESHNESS_RATIO: Final = 0.65

# Nodes of each failure domain that read for the others.
READERS_PER_DOMAIN: Final = 1


class ConfigurationReader(Protocol):
    """Reads the operators' configuration from the store."""

    async def read(self) -> tuple[GatewayDocument | None, int]:
        """Return the newest configuration and the store's revision.

        The configuration is None when it is invalid, missing or unchanged
        since the last call.
        """

    async def wait_for_change(
        self, after_revision: int, timeout_s: float
    ) -> tuple[bool, int]:
        """Wait for a change; return whether there was one, and the revision.

        Raises HistoryLost when the store cannot tell.
        """


class ConfigurationUpdater:
    """Brings the configuration to this node and proves that it is the newest.

    `watch` and `prove` run until cancelled.
    """

    __slots__ = ("_clock", "_random", "_reader", "_registry", "_tracker")

    def __init__(
        self,
        reader: ConfigurationReader,
        tracker: ConfigurationTracker,
        registry: Registry,
        clock: Clock,
        random: Random,
    ) -> None:
        self._random = random
        self._reader = reader
        self._tracker = tracker
        self._registry = registry
        self._clock = clock

    async def watch(self) -> None:
        """Take changes of the configuration as soon as the store tells them."""
        revision = 0
        backoff = RetryBackoff(self._random)
        while True:
            try:
                if not revision:
                    revision = await self._read()
                    backoff.reset()
                changed, revision = await self._reader.wait_for_change(
                    revision, WATCH_TIMEOUT_S
                )
                if changed:
                    revision = await self._read()
            except HistoryLost:
                revision = 0
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                # A watch that was cut may have missed changes.
                revision = 0
                self._log_failure(error)
                await backoff.wait()

    async def poll(self) -> None:
        """Prove from time to time that this node's configuration is current."""
        backoff = RetryBackoff(self._random)
        while True:
            own_read_age_s = OWN_READ_FRESHNESS_RATIO * self._tracker.freshness_s
            read_age_s = (
                DOMAIN_READER_INTERVAL_S if self._is_domain_reader() else own_read_age_s
            )
            remaining_s = read_age_s - self._tracker.age_s()
            if remaining_s > 0.0:
                await asyncio.sleep(remaining_s)
                continue
            try:
                await self._read()
                backoff.reset()
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                self._log_failure(error)
                await backoff.wait()

    async def _read(self) -> int:
        """Read the configuration; return the revision to watch from."""
        sent_at = self._clock.monotonic()
        document, revision = await self._reader.read()
        if document is not None:
            self._tracker.apply(document, "store")
        self._tracker.confirm(sent_at)
        return revision

    def _is_domain_reader(self) -> bool:
        """Tell whether this node is among the readers of its failure domain."""
        own_record = self._registry.record
        domain_nodes = sorted(
            record.node
            for record in self._registry.nodes.values()
            if record.failure_domain == own_record.failure_domain
        )
        return own_record.node in domain_nodes[:READERS_PER_DOMAIN]

    def _log_failure(self, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            'event=configuration-unreadable age_s=%.2f error="%s"',
            1,
            self._tracker.age_s(),
            error,
        )
