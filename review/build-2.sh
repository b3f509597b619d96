#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: the project's own
# store and those in review/lib2. All are Python; the libraries come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
import sys
from pathlib import Path

sys.path.insert(0, "review/lib2")
import fleet  # noqa: F401  imports the project's stand-in of the store

for path in sorted(Path("review").glob("[0-9]*/case.py")):
    ast.parse(path.read_text(), str(path))
PY
echo "stand-ins are ready"
