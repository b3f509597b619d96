"""Output of heathermountctl as text or as JSON."""

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any, Final

import msgspec

from heathermount.cli.actions import KeyInfo, NodeState, Rollout
from heathermount.cli.explanation import Explanation
from heathermount.config.operator_changes import Preview
from heathermount.events import Event, format_event
from heathermount.wire.control import DrainReply

__all__ = ["Printer"]

TableRow = tuple[str, ...]

STATUS_HEADINGS: Final[TableRow] = (
    "service",
    "node",
    "domain",
    "revision",
    "age",
    "state",
    "control",
)


class Printer:
    """Writes results to standard output and problems to standard error."""

    __slots__ = ("_json",)

    def __init__(self, as_json: bool) -> None:
        self._json = as_json

    def print_error(self, error: BaseException) -> None:
        """Print an error, or each error of a group, as one line of text."""
        if isinstance(error, BaseExceptionGroup):
            for part in error.exceptions:
                self.print_error(part)
            return
        print(f"error: {error}", file=sys.stderr)

    def print_check(self, path: str, kind: str) -> None:
        self._write({"file": path, "kind": kind}, [f"{path}: valid {kind}"])

    def print_explanation(self, explanation: Explanation) -> None:
        lines = [f"{line.at} {line.source} {line.text}" for line in explanation.lines]
        self._write(
            msgspec.to_builtins(explanation),
            [*lines, f"verdict: {explanation.verdict}"],
        )

    def print_diff(self, preview: Preview) -> None:
        lines = [f"+ {path} = {to_json(preview.sets[path])}" for path in preview.sets]
        lines += [f"- {path}" for path in preview.removes]
        lines.append(
            f"{len(preview.sets)} set, {len(preview.removes)} removed "
            f"against revision {preview.revision}"
        )
        self._write(preview._asdict(), lines)

    def print_rollout(self, rollout: Rollout) -> None:
        lines = [rollout.key] if rollout.key else []
        if rollout.changed:
            lines.append(f"revision {rollout.revision} change {rollout.change_id}")
        else:
            lines.append(f"no difference from revision {rollout.revision}")
        confirmed = rollout.nodes - len(rollout.unconfirmed)
        lines.append(f"confirmed by {confirmed} of {rollout.nodes} nodes")
        lines += [describe_unconfirmed(state) for state in rollout.unconfirmed]
        self._write(rollout, lines)

    def print_node_states(self, states: Sequence[NodeState]) -> None:
        rows = [STATUS_HEADINGS, *map(make_status_row, states)]
        self._write(states, align_columns(rows))

    def print_keys(self, keys: Sequence[KeyInfo]) -> None:
        rows = [("key", "organisation", "state")]
        for key in keys:
            state = "withdrawn" if key.withdrawn else "usable"
            rows.append((key.key_id, key.organisation, state))
        self._write(keys, align_columns(rows))

    def print_draining(self, node: str, draining: bool, reply: DrainReply) -> None:
        state = "draining" if draining else "in service"
        fields = {"node": node, "draining": draining, "running": reply.running}
        self._write(fields, [f"{node} {state}, {reply.running} requests running"])

    def print_timeline(self, events: Iterable[Event]) -> None:
        """Print one line for each event."""
        for event in events:
            if self._json:
                print(to_json(msgspec.structs.asdict(event)))
            else:
                print(f"time={format_time(event.wall_us)} {format_event(event)}")

    def print_unreachable(self, states: Iterable[NodeState]) -> None:
        for state in states:
            print(f"warning: {state.node.name}: {state.error}", file=sys.stderr)

    def _write(self, value: Any, lines: Iterable[str]) -> None:
        print(to_json(value) if self._json else "\n".join(lines))


def to_json(value: Any) -> str:
    # Control messages encode as arrays; here they become objects with field names.
    return msgspec.json.encode(to_named_fields(value)).decode()


def to_named_fields(value: Any) -> Any:
    if isinstance(value, msgspec.Struct):
        return to_named_fields(msgspec.structs.asdict(value))
    if isinstance(value, dict):
        return {key: to_named_fields(part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_named_fields(part) for part in value]
    return value


def describe_unconfirmed(state: NodeState) -> str:
    node = f"not confirmed: {state.node.name} ({state.node.control})"
    if state.status is None:
        return f"{node}: {state.error}"
    return f"{node}: has revision {state.status.revision}"


def make_status_row(state: NodeState) -> TableRow:
    node = state.node
    if state.status is None:
        condition = f"unreachable: {state.error}"
        row = (node.failure_domain, "-", "-", condition)
    else:
        status = state.status
        row = (
            status.failure_domain,
            str(status.revision),
            f"{status.revision_age_s:.1f} s",
            describe_node_state(state),
        )
    return (node.service, node.name, *row, node.control)


def describe_node_state(state: NodeState) -> str:
    status = state.status
    if status is None:
        return "unreachable"
    notes = ["draining"] if status.draining else []
    if not status.fresh:
        notes.append("stale")
    notes += [f"violated {name}" for name in status.violations]
    return ", ".join(notes) or "ok"


def align_columns(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def format_time(wall_us: int) -> str:
    """Format microseconds since the Unix epoch as UTC in ISO 8601."""
    moment = datetime.fromtimestamp(wall_us / 1_000_000, UTC)
    return moment.isoformat(timespec="microseconds").replace("+00:00", "Z")
