"""Log of decisions: one line of key=value pairs each, bounded in volume."""

from collections import Counter
from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.events import FieldValue
from heathermount.gateway.logs import LineWriter

__all__ = ["DecisionLog"]

# Most lines of one kind per second; a flood of refusals must not cost the
# processor time that the requests need, nor hide rarer decisions.
LINES_PER_S: Final = 20


class DecisionLog:
    """Writes a bounded number of lines of each kind and counts the others."""

    __slots__ = ("_clock", "_dropped", "_left_out", "_lines", "_second", "_writer")

    def __init__(self, clock: Clock, writer: LineWriter | None = None) -> None:
        self._clock = clock
        # Where lines go, if it may lose some.
        self._writer = writer
        self._second = 0
        # Lines written in this second, and left out since the last one, by kind.
        self._lines: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._left_out = 0

    def record(self, kind: str, **fields: FieldValue) -> None:
        """Write a line about one decision, unless too many were written."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        if self._lines[kind] >= LINES_PER_S:
            self._dropped[kind] += 1
            self._left_out += 1
            return
        self._lines[kind] += 1
        pairs = "".join(f" {name}={format_value(v)}" for name, v in fields.items())
        left_out = self._dropped.pop(kind, 0)
        dropped = f" dropped_before={left_out}" if left_out else ""
        logging.info("event=%s%s%s", kind, pairs, dropped)

    def count_dropped(self) -> int:
        """Return the lines left out here, and those that the reader did not take."""
        lost = self._writer.lost if self._writer is not None else 0
        return self._left_out + lost


def format_value(value: FieldValue) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return f'"{text}"' if " " in text or not text else text
