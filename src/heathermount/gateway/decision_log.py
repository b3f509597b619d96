"""Log of decisions: one line of key=value pairs each, bounded in volume."""

from collections import Counter
from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.events import FieldValue
from heathermount.gateway.log_writer import NonBlockingLineWriter

__all__ = ["DecisionLog"]

# Most lines of one kind per second; a flood of refusals must not cost the
# processor time that the requests need, nor hide rarer decisions.
MAX_LINES_PER_KIND_PER_S: Final = 20


class DecisionLog:
    """Writes a bounded number of lines of each kind and counts the others."""

    __slots__ = (
        "_clock",
        "_current_second",
        "_dropped_by_kind",
        "_dropped_total",
        "_writer",
        "_written_by_kind",
    )

    def __init__(
        self, clock: Clock, writer: NonBlockingLineWriter | None = None
    ) -> None:
        self._clock = clock
        # Where lines go, if it may lose some.
        self._writer = writer
        self._current_second = 0
        # Lines written in this second, and left out since the last one, by kind.
        self._written_by_kind: Counter[str] = Counter()
        self._dropped_by_kind: Counter[str] = Counter()
        self._dropped_total = 0

    def record(self, kind: str, **fields: FieldValue) -> None:
        """Write a line about one decision, unless too many were written."""
        second = int(self._clock.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._written_by_kind.clear()
        if self._written_by_kind[kind] >= MAX_LINES_PER_KIND_PER_S:
            self._dropped_by_kind[kind] += 1
            self._dropped_total += 1
            return
        self._written_by_kind[kind] += 1
        pairs = "".join(f" {name}={format_value(v)}" for name, v in fields.items())
        dropped_count = self._dropped_by_kind.pop(kind, 0)
        dropped_suffix = f" dropped_before={dropped_count}" if dropped_count else ""
        logging.info("event=%s%s%s", kind, pairs, dropped_suffix)

    def count_dropped(self) -> int:
        """Return the lines left out here, and those that the reader did not take."""
        lost_by_writer = self._writer.dropped_lines if self._writer is not None else 0
        return self._dropped_total + lost_by_writer


def format_value(value: FieldValue) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return f'"{text}"' if " " in text or not text else text
