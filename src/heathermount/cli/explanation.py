"""Explains what happened to one request from the logs of several nodes."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec

from heathermount.errors import ConfigurationProblem

__all__ = ["Explanation", "LogLine", "explain_request", "parse_log_line", "read_logs"]

# Start of an absl.logging line, such as "I0802 21:22:07.139257", and what some log
# collectors put before it.
LOG_PREFIX_PATTERN: Final = re.compile(
    r"^(?P<before>.*?)[IWEF](?P<at>\d{4} \d\d:\d\d:\d\d\.\d{6}) "
)
EVENT_PATTERN: Final = re.compile(r"\bevent=(?P<kind>[a-z-]+)(?P<fields>.*)")
FIELD_PATTERN: Final = re.compile(r'([a-z_]+)=("[^"]*"|\S*)')

# Events that change a node's configuration or settings. An explanation shows the
# last of each kind before the refusal.
CONFIGURATION_EVENTS: Final = frozenset({"configuration-applied", "settings-reloaded"})

CAUSES_BY_REASON: Final[dict[str, str]] = {
    "over-rate": (
        "the organisation exceeded its rate and burst; compare rate, burst "
        "and holders of the over-rate line with the declared limits"
    ),
    "shed": (
        "a service on the path was overloaded and more important requests were "
        "admitted first; look at shedding-started of the executing nodes"
    ),
    "deadline": "no answer could come in time; look at the queue wait and the server",
    "no-server": "no server of the service could be reached from the entry node",
    "draining": "the server was draining",
    "configuration-stale": (
        "the node could not confirm that its configuration was current; look at "
        "configuration-unreadable and at the store"
    ),
    "key-unknown": (
        "the key was not in the node's configuration version; compare version with "
        "the version that added or withdrew the key"
    ),
    "key-withdrawn": "the key was withdrawn while the request was in progress",
    "key-missing": "the request carried no key",
    "route-unknown": (
        "no route in the node's configuration version matched host and path; compare "
        "version with the version that added or removed the route"
    ),
    "server-failed": (
        "the connection broke after the request was sent, and whether it ran is not "
        "known; look at answer-broken or peer-failed"
    ),
    "answer-broken": (
        "the server's answer was incomplete or unsigned; the request ran or may "
        "have run"
    ),
    "quarantined": "servers crashed while running it; look at crash-suspected",
    "starting": "the node had no configuration yet",
}

NO_REFUSAL_LOGGED: Final = (
    "no node refused it: it was served, or its log lines were dropped; look for "
    "dropped_before in later lines of the same kind"
)


class LogLine(msgspec.Struct, frozen=True):
    """One event line of a node's log; `at` has no year, so it sorts within one year."""

    at: str
    source: str
    kind: str
    fields: dict[str, str]
    text: str

    @property
    def request(self) -> str:
        return self.fields.get("request", "")


class Explanation(msgspec.Struct, frozen=True):
    """The log lines of a request in order of time, and why it failed."""

    request: str
    lines: list[LogLine]
    verdict: str


def parse_log_line(line: str, source: str) -> LogLine | None:
    """Parse an event line of a node's log; return None for other text."""
    prefix, event = LOG_PREFIX_PATTERN.match(line), EVENT_PATTERN.search(line)
    if prefix is None or event is None:
        return None
    # Collectors that merge the logs of several nodes put the node's name before
    # the line.
    prefix_words = prefix["before"].split()
    fields = {
        name: value.strip('"') for name, value in FIELD_PATTERN.findall(event["fields"])
    }
    name = prefix_words[-1] if prefix_words else source
    return LogLine(prefix["at"], name, event["kind"], fields, event[0].strip())


def read_logs(paths: Iterable[str]) -> list[LogLine]:
    """Return the event lines of all files, sorted by time."""
    lines = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise ConfigurationProblem(
                path, "file", str(error.strerror), "name a log file that can be read"
            ) from error
        source = Path(path).stem
        parsed = (parse_log_line(line, source) for line in text.splitlines())
        lines += [line for line in parsed if line is not None]
    return sorted(lines, key=lambda line: line.at)


def explain_request(request: str, lines: list[LogLine]) -> Explanation:
    """Return what the nodes did with a request and with its downstream calls."""
    request_lines = [
        line for line in lines if belongs_to_request(line.request, request)
    ]
    refusals = [
        line
        for line in request_lines
        if line.request == request and line.kind == "request-refused"
    ]
    if not refusals:
        return Explanation(request, request_lines, NO_REFUSAL_LOGGED)
    last_refusal = refusals[-1]
    configuration_lines: dict[str, LogLine] = {}
    for line in lines:
        if line.at > last_refusal.at:
            break
        if line.source == last_refusal.source and line.kind in CONFIGURATION_EVENTS:
            configuration_lines[line.kind] = line
    merged = sorted(
        [*request_lines, *configuration_lines.values()], key=lambda line: line.at
    )
    return Explanation(request, merged, describe_refusal(last_refusal))


def belongs_to_request(identifier: str, request: str) -> bool:
    """Return whether an identifier is the request's or a downstream call's of it."""
    return identifier == request or identifier.startswith(request + ".")


def describe_refusal(line: LogLine) -> str:
    reason = line.fields.get("reason", "")
    outcome = line.fields.get("outcome", "")
    status = line.fields.get("status", "")
    cause = CAUSES_BY_REASON.get(reason, "see the last line")
    return f"{line.source} answered {status} ({reason}, {outcome}): {cause}"
