"""Frames on a byte stream: a header (body length, call number, kind) and a body."""

from typing import Final, TypeVar

import anyio
import msgspec
from anyio.abc import ByteStream

from heathermount.errors import InvalidMessage, PeerUnreachable
from heathermount.framing import FRAME_HEADER, MAX_FRAME_BYTES, FrameKind

__all__ = [
    "FRAME_HEADER",
    "MAX_FRAME_BYTES",
    "MAX_UNSENT_BYTES",
    "FrameKind",
    "FrameStream",
    "SendQueue",
    "decode_body",
    "encode_frame",
]

# A peer with more unsent bytes is treated as stuck, which bounds the queue.
MAX_UNSENT_BYTES: Final = 64 * 1024 * 1024
READ_CHUNK_BYTES: Final = 65536

Body = TypeVar("Body")


class FrameStream:
    """Reads and writes frames on a byte stream."""

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(
        self, max_body_bytes: int = MAX_FRAME_BYTES
    ) -> tuple[int, int, bytes]:
        """Return call number, kind and body of the next frame.

        Raises InvalidMessage for a body over `max_body_bytes`, and the stream's
        own errors when the stream ends.
        """
        await self._fill_buffer(FRAME_HEADER.size)
        length, call_number, kind = FRAME_HEADER.unpack_from(self._buffer)
        if length > max_body_bytes:
            raise InvalidMessage(
                f"frame of {length} bytes is over the limit of {max_body_bytes}; "
                "check the version of the peer"
            )
        await self._fill_buffer(FRAME_HEADER.size + length)
        body = bytes(self._buffer[FRAME_HEADER.size : FRAME_HEADER.size + length])
        del self._buffer[: FRAME_HEADER.size + length]
        return call_number, kind, body

    async def _fill_buffer(self, min_bytes: int) -> None:
        while len(self._buffer) < min_bytes:
            self._buffer += await self._stream.receive(READ_CHUNK_BYTES)

    async def write(self, data: bytes) -> None:
        await self._stream.send(data)

    async def close(self) -> None:
        await anyio.aclose_forcefully(self._stream)


def encode_frame(call_number: int, kind: FrameKind, body: bytes) -> bytes:
    return FRAME_HEADER.pack(len(body), call_number, kind) + body


def decode_body(decoder: msgspec.msgpack.Decoder[Body], body: bytes) -> Body:
    """Return the decoded body; raise InvalidMessage when it is malformed."""
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        # The decoder raises RecursionError for deeply nested arrays.
        raise InvalidMessage(f"{error}; check the version of the peer") from error


class SendQueue:
    """Queue of frames that one task writes to the stream.

    Callers only add to the queue, so that a cancelled caller cannot leave part
    of a frame on the stream.
    """

    __slots__ = ("_frames", "_has_frames", "_stream", "_unsent_bytes")

    def __init__(self, stream: FrameStream) -> None:
        self._stream = stream
        self._frames: list[bytes] = []
        self._has_frames = anyio.Event()
        self._unsent_bytes = 0

    def put(self, data: bytes) -> None:
        """Queue a frame; raise PeerUnreachable when too many bytes are unsent."""
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            raise PeerUnreachable("the peer has stopped reading; check its load")
        self._frames.append(data)
        self._unsent_bytes += len(data)
        self._has_frames.set()

    async def run(self) -> None:
        while True:
            await self._has_frames.wait()
            self._has_frames = anyio.Event()
            frames, self._frames = self._frames, []
            data = b"".join(frames)
            await self._stream.write(data)
            self._unsent_bytes -= len(data)
