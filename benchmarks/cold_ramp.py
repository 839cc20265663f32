"""How much a fleet sends to hosts that start cold: the pure module of every gateway, on a scripted clock.

    python -m benchmarks.cold_ramp [--gateways 1,4,20,30,200] [--hosts 6] [--cold 2] [--seeds 1-4] [--json FILE]

Every row is a fleet under one pattern of traffic, of more than its warm hosts work off: `even`, `uneven` (some
gateways have ten times the requests of others), `surge` (next to nothing, then all at once, in the middle of the
warming), `restarts` (a third of the gateways begin anew in the middle and know nothing), `late lists` (each gateway
hears of the cold hosts at a moment of its own within 3 s), `turned away` (cold hosts turn away one request in three,
which is tried again).

In each window of the time that the settings name a cold host may be sent N calls of mean work, N being what they
allow it at the window's end if it has one core; `beyond` is the most that was sent in any window, less N, over the
root of N, and `excess` the same less 2 roots and 2 calls, which are put down to chance. `used`: work sent over what
the settings allow, while cold. Exit code 1: a window was beyond chance.
"""

from __future__ import annotations

import argparse
import heapq
import json
import math
import random
import statistics
import sys
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import Action, Send
from cloverkeel.balancing.events import (
    AttemptEnded,
    ListKind,
    ListedServer,
    NEVER_RAN,
    Outcome,
    RequestArrived,
    ServerList,
)
from cloverkeel.balancing.settings import Effect, RequestClass, Settings

WORK_US = 60_000  # of a request, in the mean
WARM_US, FALL_US, MULTIPLE, FIRST_SHARE = 9_000_000, 1_000_000, 3.0, 0.3
BEGIN_US, TAUGHT_US = 100_000_000, 8_000_000  # when the cold hosts are there; warm ones are used for so long before
PER_HOST = 40.0  # requests a second for each host: a warm one has two cores, 33 requests a second
PATTERNS = ("even", "uneven", "surge", "restarts", "late lists", "turned away")
SETTINGS = Settings(
    classes=(RequestClass(objective_us=600_000, client_timeout_us=1_500_000, effect=Effect.SAFE),), max_attempts=6,
    start_capacity=FIRST_SHARE, slow_start_us=WARM_US, collapse_multiple=MULTIPLE, collapse_window_us=FALL_US,
)  # fmt: skip


@dataclass(slots=True)
class Sent:
    """What one cold host was sent: when, and its work in calls of mean work."""

    at_us: list[int]
    calls: list[float]

    def add(self, at_us: int, calls: float) -> None:
        self.at_us.append(at_us)
        self.calls.append(calls)


def allowed(age_us: float) -> float:
    """Calls of mean work in one window: what the settings allow a host of one core so long after its start."""
    share = min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * max(0.0, age_us) / WARM_US)
    return MULTIPLE * share * FALL_US / WORK_US


def beyond(sent: Sent) -> tuple[float, float]:
    """The worst window: calls less N over the root of N, and calls beyond N and what is put down to chance."""
    worst, excess = -math.inf, -math.inf
    total = [0.0]
    for calls in sent.calls:
        total.append(total[-1] + calls)
    for place, at_us in enumerate(sent.at_us):
        if at_us >= BEGIN_US + WARM_US:
            break
        first = bisect_right(sent.at_us, at_us - FALL_US)
        calls, n = total[place + 1] - total[first], allowed(at_us - BEGIN_US)
        worst = max(worst, (calls - n) / math.sqrt(n))
        excess = max(excess, calls - n - 2 * math.sqrt(n) - 2)
    return worst, excess


class Fleet:
    """Gateways that share nothing but the hosts."""

    def __init__(self, gateways: int, hosts: int, cold: int, pattern: str, seed: int) -> None:
        self.rng = random.Random(f"{seed}/{pattern}")
        self.pattern, self.cold = pattern, tuple(range(1000, 1000 + cold))
        self.warm = tuple(ListedServer(n) for n in range(hosts - cold))
        self.settings = replace(SETTINGS, proxies=gateways)
        self.weights = [10.0 if pattern == "uneven" and n % 5 == 0 else 1.0 for n in range(gateways)]
        self.gateways = [self.make(n, seed) for n in range(gateways)]
        self.sent = {host: Sent([], []) for host in self.cold}
        self.count = 0
        self.requests: dict[str, tuple[int, float]] = {}  # where it is held, and its calls of mean work
        self.ends: list[tuple[int, int, int, AttemptEnded]] = []
        self.rate = PER_HOST * hosts / 1e6
        self.free_us = dict.fromkeys(range(hosts - cold), 0.0)  # when a warm host has worked off what it was sent

    def make(self, number: int, seed: int) -> Balancer:
        one = Balancer(replace(self.settings, proxy=number), seed * 1_000 + number)
        one.handle(BEGIN_US - TAUGHT_US, ServerList(ListKind.FULL, self.warm))
        return one

    def load(self, at_us: int) -> float:
        if self.pattern != "surge":
            return 1.0
        return 2.0 if BEGIN_US + WARM_US // 2 < at_us < BEGIN_US + 3 * WARM_US // 4 else 0.05

    def play(self) -> None:
        hears = {}
        for n in range(len(self.gateways)):
            hears[n] = BEGIN_US + (self.rng.randrange(3_000_000) if self.pattern == "late lists" else 0)
        again_us = BEGIN_US + WARM_US // 3 if self.pattern == "restarts" else 0
        at_us = float(BEGIN_US - TAUGHT_US)
        while at_us < BEGIN_US + WARM_US:
            at_us += self.rng.expovariate(self.rate * 2.0)
            now_us = int(at_us)
            self.end_until(now_us)
            for n in [n for n, heard_us in hears.items() if heard_us <= now_us]:
                del hears[n]
                self.hear(n, now_us)
            if again_us and now_us >= again_us:
                again_us = 0
                for n in range(0, len(self.gateways), 3):
                    self.gateways[n] = self.make(n, 77)
                    self.hear(n, now_us)
            if self.rng.random() < self.load(now_us) / 2.0:
                self.ask(now_us)

    def hear(self, number: int, now_us: int) -> None:
        entries = tuple(ListedServer(host, started_us=BEGIN_US) for host in self.cold)
        self.gateways[number].handle(now_us, ServerList(ListKind.DELTA, entries))

    def ask(self, now_us: int) -> None:
        (number,) = self.rng.choices(range(len(self.gateways)), self.weights)
        self.count += 1
        name, calls = f"r{self.count}", self.rng.expovariate(1.0)
        self.requests[name] = (number, calls)
        event = RequestArrived(name, 0, 1_500_000, None, int(WORK_US * calls) + 1)
        self.carry_out(number, now_us, self.gateways[number].handle(now_us, event))

    def carry_out(self, number: int, now_us: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            _, calls = self.requests[action.request]
            outcome, took_us = Outcome.OK, 2 * WORK_US
            if action.server in self.sent:
                self.sent[action.server].add(now_us, calls)
                if self.pattern == "turned away" and self.rng.random() < 1 / 3:
                    outcome, took_us = Outcome.FULL, 1_000
            else:
                begins_us = max(now_us, self.free_us[action.server])
                self.free_us[action.server] = begins_us + WORK_US * calls / 2
                took_us = int(begins_us - now_us + WORK_US * (1 + calls))
                if took_us > action.timeout_us:
                    outcome, took_us = Outcome.TIMEOUT, action.timeout_us
            ended = AttemptEnded(action.request, 0, action.server, outcome, took_us, outcome not in NEVER_RAN)
            self.count += 1
            heapq.heappush(self.ends, (now_us + took_us, self.count, number, ended))

    def end_until(self, now_us: int) -> None:
        while self.ends and self.ends[0][0] <= now_us:
            at_us, _, number, ended = heapq.heappop(self.ends)
            one = self.gateways[number]
            request = one.lifecycle.requests.get(ended.request)
            if request is None:
                continue  # its gateway has begun anew
            ended.attempt = len(request.attempts) - 1
            self.carry_out(number, at_us, one.handle(at_us, ended))
            if ended.finished:
                self.requests.pop(ended.request, None)

    def used(self) -> float:
        """Work sent to the cold hosts over what the settings allow them, while cold."""
        may = sum(allowed(age_us) for age_us in range(0, WARM_US, FALL_US)) * len(self.cold)
        return sum(sum(c for t, c in zip(s.at_us, s.calls, strict=True) if t < BEGIN_US + WARM_US)
                   for s in self.sent.values()) / may  # fmt: skip


@dataclass(slots=True)
class Row:
    gateways: int
    pattern: str
    beyond: float
    excess: float
    used: float


def measure(gateways: int, hosts: int, cold: int, pattern: str, seeds: Sequence[int]) -> Row:
    worst, excess, used = -math.inf, -math.inf, []
    for seed in seeds:
        fleet = Fleet(gateways, hosts, cold, pattern, seed)
        fleet.play()
        for sent in fleet.sent.values():
            found = beyond(sent)
            worst, excess = max(worst, found[0]), max(excess, found[1])
        used.append(fleet.used())
    return Row(gateways, pattern, worst, excess, statistics.mean(used))


def seeds_of(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(prog="cold_ramp", description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--gateways", default="1,4,20,30,200")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--cold", type=int, default=2)
    parser.add_argument("--seeds", type=seeds_of, default=[1, 2, 3, 4])
    parser.add_argument("--patterns", default=",".join(PATTERNS))
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    rows = []
    print("gateways  pattern       beyond  excess   used")
    for gateways in map(int, options.gateways.split(",")):
        for pattern in options.patterns.split(","):
            row = measure(gateways, options.hosts, options.cold, pattern, options.seeds)
            rows.append(row)
            print(f"{gateways:8}  {pattern:12} {row.beyond:7.2f} {row.excess:7.1f} {row.used:6.3f}", flush=True)
    if options.json:
        options.json.write_text(json.dumps([[r.gateways, r.pattern, r.beyond, r.excess, r.used] for r in rows]))
    return int(any(row.excess > 0.0 for row in rows))


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
