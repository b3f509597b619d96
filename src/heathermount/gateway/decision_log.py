"""Rate-limited log of decisions, one line of key=value pairs each."""

from collections import Counter
from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.events import FieldValue
from heathermount.gateway.log_writer import NonBlockingLineWriter

__all__ = ["DecisionLog"]

# A flood of refusals must neither take processor time from requests nor hide rarer
# decisions.
MAX_LINES_PER_KIND_PER_S: Final = 20


class DecisionLog:
    """Writes a limited number of lines of each kind per second, counts the rest."""

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
        # The writer behind the log, if it may drop lines.
        self._writer = writer
        self._current_second = 0
        # By kind: lines written in the current second, and lines dropped since the
        # last written one.
        self._written_by_kind: Counter[str] = Counter()
        self._dropped_by_kind: Counter[str] = Counter()
        self._dropped_total = 0

    def record(self, kind: str, **fields: FieldValue) -> None:
        """Log one decision, unless its kind has reached the limit of this second."""
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
        """Return how many lines the rate limit and the writer have dropped."""
        lost_by_writer = self._writer.dropped_lines if self._writer is not None else 0
        return self._dropped_total + lost_by_writer


def format_value(value: FieldValue) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return f'"{text}"' if " " in text or not text else text
