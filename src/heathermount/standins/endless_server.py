"""Stand-in for a backend server whose responses never end."""

import asyncio
from enum import Enum
from typing import Final

from heathermount.standins.loopback_server import LoopbackServerStandIn

__all__ = ["FOREIGN_RESPONSE", "EndlessPart", "EndlessServerStandIn"]

STATUS_LINE_OK: Final = b"HTTP/1.1 200 OK\r\n"
COMPLETE_RESPONSE: Final = STATUS_LINE_OK + b"Content-Length: 5\r\n\r\nwhole"
FOREIGN_RESPONSE: Final = (
    STATUS_LINE_OK + b"X-Heathermount-Request-Id: another\r\nContent-Length: 0\r\n\r\n"
)


class EndlessPart(Enum):
    """The part of an HTTP response that never ends."""

    STATUS = "status"
    HEADER_VALUE = "header value"
    HEADERS = "headers"
    INFORMATIONAL = "informational answers"
    BODY = "body without a length"
    CHUNKED_BODY = "chunked body"
    SIZED_BODY = "body with an absurd length"
    TRAILERS = "trailers"
    FOREIGN_RESPONSES = "complete answers to another request"
    TINY_CHUNKS = "chunks of one byte"


class EndlessServerStandIn(LoopbackServerStandIn):
    """Sends an endless response to each request until the client disconnects.

    Writes `chunk_bytes` at a time, with a pause of `pause_s` seconds in between.
    Requests whose path, without the leading slash, is in `healthy_paths` get a
    complete response.
    """

    def __init__(
        self, endless_part: EndlessPart, chunk_bytes: int = 65_536, pause_s: float = 0.0
    ) -> None:
        super().__init__()
        self.endless_part = endless_part
        self.chunk_bytes = chunk_bytes
        self.pause_s = pause_s
        self.healthy_paths: set[str] = set()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.split(b" ")[1].decode().lstrip("/") in self.healthy_paths:
                writer.write(COMPLETE_RESPONSE)
            else:
                await self._send_endless_response(writer)

    async def _send_endless_response(self, writer: asyncio.StreamWriter) -> None:
        first_bytes, repeated_bytes = make_response_parts(
            self.endless_part, self.chunk_bytes
        )
        writer.write(first_bytes)
        while True:
            writer.write(repeated_bytes)
            await writer.drain()
            await asyncio.sleep(self.pause_s)


def make_response_parts(
    endless_part: EndlessPart, chunk_bytes: int
) -> tuple[bytes, bytes]:
    """Return the first bytes of a response and the bytes to repeat after them."""
    filler = b"a" * chunk_bytes
    chunked = STATUS_LINE_OK + b"Transfer-Encoding: chunked\r\n\r\n"
    match endless_part:
        case EndlessPart.STATUS:
            return b"HTTP/1.1 200 ", filler
        case EndlessPart.HEADER_VALUE:
            return STATUS_LINE_OK + b"X-Long: ", filler
        case EndlessPart.HEADERS:
            line = b"X-Short: a\r\n"
            return STATUS_LINE_OK, line * max(1, chunk_bytes // len(line))
        case EndlessPart.INFORMATIONAL:
            response = b"HTTP/1.1 100 Continue\r\n\r\n"
            return b"", response * max(1, chunk_bytes // len(response))
        case EndlessPart.BODY:
            return STATUS_LINE_OK + b"\r\n", filler
        case EndlessPart.CHUNKED_BODY:
            return chunked, b"%x\r\n%b\r\n" % (chunk_bytes, filler)
        case EndlessPart.SIZED_BODY:
            return STATUS_LINE_OK + b"Content-Length: 999999999999999\r\n\r\n", filler
        case EndlessPart.TRAILERS:
            return chunked + b"0\r\n", b"X-Trailer: a\r\n" * max(1, chunk_bytes // 14)
        case EndlessPart.FOREIGN_RESPONSES:
            return b"", FOREIGN_RESPONSE * max(1, chunk_bytes // len(FOREIGN_RESPONSE))
        case EndlessPart.TINY_CHUNKS:
            return chunked, b"1\r\na\r\n" * max(1, chunk_bytes // 6)
