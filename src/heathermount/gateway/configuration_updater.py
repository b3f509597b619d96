"""Keeps a node's configuration up to date with the store."""

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

# Watches only deliver changes early. That nothing has changed is confirmed by reads,
# which a compacted history cannot mislead.
WATCH_TIMEOUT_S: Final = 20.0

# A failure domain's reader confirms the configuration at this interval, and its
# peers learn of each confirmation with the next ping. Any other node reads the
# store itself once its last confirmation reaches this ratio of the freshness bound.
DOMAIN_READER_INTERVAL_S: Final = 1.0
OWN_READ_FRESHNESS_RATIO: Final = 0.65

# Number of nodes in each failure domain that read on behalf of the others.
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
        """Wait for a change; return whether there was one, and the store's revision.

        Raises HistoryLost if the store no longer has the changes after
        `after_revision`.
        """


class ConfigurationUpdater:
    """Fetches new configurations and confirms that the current one is the newest.

    `watch` and `poll` run until cancelled.
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
        """Apply changes of the configuration as soon as the store reports them."""
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
                # The failed watch may have missed changes, so read again.
                revision = 0
                self._log_failure(error)
                await backoff.wait()

    async def poll(self) -> None:
        """Read the configuration whenever its last confirmation is too old."""
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
        """Read and confirm the configuration; return the revision to watch from."""
        sent_at = self._clock.monotonic()
        document, revision = await self._reader.read()
        if document is not None:
            self._tracker.apply(document, "store")
        self._tracker.confirm(sent_at)
        return revision

    def _is_domain_reader(self) -> bool:
        """Whether this node reads on behalf of its failure domain."""
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
