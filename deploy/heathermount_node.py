"""Starts a node on the platform from a checkout."""

import signal
import sys
from pathlib import Path

# A change of the settings must not end a process that is still importing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heathermount.platform import run  # noqa: E402

run()
