#!/bin/sh
# Lint, types and tests, in a virtual environment made from the pinned requirements.
set -eu
cd "$(dirname "$0")"
python=.venv-dev/bin/python
if ! cat requirements*.txt | cmp -s - .venv-dev/built; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    $python -m pip -q install -r requirements-dev.txt
    cat requirements*.txt >.venv-dev/built
fi
$python -m ruff check .
$python -m mypy
.venv-dev/bin/lint-imports
$python -m caperdrift.compiling || true  # it says why, and the plain sources are tested all the same
CLOVERKEEL_PLAIN=1 $python -m pytest --build plain
$python -m benchmarks.guards --tests  # each guard out: the tests that are for it must fail
if $python -m caperdrift.compiling --check; then
    # What has the decisions in it, once more on the compiled build: boxes and services of our own have none.
    $python -m pytest --build compiled --ignore-glob='tests/test_standin_*' --ignore-glob='tests/test_zookeeper_*' \
        --ignore=tests/test_auditor.py
fi
