"""Explains what happened to one request from the logs of several nodes."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec

from heathermount.errors import ConfigurationProblem

__all__ = ["Explanation", "LogLine", "explain_request", "parse_line", "read_logs"]

# "I0802 21:22:07.139257" at the start of a line of absl.logging, and what some
# collectors put before it.
STAMP: Final = re.compile(r"^(?P<before>.*?)[IWEF](?P<at>\d{4} \d\d:\d\d:\d\d\.\d{6}) ")
EVENT: Final = re.compile(r"\bevent=(?P<kind>[a-z-]+)(?P<fields>.*)")
FIELD: Final = re.compile(r'([a-z_]+)=("[^"]*"|\S*)')

# Lines that change what a node believes; the last of each kind before the
# request's end is shown with it.
BELIEFS: Final = frozenset({"configuration-applied", "settings-reloaded"})

VERDICTS: Final[dict[str, str]] = {
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

NO_LINE: Final = (
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


def parse_line(line: str, source: str) -> LogLine | None:
    """Return a line of a node's log; None for any other text."""
    stamp, event = STAMP.match(line), EVENT.search(line)
    if stamp is None or event is None:
        return None
    # Collectors that merge the logs of several nodes put the node's name first.
    words = stamp["before"].split()
    fields = {name: value.strip('"') for name, value in FIELD.findall(event["fields"])}
    name = words[-1] if words else source
    return LogLine(stamp["at"], name, event["kind"], fields, event[0].strip())


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
        parsed = (parse_line(line, source) for line in text.splitlines())
        lines += [line for line in parsed if line is not None]
    return sorted(lines, key=lambda line: line.at)


def explain_request(request: str, lines: list[LogLine]) -> Explanation:
    """Return what the nodes did with a request and with the calls made for it."""
    own = [line for line in lines if belongs(line.request, request)]
    ended = [
        line
        for line in own
        if line.request == request and line.kind == "request-refused"
    ]
    if not ended:
        return Explanation(request, own, NO_LINE)
    last = ended[-1]
    beliefs: dict[str, LogLine] = {}
    for line in lines:
        if line.at > last.at:
            break
        if line.source == last.source and line.kind in BELIEFS:
            beliefs[line.kind] = line
    merged = sorted([*own, *beliefs.values()], key=lambda line: line.at)
    return Explanation(request, merged, describe(last))


def belongs(found: str, request: str) -> bool:
    """Tell whether an identifier is the request's own or that of a call for it."""
    return found == request or found.startswith(request + ".")


def describe(line: LogLine) -> str:
    reason = line.fields.get("reason", "")
    outcome = line.fields.get("outcome", "")
    status = line.fields.get("status", "")
    cause = VERDICTS.get(reason, "see the last line")
    return f"{line.source} answered {status} ({reason}, {outcome}): {cause}"
