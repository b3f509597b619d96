"""Starts a node on the platform from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heathermount.platform import run  # noqa: E402

run()
