"""Write the data files of golden bytes with the current code: python -m tests.golden.write [--replace] [KIND ...].

Without --replace, existing files are not changed and the exit code is 1. Processes of an older version may be unable
to read changed bytes: replace a file only together with the page that documents its format.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from tests.golden.samples import SAMPLES_BY_KIND
from tests.golden.store import FileExistsAlreadyError, save


def main(arguments: Sequence[str]) -> int:
    """Run the command and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m tests.golden.write", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kinds", nargs="*", metavar="KIND", help="kinds to write; default: all")
    parser.add_argument("--replace", action="store_true", help="overwrite existing data files")
    options = parser.parse_args(arguments)
    unknown = [kind for kind in options.kinds if kind not in SAMPLES_BY_KIND]
    if unknown:
        parser.error(f"unknown kind {unknown[0]}; expected one of {', '.join(SAMPLES_BY_KIND)}")
    failures = 0
    for kind in options.kinds or SAMPLES_BY_KIND:
        messages = {name: sample.write() for name, sample in SAMPLES_BY_KIND[kind].items()}
        try:
            save(kind, messages, options.replace)
        except FileExistsAlreadyError as error:
            print(error, file=sys.stderr)
            failures += 1
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
