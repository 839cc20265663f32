#!/bin/sh
# Lint, types and tests, in a virtual environment made from the pinned requirements. Tests run side by side, as many as
# there are cores for this process; those that want the machine to themselves run at the end, one after another.
set -eu
cd "$(dirname "$0")"
if [ -e .git ]; then git config core.hooksPath .githooks; fi  # commit titles under 90 characters, with a body
python=.venv-dev/bin/python
if ! cat requirements*.txt | cmp -s - .venv-dev/built; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    $python -m pip -q install -r requirements-dev.txt
    cat requirements*.txt >.venv-dev/built
fi
$python -m cloverkeel.compiled.build &  # it says why not, and the plain sources are tested all the same
compiling=$!
$python -m ruff format --check .
$python -m ruff check .
$python -m mypy
.venv-dev/bin/lint-imports
wait $compiling || true
beside="-n auto --dist worksteal -m not(alone)"
# What has the decisions in it, once more on the compiled build: boxes and services of our own have none.
no_decisions="--ignore-glob=tests/test_standin_* --ignore-glob=tests/test_zookeeper_* --ignore=tests/checker/test_event_checker.py --ignore=tests/checker/test_event_log.py"
CLOVERKEEL_PLAIN=1 $python -m pytest --build plain $beside
$python -m benchmarks.guards --tests  # each guard out: the tests that are for it must fail
if $python -m cloverkeel.compiled.build --check; then
    $python -m pytest --build compiled $beside $no_decisions
fi
CLOVERKEEL_PLAIN=1 $python -m pytest --build plain -m alone
