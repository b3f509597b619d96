"""Headers of the platform's clients and backend servers."""

from typing import (
    Final,
)

from heathermount.values import (
    Load,
)

__all__ = ["PlatformDialect"]

LOAD_FIELD_COUNT: Final = 3


class PlatformDialect:
    """Names of the platform's headers, in lower case."""

    __slots__ = ()

    request_id = b"x-heathermount-request-id"
    deadline = b"x-heathermount-deadline-milliseconds"
    key = b"x-heathermount-key"
    organisation = b"x-heathermount-tenant"
    caller_service = b"x-heathermount-caller-service"
    expected_server = b"x-heathermount-expected-instance"
    signature = b"x-heathermount-response-stamp"
    not_executed = b"x-heathermount-not-executed"
    server_load = b"x-heathermount-server-load"

    def parse_deadline(self, value: bytes) -> float | None:
        """Return milliseconds as seconds."""
        return int(value) / 1000 if value.isdigit() else None

    def format_deadline(self, seconds: float) -> bytes:
        return b"%d" % max(1, int(seconds * 1000))

    def parse_parent_id(self, request_id: bytes) -> bytes:
        """Return what comes before the last dot: servers extend their request's id."""
        return request_id.rpartition(b".")[0]

    def parse_load(self, value: bytes) -> Load | None:
        """Return running and waiting requests and slots, which commas separate."""
        parts = value.split(b",")
        if len(parts) != LOAD_FIELD_COUNT or not all(part.isdigit() for part in parts):
            return None
        return Load(int(parts[0]), int(parts[1]), max(1, int(parts[2])))
