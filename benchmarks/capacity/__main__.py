"""Capacity: how costs grow, and at which share of the plan's size each limit is exceeded.

    python -m benchmarks.capacity slopes [--quick] [--json FILE] [--only PART,...]   measure costs at several sizes
    python -m benchmarks.capacity page [--check]     write the tables of docs/CAPACITY.md from docs/capacity/*.json
    python -m benchmarks.capacity run ...            the scale run; see `run --help`

Exit code: 0; 1 if a part failed or the page differs (--check); 2 if an option or a file cannot be used.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path


def main(arguments: Sequence[str]) -> int:
    """Run the command that the arguments name, and return its exit code."""
    if arguments[:1] == ["run"]:
        # Imported only here, because slopes and page need none of its imports.
        from importlib import import_module

        return int(import_module("benchmarks.capacity.run").main(arguments[1:]))
    parser = argparse.ArgumentParser(
        "benchmarks.capacity", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="command", required=True)
    slopes = commands.add_parser("slopes", help="measure each cost at four sizes or more, and fit a curve")
    slopes.add_argument("--quick", action="store_true", help="small sizes only, in about a minute; not for the page")
    slopes.add_argument("--json", type=Path, metavar="FILE")
    slopes.add_argument("--only", default="", metavar="PART,...")
    slopes.add_argument(
        "--any-build",
        action="store_true",
        help="measure even if the build is not the compiled one; the rows name the build",
    )
    page = commands.add_parser("page", help="write the tables of docs/CAPACITY.md")
    page.add_argument("--check", action="store_true", help="write nothing; exit with 1 if the page differs")
    commands.add_parser("run", help="the scale run")
    options = parser.parse_args(arguments)
    if options.command == "slopes":
        from benchmarks.capacity.rows import PARTS
        from benchmarks.capacity.slopes import main as measure_slopes

        only = [name for name in options.only.split(",") if name]
        unknown = [name for name in only if name not in {part.name for part in PARTS}]
        if unknown:
            known = ", ".join(part.name for part in PARTS)
            print(f"capacity: --only: expected some of {known}, found {', '.join(unknown)}", file=sys.stderr)
            return 2
        return measure_slopes(options.quick, options.json, only, options.any_build)
    from benchmarks.capacity.page import main as write_page

    return write_page(options.check)


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
