"""Log lines of a node: where they go and what a stopped reader costs."""

import os

from heathermount.gateway.logs import LineWriter


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
