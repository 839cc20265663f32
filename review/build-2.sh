#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway: their stand-ins are Python files that are compiled here once.
# The gateway itself is built by the command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
../.venv/bin/python -m py_compile parties.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
