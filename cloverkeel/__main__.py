"""Entry point of `python -m cloverkeel`; cloverkeel/cli/command_line.py selects the command."""

from __future__ import annotations

import sys

from cloverkeel.cli.command_line import main

if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
