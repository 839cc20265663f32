"""Measures how much a fleet sends to hosts during slow start: the balancers of all gateways on a simulated clock.

    python -m benchmarks.cold_ramp [--gateways 1,4,20,30,200] [--hosts 6] [--cold 2] [--seeds 1-4] [--json FILE]

Each row is a fleet under one traffic pattern, with more load than its warm hosts can serve: `even`, `uneven` (some
gateways get ten times the requests of others), `surge` (hardly any load, then a peak during the slow start),
`restarts` (a third of the gateways restart with empty state during the slow start), `late lists` (each gateway learns
of the new hosts at a random time within 3 s), `turned away` (new hosts reject one request in three; it is retried).

Work is counted in units of a request with mean work. In each window (collapse_window_us) a host in slow start may be
sent N units, where N is what the settings allow a host of one core at the end of the window. `beyond` is the maximum
over all windows of (work sent - N) / sqrt(N). `excess` is the maximum of work sent - N - 2 sqrt(N) - 2; the last two
terms allow for chance. `used` is the work sent during the slow start divided by what the settings allow.
Exit code: 1 if the excess of any window is positive, else 0.
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

MEAN_WORK_US = 60_000  # CPU time of a mean request on one core
SLOW_START_US, WINDOW_US, COLLAPSE_MULTIPLE, START_CAPACITY = 9_000_000, 1_000_000, 3.0, 0.3
# The new hosts start at START_US; before that, the warm hosts alone serve the load for LEAD_TIME_US.
START_US, LEAD_TIME_US = 100_000_000, 8_000_000
REQUESTS_PER_S_PER_HOST = 40.0  # overload: a warm host has two cores and serves 33 requests per second
PATTERNS = ("even", "uneven", "surge", "restarts", "late lists", "turned away")
SETTINGS = Settings(
    classes=(RequestClass(objective_us=600_000, client_timeout_us=1_500_000, effect=Effect.SAFE),), max_attempts=6,
    start_capacity=START_CAPACITY, slow_start_us=SLOW_START_US, collapse_multiple=COLLAPSE_MULTIPLE,
    collapse_window_us=WINDOW_US,
)  # fmt: skip


@dataclass(slots=True)
class SentWork:
    """Requests sent to one host in slow start: times, and work in units of a request with mean work."""

    at_us: list[int]
    work: list[float]

    def add(self, at_us: int, work: float) -> None:
        """Records one request."""
        self.at_us.append(at_us)
        self.work.append(work)


def allowed_work(age_us: float) -> float:
    """Work that the settings allow in one window to a host of one core at this age."""
    share = min(1.0, START_CAPACITY + (1.0 - START_CAPACITY) * max(0.0, age_us) / SLOW_START_US)
    return COLLAPSE_MULTIPLE * share * WINDOW_US / MEAN_WORK_US


def find_worst_window(sent: SentWork) -> tuple[float, float]:
    """Returns the maxima over all windows of `beyond` and `excess`, as the module's docstring defines them."""
    worst, excess = -math.inf, -math.inf
    cumulative_work = [0.0]
    for work in sent.work:
        cumulative_work.append(cumulative_work[-1] + work)
    for index, at_us in enumerate(sent.at_us):
        if at_us >= START_US + SLOW_START_US:
            break
        first = bisect_right(sent.at_us, at_us - WINDOW_US)
        work, limit = cumulative_work[index + 1] - cumulative_work[first], allowed_work(at_us - START_US)
        worst = max(worst, (work - limit) / math.sqrt(limit))
        excess = max(excess, work - limit - 2 * math.sqrt(limit) - 2)
    return worst, excess


class Fleet:
    """Gateways that send to the same hosts and exchange nothing with one another."""

    def __init__(self, gateways: int, hosts: int, new_host_count: int, pattern: str, seed: int) -> None:
        self.rng = random.Random(f"{seed}/{pattern}")
        self.pattern, self.new_hosts = pattern, tuple(range(1000, 1000 + new_host_count))
        self.warm_hosts = tuple(ListedServer(n) for n in range(hosts - new_host_count))
        self.settings = replace(SETTINGS, proxies=gateways)
        self.gateway_weights = [10.0 if pattern == "uneven" and n % 5 == 0 else 1.0 for n in range(gateways)]
        self.gateways = [self.create_balancer(n, seed) for n in range(gateways)]
        self.sent = {host: SentWork([], []) for host in self.new_hosts}
        self.event_count = 0
        self.requests: dict[str, tuple[int, float]] = {}  # (gateway, work) by request id
        self.pending_ends: list[tuple[int, int, int, AttemptEnded]] = []
        self.requests_per_us = REQUESTS_PER_S_PER_HOST * hosts / 1e6
        self.idle_at_us = dict.fromkeys(range(hosts - new_host_count), 0.0)  # time at which the warm host is idle

    def create_balancer(self, gateway: int, seed: int) -> Balancer:
        """Creates the balancer of a gateway that knows only the warm hosts."""
        balancer = Balancer(replace(self.settings, proxy=gateway), seed * 1_000 + gateway)
        balancer.handle(START_US - LEAD_TIME_US, ServerList(ListKind.FULL, self.warm_hosts))
        return balancer

    def relative_load(self, at_us: int) -> float:
        """Load at a time, relative to requests_per_us."""
        if self.pattern != "surge":
            return 1.0
        return 2.0 if START_US + SLOW_START_US // 2 < at_us < START_US + 3 * SLOW_START_US // 4 else 0.05

    def run(self) -> None:
        """Runs the pattern from the lead time to the end of the slow start."""
        list_times_us = {}
        for n in range(len(self.gateways)):
            list_times_us[n] = START_US + (self.rng.randrange(3_000_000) if self.pattern == "late lists" else 0)
        restart_us = START_US + SLOW_START_US // 3 if self.pattern == "restarts" else 0
        at_us = float(START_US - LEAD_TIME_US)
        while at_us < START_US + SLOW_START_US:
            at_us += self.rng.expovariate(self.requests_per_us * 2.0)
            now_us = int(at_us)
            self.end_attempts_until(now_us)
            for n in [n for n, list_us in list_times_us.items() if list_us <= now_us]:
                del list_times_us[n]
                self.deliver_list(n, now_us)
            if restart_us and now_us >= restart_us:
                restart_us = 0
                for n in range(0, len(self.gateways), 3):
                    self.gateways[n] = self.create_balancer(n, 77)
                    self.deliver_list(n, now_us)
            if self.rng.random() < self.relative_load(now_us) / 2.0:
                self.send_request(now_us)

    def deliver_list(self, gateway: int, now_us: int) -> None:
        """Delivers an endpoint list with the new hosts to a gateway."""
        entries = tuple(ListedServer(host, started_us=START_US) for host in self.new_hosts)
        self.gateways[gateway].handle(now_us, ServerList(ListKind.DELTA, entries))

    def send_request(self, now_us: int) -> None:
        """Lets a request of random work arrive at a random gateway."""
        (gateway,) = self.rng.choices(range(len(self.gateways)), self.gateway_weights)
        self.event_count += 1
        request_id, work = f"r{self.event_count}", self.rng.expovariate(1.0)
        self.requests[request_id] = (gateway, work)
        event = RequestArrived(request_id, 0, 1_500_000, None, int(MEAN_WORK_US * work) + 1)
        self.perform_actions(gateway, now_us, self.gateways[gateway].handle(now_us, event))

    def perform_actions(self, gateway: int, now_us: int, actions: Sequence[Action]) -> None:
        """Simulates the attempts that a balancer sends and schedules their ends."""
        for action in actions:
            if not isinstance(action, Send):
                continue
            _, work = self.requests[action.request]
            outcome, duration_us = Outcome.OK, 2 * MEAN_WORK_US
            if action.server in self.sent:
                self.sent[action.server].add(now_us, work)
                if self.pattern == "turned away" and self.rng.random() < 1 / 3:
                    outcome, duration_us = Outcome.FULL, 1_000
            else:
                started_us = max(now_us, self.idle_at_us[action.server])
                self.idle_at_us[action.server] = started_us + MEAN_WORK_US * work / 2
                duration_us = int(started_us - now_us + MEAN_WORK_US * (1 + work))
                if duration_us > action.timeout_us:
                    outcome, duration_us = Outcome.TIMEOUT, action.timeout_us
            ended = AttemptEnded(action.request, 0, action.server, outcome, duration_us, outcome not in NEVER_RAN)
            self.event_count += 1
            heapq.heappush(self.pending_ends, (now_us + duration_us, self.event_count, gateway, ended))

    def end_attempts_until(self, now_us: int) -> None:
        """Reports the attempts that have ended by now to their balancers."""
        while self.pending_ends and self.pending_ends[0][0] <= now_us:
            at_us, _, gateway, ended = heapq.heappop(self.pending_ends)
            balancer = self.gateways[gateway]
            request = balancer.lifecycle.requests.get(ended.request)
            if request is None:
                continue  # the gateway has restarted meanwhile
            ended.attempt = len(request.attempts) - 1
            self.perform_actions(gateway, at_us, balancer.handle(at_us, ended))
            if ended.finished:
                self.requests.pop(ended.request, None)

    def used_share(self) -> float:
        """Work sent to the hosts during their slow start, divided by what the settings allow."""
        allowed = sum(allowed_work(age_us) for age_us in range(0, SLOW_START_US, WINDOW_US)) * len(self.new_hosts)
        return sum(sum(work for at_us, work in zip(s.at_us, s.work, strict=True) if at_us < START_US + SLOW_START_US)
                   for s in self.sent.values()) / allowed  # fmt: skip


@dataclass(slots=True)
class Row:
    """Figures of one fleet size and pattern: maxima over the seeds, and the mean of `used`."""

    gateways: int
    pattern: str
    beyond: float
    excess: float
    used: float


def measure(gateways: int, hosts: int, new_host_count: int, pattern: str, seeds: Sequence[int]) -> Row:
    """Runs the pattern once for each seed."""
    worst, excess, used_shares = -math.inf, -math.inf, []
    for seed in seeds:
        fleet = Fleet(gateways, hosts, new_host_count, pattern, seed)
        fleet.run()
        for sent in fleet.sent.values():
            host_worst = find_worst_window(sent)
            worst, excess = max(worst, host_worst[0]), max(excess, host_worst[1])
        used_shares.append(fleet.used_share())
    return Row(gateways, pattern, worst, excess, statistics.mean(used_shares))


def parse_seeds(text: str) -> list[int]:
    """Parses a seed or a range of seeds, such as 1-4."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(prog="cold_ramp", description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--gateways", default="1,4,20,30,200")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--cold", type=int, default=2)
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3, 4])
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
