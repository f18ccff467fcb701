#!/bin/sh
# Builds the stand-ins of the cases: Python files that need nothing but the environment of the deploy file.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
exec "$here/../.venv/bin/python" -m compileall -q "$here/lib"
