"""`python -m cloverkeel relay FILE`: start, signals, exit of a relay."""

from __future__ import annotations

import sys
from collections.abc import Sequence


def main(arguments: Sequence[str]) -> int:
    """Exit code; 2 for a mistake in the call or the file."""
    print("cloverkeel relay: not built yet", file=sys.stderr)
    return 2
