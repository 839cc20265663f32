"""What grows, how it grows, and at which share of the plan's size each limit breaks.

    python -m benchmarks.capacity slopes [--quick] [--json FILE] [--only PART,...]   each cost at four sizes or more
    python -m benchmarks.capacity page [--check]     docs/CAPACITY.md: its tables, from docs/capacity/*.json
    python -m benchmarks.capacity run ...            the scale run; `run --help` tells more

Exit code: 0; 1 a part failed, or the page differs (--check); 2 an option or a file cannot be used.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path


def main(arguments: Sequence[str]) -> int:
    if arguments[:1] == ["run"]:
        # Imported here alone: slopes and page need none of what it starts.
        from importlib import import_module

        return int(import_module("benchmarks.capacity.run").main(arguments[1:]))
    parser = argparse.ArgumentParser(
        "benchmarks.capacity", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parts = parser.add_subparsers(dest="what", required=True)
    slopes = parts.add_parser("slopes", help="each cost at four sizes or more, and how it grows")
    slopes.add_argument("--quick", action="store_true", help="small sizes: a minute; no figures for the page")
    slopes.add_argument("--json", type=Path, metavar="FILE")
    slopes.add_argument("--only", default="", metavar="PART,...")
    slopes.add_argument("--any-build", action="store_true", help="measure the plain sources too; the rows say so")
    page = parts.add_parser("page", help="write the tables of docs/CAPACITY.md")
    page.add_argument("--check", action="store_true", help="write nothing; 1 where the page differs")
    parts.add_parser("run", help="the scale run")
    options = parser.parse_args(arguments)
    if options.what == "slopes":
        from benchmarks.capacity.rows import PARTS
        from benchmarks.capacity.slopes import main as measure

        only = [name for name in options.only.split(",") if name]
        unknown = [name for name in only if name not in {part.name for part in PARTS}]
        if unknown:
            known = ", ".join(part.name for part in PARTS)
            print(f"capacity: --only: expected some of {known}, found {', '.join(unknown)}", file=sys.stderr)
            return 2
        return measure(options.quick, options.json, only, options.any_build)
    from benchmarks.capacity.page import main as write

    return write(options.check)


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
