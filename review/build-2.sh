#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python and need nothing but what the deploy file builds.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/standins-2
