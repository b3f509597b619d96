"""Header of the frames that nodes exchange: length, call number and kind."""

import struct
from enum import IntEnum
from typing import Final

__all__ = ["FRAME_HEADER", "MAX_BODY_BYTES", "MAX_FRAME_BYTES", "FrameKind"]

FRAME_HEADER: Final = struct.Struct(">IQB")
# A frame carries one body of at most a few MiB; anything longer is malformed.
MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
# Longest body that fits a frame together with its headers.
MAX_BODY_BYTES: Final = MAX_FRAME_BYTES - 1024 * 1024


class FrameKind(IntEnum):
    """Kind of a frame."""

    REQUEST = 0
    ANSWER = 1
    CANCEL = 2
    REJECTED = 3
