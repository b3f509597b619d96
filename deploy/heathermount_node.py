"""Starts a node on the platform from a checkout."""

import signal
import sys
from pathlib import Path

# SIGHUP asks for a reload of the settings. Until its handler is installed, its default
# action would end the process during the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heathermount.platform import run  # noqa: E402

run()
