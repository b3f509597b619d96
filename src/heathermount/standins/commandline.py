"""Command line flags of the stand-ins."""

import signal
import sys
from types import FrameType
from typing import Any

from absl import flags

__all__ = ["end_on_termination", "make_flag_values", "require_flag"]


def make_flag_values() -> Any:
    """Return a set of flags of its own.

    The stand-ins import each other, and absl's global set allows each flag name
    once in a process.
    """
    return flags.FlagValues()  # type: ignore[no-untyped-call]


def require_flag(name: str, values: Any) -> None:
    """Refuse a command line without the flag."""
    flags.mark_flag_as_required(name, flag_values=values)  # type: ignore[no-untyped-call]


def end_on_termination() -> None:
    """Turn SIGTERM into SystemExit, so that a runner ends the processes it started."""

    def end(number: int, frame: FrameType | None) -> None:
        sys.exit(128 + number)

    signal.signal(signal.SIGTERM, end)
