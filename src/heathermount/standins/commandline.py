"""Command line flags of the stand-ins."""

from typing import Any

from absl import flags

__all__ = ["make_flag_values", "require_flag"]


def make_flag_values() -> Any:
    """Return a set of flags of its own.

    The stand-ins import each other, and absl's global set allows each flag name
    once in a process.
    """
    return flags.FlagValues()  # type: ignore[no-untyped-call]


def require_flag(name: str, values: Any) -> None:
    """Refuse a command line without the flag."""
    flags.mark_flag_as_required(name, flag_values=values)  # type: ignore[no-untyped-call]
