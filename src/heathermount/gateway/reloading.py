"""Reads the settings file at the start and whenever it has changed."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from absl import logging

from heathermount.gateway.settings import GatewaySettings

__all__ = ["SettingsReloader", "read_settings"]

# A starting node reads an invalid file again this often, with this pause in
# seconds: it may just be written.
READ_ATTEMPTS: Final = 5
READ_PAUSE_S: Final = 0.1

# Period at which the file is compared with what was read, in seconds.
POLL_S: Final = 2.0


def read_settings(path: str) -> GatewaySettings:
    """Read and check the settings of a starting node.

    Raises an exception group of all problems if the file stays invalid.
    """
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return GatewaySettings.from_file(path)
        except ExceptionGroup as problems:
            logging.warning('event=settings-invalid error="%s"', problems.exceptions[0])
            time.sleep(READ_PAUSE_S)
    return GatewaySettings.from_file(path)


class SettingsReloader:
    """Reads a settings file again; an invalid one changes nothing."""

    __slots__ = ("_apply", "_known", "_path")

    def __init__(self, path: str, apply: Callable[[GatewaySettings], None]) -> None:
        self._path = path
        self._apply = apply
        self._known = self._read_bytes()

    def reload(self) -> None:
        self._known = self._read_bytes()
        try:
            settings = GatewaySettings.from_file(self._path)
        except ExceptionGroup as problems:
            for problem in problems.exceptions:
                logging.error('event=settings-invalid error="%s"', problem)
            return
        self._apply(settings)

    async def watch(self) -> None:
        """Reload whenever the file has changed, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if self._read_bytes() != self._known:
                self.reload()

    def _read_bytes(self) -> bytes:
        try:
            return Path(self._path).read_bytes()
        except OSError as error:
            logging.error('event=settings-unreadable error="%s"', error)
            return b""
