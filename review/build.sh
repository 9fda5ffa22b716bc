#!/bin/sh
# Builds the stand-ins of the cases: Python's standard library alone, so that only their text is checked.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
