#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONPATH=.. exec ../../.venv/bin/python -B case.py
