#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
set -eu
cd "$(dirname "$0")/../.."
exec .venv/bin/python review/3/case.py
