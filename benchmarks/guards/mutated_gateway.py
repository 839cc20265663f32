"""The gateway with mutants applied: `python -m benchmarks.guards.mutated_gateway NAME[+NAME...] [gateway arguments]`.

The named mutants are applied and then the gateway's command line runs. The product has no code for this.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import benchmarks.guards.mutants  # noqa: F401: registers them
from benchmarks.guards.patching import PATCH_BY_MUTANT


def apply_mutants(names: Sequence[str]) -> None:
    """Apply these mutants to this process; raise ValueError if there is none or one is unknown."""
    unknown = [name for name in names if name not in PATCH_BY_MUTANT]
    if unknown or not names:
        raise ValueError(f"expected names of {', '.join(sorted(PATCH_BY_MUTANT))}, found {unknown}")
    os.environ["CLOVERKEEL_PLAIN"] = "1"  # compiled code cannot be patched
    for name in names:
        PATCH_BY_MUTANT[name]()


def main(arguments: Sequence[str]) -> int:
    """Apply the mutants of the first argument and run the gateway with the others; return the exit code."""
    try:
        apply_mutants(arguments[0].split("+") if arguments else [])
    except ValueError as error:
        print(f"mutated_gateway: {error}", file=sys.stderr)
        return 2
    from cloverkeel.cli.command_line import main as run_gateway

    return run_gateway(arguments[1:])


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
