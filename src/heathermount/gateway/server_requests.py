"""Encoding of requests to backend servers."""

from typing import Final

from heathermount.gateway.dialect import Dialect
from heathermount.gateway.messages import Execute

__all__ = ["encode_request"]

BODY_METHODS: Final = frozenset({b"POST", b"PUT", b"PATCH"})


def encode_request(
    dialect: Dialect, message: Execute, server_id: str, remaining_s: float
) -> bytes:
    """Return the bytes of a request for a backend server, which must be `server_id`.

    `remaining_s` is the time, in seconds, after which the server stops its work.
    """
    parts = [b"%b %b HTTP/1.1\r\n" % (message.method, message.target)]
    parts += [b"%b: %b\r\n" % header for header in message.headers]
    parts.append(
        b"%b: %b\r\n%b: %b\r\n"
        % (
            dialect.deadline,
            dialect.format_deadline(remaining_s),
            dialect.expected_server,
            server_id.encode(),
        )
    )
    if message.organisation:
        parts.append(
            b"%b: %b\r\n" % (dialect.organisation, message.organisation.encode())
        )
    if message.body or message.method in BODY_METHODS:
        parts.append(b"content-length: %d\r\n" % len(message.body))
    parts.append(b"\r\n")
    parts.append(message.body)
    return b"".join(parts)
