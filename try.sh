#!/bin/sh
# Runs a scenario of faults around real gateways for a minute, in a separate virtual environment, on loopback only.
set -eu
cd "$(dirname "$0")"
python=.venv-try/bin/python
if ! cat requirements.txt requirements-try.txt | cmp -s - .venv-try/built; then
    echo "setting up .venv-try ..."
    rm -rf .venv-try
    python3 -m venv .venv-try
    $python -m pip -q install -r requirements-try.txt
    cat requirements.txt requirements-try.txt >.venv-try/built
fi
exec $python -m cloverkeel try "$@"
