"""What the gateway needs to know of the headers of clients and backend servers."""

from typing import Protocol

from heathermount.values import Load

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Names of headers, in lower case, and the forms of their values."""

    # Sent by clients.
    request_id: bytes
    deadline: bytes
    key: bytes
    # Set by the system on requests to backend servers.
    organisation: bytes
    caller_service: bytes
    expected_server: bytes
    # Sent by backend servers.
    signature: bytes
    not_executed: bytes
    server_load: bytes

    def parse_deadline(self, value: bytes) -> float | None:
        """Return how long the client waits, in seconds; None if unreadable."""

    def format_deadline(self, seconds: float) -> bytes:
        """Return the remaining time as a header value."""

    def parse_parent_id(self, request_id: bytes) -> bytes:
        """Return the identifier of the request that a call belongs to, or b""."""

    def parse_load(self, value: bytes) -> Load | None:
        """Return the load that a server reports; None if unreadable."""
