#!/bin/sh
# All that `run` and `sim` need, inside this folder: the libraries, and the decisions compiled where that can be done.
# A marker file, written last, tells a finished environment from one that was cut off half-way.
set -eu
cd "$(dirname "$0")/.."

environment() { # folder, requirements
    # Chained: where this is a condition, `set -e` does not act in it, and a failure must not be marked as finished.
    cmp -s "$2" "$1/built" ||
        { rm -rf "$1" && python3 -m venv "$1" && "$1/bin/pip" -q install -r "$2" && cp "$2" "$1/built"; }
}

environment .venv requirements.txt
# mypy is needed to compile, never to run: it has an environment of its own, and nothing fails for want of it.
if ! .venv/bin/python -m cloverkeel.compiled.build --check; then
    if ! { environment .venv-compile deploy/compile.txt && .venv-compile/bin/python -m cloverkeel.compiled.build; }; then
        echo "cloverkeel: the plain sources run"
    fi
fi
# At the start there is nowhere to keep what would be compiled then.
.venv/bin/python -m compileall -q cloverkeel
