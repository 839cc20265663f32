"""The same events through the compiled decisions and the plain ones, in separate processes: any difference is told.

    python -m benchmarks.differential [--seeds 0-199] [--events 2000] [--workers 4] [--against CHECKOUT]

With --against, through this checkout's and another's (a folder or a commit), each in the build that it has, or the
plain ones with CLOVERKEEL_PLAIN=1: for a change that is to change no decision.
Exit code: 0 no stream differs, 1 one does (the first difference is printed), 2 there is nothing to compare with.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import cloverkeel.balancing
from cloverkeel.compiled.loader import PLAIN_VARIABLE

from benchmarks.checkout_differential import CheckoutError, compare_checkouts, open_checkout
from benchmarks.streams import Stream, digest

ROOT = Path(__file__).parent.parent
LONGEST_S = 900.0  # for one process: a build that hangs is told


def parse_seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@dataclass(frozen=True)
class Side:
    """Decisions to play through: their name in messages, and which build of them."""

    name: str
    plain: bool


BUILDS = (Side("plain", True), Side("compiled", False))


def play(seeds: Sequence[int], events: int, whole: bool) -> None:
    """In a process of its own: one line for each stream, or for each event of it."""
    print(json.dumps(cloverkeel.balancing.BUILD))
    for seed in seeds:
        if whole:
            for event, came in Stream(seed, events).play():
                print(json.dumps([repr(event), came]))
        else:
            print(json.dumps([seed, digest(Stream(seed, events))]))


def start(seeds: Sequence[int], events: int, side: Side, whole: bool = False) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "benchmarks.differential", "--events", str(events), "--child"]
    command += ["--seeds", f"{seeds[0]}-{seeds[-1]}"] + ["--whole"] * whole
    environment = os.environ | {PLAIN_VARIABLE: "1" if side.plain else "0"}
    return subprocess.Popen(command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True)


def read(process: subprocess.Popen[str]) -> tuple[str, list[list[str]]]:
    lines = [json.loads(line) for line in process.communicate(timeout=LONGEST_S)[0].splitlines()]
    if process.returncode or not lines:
        raise RuntimeError(f"a process ended with {process.returncode}")
    return lines[0], lines[1:]


def first_difference(seed: int, events: int, sides: tuple[Side, Side] = BUILDS) -> str:
    pair = [read(start([seed], events, side, whole=True))[1] for side in sides]
    for number, (one, other) in enumerate(zip(*pair, strict=False)):
        if one != other:
            first, second = (f"\n  {side.name + ':':9} " for side in sides)
            return f"seed {seed}, event {number}: {one[0]}{first}{one[1]}{second}{other[1]}"
    return f"seed {seed}: {len(pair[0])} events against {len(pair[1])}"


def compare(seeds: range, events: int, workers: int, sides: tuple[Side, Side] = BUILDS) -> list[int]:
    """The seeds whose streams differ; RuntimeError where a side is not the build that it should be."""
    size = max(1, -(-len(seeds) // workers))
    parts = [seeds[at : at + size] for at in range(0, len(seeds), size)]
    running = [[start(part, events, side) for side in sides] for part in parts]
    differ: list[int] = []
    for pair in running:
        (build, one), (other_build, other) = [read(process) for process in pair]
        for side, found in zip(sides, (build, other_build), strict=True):
            if not found.startswith("plain") if side.plain else found != "compiled":
                raise RuntimeError(f"expected a plain build and a compiled one, found {build!r} and {other_build!r}")
        differ += [int(a[0]) for a, b in zip(one, other, strict=True) if a != b]
    return differ


def compare_with_checkout(place: str, seeds: range, events: int, workers: int) -> list[int]:
    """The seeds whose streams differ from another checkout's; prints both builds and the first difference."""
    with open_checkout(place) as checkout:
        comparison = compare_checkouts(seeds, events, workers, checkout)
    print(f"here {comparison.build_here}, there {comparison.build_there}")
    for difference in comparison.differences[:1]:
        print(difference)
    return [difference.seed for difference in comparison.differences]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=range(200))
    parser.add_argument("--events", type=int, default=2_000)
    parser.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--against", metavar="CHECKOUT", help="compare with the decisions of this folder or commit")
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--whole", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--kinds", action="store_true", help="count what came of the events of the first stream")
    options = parser.parse_args()
    if options.child:
        play(options.seeds, options.events, options.whole)
        return 0
    if options.kinds:
        stream = Stream(options.seeds[0], options.events)
        print(Counter(came.split("(")[0].strip("[") for _, came in stream.play()).most_common())
        return 0
    began = time.monotonic()
    try:
        if options.against:
            differ = compare_with_checkout(options.against, options.seeds, options.events, options.workers)
        else:
            differ = compare(options.seeds, options.events, options.workers)
            for seed in differ[:1]:
                print(first_difference(seed, options.events))
    except (RuntimeError, CheckoutError) as error:
        print(f"differential: {error}", file=sys.stderr)
        return 2
    print(
        f"{len(differ)} of {len(options.seeds)} streams of {options.events} events differ "
        f"({time.monotonic() - began:.0f} s)"
    )
    return 1 if differ else 0


if __name__ == "__main__":
    raise SystemExit(main())
