#!/bin/sh
# Creates inside this folder what `run` and `sim` need: the libraries, and the compiled modules if compilation succeeds.
# A marker file, written last, shows that the installation of an environment was not interrupted.
set -eu
cd "$(dirname "$0")/.."

install_environment() { # arguments: folder, requirements file
    # The commands are chained: in a function that is called as a condition, `set -e` has no effect, and a failed
    # installation must not be marked as finished.
    cmp -s "$2" "$1/built" ||
        { rm -rf "$1" && python3 -m venv "$1" && "$1/bin/pip" -q install -r "$2" && cp "$2" "$1/built"; }
}

install_environment .venv requirements.txt
# Only compilation needs mypy, so it has its own environment; without mypy the gateway runs from source.
if ! .venv/bin/python -m cloverkeel.compiled.build --check; then
    if ! { install_environment .venv-compile deploy/compile.txt && .venv-compile/bin/python -m cloverkeel.compiled.build; }; then
        echo "cloverkeel: the plain sources run"
    fi
fi
# Compile to bytecode now: bytecode compiled when the gateway starts cannot be stored.
.venv/bin/python -m compileall -q cloverkeel
