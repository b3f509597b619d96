"""Persistence of backend server departures across restarts of the node."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec
from absl import logging

from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import RetryBackoff
from heathermount.gateway.departures import Departures
from heathermount.record_checks import is_plausible_start
from heathermount.store.interface import WatchedStore

__all__ = ["DEPARTURES_PREFIX", "DepartureStore"]

DEPARTURES_PREFIX: Final = "departures/"

# Longest wait for the record to be saved before a departure is left unacknowledged.
# Servers wait one second for an acknowledgement.
SAVE_TIMEOUT_S: Final = 0.8

RECORD_DECODER: Final = msgspec.msgpack.Decoder(dict[str, int])


class DepartureStore:
    """Saves the departures of a node's backend servers in the store.

    A departure that the node has acknowledged must still hold after a restart, so
    that only saved departures may be acknowledged.
    """

    __slots__ = (
        "_departures",
        "_first_start",
        "_key",
        "_on_loaded",
        "_random",
        "_save_completed",
        "_saved",
        "_store",
    )

    def __init__(
        self,
        store: WatchedStore,
        node: str,
        departures: Departures,
        on_loaded: Callable[[], None],
        random: Random,
        first_start: bool,
    ) -> None:
        self._store = store
        self._key = DEPARTURES_PREFIX + node
        self._departures = departures
        # Called once the departures recorded by earlier processes are loaded.
        self._on_loaded = on_loaded
        self._random = random
        # No departures can have been recorded before the fleet's first start.
        self._first_start = first_start
        self._saved: dict[str, int] = {}
        self._save_completed = asyncio.Condition()

    async def maintain(self) -> None:
        """Load the stored departures, then save each change."""
        backoff = RetryBackoff(self._random)
        if self._first_start:
            self._on_loaded()
            await self._departures.changed.wait()
        while True:
            self._departures.changed.clear()
            try:
                await self._synchronise()
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                logging.log_every_n_seconds(
                    logging.WARNING, 'event=departures-unsaved error="%s"', 1, error
                )
                await backoff.wait()
                continue
            backoff.reset()
            await self._departures.changed.wait()

    async def save(self) -> bool:
        """Wait until all departures are saved, or until a timeout.

        Returns whether they are saved.
        """
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S), self._save_completed:
                await self._save_completed.wait_for(self._is_saved)
        except TimeoutError:
            logging.warning("event=departure-unsaved key=%s", self._key)
            return False
        return True

    def _is_saved(self) -> bool:
        return self._departures.copy_latest() == self._saved

    async def _synchronise(self) -> None:
        """Merge the stored record with the departures in memory, in both directions."""
        item = await self._store.get(self._key)
        revision = item.version if item is not None else 0
        stored = self._decode(item.value) if item is not None else {}
        self._departures.merge(stored)
        self._on_loaded()
        latest = self._departures.copy_latest()
        # Compare-and-swap on the revision that was read: an earlier write without a
        # response may be applied late and must not overwrite this one.
        if latest != stored and not await self._write(latest, revision):
            raise StoreUnavailable("the departures record was modified concurrently")
        async with self._save_completed:
            self._saved = latest
            self._save_completed.notify_all()

    async def _write(self, latest: dict[str, int], revision: int) -> bool:
        # Without a lease: all leases may lapse in an outage of the store, while late
        # heartbeats of departed servers still arrive.
        value = msgspec.msgpack.encode(latest)
        return await self._store.commit({self._key: revision}, {self._key: value})

    def _decode(self, value: bytes) -> dict[str, int]:
        try:
            departed = RECORD_DECODER.decode(value)
        except (msgspec.MsgspecError, RecursionError) as error:
            logging.warning(
                'event=departures-malformed key=%s error="%s"', self._key, error
            )
            return {}
        for server_id, born_ms in list(departed.items()):
            if not is_plausible_start(born_ms):
                logging.warning(
                    "event=departure-implausible key=%s server=%s born_ms=%d",
                    self._key,
                    server_id,
                    born_ms,
                )
                del departed[server_id]
        return departed
