#!/bin/sh
# Runs lint, type check and tests in a virtual environment with the pinned requirements. Tests run in parallel, one for
# each core of this process; those marked `alone` run at the end, one after another.
set -eu
cd "$(dirname "$0")"
if [ -e .git ]; then git config core.hooksPath .githooks; fi  # requires commit titles under 90 characters, and a body
python=.venv-dev/bin/python
if ! cat requirements*.txt | cmp -s - .venv-dev/built; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    $python -m pip -q install -r requirements-dev.txt
    cat requirements*.txt >.venv-dev/built
fi
$python -m cloverkeel.compiled.build &  # on failure it prints the reason, and only the plain sources are tested
compiling=$!
$python -m ruff format --check .
$python -m ruff check .
$python -m mypy
.venv-dev/bin/lint-imports
wait $compiling || true
parallel="-n auto --dist worksteal -m not(alone)"
# Tests that do not use the balancer, such as those of the emulator, are not repeated on the compiled build.
without_balancer="--ignore-glob=tests/test_standin_* --ignore-glob=tests/test_zookeeper_* --ignore=tests/checker/test_event_checker.py --ignore=tests/checker/test_event_log.py"
CLOVERKEEL_PLAIN=1 $python -m pytest --build plain $parallel
$python -m benchmarks.guards --tests  # applies each mutant: the tests of its row must fail
if $python -m cloverkeel.compiled.build --check; then
    $python -m pytest --build compiled $parallel $without_balancer
fi
CLOVERKEEL_PLAIN=1 $python -m pytest --build plain -m alone
