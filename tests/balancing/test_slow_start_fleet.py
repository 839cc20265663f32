"""Many gateways and one warming server, on a scripted clock: it neither collapses nor stays idle."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import Send
from cloverkeel.balancing.events import AttemptEnded, ListKind, ListedServer, Outcome, RequestArrived, ServerList
from cloverkeel.balancing.settings import RequestClass, Settings

PROXIES = 40
WORK_US = 100_000  # of a request
OVERLOADED_LATENCY_US = 500_000  # latency of a request at the overloaded warm servers
WARM_UP_US = 10_000_000
SETTINGS = Settings(
    classes=(RequestClass(objective_us=2_000_000, client_timeout_us=4_000_000),),
    proxies=PROXIES,
    start_capacity=0.3,
    slow_start_us=WARM_UP_US,
    collapse_multiple=3.0,
    collapse_window_us=1_000_000,
)
BEGIN_US = 100_000_000
OVERLOAD_START_US = BEGIN_US - 10_000_000  # the warm servers are overloaded from then on


def work_sent_to_warming_server(
    settings: Settings, stated_work_us: int | None, seed: int, seconds: int = 6
) -> list[float]:
    """Return the work in core seconds that all gateways send to a warming server, for each second since its listing.

    Three warm servers are overloaded by then; each gateway receives four requests per second.
    """
    rng = random.Random(seed)
    fleet = [Balancer(replace(settings, proxy=n), seed * 1000 + n) for n in range(settings.proxies)]
    warm, warming = [ListedServer(n) for n in range(3)], 9
    events: list[tuple[int, int, int]] = []  # time, gateway, number of the request
    for gateway in range(settings.proxies):
        fleet[gateway].handle(BEGIN_US - 20_000_000, ServerList(ListKind.FULL, tuple(warm)))
        for number in range(4 * (20 + seconds)):
            at_us = BEGIN_US - 20_000_000 + number * 250_000 + rng.randrange(250_000)
            events.append((at_us, gateway, number))
    pending_ends: list[tuple[int, int, AttemptEnded]] = []
    sent = [0.0] * seconds
    listed = False
    for at_us, gateway, number in sorted(events):
        for end in sorted((end for end in pending_ends if end[0] <= at_us), key=lambda end: end[0]):
            pending_ends.remove(end)
            fleet[end[1]].handle(end[0], end[2])
        if at_us >= BEGIN_US and not listed:
            listed = True
            for balancer in fleet:
                entry = ListedServer(warming, started_us=BEGIN_US)
                balancer.handle(BEGIN_US, ServerList(ListKind.DELTA, (entry,)))
        name = str(number)
        event = RequestArrived(name, 0, 4_000_000, work_us=stated_work_us)
        for action in fleet[gateway].handle(at_us, event):
            if isinstance(action, Send):
                if action.server == warming:
                    sent[(at_us - BEGIN_US) // 1_000_000] += WORK_US / 1e6
                latency_us = (
                    OVERLOADED_LATENCY_US if action.server != warming and at_us > OVERLOAD_START_US else 2 * WORK_US
                )
                ended = AttemptEnded(name, 0, action.server, Outcome.OK, latency_us, finished=True)
                pending_ends.append((at_us + latency_us, gateway, ended))
    return sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_gateways_use_a_warming_server_under_overload(seed: int) -> None:
    """Work was charged at overloaded servers' latency, so the fleet sent a warming server one request per second."""
    sent = work_sent_to_warming_server(SETTINGS, stated_work_us=WORK_US, seed=seed)
    # The server has at least 0.3 to 0.7 of a core in these seconds, and may be sent three times that work.
    assert sum(sent[1:]) > 1.1 * sum(0.3 + 0.07 * second for second in range(1, 6))


def assert_within_collapse_budget(sent: list[float]) -> None:
    for second, work in enumerate(sent):
        assert work < 3.0 * (0.3 + 0.07 * second), (second, work)


@pytest.mark.parametrize("stated_work_us", [WORK_US, None])
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_a_warming_server_does_not_collapse(seed: int, stated_work_us: int | None) -> None:
    assert_within_collapse_budget(work_sent_to_warming_server(SETTINGS, stated_work_us, seed))


@pytest.mark.parametrize("stated_work_us", [1, WORK_US // 1000])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_warming_server_does_not_collapse_if_clients_understate_work(seed: int, stated_work_us: int) -> None:
    """Clients that stated milliseconds as microseconds caused three times the collapse budget to be sent."""
    assert_within_collapse_budget(work_sent_to_warming_server(SETTINGS, stated_work_us, seed))


def test_a_request_with_almost_no_stated_work_is_charged_a_minimum() -> None:
    """A client stating 1 µs could send any number of requests to a warming server, while others stated real work."""
    balancer = Balancer(SETTINGS, seed=1)
    balancer.handle(BEGIN_US - 1, ServerList(ListKind.FULL, (ListedServer(9, started_us=BEGIN_US),)))
    sent = 0
    for number in range(200):  # 8 s; every other request understates its work
        event = RequestArrived(str(number), 0, 4_000_000, work_us=1 if number % 2 else WORK_US)
        for action in balancer.handle(BEGIN_US + number * 40_000, event):
            if isinstance(action, Send):
                sent += 1
                ended = AttemptEnded(str(number), 0, 9, Outcome.OK, WORK_US, finished=True)
                balancer.handle(BEGIN_US + number * 40_000 + 5_000, ended)
    assert sent <= 3  # one of 40 gateways; 11 without a minimum charge


def test_a_long_request_is_not_sent_to_a_warming_server() -> None:
    """A few long requests of many gateways within one second would exceed the budget."""
    balancer = Balancer(replace(SETTINGS, proxies=1), seed=1)
    started_us = BEGIN_US
    servers = (ListedServer(1), ListedServer(9, started_us=started_us))
    balancer.handle(BEGIN_US - 1, ServerList(ListKind.FULL, servers))
    sent = {WORK_US: 0, 4 * WORK_US: 0}
    for number in range(80):  # slow enough to leave headroom for any request
        work_us = 4 * WORK_US if number % 5 == 4 else WORK_US
        at_us, name = BEGIN_US + number * 120_000, str(number)
        for action in balancer.handle(at_us, RequestArrived(name, 0, 4_000_000, work_us=work_us)):
            if isinstance(action, Send):
                sent[work_us] += action.server == 9
                ended = AttemptEnded(name, 0, action.server, Outcome.OK, work_us, finished=True)
                balancer.handle(at_us + 5_000, ended)
    assert sent[WORK_US] > 10 and sent[4 * WORK_US] == 0


def test_a_warming_server_is_used_if_no_work_is_stated() -> None:
    sent = work_sent_to_warming_server(SETTINGS, stated_work_us=None, seed=1)
    assert sum(sent) > 0.0
