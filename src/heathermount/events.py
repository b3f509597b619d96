"""Time line of events: a ring of recent events and one log line for each."""

from collections import deque
from collections.abc import Iterable
from typing import Final

import msgspec
from absl import logging

from heathermount.clocks import Clock

__all__ = ["Event", "EventLog", "format_event", "merge_events"]

MAX_EVENTS: Final = 4096

FieldValue = str | int | float | bool


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One event, stamped with a hybrid logical clock."""

    wall_us: int
    counter: int
    node: str
    kind: str
    fields: dict[str, str]


class EventLog:
    """Records events of one process.

    The stamp is a hybrid logical clock: an event that was caused by a message
    sorts after the event that was recorded before the message was sent, even
    if the wall clocks of the two instances differ.
    """

    __slots__ = ("_clock", "_counter", "_events", "_wall_us", "node", "quiet")

    def __init__(self, node: str, clock: Clock, quiet: bool = False) -> None:
        self.node = node
        self.quiet = quiet
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._wall_us = 0
        self._counter = 0

    def record(self, kind: str, **fields: FieldValue) -> Event:
        """Add an event and write its log line."""
        wall_us, counter = self.next_timestamp()
        event = Event(
            wall_us, counter, self.node, kind, {k: str(v) for k, v in fields.items()}
        )
        self._events.append(event)
        if not self.quiet:
            logging.info("%s", format_event(event))
        return event

    def next_timestamp(self) -> tuple[int, int]:
        """Return the next stamp, to be sent along with a message."""
        now = int(self._clock.wall() * 1_000_000)
        if now > self._wall_us:
            self._wall_us, self._counter = now, 0
        else:
            self._counter += 1
        return self._wall_us, self._counter

    def observe(self, wall_us: int, counter: int) -> None:
        """Move the stamp past one that came with a message."""
        if (wall_us, counter) > (self._wall_us, self._counter):
            self._wall_us, self._counter = wall_us, counter

    def events_since(self, since_us: int = 0) -> list[Event]:
        return [event for event in self._events if event.wall_us >= since_us]


def format_event(event: Event) -> str:
    """Format an event as one line of key=value pairs."""
    pairs = [f"event={event.kind}", f"node={event.node}"]
    for name, value in event.fields.items():
        quoted = f'"{value}"' if " " in value or not value else value
        pairs.append(f"{name}={quoted}")
    return " ".join(pairs)


def merge_events(logs: Iterable[list[Event]]) -> list[Event]:
    """Merge the events of several processes in causal order."""
    merged = {(e.wall_us, e.counter, e.node): e for log in logs for e in log}
    return [merged[timestamp] for timestamp in sorted(merged)]
