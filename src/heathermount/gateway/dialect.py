"""Interface to the header names and formats of clients and backend servers."""

from typing import Protocol

from heathermount.values import Load

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Header names, in lower case, and conversions of header values."""

    # Sent by clients.
    request_id: bytes
    deadline: bytes
    key: bytes
    # Set by the gateway on requests to backend servers.
    organisation: bytes
    caller_service: bytes
    expected_server: bytes
    # Sent by backend servers. Every successful response has a response stamp; one
    # without it counts as broken.
    response_stamp: bytes
    not_executed: bytes
    server_load: bytes
    # Requests per second that a server in need takes, while it states any.
    server_limit: bytes
    # Stated by a server that is about to leave.
    server_leaving: bytes

    def parse_deadline(self, value: bytes) -> float | None:
        """Return the client's timeout in seconds; None if invalid."""

    def format_deadline(self, seconds: float) -> bytes:
        """Return the remaining time as a header value."""

    def parse_parent_id(self, request_id: bytes) -> bytes:
        """Return the ID of the request that made a nested call, or b""."""

    def parse_server_limit(self, value: bytes) -> float | None:
        """Return the requests per second that a server takes; None if invalid."""

    def parse_load(self, value: bytes) -> Load | None:
        """Return the load that a server reports; None if invalid."""
