"""Run-time checks of invariants: a violation is logged and counted, not raised."""

from heathermount.events import EventLog, FieldValue

__all__ = ["Invariants"]


class Invariants:
    """Checks conditions that must always hold and counts their violations by name."""

    __slots__ = ("_events", "violations")

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self.violations: dict[str, int] = {}

    def check(self, condition: bool, name: str, **fields: FieldValue) -> bool:
        """Record a violation if the condition is false; return the condition."""
        if not condition:
            self.violations[name] = self.violations.get(name, 0) + 1
            self._events.record("invariant-violated", invariant=name, **fields)
        return condition
