"""Checks of values that another writer may have left in records and heartbeats."""

import time
from typing import Final

__all__ = ["find_server_fault", "is_plausible_start"]

# Values beyond these come from another writer or from corrupted data.
MAX_SLOTS: Final = 100_000
MAX_COLD_START_S: Final = 3600.0

# Largest difference between the clocks of two instances.
MAX_CLOCK_DIFFERENCE_S: Final = 86_400.0


def find_server_fault(slots: int, cold_start_s: float, born_ms: int) -> str:
    """Return what makes the state of a server unusable; empty if it is sound."""
    if not 0 < slots <= MAX_SLOTS:
        return f"{slots} slots"
    if not 0.0 <= cold_start_s <= MAX_COLD_START_S:
        return f"a cold start of {cold_start_s} s"
    if not is_plausible_start(born_ms):
        return f"a start at {born_ms} ms"
    return ""


def is_plausible_start(born_ms: int) -> bool:
    """Return whether a server can have started at this time.

    A start in the far future would make all real starts look like earlier ones.
    """
    return 0 <= born_ms <= (time.time() + MAX_CLOCK_DIFFERENCE_S) * 1000.0
