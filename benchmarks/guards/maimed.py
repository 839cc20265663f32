"""The real program with guards taken out: `python -m benchmarks.guards.maimed NAME[+NAME...] [words of the program]`.

The mutants named are applied, and then the program starts as it always does; nothing in the product knows of them.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import benchmarks.guards.mutants  # noqa: F401: registers them
from benchmarks.guards.patching import GUARDS


def take_out(names: Sequence[str]) -> None:
    """Take these guards out of this process; ValueError where one is not known."""
    unknown = [name for name in names if name not in GUARDS]
    if unknown or not names:
        raise ValueError(f"expected names of {', '.join(sorted(GUARDS))}, found {unknown}")
    os.environ["CLOVERKEEL_PLAIN"] = "1"  # compiled code takes no replacement
    for name in names:
        GUARDS[name]()


def main(arguments: Sequence[str]) -> int:
    try:
        take_out(arguments[0].split("+") if arguments else [])
    except ValueError as error:
        print(f"maimed: {error}", file=sys.stderr)
        return 2
    from cloverkeel.cli.command_line import main as program

    return program(arguments[1:])


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
