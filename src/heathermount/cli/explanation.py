"""Explains what happened to one request from the logs of several nodes."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec

from heathermount.errors import ConfigurationProblem

__all__ = ["Explanation", "LogLine", "explain_request", "parse_log_line", "read_logs"]

# "I0802 21:22:07.139257" at the start of a line of absl.logging, and what some
# collectors put before it.
LOG_PREFIX_PATTERN: Final = re.compile(
    r"^(?P<before>.*?)[IWEF](?P<at>\d{4} \d\d:\d\d:\d\d\.\d{6}) "
)
EVENT_PATTERN: Final = re.compile(r"\bevent=(?P<kind>[a-z-]+)(?P<fields>.*)")
FIELD_PATTERN: Final = re.compile(r'([a-z_]+)=("[^"]*"|\S*)')

# Lines that change what a node believes; the last of each kind before the
# request's end is shown with it.
CONFIGURATION_EVENTS: Final = frozenset({"configuration-applied", "settings-reloaded"})

CAUSES_BY_REASON: Final[dict[str, str]] = {
    "over-rate": (
        "the organisation sent more than its rate and burst; compare rate, burst "
        "and holders of the over-rate line with the declared limits"
    ),
    "shed": (
        "a service on the way was overloaded and more urgent requests went first; "
        "look at shedding-started of the executing nodes"
    ),
    "deadline": "no answer could come in time; look at the wait and the server",
    "no-server": "no server of the service could be reached from the entry node",
    "draining": "the server was leaving",
    "configuration-stale": (
        "the node could not prove that its configuration was current; look at "
        "configuration-unreadable and at the store"
    ),
    "key-unknown": (
        "the key was not in the version that the node had; compare version with "
        "the version that added or withdrew the key"
    ),
    "key-withdrawn": "the key was withdrawn while the request was on its way",
    "key-missing": "the request carried no key",
    "route-unknown": (
        "no route of the node's version matched host and path; compare version "
        "with the version that added or removed the route"
    ),
    "server-failed": (
        "the connection broke after the request was sent; whether it ran is not "
        "known: look at answer-broken or peer-failed"
    ),
    "answer-broken": (
        "the server's answer was not whole or not signed; it has run or may have"
    ),
    "quarantined": "servers crashed running it; look at crash-suspected",
    "starting": "the node had no configuration yet",
}

NO_REFUSAL_LOGGED: Final = (
    "no node refused it: it was served, or its lines were left out; look for "
    "dropped_before in later lines of the same kind"
)


class LogLine(msgspec.Struct, frozen=True):
    """One line about a decision; `at` sorts within a year."""

    at: str
    source: str
    kind: str
    fields: dict[str, str]
    text: str

    @property
    def request(self) -> str:
        return self.fields.get("request", "")


class Explanation(msgspec.Struct, frozen=True):
    """The time line of a request and what ended it."""

    request: str
    lines: list[LogLine]
    verdict: str


def parse_log_line(line: str, source: str) -> LogLine | None:
    """Return a line of a node's log; None for any other text."""
    prefix, event = LOG_PREFIX_PATTERN.match(line), EVENT_PATTERN.search(line)
    if prefix is None or event is None:
        return None
    # Collectors that merge the logs of several nodes put the node's name first.
    prefix_words = prefix["before"].split()
    fields = {
        name: value.strip('"') for name, value in FIELD_PATTERN.findall(event["fields"])
    }
    name = prefix_words[-1] if prefix_words else source
    return LogLine(prefix["at"], name, event["kind"], fields, event[0].strip())


def read_logs(paths: Iterable[str]) -> list[LogLine]:
    """Return the lines of all files in the order of their time."""
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
    """Return what the nodes did with a request and with the calls made for it."""
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
    last = refusals[-1]
    configuration_lines: dict[str, LogLine] = {}
    for line in lines:
        if line.at > last.at:
            break
        if line.source == last.source and line.kind in CONFIGURATION_EVENTS:
            configuration_lines[line.kind] = line
    merged = sorted(
        [*request_lines, *configuration_lines.values()], key=lambda line: line.at
    )
    return Explanation(request, merged, describe_refusal(last))


def belongs_to_request(identifier: str, request: str) -> bool:
    """Tell whether an identifier is the request's own or that of a call for it."""
    return identifier == request or identifier.startswith(request + ".")


def describe_refusal(line: LogLine) -> str:
    reason = line.fields.get("reason", "")
    outcome = line.fields.get("outcome", "")
    status = line.fields.get("status", "")
    cause = CAUSES_BY_REASON.get(reason, "see the last line")
    return f"{line.source} answered {status} ({reason}, {outcome}): {cause}"
