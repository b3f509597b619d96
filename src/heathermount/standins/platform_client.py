"""Simulated client on the platform, which sends requests to a node."""

import asyncio
from typing import Any, Final

__all__ = [
    "HOST",
    "KEY",
    "encode_request",
    "is_complete_response",
    "read_response",
    "send_request",
]

# Default host and API key of requests.
HOST: Final = "shop.example"
KEY: Final = "key-of-anna"


def encode_request(
    method: str,
    target: str,
    request_id: str = "r-1",
    key: str = KEY,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    host: str = HOST,
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Heathermount-Request-Id: {request_id}",
        f"Content-Length: {len(body)}",
    ]
    if key:
        lines.append(f"X-Heathermount-Key: {key}")
    lines += [f"{header}: {value}" for header, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def send_request(
    address: str, method: str, target: str, **fields: Any
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return status, headers and body.

    `fields` are those of `encode_request`.
    """
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    writer.write(encode_request(method, target, **fields))
    try:
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(": ")
        if name:
            headers[name.lower()] = value
    return status, headers, await reader.readexactly(int(headers["content-length"]))


def is_complete_response(
    headers: dict[str, str], body: bytes, request_id: str, target: str
) -> bool:
    """Return whether a success response is complete and belongs to the request."""
    return (
        headers.get("x-heathermount-request-id") == request_id
        and "x-heathermount-response-stamp" in headers
        and body.endswith(f" {target}".encode())
    )
