#!/bin/sh
# Prepares the stand-ins of the cases: plain Python on the standard library, run by the environment that the deploy
# file's build has made. Nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
