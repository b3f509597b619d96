"""Stand-in of a backend server whose answers never end."""

import asyncio
from enum import Enum
from typing import Final

from heathermount.standins.listening import ListeningStandIn

__all__ = ["EndlessAnswer", "EndlessServerStandIn"]

OK: Final = b"HTTP/1.1 200 OK\r\n"
WHOLE: Final = OK + b"Content-Length: 5\r\n\r\nwhole"


class EndlessAnswer(Enum):
    """Where an answer does not end."""

    STATUS = "status"
    HEADER_VALUE = "header value"
    HEADERS = "headers"
    INFORMATIONAL = "informational answers"
    BODY = "body without a length"
    CHUNKED_BODY = "chunked body"
    SIZED_BODY = "body with an absurd length"
    TRAILERS = "trailers"


class EndlessServerStandIn(ListeningStandIn):
    """Answers each request without end until the caller closes.

    Sends `chunk_bytes` at a time with a pause of `pause_s` seconds between.
    Requests whose path is in `healthy` get a whole answer.
    """

    def __init__(
        self, kind: EndlessAnswer, chunk_bytes: int = 65_536, pause_s: float = 0.0
    ) -> None:
        super().__init__()
        self.kind = kind
        self.chunk_bytes = chunk_bytes
        self.pause_s = pause_s
        self.healthy: set[str] = set()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.split(b" ")[1].decode().lstrip("/") in self.healthy:
                writer.write(WHOLE)
            else:
                await self._answer(writer)

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        start, part = make_parts(self.kind, self.chunk_bytes)
        writer.write(start)
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.pause_s)


def make_parts(kind: EndlessAnswer, chunk_bytes: int) -> tuple[bytes, bytes]:
    """Return the start of an answer and the part that is repeated after it."""
    letters = b"a" * chunk_bytes
    chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n"
    match kind:
        case EndlessAnswer.STATUS:
            return b"HTTP/1.1 200 ", letters
        case EndlessAnswer.HEADER_VALUE:
            return OK + b"X-Long: ", letters
        case EndlessAnswer.HEADERS:
            line = b"X-Short: a\r\n"
            return OK, line * max(1, chunk_bytes // len(line))
        case EndlessAnswer.INFORMATIONAL:
            one = b"HTTP/1.1 100 Continue\r\n\r\n"
            return b"", one * max(1, chunk_bytes // len(one))
        case EndlessAnswer.BODY:
            return OK + b"\r\n", letters
        case EndlessAnswer.CHUNKED_BODY:
            return chunked, b"%x\r\n%b\r\n" % (chunk_bytes, letters)
        case EndlessAnswer.SIZED_BODY:
            return OK + b"Content-Length: 999999999999999\r\n\r\n", letters
        case EndlessAnswer.TRAILERS:
            return chunked + b"0\r\n", b"X-Trailer: a\r\n" * max(1, chunk_bytes // 14)
