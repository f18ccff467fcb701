#!/usr/bin/env bash
# The test of this case; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPATH=../harness-2
exec ../../.venv/bin/python case.py
