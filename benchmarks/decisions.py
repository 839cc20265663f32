"""What an event costs the balancer as the fleet grows: microseconds of CPU, on the build that runs.

    [CLOVERKEEL_PLAIN=1] python -m benchmarks.decisions [--rounds 5] [--json FILE]

Exit code 1: the cost of a request grows with the fleet by more than `MAX_RATIO_BY_FLEET` up to 512 servers at the
same number out, by more than the number out from 1 to 200 (it may grow with the subset, which grows with what is
out, and not with the fleet), or that of a list by more than `MAX_RATIO_BY_FLEET` for each server.
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

FLEETS = (12, 64, 512)
OUTS = (1, 20, 200)
EVENTS = 1_000  # pairs of an arrival and an end, for each figure
MAX_RATIO_BY_FLEET = 1.5


def make(servers: int, proxies: int = 420) -> Balancer:
    classes = (RequestClass(300_000, 750_000, 1.0, effect=Effect.SAFE), RequestClass(600_000, 3_000_000, 3.0))
    balancer = Balancer(Settings(classes=classes, proxies=proxies, servers_know_keys=True), seed=7)
    balancer.handle(0, ServerList(ListKind.FULL, tuple(ListedServer(n * 7919, zone=n % 2) for n in range(servers))))
    return balancer


def arrive(balancer: Balancer, now_us: int, number: int) -> tuple[str, int] | None:
    event = RequestArrived(f"r{number}", 0, 750_000, number * 0x9E3779B97F4A7C15 % 2**64, 41_000)
    sent = [action for action in balancer.handle(now_us, event) if isinstance(action, Send)]
    return (sent[0].request, sent[0].server) if sent else None


def request_us(servers: int, out: int) -> float:
    """An arrival and the end of its attempt, with so many others out."""
    balancer, now_us, waiting = make(servers), 1_000_000, []
    for number in range(out):
        sent = arrive(balancer, now_us, number)
        if sent is not None:
            waiting.append(sent)
    spent, number = 0, out
    for _ in range(EVENTS):
        now_us += 100
        number += 1
        began = time.perf_counter_ns()
        sent = arrive(balancer, now_us, number)
        if sent is not None:
            waiting.append(sent)
            request, server = waiting.pop(0)
            balancer.handle(now_us, AttemptEnded(request, 0, server, Outcome.OK, 40_000, True))
        spent += time.perf_counter_ns() - began
    return spent / EVENTS / 1000


def list_us(servers: int) -> float:
    """A whole list of so many replaced by one in which every server has started anew."""
    balancer = make(servers)
    began = time.perf_counter_ns()
    for start in range(10):
        entries = tuple(ListedServer(n * 7919, zone=n % 2, started_us=1_000 + start) for n in range(servers))
        balancer.handle(2_000_000 + start, ServerList(ListKind.FULL, entries))
    return (time.perf_counter_ns() - began) / 10 / 1000


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    print(f"decisions are {cloverkeel.balancing.BUILD}")
    figures: dict[str, float] = {}
    for servers in FLEETS:
        for out in OUTS:
            made = statistics.median(request_us(servers, out) for _ in range(options.rounds))
            figures[f"request, {servers} servers, {out} out"] = made
        figures[f"list of {servers}"] = statistics.median(list_us(servers) for _ in range(options.rounds))
    for name, figure in figures.items():
        print(f"{name:32} {figure:10.1f} µs")
    bad = []
    for out in OUTS:
        least, most = (figures[f"request, {servers} servers, {out} out"] for servers in (FLEETS[0], FLEETS[-1]))
        # Where more is out than the small fleet has servers, its subset is the whole of it: compared from 64 on.
        if out >= FLEETS[0]:
            least = figures[f"request, {FLEETS[1]} servers, {out} out"]
        if out < FLEETS[1] and most > MAX_RATIO_BY_FLEET * least:
            bad.append(f"{out} out: {least:.1f} µs grows to {most:.1f} with the fleet")
    few, many_listed = figures[f"list of {FLEETS[1]}"] / FLEETS[1], figures[f"list of {FLEETS[-1]}"] / FLEETS[-1]
    if many_listed > MAX_RATIO_BY_FLEET * few:
        bad.append(f"a list: {few:.1f} µs a server grows to {many_listed:.1f} with the fleet")
    for servers in FLEETS:
        one, many = (figures[f"request, {servers} servers, {out} out"] for out in (OUTS[0], OUTS[-1]))
        if many > OUTS[-1] * one:
            bad.append(f"{servers} servers: {one:.1f} µs grows to {many:.1f} with what is out")
    for line in bad:
        print(line, file=sys.stderr)
    if options.json is not None:
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 1 if bad else 0


if __name__ == "__main__":
    raise SystemExit(main())
