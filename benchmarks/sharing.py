"""What gateways tell one another, measured: spread, cost and false alarms of the pure parts on a simulated clock.

    .venv-dev/bin/python -m benchmarks.sharing spread [--seeds 1-3] [--json FILE]
    .venv-dev/bin/python -m benchmarks.sharing quiet
    .venv-dev/bin/python -m benchmarks.sharing state

`spread`: a host begins to fail (six in ten requests) before 8, 40 and 200 gateways, with 0, 5 and 30% of the
datagrams lost: until half, 99% and all doubt it, and what is said meanwhile; beside it, until each gateway had five
outcomes of its own. `quiet`: nothing but chance failures (one request in 500): datagrams and bytes a second, doubts,
suspicions.
`state`: bytes that a gateway keeps at 200 gateways and 200 hosts that all fail.

Exit code 0.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import statistics
import sys
import tracemalloc
from dataclasses import asdict, dataclass, field
from pathlib import Path

from benchmarks.guards.__main__ import parse_seeds
from cloverkeel.balancing.server_selection import SUSPECT_WEIGHT_FACTOR
from cloverkeel.gossip.outcome_window import OBSERVATION_LIFETIME_US
from cloverkeel.gossip.outlier_reports import Assessment
from cloverkeel.gossip.node import GossipNode, NodeIdentity
from cloverkeel.gossip.messages import GatewayProcess, HostProcess, decode

HOSTS = 20
RATE = 20.0  # requests a second at one gateway
ZONES = 3
BEGIN_US = 1_000_000_000_000
WAY_US = (200, 2_000)  # of a datagram


@dataclass
class Fleet:
    """Gateways' pure parts on one clock; each has a clock of its own, hours apart."""

    count: int
    seed: int
    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # share of the datagrams that come up to a minute late
    rate: float = RATE
    hosts: int = HOSTS
    zones: int = ZONES
    at_us: int = BEGIN_US
    queue: list[tuple[int, int, int, bytes]] = field(default_factory=list)  # when, order, to, what
    order: int = 0
    cut: set[tuple[int, int]] = field(default_factory=set)  # from, to
    dead: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)
    heard: dict[tuple[int, HostProcess], tuple[int, Assessment]] = field(default_factory=dict)  # by gateway and host
    sent: int = 0
    sent_bytes: int = 0

    def __post_init__(self) -> None:
        self.dice = random.Random(f"sharing/{self.seed}")
        self.offsets = [self.dice.randrange(3_600_000_000) for _ in range(self.count)]
        self.nodes = [self.made(number) for number in range(self.count)]
        self.failing: dict[int, float] = {}  # by host: share
        self.seen_bad: dict[tuple[int, int], int] = {}

    def made(self, number: int) -> GossipNode:
        def on_assessment(host: HostProcess, assessment: Assessment) -> None:
            self.heard[number, host] = (self.at_us, assessment)

        clock_us = self.clock(number)
        incarnation = 1 + clock_us // 125_000 & 0xFFFFFFFF
        identity = NodeIdentity(GatewayProcess(number, incarnation), self.count, number % self.zones)
        one = GossipNode(identity, self.dice.random, on_assessment)
        one.start(clock_us)
        return one

    def clock(self, number: int) -> int:
        return self.at_us + self.offsets[number]

    def restart(self, number: int) -> None:
        """Empty, under the same name, with another clock."""
        self.offsets[number] = self.dice.randrange(3_600_000_000)
        for key in [key for key in self.heard if key[0] == number]:
            del self.heard[key]
        self.nodes[number] = self.made(number)

    def post(self, number: int) -> None:
        for datagram in self.nodes[number].drain_outbox():
            to, data = datagram.recipient, datagram.payload
            self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)
            for _ in range(1 + (self.dice.random() < self.doubled)):
                if (number, to) in self.cut or self.dice.random() < self.loss:
                    continue
                way_us = self.dice.randint(*WAY_US)
                if self.dice.random() < self.late:
                    way_us += self.dice.randrange(60_000_000)
                self.order += 1
                heapq.heappush(self.queue, (self.at_us + way_us, self.order, to, data))

    def deliver(self, to: int, data: bytes) -> None:
        if to in self.dead:
            return
        said = decode(data)
        assert said is not None
        self.nodes[to].receive(self.clock(to), said)
        self.nodes[to].tick(self.clock(to))
        self.post(to)

    def outcome(self, number: int, host: int, good: bool) -> None:
        one = self.nodes[number]
        one.request_count += 1
        one.record_outcome(self.clock(number), HostProcess(host, 1), good)
        one.tick(self.clock(number))
        self.post(number)

    def run(self, until_us: int, step_us: int = 5_000, load: bool = True) -> None:
        """Requests at random, datagrams as they come, timers in steps."""
        while self.at_us < until_us:
            self.at_us += step_us
            waiting = []
            while self.queue and self.queue[0][0] <= self.at_us:
                came = heapq.heappop(self.queue)
                if came[2] in self.stopped:
                    waiting.append(came)  # its socket keeps them
                else:
                    self.deliver(came[2], came[3])
            for came in waiting:
                heapq.heappush(self.queue, came)
            for number, one in enumerate(self.nodes):
                if number in self.dead or number in self.stopped:
                    continue
                if load and self.dice.random() < self.rate * step_us / 1e6:
                    host = self.dice.randrange(self.hosts)
                    if self.doubts(number, host) and self.dice.random() >= SUSPECT_WEIGHT_FACTOR:
                        continue  # it goes elsewhere
                    self.outcome(number, host, self.dice.random() >= self.failing.get(host, 0.0))
                if one.next_timer_us() <= self.clock(number):
                    one.tick(self.clock(number))
                    self.post(number)

    def doubts(self, number: int, host: int) -> bool:
        """Whether that gateway doubts it now."""
        _, known = self.heard.get((number, HostProcess(host, 1)), (0, None))
        return known is not None and known.is_suspected_outlier and known.expires_us > self.clock(number)

    def doubting(self, host: int) -> int:
        return sum(self.doubts(number, host) for number in range(self.count))


@dataclass
class Spread:
    gateways: int
    loss: float
    half_ms: float
    most_ms: float  # 99%
    all_ms: float
    own_ms: float  # until half of the gateways had five outcomes of their own, by the rate alone
    bytes_s: float  # a gateway, meanwhile
    points: float  # of the platform's price, meanwhile: full messages a request


def spread(count: int, loss: float, seed: int) -> Spread:
    fleet = Fleet(count, seed, loss)
    fleet.run(BEGIN_US + 1_500_000)
    fleet.failing[0] = 0.6
    began_us, sent, size = fleet.at_us, fleet.sent, fleet.sent_bytes
    times: dict[str, float] = {}
    marks = {"half": count / 2, "most": 0.99 * count, "all": count}
    while len(times) < 3 and fleet.at_us < began_us + 5_000_000:
        fleet.run(fleet.at_us + 5_000)
        found = fleet.doubting(0)
        for name, enough in marks.items():
            if found >= enough and name not in times:
                times[name] = (fleet.at_us - began_us) / 1000
    fleet.run(max(fleet.at_us, began_us + 3_000_000))
    seconds = (fleet.at_us - began_us) / 1e6
    a_gateway = (fleet.sent_bytes - size) / count / seconds
    assert fleet.sent > sent
    own_ms = 5 / (RATE / HOSTS) * 1000
    half_ms, most_ms, all_ms = (times.get(name, float("inf")) for name in ("half", "most", "all"))
    return Spread(count, loss, half_ms, most_ms, all_ms, own_ms, a_gateway, a_gateway / 256 / RATE)


def quiet(count: int, seed: int, seconds: int = 60) -> str:
    fleet = Fleet(count, seed)
    fleet.failing = dict.fromkeys(range(HOSTS), 0.002)
    fleet.run(BEGIN_US + 2_000_000)
    sent, size = fleet.sent, fleet.sent_bytes
    doubts = 0
    for _ in range(seconds * 10):
        fleet.run(fleet.at_us + 100_000)
        doubts += sum(fleet.doubting(host) for host in range(HOSTS))
    suspicions = sum(one.failure_detector.suspicion_count for one in fleet.nodes)
    a_second = (fleet.sent - sent) / seconds / count, (fleet.sent_bytes - size) / seconds / count
    return (
        f"{count} gateways: {a_second[0]:.1f} datagrams, {a_second[1]:.0f} bytes a second each, "
        f"{a_second[1] / 256 / RATE:.3f} points; in doubt {doubts / (seconds * 10 * count * HOSTS):.5%} of the time; "
        f"{suspicions} suspicions in {seconds} s"
    )


def state() -> str:
    """All of 200 hosts fail for all of 200 gateways: what one of them keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fleet = Fleet(200, 1, hosts=200, rate=5.0)
    begun = tracemalloc.get_traced_memory()[0]
    fleet.failing = dict.fromkeys(range(200), 0.4)
    fleet.run(BEGIN_US + OBSERVATION_LIFETIME_US + 1_000_000, step_us=20_000)
    fleet.queue.clear()
    after = tracemalloc.get_traced_memory()[0]
    first, then = (begun - before) / 200 / 1024, (after - before) / 200 / 1024
    return f"{first:.0f} KiB a gateway at the start, {then:.0f} KiB then"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("spread", "quiet", "state"))
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    try:
        seeds = parse_seeds(options.seeds)
    except ValueError as error:
        print(f"sharing: {error}", file=sys.stderr)
        return 2
    if options.what == "quiet":
        for count in (8, 40, 200):
            print(quiet(count, seeds[0], 60 if count < 200 else 15))
        return 0
    if options.what == "state":
        print(state())
        return 0
    rows = []
    for count in (8, 40, 200):
        for loss in (0.0, 0.05, 0.3):
            found = [spread(count, loss, seed) for seed in seeds]
            rows += found
            names = ("half_ms", "most_ms", "all_ms")
            middle = [statistics.median(getattr(one, name) for one in found) for name in names]
            print(f"{count:>4} gateways, {loss:.0%} lost: half {middle[0]:.0f} ms, 99% {middle[1]:.0f}, all "
                  f"{middle[2]:.0f}; alone {found[0].own_ms:.0f}; {found[0].bytes_s:.0f} bytes a second, "
                  f"{found[0].points:.3f} points")  # fmt: skip
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
