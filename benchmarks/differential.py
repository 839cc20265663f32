"""Plays the same events through the compiled and the plain decision modules and reports any difference in results.

    python -m benchmarks.differential [--seeds 0-199] [--events 2000] [--workers 4] [--against CHECKOUT]

Each build runs in processes of its own. With --against, the events are played through this checkout and another one
(a folder or a commit), each in the build that it has, or in the plain one with CLOVERKEEL_PLAIN=1; this checks a
change that must leave every decision as it is.

Exit code: 0 no stream differs, 1 a stream differs (the first difference is printed), 2 no comparison is possible.
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
from benchmarks.streams import EventStream, digest

ROOT = Path(__file__).parent.parent
PROCESS_TIMEOUT_S = 900.0  # of one process; a build that hangs is an error


def parse_seeds(text: str) -> range:
    """Parse "FIRST-LAST" or a single seed."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@dataclass(frozen=True)
class Build:
    """A build of the decision modules to play events through."""

    name: str
    plain: bool


BUILDS = (Build("plain", True), Build("compiled", False))


def print_results(seeds: Sequence[int], events: int, whole: bool) -> None:
    """Print, in a child process, one line of JSON per stream, or one per event if `whole` is set."""
    print(json.dumps(cloverkeel.balancing.BUILD))
    for seed in seeds:
        if whole:
            for event, result in EventStream(seed, events).describe_results():
                print(json.dumps([repr(event), result]))
        else:
            print(json.dumps([seed, digest(EventStream(seed, events))]))


def start_process(seeds: Sequence[int], events: int, build: Build, whole: bool = False) -> subprocess.Popen[str]:
    """Start a process that plays a range of seeds through a build."""
    command = [sys.executable, "-m", "benchmarks.differential", "--events", str(events), "--child"]
    command += ["--seeds", f"{seeds[0]}-{seeds[-1]}"] + ["--whole"] * whole
    environment = os.environ | {PLAIN_VARIABLE: "1" if build.plain else "0"}
    return subprocess.Popen(command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True)


def read_results(process: subprocess.Popen[str]) -> tuple[str, list[list[str]]]:
    """Wait for a process; return the name of the build that it loaded, and its lines."""
    lines = [json.loads(line) for line in process.communicate(timeout=PROCESS_TIMEOUT_S)[0].splitlines()]
    if process.returncode or not lines:
        raise RuntimeError(f"a process exited with code {process.returncode}")
    return lines[0], lines[1:]


def find_first_difference(seed: int, events: int, builds: tuple[Build, Build] = BUILDS) -> str:
    """Return a description of the first event of a stream whose results differ."""
    pair = [read_results(start_process([seed], events, build, whole=True))[1] for build in builds]
    for index, (first_entry, second_entry) in enumerate(zip(*pair, strict=False)):
        if first_entry != second_entry:
            first_label, second_label = (f"\n  {build.name + ':':9} " for build in builds)
            return (
                f"seed {seed}, event {index}: {first_entry[0]}"
                f"{first_label}{first_entry[1]}{second_label}{second_entry[1]}"
            )
    return f"seed {seed}: {len(pair[0])} events in one build, {len(pair[1])} in the other"


def compare_builds(seeds: range, events: int, workers: int, builds: tuple[Build, Build] = BUILDS) -> list[int]:
    """Return the seeds whose streams differ; raise RuntimeError if a process has not loaded the expected build."""
    chunk_size = max(1, -(-len(seeds) // workers))
    chunks = [seeds[first : first + chunk_size] for first in range(0, len(seeds), chunk_size)]
    running = [[start_process(chunk, events, build) for build in builds] for chunk in chunks]
    differing_seeds: list[int] = []
    for pair in running:
        (first_build_name, first_lines), (second_build_name, second_lines) = [
            read_results(process) for process in pair
        ]
        for build, actual in zip(builds, (first_build_name, second_build_name), strict=True):
            if not actual.startswith("plain") if build.plain else actual != "compiled":
                raise RuntimeError(
                    f"expected a plain build and a compiled one, "
                    f"found {first_build_name!r} and {second_build_name!r}"
                )
        differing_seeds += [int(a[0]) for a, b in zip(first_lines, second_lines, strict=True) if a != b]
    return differing_seeds


def compare_with_checkout(place: str, seeds: range, events: int, workers: int) -> list[int]:
    """Return the seeds whose streams differ from another checkout's; print both builds and the first difference."""
    with open_checkout(place) as checkout:
        comparison = compare_checkouts(seeds, events, workers, checkout)
    print(f"here {comparison.build_here}, there {comparison.build_there}")
    for difference in comparison.differences[:1]:
        print(difference)
    return [difference.seed for difference in comparison.differences]


def main() -> int:
    """Compare the streams and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=range(200))
    parser.add_argument("--events", type=int, default=2_000)
    parser.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument(
        "--against", metavar="CHECKOUT", help="compare with the decision modules of this folder or commit"
    )
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--whole", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument(
        "--kinds", action="store_true", help="count the kinds of results of the first stream's events"
    )
    options = parser.parse_args()
    if options.child:
        print_results(options.seeds, options.events, options.whole)
        return 0
    if options.kinds:
        stream = EventStream(options.seeds[0], options.events)
        print(Counter(result.split("(")[0].strip("[") for _, result in stream.describe_results()).most_common())
        return 0
    started_s = time.monotonic()
    try:
        if options.against:
            differing_seeds = compare_with_checkout(options.against, options.seeds, options.events, options.workers)
        else:
            differing_seeds = compare_builds(options.seeds, options.events, options.workers)
            for seed in differing_seeds[:1]:
                print(find_first_difference(seed, options.events))
    except (RuntimeError, CheckoutError) as error:
        print(f"differential: {error}", file=sys.stderr)
        return 2
    print(
        f"{len(differing_seeds)} of {len(options.seeds)} streams of {options.events} events differ "
        f"({time.monotonic() - started_s:.0f} s)"
    )
    return 1 if differing_seeds else 0


if __name__ == "__main__":
    raise SystemExit(main())
