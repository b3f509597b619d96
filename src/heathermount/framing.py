"""Format of the frames that nodes exchange."""

import struct
from enum import IntEnum
from typing import Final

__all__ = ["FRAME_HEADER", "MAX_BODY_BYTES", "MAX_FRAME_BYTES", "FrameKind"]

# Length of the frame body in bytes, call number, and frame kind.
FRAME_HEADER: Final = struct.Struct(">IQB")
# A frame carries one HTTP body of at most a few MiB; a longer frame is malformed.
MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
# Longest HTTP body that fits into a frame together with its headers.
MAX_BODY_BYTES: Final = MAX_FRAME_BYTES - 1024 * 1024


class FrameKind(IntEnum):
    REQUEST = 0
    ANSWER = 1
    CANCEL = 2
    REJECTED = 3
