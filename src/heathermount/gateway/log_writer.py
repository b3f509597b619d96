"""Logging to standard output that never blocks on a slow reader."""

import os
import stat
from typing import Final

from absl import flags, logging

__all__ = ["NonBlockingLineWriter", "configure_logging"]

STDOUT_DESCRIPTOR: Final = 1


class NonBlockingLineWriter:
    """Writes each line to a file descriptor, or drops and counts it.

    Blocking writes to a pipe whose reader has stopped would hang the whole node.
    Lines of at most PIPE_BUF bytes are written completely or not at all.
    """

    __slots__ = ("_descriptor", "dropped_lines")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        # Number of lines dropped because the reader was too slow.
        self.dropped_lines = 0
        mode = os.fstat(descriptor).st_mode
        # Terminals and files always accept writes, and a terminal is shared with
        # programs that expect it to block.
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        try:
            os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped_lines += 1

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def close(self) -> None:
        """Do nothing: the descriptor stays open for the rest of the process."""


def configure_logging() -> NonBlockingLineWriter:
    """Send log lines to standard output; return the writer, which counts drops."""
    if not flags.FLAGS.is_parsed():
        # absl writes to standard error until its flags are parsed; the node has
        # no flags of its own.
        flags.FLAGS.mark_as_parsed()
    writer = NonBlockingLineWriter(STDOUT_DESCRIPTOR)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().python_handler.stream = writer
    return writer
