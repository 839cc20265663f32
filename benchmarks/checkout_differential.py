"""Plays seeded streams of events through the decision modules of this checkout and of another one.

A stream reacts to the actions of this checkout's module and is recorded. The other checkout's module replays the
recording in a process of its own (benchmarks/replay.py), and the results of each event are compared.
"""

from __future__ import annotations

import io
import json
import multiprocessing
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.replay import DecisionModule, encode, encode_result
from benchmarks.streams import EventStream

ROOT = Path(__file__).parent.parent
REPLAY_SCRIPT = Path(__file__).with_name("replay.py")
REPLAY_TIMEOUT_S = 900.0  # of one process; a checkout that hangs is an error


class CheckoutError(Exception):
    """The other checkout cannot replay streams; the message says why."""


@dataclass(frozen=True)
class Difference:
    """The first event of a stream for which the results of the two checkouts differ; `here` is this checkout's."""

    seed: int
    event_number: int
    event: str
    here: str
    there: str

    def __str__(self) -> str:
        return (
            f"seed {self.seed}, event {self.event_number}: {self.event}\n  here:  {self.here}\n  there: {self.there}"
        )


@dataclass(frozen=True)
class Comparison:
    """The differences found when some streams were played through both checkouts."""

    build_here: str
    build_there: str
    differences: tuple[Difference, ...]


@dataclass(frozen=True)
class Recording:
    """A stream as JSON, and the result of each event in this checkout's module."""

    stream: dict[str, Any]
    results: list[Any]


def record_stream(seed: int, event_count: int) -> Recording:
    """Play a stream through this checkout's module and record it."""
    stream = EventStream(seed, event_count)
    events, results = [], []
    for at_us, event, result in stream.handle_events():
        events.append([at_us, encode(event)])
        results.append(encode_result(result))
    return Recording({"seed": seed, "settings": encode(stream.settings), "events": events}, results)


def replay_in_checkout(checkout: Path, recordings: Sequence[Recording]) -> tuple[str, list[list[Any]]]:
    """Replay recordings in another checkout's module; return its build and the results of each recording."""
    command = [sys.executable, "-P", "-B", str(REPLAY_SCRIPT)]
    environment = os.environ | {"PYTHONPATH": str(checkout)}
    lines = "".join(json.dumps(recording.stream) + "\n" for recording in recordings)
    try:
        finished = subprocess.run(
            command,
            cwd=checkout,
            env=environment,
            input=lines,
            capture_output=True,
            text=True,
            timeout=REPLAY_TIMEOUT_S,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise CheckoutError(f"{checkout}: {error}") from None
    if finished.returncode:
        raise CheckoutError(f"{checkout}: exit code {finished.returncode}: {finished.stderr.strip()[-500:]}")
    build, *results = (json.loads(line) for line in finished.stdout.splitlines())
    return build, results


def find_first_difference(recording: Recording, there: Sequence[Any]) -> Difference | None:
    """Return the first event whose results differ; `there` are the results of the other checkout."""
    seed, events = recording.stream["seed"], recording.stream["events"]
    for index, (_, event) in enumerate(events):
        result_here, result_there = json.dumps(recording.results[index]), json.dumps(there[index])
        if result_here != result_there:
            return Difference(seed, index, json.dumps(event), result_here, result_there)
    return None


def compare_streams(seeds: Sequence[int], event_count: int, checkout: Path) -> Comparison:
    """Play these streams through both checkouts; raise CheckoutError if the other one cannot replay them."""
    recordings = [record_stream(seed, event_count) for seed in seeds]
    build_there, results = replay_in_checkout(checkout, recordings)
    if len(results) != len(recordings):
        raise CheckoutError(f"{checkout}: {len(results)} of {len(recordings)} streams were replayed")
    differences_or_none = (find_first_difference(*pair) for pair in zip(recordings, results, strict=True))
    differences = tuple(difference for difference in differences_or_none if difference is not None)
    return Comparison(DecisionModule().build, build_there, differences)


def compare_checkouts(seeds: range, event_count: int, worker_count: int, checkout: Path) -> Comparison:
    """Compare streams as `compare_streams` does, in several processes."""
    chunk_size = max(1, -(-len(seeds) // worker_count))
    chunks = [seeds[start : start + chunk_size] for start in range(0, len(seeds), chunk_size)]
    with ProcessPoolExecutor(worker_count, multiprocessing.get_context("spawn")) as pool:
        futures = [pool.submit(compare_streams, chunk, event_count, checkout) for chunk in chunks]
        comparisons = [future.result() for future in futures]
    differences = tuple(difference for comparison in comparisons for difference in comparison.differences)
    return Comparison(comparisons[0].build_here, comparisons[0].build_there, differences)


@contextmanager
def open_checkout(place: str) -> Iterator[Path]:
    """Yield the folder of another checkout, or a temporary one with an unpacked commit of this repository."""
    if Path(place).is_dir():
        yield Path(place).resolve()
        return
    with tempfile.TemporaryDirectory() as folder:
        command = ["git", "archive", "--format=tar", place]
        archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
        if archive.returncode:
            reason = archive.stderr.decode().strip()
            raise CheckoutError(f"--against: expected a checkout's folder or a commit, found {place!r}: {reason}")
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
            files.extractall(folder, filter="data")
        yield Path(folder)
