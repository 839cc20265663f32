"""Measures gossip between gateways on a simulated clock: spread of suspicions, traffic and false suspicions.

    .venv-dev/bin/python -m benchmarks.sharing spread [--seeds 1-3] [--json FILE]
    .venv-dev/bin/python -m benchmarks.sharing quiet
    .venv-dev/bin/python -m benchmarks.sharing state

`spread`: a host begins to fail six requests in ten, in fleets of 8, 40 and 200 gateways with a datagram loss of 0, 5
and 30%. Prints the time until half, 99% and all of the gateways suspect the host, the bytes sent until then, and, for
comparison, the time until a gateway has five outcomes of its own.
`quiet`: hosts fail only by chance (one request in 500). Prints datagrams and bytes per second, the share of time in
which a host is suspected of failing, and the number of gateways suspected of being down.
`state`: memory of each gateway with 200 gateways and 200 hosts that all fail.

Exit code: 0, or 2 if an option is invalid.
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

HOST_COUNT = 20
REQUESTS_PER_S = 20.0
ZONE_COUNT = 3
START_US = 1_000_000_000_000
DATAGRAM_DELAY_US = (200, 2_000)


@dataclass
class Fleet:
    """Gossip nodes of all gateways under one simulated time; the clocks of the gateways differ by up to an hour."""

    gateway_count: int
    seed: int
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0  # share of the datagrams that are delayed by up to a minute
    requests_per_s: float = REQUESTS_PER_S
    host_count: int = HOST_COUNT
    zone_count: int = ZONE_COUNT
    now_us: int = START_US
    in_flight: list[tuple[int, int, int, bytes]] = field(default_factory=list)  # arrival, number, recipient, payload
    datagram_count: int = 0
    blocked_links: set[tuple[int, int]] = field(default_factory=set)  # (sender, recipient)
    dead_gateways: set[int] = field(default_factory=set)
    paused_gateways: set[int] = field(default_factory=set)
    assessments: dict[tuple[int, HostProcess], tuple[int, Assessment]] = field(default_factory=dict)
    sent_datagrams: int = 0
    sent_bytes: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(f"sharing/{self.seed}")
        self.clock_offsets_us = [self.rng.randrange(3_600_000_000) for _ in range(self.gateway_count)]
        self.nodes = [self.create_node(gateway) for gateway in range(self.gateway_count)]
        self.failure_rates: dict[int, float] = {}
        self.failure_counts: dict[tuple[int, int], int] = {}

    def create_node(self, gateway: int) -> GossipNode:
        """Creates and starts the node of a gateway."""

        def on_assessment(host: HostProcess, assessment: Assessment) -> None:
            self.assessments[gateway, host] = (self.now_us, assessment)

        clock_us = self.clock_us(gateway)
        incarnation = 1 + clock_us // 125_000 & 0xFFFFFFFF
        identity = NodeIdentity(GatewayProcess(gateway, incarnation), self.gateway_count, gateway % self.zone_count)
        node = GossipNode(identity, self.rng.random, on_assessment)
        node.start(clock_us)
        return node

    def clock_us(self, gateway: int) -> int:
        """Time on the gateway's own clock."""
        return self.now_us + self.clock_offsets_us[gateway]

    def restart(self, gateway: int) -> None:
        """Replaces a gateway by one of the same number with empty state and another clock."""
        self.clock_offsets_us[gateway] = self.rng.randrange(3_600_000_000)
        for key in [key for key in self.assessments if key[0] == gateway]:
            del self.assessments[key]
        self.nodes[gateway] = self.create_node(gateway)

    def send_outbox(self, gateway: int) -> None:
        """Puts a gateway's outgoing datagrams on the network: some are lost, duplicated or delayed."""
        for datagram in self.nodes[gateway].drain_outbox():
            recipient, payload = datagram.recipient, datagram.payload
            self.sent_datagrams, self.sent_bytes = self.sent_datagrams + 1, self.sent_bytes + len(payload)
            for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
                if (gateway, recipient) in self.blocked_links or self.rng.random() < self.loss_rate:
                    continue
                delay_us = self.rng.randint(*DATAGRAM_DELAY_US)
                if self.rng.random() < self.late_rate:
                    delay_us += self.rng.randrange(60_000_000)
                self.datagram_count += 1
                heapq.heappush(self.in_flight, (self.now_us + delay_us, self.datagram_count, recipient, payload))

    def deliver(self, recipient: int, payload: bytes) -> None:
        """Delivers a datagram; a dead gateway ignores it."""
        if recipient in self.dead_gateways:
            return
        message = decode(payload)
        assert message is not None
        self.nodes[recipient].receive(self.clock_us(recipient), message)
        self.nodes[recipient].tick(self.clock_us(recipient))
        self.send_outbox(recipient)

    def record_outcome(self, gateway: int, host: int, is_success: bool) -> None:
        """Records the outcome of one request of a gateway."""
        node = self.nodes[gateway]
        node.request_count += 1
        node.record_outcome(self.clock_us(gateway), HostProcess(host, 1), is_success)
        node.tick(self.clock_us(gateway))
        self.send_outbox(gateway)

    def run(self, until_us: int, step_us: int = 5_000, has_load: bool = True) -> None:
        """Advances the time in steps: delivers datagrams, sends requests to random hosts, calls due timers."""
        while self.now_us < until_us:
            self.now_us += step_us
            undelivered = []
            while self.in_flight and self.in_flight[0][0] <= self.now_us:
                arrived = heapq.heappop(self.in_flight)
                if arrived[2] in self.paused_gateways:
                    undelivered.append(arrived)  # it stays in the socket buffer of the paused gateway
                else:
                    self.deliver(arrived[2], arrived[3])
            for arrived in undelivered:
                heapq.heappush(self.in_flight, arrived)
            for gateway, node in enumerate(self.nodes):
                if gateway in self.dead_gateways or gateway in self.paused_gateways:
                    continue
                if has_load and self.rng.random() < self.requests_per_s * step_us / 1e6:
                    host = self.rng.randrange(self.host_count)
                    if self.is_suspecting(gateway, host) and self.rng.random() >= SUSPECT_WEIGHT_FACTOR:
                        continue  # the balancer chooses another host; that request is not simulated
                    self.record_outcome(gateway, host, self.rng.random() >= self.failure_rates.get(host, 0.0))
                if node.next_timer_us() <= self.clock_us(gateway):
                    node.tick(self.clock_us(gateway))
                    self.send_outbox(gateway)

    def is_suspecting(self, gateway: int, host: int) -> bool:
        """Whether the gateway suspects the host as an outlier now."""
        _, assessment = self.assessments.get((gateway, HostProcess(host, 1)), (0, None))
        return (
            assessment is not None
            and assessment.is_suspected_outlier
            and assessment.expires_us > self.clock_us(gateway)
        )

    def count_suspecting(self, host: int) -> int:
        """Number of gateways that suspect the host."""
        return sum(self.is_suspecting(gateway, host) for gateway in range(self.gateway_count))


@dataclass
class SpreadRow:
    """Result of one `spread` run. The field names are the keys of the JSON file."""

    gateways: int
    loss: float
    half_ms: float
    most_ms: float  # until 99% of the gateways suspect the host
    all_ms: float
    own_ms: float  # until half of the gateways have five outcomes of their own, computed from the request rate
    bytes_s: float  # bytes per second and gateway during the run
    points: float  # messages of 256 bytes sent per request; the settings state a price for each (Prices.peer)


def measure_spread(gateway_count: int, loss: float, seed: int) -> SpreadRow:
    """Lets host 0 fail and measures when the gateways suspect it and how much they send."""
    fleet = Fleet(gateway_count, seed, loss)
    fleet.run(START_US + 1_500_000)
    fleet.failure_rates[0] = 0.6
    started_us, sent_before, sent_bytes = fleet.now_us, fleet.sent_datagrams, fleet.sent_bytes
    times: dict[str, float] = {}
    thresholds = {"half": gateway_count / 2, "most": 0.99 * gateway_count, "all": gateway_count}
    while len(times) < 3 and fleet.now_us < started_us + 5_000_000:
        fleet.run(fleet.now_us + 5_000)
        suspecting = fleet.count_suspecting(0)
        for name, threshold in thresholds.items():
            if suspecting >= threshold and name not in times:
                times[name] = (fleet.now_us - started_us) / 1000
    fleet.run(max(fleet.now_us, started_us + 3_000_000))
    seconds = (fleet.now_us - started_us) / 1e6
    bytes_per_s = (fleet.sent_bytes - sent_bytes) / gateway_count / seconds
    assert fleet.sent_datagrams > sent_before
    own_ms = 5 / (REQUESTS_PER_S / HOST_COUNT) * 1000
    half_ms, most_ms, all_ms = (times.get(name, float("inf")) for name in ("half", "most", "all"))
    return SpreadRow(
        gateway_count, loss, half_ms, most_ms, all_ms, own_ms, bytes_per_s, bytes_per_s / 256 / REQUESTS_PER_S
    )


def measure_quiet(gateway_count: int, seed: int, seconds: int = 60) -> str:
    """Measures traffic and false suspicions while hosts fail only by chance."""
    fleet = Fleet(gateway_count, seed)
    fleet.failure_rates = dict.fromkeys(range(HOST_COUNT), 0.002)
    fleet.run(START_US + 2_000_000)
    sent_before, sent_bytes = fleet.sent_datagrams, fleet.sent_bytes
    suspected_count = 0
    for _ in range(seconds * 10):
        fleet.run(fleet.now_us + 100_000)
        suspected_count += sum(fleet.count_suspecting(host) for host in range(HOST_COUNT))
    suspicion_count = sum(node.failure_detector.suspicion_count for node in fleet.nodes)
    per_gateway = (
        (fleet.sent_datagrams - sent_before) / seconds / gateway_count,
        (fleet.sent_bytes - sent_bytes) / seconds / gateway_count,
    )
    return (
        f"{gateway_count} gateways: {per_gateway[0]:.1f} datagrams, {per_gateway[1]:.0f} bytes per second each, "
        f"{per_gateway[1] / 256 / REQUESTS_PER_S:.3f} points; "
        f"hosts suspected {suspected_count / (seconds * 10 * gateway_count * HOST_COUNT):.5%} of the time; "
        f"{suspicion_count} gateways suspected in {seconds} s"
    )


def measure_state() -> str:
    """Measures the memory of each of 200 gateways while all of 200 hosts fail."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fleet = Fleet(200, 1, host_count=200, requests_per_s=5.0)
    created = tracemalloc.get_traced_memory()[0]
    fleet.failure_rates = dict.fromkeys(range(200), 0.4)
    fleet.run(START_US + OBSERVATION_LIFETIME_US + 1_000_000, step_us=20_000)
    fleet.in_flight.clear()
    after = tracemalloc.get_traced_memory()[0]
    start_kib, end_kib = (created - before) / 200 / 1024, (after - before) / 200 / 1024
    return f"{start_kib:.0f} KiB per gateway at the start, {end_kib:.0f} KiB at the end"


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
        for gateway_count in (8, 40, 200):
            print(measure_quiet(gateway_count, seeds[0], 60 if gateway_count < 200 else 15))
        return 0
    if options.what == "state":
        print(measure_state())
        return 0
    rows = []
    for gateway_count in (8, 40, 200):
        for loss in (0.0, 0.05, 0.3):
            results = [measure_spread(gateway_count, loss, seed) for seed in seeds]
            rows += results
            names = ("half_ms", "most_ms", "all_ms")
            medians = [statistics.median(getattr(result, name) for result in results) for name in names]
            print(f"{gateway_count:>4} gateways, {loss:.0%} lost: half {medians[0]:.0f} ms, 99% {medians[1]:.0f}, "
                  f"all {medians[2]:.0f}; five own outcomes {results[0].own_ms:.0f}; "
                  f"{results[0].bytes_s:.0f} bytes per second, {results[0].points:.3f} points")  # fmt: skip
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
