"""Loading of the settings file at the start and after each change."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from absl import logging

from heathermount.gateway.settings import GatewaySettings

__all__ = ["SettingsReloader", "read_settings_with_retry"]

# A starting node retries an invalid file, which may still be being written.
START_READ_ATTEMPTS: Final = 5
START_READ_DELAY_S: Final = 0.1

FILE_POLL_INTERVAL_S: Final = 2.0


def read_settings_with_retry(path: str) -> GatewaySettings:
    """Read and validate the settings of a starting node.

    Raises an exception group of all problems if the file stays invalid.
    """
    for _ in range(START_READ_ATTEMPTS - 1):
        try:
            return GatewaySettings.from_file(path)
        except ExceptionGroup as problems:
            logging.warning('event=settings-invalid error="%s"', problems.exceptions[0])
            time.sleep(START_READ_DELAY_S)
    return GatewaySettings.from_file(path)


class SettingsReloader:
    """Reloads a settings file; an invalid file leaves the settings unchanged."""

    __slots__ = ("_apply_settings", "_loaded_bytes", "_path")

    def __init__(
        self, path: str, apply_settings: Callable[[GatewaySettings], None]
    ) -> None:
        self._path = path
        self._apply_settings = apply_settings
        self._loaded_bytes = self._read_bytes()

    def reload(self) -> None:
        self._loaded_bytes = self._read_bytes()
        try:
            settings = GatewaySettings.from_file(self._path)
        except ExceptionGroup as problems:
            for problem in problems.exceptions:
                logging.error('event=settings-invalid error="%s"', problem)
            return
        self._apply_settings(settings)

    async def watch(self) -> None:
        """Poll the file and reload it after each change, until cancelled."""
        while True:
            await asyncio.sleep(FILE_POLL_INTERVAL_S)
            if self._read_bytes() != self._loaded_bytes:
                self.reload()

    def _read_bytes(self) -> bytes:
        try:
            return Path(self._path).read_bytes()
        except OSError as error:
            logging.error('event=settings-unreadable error="%s"', error)
            return b""
