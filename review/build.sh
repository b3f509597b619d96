#!/usr/bin/env bash
# Prepares what the scripts of review/*/run.sh start. Run it after the build of the
# deploy file. All stand-ins are Python modules: nothing is compiled, and this only
# checks that they can be imported with the packages in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=src:target/deps:review/lib PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import sys

import fleet  # noqa: F401
import heathermount.soak.proxy  # noqa: F401
import heathermount.standins.platform_store  # noqa: F401

assert sys.version_info[:2] == (3, 11), "Python 3.11 is needed"
print("the stand-ins of the review can be imported")
PYTHON
