#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes
# record.txt in this folder. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=src:target/deps:review/lib PYTHONDONTWRITEBYTECODE=1
exec python3 review/1/case.py
