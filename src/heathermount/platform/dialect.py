"""Names and formats of the platform's HTTP headers."""

import math
from typing import Final

from heathermount.values import Load

__all__ = ["PlatformDialect"]

# Fields that are read. Some servers add how long work takes at the moment.
LOAD_FIELD_COUNT: Final = 3


class PlatformDialect:
    """Header names of the platform, in lower case, and their value formats."""

    __slots__ = ()

    request_id = b"x-heathermount-request-id"
    deadline = b"x-heathermount-deadline-milliseconds"
    key = b"x-heathermount-key"
    organisation = b"x-heathermount-tenant"
    caller_service = b"x-heathermount-caller-service"
    expected_server = b"x-heathermount-expected-instance"
    response_stamp = b"x-heathermount-response-stamp"
    not_executed = b"x-heathermount-not-executed"
    server_load = b"x-heathermount-server-load"
    server_limit = b"server-limit"
    server_leaving = b"server-leaving"

    def parse_deadline(self, value: bytes) -> float | None:
        """Parse a time in milliseconds; return it in seconds, or None if malformed."""
        return int(value) / 1000 if value.isdigit() else None

    def format_deadline(self, seconds: float) -> bytes:
        return b"%d" % max(1, int(seconds * 1000))

    def parse_parent_id(self, request_id: bytes) -> bytes:
        """Return the id of the request that made a call.

        Servers append a dot and a suffix to its id to form the ids of their calls.
        """
        return request_id.rpartition(b".")[0]

    def parse_server_limit(self, value: bytes) -> float | None:
        """Parse a decimal number of requests per second; None if it is malformed."""
        try:
            rate = float(value)
        except ValueError:
            return None
        return rate if math.isfinite(rate) and rate >= 0.0 else None

    def parse_load(self, value: bytes) -> Load | None:
        """Parse "running,waiting,slots" and more; return None if it is malformed."""
        parts = value.split(b",")[:LOAD_FIELD_COUNT]
        if len(parts) != LOAD_FIELD_COUNT or not all(part.isdigit() for part in parts):
            return None
        return Load(int(parts[0]), int(parts[1]), max(1, int(parts[2])))
