#!/bin/sh
# Runs lint, type check and tests in a virtual environment with the pinned requirements. Tests run in parallel, one for
# each core; those marked `processes` run apart, on half of the cores, and those marked `alone` at the end, one after
# another: their processes stall if they share the cores with many others, and exceed the tests' time limits.
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
# Tests that do not use the balancer, such as those of the emulator, are not repeated on the compiled build.
without_balancer="--ignore-glob=tests/test_standin_* --ignore-glob=tests/test_zookeeper_* --ignore=tests/checker/test_event_checker.py --ignore=tests/checker/test_event_log.py"
half_of_cores=$((($(nproc) + 1) / 2))
# Failures of the tests that KNOWN-RED.txt lists are passed over; these tests are run and printed all the same.
known_red="--known-red -rxX"

# Runs all tests but those marked `alone`: run_tests BUILD [OPTION...]
run_tests() {
    $python -m pytest $known_red --build "$@" -n auto --dist worksteal -m "not (alone or processes)"
    $python -m pytest $known_red --build "$@" -n "$half_of_cores" --dist worksteal -m processes
}

(export CLOVERKEEL_PLAIN=1 && run_tests plain)
$python -m benchmarks.guards --tests  # applies each mutant: the tests of its row must fail
if $python -m cloverkeel.compiled.build --check; then
    run_tests compiled $without_balancer
fi
CLOVERKEEL_PLAIN=1 $python -m pytest $known_red --build plain -m alone
