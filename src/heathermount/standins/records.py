"""Records of requests and calls, which the checks compare after a run.

Times are in seconds of the monotonic clock, which all processes of a machine
share.
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
    """How a backend server's execution of a request ended."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    DOWNSTREAM_FAILED = "deeper-failed"
    TRUNCATED = "truncated"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    # This request crashed the server.
    CRASHED = "crashed"
    # Another request crashed the server during the execution of this one.
    LOST = "lost"
    # The server rejected the request before executing it.
    SHED = "shed"


class DownstreamResult(msgspec.Struct):
    """Result of a call that a backend server made to a downstream service."""

    test_id: str
    attempt: str
    status: int = 0
    outcome: str = ""
    reason: str = ""
    # False if a success response is incomplete or belongs to another call.
    whole: bool = True


class RunRecord(msgspec.Struct, kw_only=True):
    """One request that reached a backend server.

    A downstream call has the test identifier of its parent with "/<index>"
    appended, and the `run_id` of its parent as its attempt.
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
    # Times of arrival, start of execution and end.
    arrived: float
    started: float
    finished: float = 0.0
    outcome: RunOutcome = RunOutcome.RUNNING
    # Whether a caller's API key was in the headers or the target.
    key_visible: bool = False
    deeper: list[DownstreamResult] = []

    @property
    def depth(self) -> int:
        return self.test_id.count("/")

    @property
    def incarnation(self) -> str:
        """The server and its start, which are the first parts of `run_id`."""
        return self.run_id.rpartition(":")[0]

    @property
    def ran(self) -> bool:
        return self.outcome is not RunOutcome.SHED


class CallResult(msgspec.Struct, kw_only=True):
    """One attempt of a call; retries share the test identifier of the first one."""

    test_id: str
    attempt: str
    organisation: str
    key_id: str
    entry: str
    method: str
    path: str
    idempotency_key: str = ""
    # Start time in the open-loop schedule, and the time of sending.
    scheduled: float
    sent: float
    finished: float = 0.0
    status: int = 0
    outcome: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    # Why there was no response: refused, timeout or broken; otherwise empty.
    error: str = ""
    # False if a success response is incomplete.
    whole: bool = True
    # False if a success response belongs to another request.
    own: bool = True
    server: str = ""

    @property
    def succeeded(self) -> bool:
        return 200 <= self.status < 300

    @property
    def latency_s(self) -> float:
        """Time since the scheduled start, so that delays of the sender count too."""
        return self.finished - self.scheduled


class ResponseBody(msgspec.Struct, kw_only=True):
    """Body of a backend server's response; the checksum covers all other fields."""

    test_id: str
    organisation: str
    server: str
    service: str
    root: str
    depth: int
    path: str
    outcome: str
    deeper: list[DownstreamResult] = []
    # Services that executed the request or one of its downstream calls.
    visited: list[str] = []
    padding: str = ""
    checksum: str = ""


def encode_response_body(response_body: ResponseBody) -> bytes:
    """Set the checksum and return the body as JSON."""
    response_body.checksum = ""
    response_body.checksum = compute_checksum(msgspec.json.encode(response_body))
    return msgspec.json.encode(response_body)


def decode_response_body(body: bytes) -> ResponseBody | None:
    """Return the decoded body, or None if it is malformed or its checksum differs."""
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
    """Write one record as a JSON line."""
    file.write(msgspec.json.encode(record) + b"\n")


def write_lines(path: Path, records: Iterable[msgspec.Struct]) -> None:
    """Write a file with one JSON line per record."""
    with path.open("wb") as file:
        for record in records:
            write_record(file, record)


def read_lines(path: Path, kind: type[Record]) -> list[Record]:
    """Read JSON lines; skip a last line that a killed writer left incomplete."""
    decoder = msgspec.json.Decoder(kind)
    lines = path.read_bytes().split(b"\n")
    return [decoder.decode(line) for line in lines[:-1]]


def read_run_records(paths: Iterable[Path]) -> list[RunRecord]:
    """Read record files; keep the last record of each `run_id`, ordered by start."""
    runs: dict[str, RunRecord] = {}
    for path in paths:
        for record in read_lines(path, RunRecord):
            runs[record.run_id] = record
    return sorted(runs.values(), key=lambda record: record.started)
