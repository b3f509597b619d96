"""Supervision of background loops that run as long as the process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from absl import logging

__all__ = ["restart_on_error"]

RESTART_DELAY_S: Final = 0.3


async def restart_on_error(run_loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run an endless loop; restart it after an unexpected error."""
    while True:
        try:
            await run_loop()
        except Exception:
            logging.exception("event=background-failed")
            await asyncio.sleep(RESTART_DELAY_S)
