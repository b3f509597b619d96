"""Departures of backend servers, kept in the store beyond the process."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec
from absl import logging

from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.gateway.backoff import RetryBackoff
from heathermount.gateway.departures import Departures
from heathermount.store.interface import WatchedStore

__all__ = ["DEPARTURES_PREFIX", "DepartureStore"]

DEPARTURES_PREFIX: Final = "departures/"

# Term of the record in the store, in seconds. Servers end, and late heartbeats
# arrive, within seconds of a departure.
RECORD_TTL_S: Final = 300.0

# Longest wait of an acknowledgement for the record, in seconds. A server takes an
# acknowledgement that comes within a second.
SAVE_TIMEOUT_S: Final = 0.5

DECODER: Final = msgspec.msgpack.Decoder(dict[str, int])


class DepartureStore:
    """Keeps the departures beside one node in the store.

    What a node has acknowledged binds the processes that run it later.
    """

    __slots__ = (
        "_departures",
        "_key",
        "_on_loaded",
        "_random",
        "_saved",
        "_save_completed",
        "_store",
    )

    def __init__(
        self,
        store: WatchedStore,
        node: str,
        departures: Departures,
        on_loaded: Callable[[], None],
        random: Random,
    ) -> None:
        self._store = store
        self._key = DEPARTURES_PREFIX + node
        self._departures = departures
        # Called once the departures of earlier processes are known.
        self._on_loaded = on_loaded
        self._random = random
        self._saved: dict[str, int] = {}
        self._save_completed = asyncio.Condition()

    async def maintain(self) -> None:
        """Load what earlier processes noted, then save each change."""
        backoff = RetryBackoff(self._random)
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

    async def save(self) -> None:
        """Wait until all departures are saved, for a bounded time."""
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S), self._save_completed:
                await self._save_completed.wait_for(self._is_saved)
        except TimeoutError:
            logging.warning("event=departure-unsaved key=%s", self._key)

    def _is_saved(self) -> bool:
        return self._departures.copy_latest() == self._saved

    async def _synchronise(self) -> None:
        """Merge the record in the store with what this process knows."""
        item = await self._store.get(self._key)
        revision = item.version if item is not None else 0
        stored = self._decode(item.value) if item is not None else {}
        self._departures.merge(stored)
        self._on_loaded()
        latest = self._departures.copy_latest()
        # Compared with the revision that was read: a write whose answer was lost
        # may be done late and must not undo this one.
        if latest != stored and not await self._write(latest, revision):
            raise StoreUnavailable("the departures were changed meanwhile")
        async with self._save_completed:
            self._saved = latest
            self._save_completed.notify_all()

    async def _write(self, latest: dict[str, int], revision: int) -> bool:
        lease_id = await self._store.grant_lease(RECORD_TTL_S)
        value = msgspec.msgpack.encode(latest)
        return await self._store.commit(
            {self._key: revision}, {self._key: value}, lease_id
        )

    def _decode(self, value: bytes) -> dict[str, int]:
        try:
            return DECODER.decode(value)
        except (msgspec.MsgspecError, RecursionError) as error:
            logging.warning(
                'event=departures-malformed key=%s error="%s"', self._key, error
            )
            return {}
