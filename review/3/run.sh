#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python "$here/play.py"
