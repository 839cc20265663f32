"""Hundreds of gateways' sessions at one coordination service: every box goes at once; the service goes and returns.

    .venv-dev/bin/python -m benchmarks.keeper_size [--sessions 400] [--boxes 64] [--workers 8]

The sessions, watches and reads are those that the gateway makes (discovery/zookeeper_source.py), from worker
processes; the service is a process of this tool. Printed for each event: until when the first, half, 99% and the last
of the sessions had the list, requests a second at the service (mean, most), and its memory and CPU.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from cloverkeel.discovery.zookeeper_source import BackendListener, ZookeeperWatcher
from cloverkeel.discovery.zookeeper_session import ZookeeperSessionOptions
from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.node_codec import encode_backend

from standins.parties.zookeeper.ensemble import Ensemble, KeeperConnection, Session
from standins.parties.zookeeper.jute import Create, EventType, Mode, Op

FOLDER = "/cloverkeel/boxes"
PATIENCE_S = 120.0
SAMPLE_S = 0.05
PAGE = os.sysconf("SC_PAGE_SIZE")


# A worker: so many sessions, a line for each list


class Follower:
    """One gateway's membership: says how many boxes it has, each time that this changes."""

    def __init__(self, number: int, hosts: str, session_ms: int, spread_s: float) -> None:
        self.number, self.boxes = number, set[str]()
        self.nodes = ZookeeperWatcher(
            ZookeeperSessionOptions(hosts, FOLDER, session_ms, spread_s),
            BackendListener(self.on_list, lambda state: None, on_deleted=self.on_gone),
        )

    def on_list(self, members: list[Backend]) -> None:
        self.boxes = {member.name for member in members}
        self.say()

    def on_gone(self, name: str) -> None:
        self.boxes.discard(name)
        self.say()

    def say(self) -> None:
        session = (self.nodes.client.client_id or (0,))[0]
        print(json.dumps([self.number, time.monotonic(), len(self.boxes), session]), flush=True)


async def work(hosts: str, count: int, first: int, session_ms: int, spread_s: float) -> None:
    gateways = [Follower(number, hosts, session_ms, spread_s) for number in range(first, first + count)]
    for gateway in gateways:
        gateway.nodes.start()
    await asyncio.to_thread(sys.stdin.read)  # until the tool ends


# The tool


@dataclass
class Stage:
    """The service, and what the workers say."""

    keeper: Ensemble
    boxes: int
    sessions: int
    lists: dict[int, tuple[float, int]] = field(default_factory=dict)  # by session: its last list, and when it came
    samples: list[tuple[float, int, int]] = field(default_factory=list)  # when, requests, connects
    registered: list[Session] = field(default_factory=list)
    told: dict[int, float] = field(default_factory=dict)  # by session: when the last word of a deletion was written
    names: dict[int, int] = field(default_factory=dict)  # session: number
    rest: dict[int, bytes] = field(default_factory=dict)  # by worker's pipe: a line that is not yet whole

    def register(self) -> None:
        for number in range(self.boxes):
            session = self.keeper.open_session(40_000, 0)
            data = encode_backend(Backend(f"s-{number}", ("127.0.0.1", 9_000 + number), zone="kita-room", since_ms=1))
            request = Create(f"{FOLDER}/s-{number}", data, flags=Mode.EPHEMERAL)
            self.keeper.commit(self.keeper.tree.prepare(request, session.id))
            session.last_heard_s = float("inf")  # nobody speaks for it; it ends when it is told to
            self.registered.append(session)

    def expire(self) -> None:
        for session in self.registered:
            self.keeper.expire(session.id)
        self.registered = []

    def on_told(
        self, connection: KeeperConnection, what: Op | EventType, path: str, found: list[str] | bytes | None
    ) -> None:
        if what is EventType.DELETED and connection.session is not None:
            self.told[connection.session.id] = time.monotonic()

    def reaction(self) -> str:
        """From the last word of a deletion to the list without it, over all sessions."""
        found = sorted(
            self.lists[self.names[session]][0] - at for session, at in self.told.items() if session in self.names
        )
        if not found:
            return "no word"
        at = {share: found[min(len(found) - 1, int(share * len(found)))] for share in (0.5, 0.99)}
        return f"from the last word: half {at[0.5]:.3f}, 99% {at[0.99]:.3f}, last {found[-1]:.3f} s"

    async def sample(self) -> None:
        while True:
            counts = self.keeper.counts
            self.samples.append((time.monotonic(), counts.requests, counts.connections_opened))
            await asyncio.sleep(SAMPLE_S)

    def read(self, pipe: int) -> None:
        data = os.read(pipe, 1 << 20)
        if not data:
            asyncio.get_running_loop().remove_reader(pipe)
        *lines, self.rest[pipe] = (self.rest.get(pipe, b"") + data).split(b"\n")
        for line in lines:
            number, at_s, boxes, session = json.loads(line)
            if self.lists.get(number, (0.0, -1))[1] != boxes:
                self.lists[number] = (at_s, boxes)
                self.names[session] = number

    async def until_all(self, what: str, boxes: int, since_s: float, may_be_late: bool = False) -> None:
        """Wait until every session has a list of so many boxes, and tell how long that took."""
        end = time.monotonic() + PATIENCE_S
        while sum(n == boxes for _, n in self.lists.values()) < self.sessions:
            if time.monotonic() > end:
                have = sum(n == boxes for _, n in self.lists.values())
                raise RuntimeError(f"{what}: {have} of {self.sessions} had the list after {PATIENCE_S:g} s")
            await asyncio.sleep(0.01)
        self.tell(what, sorted(at - since_s for at, _ in self.lists.values()), since_s)

    def tell(self, what: str, took: list[float], since_s: float) -> None:
        last = max(took)
        window = [s for s in self.samples if since_s - SAMPLE_S <= s[0] <= since_s + last + 2 * SAMPLE_S]
        requests = window[-1][1] - window[0][1] if window else 0
        steps = int(1 / SAMPLE_S)
        most = max(
            (b[1] - a[1] for a, b in zip(self.samples, self.samples[steps:], strict=False) if b[0] >= since_s),
            default=requests,
        )
        connects = max(
            (b[2] - a[2] for a, b in zip(self.samples, self.samples[steps:], strict=False) if b[0] >= since_s),
            default=0,
        )
        at = {share: took[min(len(took) - 1, int(share * len(took)))] for share in (0.0, 0.5, 0.99)}
        resident = int(Path("/proc/self/statm").read_text().split()[1]) * PAGE / 2**20
        print(
            f"{what:44} first {at[0.0]:6.3f}  half {at[0.5]:6.3f}  99% {at[0.99]:6.3f}  last {last:6.3f} s; "
            f"{requests} requests, {most} in a second at most, {connects} connects; "
            f"service {resident:.0f} MiB, {time.process_time():.1f} s of CPU so far",
            flush=True,
        )


async def run(options: argparse.Namespace) -> None:
    keeper = Ensemble(3, 1, timeouts_ms=(200, 60_000))
    await keeper.start()
    for path in (FOLDER.rpartition("/")[0], FOLDER):
        keeper.commit(keeper.tree.prepare(Create(path), 0))
    stage = Stage(keeper, options.boxes, options.sessions)
    keeper.on_delivery = stage.on_told
    stage.register()
    sampler = asyncio.create_task(stage.sample())
    workers = []
    loop = asyncio.get_running_loop()
    begun = time.monotonic()
    for number in range(options.workers):
        first = options.sessions * number // options.workers
        count = options.sessions * (number + 1) // options.workers - first
        words = [keeper.hosts, str(count), str(first), str(options.session_ms), str(options.spread_ms / 1000)]
        worker = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.keeper_size", "--worker", *words], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )  # fmt: skip
        assert worker.stdout is not None
        loop.add_reader(worker.stdout.fileno(), stage.read, worker.stdout.fileno())
        workers.append(worker)
    try:
        for turn in range(options.rounds):
            said = "all start" if turn == 0 else "the boxes are registered again"
            await stage.until_all(said, options.boxes, begun)
            await asyncio.sleep(2.0)
            begun = time.monotonic()
            stage.told = {}
            stage.expire()
            await stage.until_all("every box's session ends at once", 0, begun)
            print(f"{'':44} {stage.reaction()}", flush=True)
            await asyncio.sleep(2.0)
            begun = time.monotonic()
            stage.register()
        await stage.until_all("the boxes are registered again", options.boxes, begun)
        await asyncio.sleep(2.0)
        # The service is lost; while it is away every box goes, so that its return brings a new list to all.
        keeper.stop()
        await asyncio.sleep(options.away_s)
        for session in stage.registered:
            keeper.end_session(session)
        stage.registered = []
        begun = time.monotonic()
        await keeper.restart()
        await stage.until_all(f"the service returns after {options.away_s:g} s", 0, begun)
        sent = [session.notification_count for session in keeper.sessions.values()]
        print(f"notifications to a session: {statistics.median(sent):.0f} (median), {max(sent)} at most")
    finally:
        sampler.cancel()
        for worker in workers:
            assert worker.stdout is not None
            loop.remove_reader(worker.stdout.fileno())
            worker.kill()
            worker.wait()
        keeper.close()


def main() -> int:
    if sys.argv[1:2] == ["--worker"]:
        hosts, count, first, session_ms, spread_s = sys.argv[2:]
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(work(hosts, int(count), int(first), int(session_ms), float(spread_s)))
        return 0
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sessions", type=int, default=400)
    parser.add_argument("--boxes", type=int, default=64)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--session-ms", type=int, default=10_000)
    parser.add_argument("--spread-ms", type=int, default=1_000)
    parser.add_argument("--away-s", type=float, default=3.0)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(options))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
