"""Records that the stand-ins keep, for comparison after a run.

Times are seconds of the machine's monotonic clock, which all processes of one
machine share.
"""

import hashlib
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import BinaryIO, Final, TypeVar

import msgspec

__all__ = [
    "CallResult",
    "DownstreamResult",
    "ResponseBody",
    "RunOutcome",
    "RunRecord",
    "decode_response_body",
    "encode_response_body",
    "read_lines",
    "read_run_records",
    "write_lines",
    "write_record",
]

CHECKSUM_BYTES: Final = 8

Record = TypeVar("Record", bound=msgspec.Struct)


class RunOutcome(StrEnum):
    """How a backend server's work on one request ended."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    DOWNSTREAM_FAILED = "deeper-failed"
    TRUNCATED = "truncated"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    # The request crashed the server.
    CRASHED = "crashed"
    # Another request crashed the server while this one ran.
    LOST = "lost"
    # The server refused the request before any work.
    SHED = "shed"


class DownstreamResult(msgspec.Struct):
    """Result of a call that a backend server made to a deeper service."""

    test_id: str
    attempt: str
    status: int = 0
    outcome: str = ""
    reason: str = ""
    # A successful answer is complete and belongs to this call.
    whole: bool = True


class RunRecord(msgspec.Struct, kw_only=True):
    """One request that reached a backend server.

    The test identifier of a deeper call is its parent's with "/<index>"
    appended, and its attempt is the `run_id` of its parent's run.
    """

    run_id: str
    server: str
    service: str
    root: str
    organisation: str
    method: str
    path: str
    test_id: str
    attempt: str
    idempotency_key: str
    body_digest: str
    # When the request came, when work on it began, and when it ended.
    arrived: float
    started: float
    finished: float = 0.0
    outcome: RunOutcome = RunOutcome.RUNNING
    # A caller's key was in the headers or the target.
    key_visible: bool = False
    deeper: list[DownstreamResult] = []

    @property
    def depth(self) -> int:
        return self.test_id.count("/")

    @property
    def incarnation(self) -> str:
        """Server and start of the server; the first parts of `run_id`."""
        return self.run_id.rpartition(":")[0]

    @property
    def ran(self) -> bool:
        return self.outcome is not RunOutcome.SHED


class CallResult(msgspec.Struct, kw_only=True):
    """One attempt of a caller; a resend is a further attempt of its test identifier."""

    test_id: str
    attempt: str
    organisation: str
    key_id: str
    entry: str
    method: str
    path: str
    idempotency_key: str = ""
    # When the open-loop schedule wanted the call, and when it was sent.
    scheduled: float
    sent: float
    finished: float = 0.0
    status: int = 0
    outcome: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    # Empty, or one of refused, timeout, broken: no answer was received.
    error: str = ""
    whole: bool = True
    own: bool = True
    server: str = ""

    @property
    def succeeded(self) -> bool:
        return 200 <= self.status < 300

    @property
    def latency_s(self) -> float:
        """Time from the scheduled start, so that a stalled sender is counted."""
        return self.finished - self.scheduled


class ResponseBody(msgspec.Struct, kw_only=True):
    """Body of a backend server's answer, with a checksum over all other fields."""

    test_id: str
    organisation: str
    server: str
    service: str
    root: str
    depth: int
    path: str
    outcome: str
    deeper: list[DownstreamResult] = []
    # Services that took part in the answer.
    visited: list[str] = []
    padding: str = ""
    checksum: str = ""


def encode_response_body(response_body: ResponseBody) -> bytes:
    """Return the answer as JSON with its checksum filled in."""
    response_body.checksum = ""
    response_body.checksum = compute_checksum(msgspec.json.encode(response_body))
    return msgspec.json.encode(response_body)


def decode_response_body(body: bytes) -> ResponseBody | None:
    """Return the answer, or None when the body is not whole."""
    try:
        response_body = msgspec.json.decode(body, type=ResponseBody)
    except msgspec.DecodeError:
        return None
    expected = response_body.checksum
    response_body.checksum = ""
    actual = compute_checksum(msgspec.json.encode(response_body))
    response_body.checksum = expected
    return response_body if actual == expected else None


def compute_checksum(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).hexdigest()


def write_record(file: BinaryIO, record: msgspec.Struct) -> None:
    """Append one JSON line."""
    file.write(msgspec.json.encode(record) + b"\n")


def write_lines(path: Path, records: Iterable[msgspec.Struct]) -> None:
    """Write one JSON line for each record."""
    with path.open("wb") as file:
        for record in records:
            write_record(file, record)


def read_lines(path: Path, kind: type[Record]) -> list[Record]:
    """Read JSON lines; a last line cut short by a killed writer is left out."""
    decoder = msgspec.json.Decoder(kind)
    lines = path.read_bytes().split(b"\n")
    return [decoder.decode(line) for line in lines[:-1]]


def read_run_records(paths: Iterable[Path]) -> list[RunRecord]:
    """Read record files; the last line of a run replaces its earlier line."""
    runs: dict[str, RunRecord] = {}
    for path in paths:
        for record in read_lines(path, RunRecord):
            runs[record.run_id] = record
    return sorted(runs.values(), key=lambda record: record.started)
