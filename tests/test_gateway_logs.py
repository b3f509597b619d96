"""Log lines of a node: where they go and what a stopped reader costs."""

import os
import subprocess
import sys

from heathermount.gateway.logs import LineWriter
from heathermount.runner.processes import make_environment


def test_a_reader_that_has_stopped_blocks_nothing() -> None:
    """Guards against a node that hangs because nobody reads its log."""
    readable, writable = os.pipe()
    writer = LineWriter(writable)
    line = "event=request-refused request=r-1 reason=shed\n"
    for _ in range(5_000):
        writer.write(line)
    assert writer.lost > 0
    os.set_blocking(readable, False)
    data = b""
    while True:
        try:
            data += os.read(readable, 65_536)
        except BlockingIOError:
            break
    # What arrives are whole lines, and each line is written or counted.
    assert data == line.encode() * (5_000 - writer.lost)
    os.close(readable)
    os.close(writable)


def test_the_end_of_a_process_writes_no_traceback() -> None:
    """Guards against an error at every stop, where on-call engineers look first."""
    program = (
        "from absl import logging\n"
        "from heathermount.gateway.logs import start_logging\n"
        "start_logging()\n"
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
