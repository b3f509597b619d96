"""Command line flags of the stand-ins."""

import signal
import sys
from types import FrameType
from typing import Any

from absl import flags

__all__ = ["end_on_termination", "make_flag_values", "require_flag"]


def make_flag_values() -> Any:
    """Return a new, empty set of flags.

    The stand-ins import each other, and the global flags of absl allow each name
    only once per process.
    """
    return flags.FlagValues()  # type: ignore[no-untyped-call]


def require_flag(name: str, values: Any) -> None:
    """Mark a flag as required."""
    flags.mark_flag_as_required(name, flag_values=values)  # type: ignore[no-untyped-call]


def end_on_termination() -> None:
    """Raise SystemExit on SIGTERM, so that cleanup code ends the child processes."""

    def end(number: int, frame: FrameType | None) -> None:
        sys.exit(128 + number)

    signal.signal(signal.SIGTERM, end)
