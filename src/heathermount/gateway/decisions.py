"""Log of decisions: one line of key=value pairs each, bounded in volume."""

from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.events import FieldValue

__all__ = ["DecisionLog"]

# Most lines per second; a flood of refusals must not cost the processor time
# that the requests need.
LINES_PER_S: Final = 20


class DecisionLog:
    """Writes a bounded number of lines per second and counts the others."""

    __slots__ = ("_clock", "_lines", "_second", "dropped", "dropped_total")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._lines = 0
        # Lines that were left out since the last one, and since the start.
        self.dropped = 0
        self.dropped_total = 0

    def record(self, kind: str, **fields: FieldValue) -> None:
        """Write a line about one decision, unless too many were written."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        if self._lines >= LINES_PER_S:
            self.dropped += 1
            self.dropped_total += 1
            return
        self._lines += 1
        pairs = "".join(f" {name}={format_value(v)}" for name, v in fields.items())
        dropped = f" dropped_before={self.dropped}" if self.dropped else ""
        self.dropped = 0
        logging.info("event=%s%s%s", kind, pairs, dropped)


def format_value(value: FieldValue) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return f'"{text}"' if " " in text or not text else text
