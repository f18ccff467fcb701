#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the proxy: their stand-ins are Python files that need only the
# environment of the deploy file's `build`, so they are compiled as a check.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 1; }
for folder in harness-2 6 7 8 9 10; do
  ../.venv/bin/python -m compileall -q "$folder"
done
