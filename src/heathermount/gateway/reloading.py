"""Takes over a changed settings file, with or without a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from absl import logging

from heathermount.gateway.settings import GatewaySettings

__all__ = ["SettingsReloader"]

# Period at which the file is compared with what was read, in seconds.
POLL_S: Final = 2.0


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
