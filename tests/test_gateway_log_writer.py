"""Logging to standard output: stopped readers and process exit."""

import os
import subprocess
import sys

from heathermount.gateway.log_writer import NonBlockingLineWriter
from heathermount.runner.processes import make_environment


def test_stopped_log_reader_does_not_block_the_node() -> None:
    """Guards against a node that hangs on a full pipe because nobody reads its log."""
    readable, writable = os.pipe()
    writer = NonBlockingLineWriter(writable)
    line = "event=request-refused request=r-1 reason=shed\n"
    for _ in range(5_000):
        writer.write(line)
    assert writer.dropped_lines > 0
    os.set_blocking(readable, False)
    data = b""
    while True:
        try:
            data += os.read(readable, 65_536)
        except BlockingIOError:
            break
    # Each line is either written completely or dropped and counted.
    assert data == line.encode() * (5_000 - writer.dropped_lines)
    os.close(readable)
    os.close(writable)


def test_process_exit_writes_nothing_to_standard_error() -> None:
    """Guards against a traceback on standard error at every normal exit.

    At exit, absl flushes and closes its stream, which is the node's own writer.
    On-call engineers read standard error first.
    """
    program = (
        "from absl import logging\n"
        "from heathermount.gateway.log_writer import configure_logging\n"
        "configure_logging()\n"
        "logging.info('event=node-stopped')\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", program],
        env=make_environment(),
        capture_output=True,
        check=True,
        timeout=30,
    )
    assert b"event=node-stopped" in ended.stdout
    assert ended.stderr == b""
