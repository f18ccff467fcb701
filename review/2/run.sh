#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
python="$here/../../.venv/bin/python"
test -x "$python" || exit 2
exec "$python" "$here/case.py"
