"""Measures the balancer's time per event, in microseconds, for fleets of different sizes, on the loaded build.

    [CLOVERKEEL_PLAIN=1] python -m benchmarks.decisions [--rounds 5] [--json FILE]

Exit code 1 if one of these costs grows too much:
- of a request, with the fleet, up to 512 servers and at the same number of outstanding requests: more than
  `MAX_RATIO_BY_FLEET`;
- of a request, from 1 to 200 outstanding requests: more than 200-fold. It may grow with the subset, whose size
  follows the number of outstanding requests and not the fleet;
- of a list, per server, with the fleet: more than `MAX_RATIO_BY_FLEET`.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from pathlib import Path

import cloverkeel.balancing
from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import Send
from cloverkeel.balancing.events import AttemptEnded, ListKind, ListedServer, Outcome, RequestArrived, ServerList
from cloverkeel.balancing.settings import Effect, RequestClass, Settings

SERVER_COUNTS = (12, 64, 512)
OUTSTANDING_COUNTS = (1, 20, 200)
EVENT_PAIRS = 1_000  # pairs of an arrival and the end of an attempt per measured figure
MAX_RATIO_BY_FLEET = 1.5  # largest fleet to a smaller one


def create_balancer(servers: int, proxies: int = 420) -> Balancer:
    """Return a balancer with a full list of servers in two zones."""
    classes = (RequestClass(300_000, 750_000, 1.0, effect=Effect.SAFE), RequestClass(600_000, 3_000_000, 3.0))
    balancer = Balancer(Settings(classes=classes, proxies=proxies, servers_know_keys=True), seed=7)
    balancer.handle(0, ServerList(ListKind.FULL, tuple(ListedServer(n * 7919, zone=n % 2) for n in range(servers))))
    return balancer


def add_request(balancer: Balancer, now_us: int, number: int) -> tuple[str, int] | None:
    """Let a request arrive; return the request and the server of its attempt, None if none was sent."""
    event = RequestArrived(f"r{number}", 0, 750_000, number * 0x9E3779B97F4A7C15 % 2**64, 41_000)
    sent = [action for action in balancer.handle(now_us, event) if isinstance(action, Send)]
    return (sent[0].request, sent[0].server) if sent else None


def measure_request_us(servers: int, outstanding_count: int) -> float:
    """Return the mean time of an arrival and the end of an attempt, with other requests outstanding."""
    balancer, now_us, outstanding = create_balancer(servers), 1_000_000, []
    for number in range(outstanding_count):
        sent = add_request(balancer, now_us, number)
        if sent is not None:
            outstanding.append(sent)
    spent_ns, number = 0, outstanding_count
    for _ in range(EVENT_PAIRS):
        now_us += 100
        number += 1
        started_ns = time.perf_counter_ns()
        sent = add_request(balancer, now_us, number)
        if sent is not None:
            outstanding.append(sent)
            request, server = outstanding.pop(0)
            balancer.handle(now_us, AttemptEnded(request, 0, server, Outcome.OK, 40_000, True))
        spent_ns += time.perf_counter_ns() - started_ns
    return spent_ns / EVENT_PAIRS / 1000


def measure_list_us(servers: int) -> float:
    """Return the mean time of replacing a full list by one in which every server has restarted."""
    balancer = create_balancer(servers)
    started_ns = time.perf_counter_ns()
    for round_index in range(10):
        entries = tuple(ListedServer(n * 7919, zone=n % 2, started_us=1_000 + round_index) for n in range(servers))
        balancer.handle(2_000_000 + round_index, ServerList(ListKind.FULL, entries))
    return (time.perf_counter_ns() - started_ns) / 10 / 1000


def main() -> int:
    """Measure and print all figures; return 1 if a cost grows too fast."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    print(f"build of the decision modules: {cloverkeel.balancing.BUILD}")
    figures: dict[str, float] = {}
    for servers in SERVER_COUNTS:
        for outstanding_count in OUTSTANDING_COUNTS:
            figure_us = statistics.median(
                measure_request_us(servers, outstanding_count) for _ in range(options.rounds)
            )
            figures[f"request, {servers} servers, {outstanding_count} out"] = figure_us
        figures[f"list of {servers}"] = statistics.median(measure_list_us(servers) for _ in range(options.rounds))
    for name, figure in figures.items():
        print(f"{name:32} {figure:10.1f} µs")
    problems = []
    for outstanding_count in OUTSTANDING_COUNTS:
        small_fleet_us, large_fleet_us = (
            figures[f"request, {servers} servers, {outstanding_count} out"]
            for servers in (SERVER_COUNTS[0], SERVER_COUNTS[-1])
        )
        # With more outstanding requests than the smallest fleet has servers, its subset is the whole fleet; so the
        # next larger fleet is the base of the comparison.
        if outstanding_count >= SERVER_COUNTS[0]:
            small_fleet_us = figures[f"request, {SERVER_COUNTS[1]} servers, {outstanding_count} out"]
        if outstanding_count < SERVER_COUNTS[1] and large_fleet_us > MAX_RATIO_BY_FLEET * small_fleet_us:
            problems.append(
                f"{outstanding_count} outstanding requests: "
                f"{small_fleet_us:.1f} µs grows to {large_fleet_us:.1f} µs with the fleet"
            )
    small_list_us, large_list_us = (
        figures[f"list of {SERVER_COUNTS[1]}"] / SERVER_COUNTS[1],
        figures[f"list of {SERVER_COUNTS[-1]}"] / SERVER_COUNTS[-1],
    )
    if large_list_us > MAX_RATIO_BY_FLEET * small_list_us:
        problems.append(f"list: {small_list_us:.1f} µs per server grows to {large_list_us:.1f} µs with the fleet")
    for servers in SERVER_COUNTS:
        lightly_loaded_us, heavily_loaded_us = (
            figures[f"request, {servers} servers, {outstanding_count} out"]
            for outstanding_count in (OUTSTANDING_COUNTS[0], OUTSTANDING_COUNTS[-1])
        )
        if heavily_loaded_us > OUTSTANDING_COUNTS[-1] * lightly_loaded_us:
            problems.append(
                f"{servers} servers: {lightly_loaded_us:.1f} µs grows to {heavily_loaded_us:.1f} µs "
                "with the outstanding requests"
            )
    for line in problems:
        print(line, file=sys.stderr)
    if options.json is not None:
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 1 if problems else 0


if __name__ == "__main__":
    raise SystemExit(main())
