"""Keeps a node's configuration up to date with the store."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import (
    WATCH_TIMEOUT_S,
    RetryBackoff,
    pause_between_watches,
)
from heathermount.gateway.configuration_document import GatewayDocument
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.news import NewsFollower
from heathermount.store.interface import HistoryLost

__all__ = ["ConfigurationReader", "ConfigurationUpdater"]


class ConfigurationReader(Protocol):
    """Reads the operators' configuration from the store."""

    async def read(self) -> tuple[GatewayDocument | None, int]:
        """Return the newest configuration and the store's revision.

        The configuration is None when it is invalid, missing or unchanged
        since the last call.
        """

    async def check_available(self) -> None:
        """Raise StoreUnavailable unless the store answers; costs less than a read."""

    async def wait_for_change(
        self, after_revision: int, timeout_s: float
    ) -> tuple[bool, int]:
        """Wait for a change; return whether there was one, and the store's revision.

        Raises HistoryLost if the store no longer has the changes after
        `after_revision`.
        """


class ConfigurationUpdater:
    """Fetches new configurations and confirms that the current one is the newest.

    Watches only deliver changes early. That nothing has changed is confirmed by reads,
    which a compacted history cannot mislead.
    `watch` and `poll` run until cancelled.
    """

    __slots__ = ("_clock", "_follower", "_on_read", "_random", "_reader", "_tracker")

    def __init__(
        self,
        reader: ConfigurationReader,
        tracker: ConfigurationTracker,
        follower: NewsFollower,
        on_read: Callable[[], None],
        clock: Clock,
        random: Random,
    ) -> None:
        self._random = random
        self._reader = reader
        self._tracker = tracker
        self._follower = follower
        # Called after each successful read.
        self._on_read = on_read
        self._clock = clock

    async def watch(self) -> None:
        """Apply the store's changes at once while this node watches the store."""
        revision = 0
        backoff = RetryBackoff(self._random)
        while True:
            if not self._follower.reading.is_set():
                revision = 0
                await self._follower.reading.wait()
            try:
                if not revision:
                    revision = await self._read()
                    backoff.reset()
                started_at = self._clock.monotonic()
                changed, revision = await self._reader.wait_for_change(
                    revision, WATCH_TIMEOUT_S
                )
                if changed:
                    revision = await self._read()
                await pause_between_watches(self._clock.monotonic() - started_at)
            except HistoryLost:
                revision = 0
                await backoff.wait()
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                # The failed watch may have missed changes, so read again.
                revision = 0
                self._log_failure(error)
                await backoff.wait()

    async def poll(self) -> None:
        """Read the configuration whenever its last confirmation is too old."""
        backoff = RetryBackoff(self._random)
        while True:
            remaining_s = self._follower.time_to_read_s()
            if remaining_s > 0.0:
                await asyncio.sleep(remaining_s)
                continue
            try:
                await self._read()
                backoff.reset()
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                self._log_failure(error)
                await self._wait_for_store(backoff)

    async def _wait_for_store(self, backoff: RetryBackoff) -> None:
        """Pause after a failed read; a follower waits until the store answers.

        The reader keeps reading, because all others wait for its news. A follower
        may reach the store again before its sources do, but a read by each of them
        would cost the unavailable store too much.
        """
        await backoff.wait()
        while self._follower.is_follower and self._follower.time_to_read_s() <= 0.0:
            try:
                await self._reader.check_available()
            except (StoreUnavailable, StoreOutcomeUnknown):
                # The failed read has been logged.
                await backoff.wait()
            else:
                return

    async def _read(self) -> int:
        """Read and confirm the configuration; return the revision to watch from."""
        sent_at = self._clock.monotonic()
        document, revision = await self._reader.read()
        if document is not None:
            self._tracker.apply(document, "store")
        self._tracker.confirm(sent_at)
        self._follower.handle_read()
        self._on_read()
        return revision

    def _log_failure(self, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            'event=configuration-unreadable age_s=%.2f error="%s"',
            1,
            self._tracker.age_s(),
            error,
        )
