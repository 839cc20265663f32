"""Many gateways and one cold server, on a scripted clock: it is neither pushed over nor left idle."""

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
JAMMED_US = 500_000  # what the warm servers take for one
WARM_AFTER_US = 10_000_000
SETTINGS = Settings(
    classes=(RequestClass(objective_us=2_000_000, client_timeout_us=4_000_000),),
    proxies=PROXIES,
    start_capacity=0.3,
    slow_start_us=WARM_AFTER_US,
    collapse_multiple=3.0,
    collapse_window_us=1_000_000,
)
BEGIN_US = 100_000_000
JAM_US = BEGIN_US - 10_000_000  # the warm servers are jammed from then on


def sent_to_the_cold(settings: Settings, hint_us: int | None, seed: int, seconds: int = 6) -> list[float]:
    """Shares of a core that all gateways together send it, in each second since it was listed.

    Three warm servers are jammed by then, each gateway takes four requests a second.
    """
    rng = random.Random(seed)
    fleet = [Balancer(replace(settings, proxy=n), seed * 1000 + n) for n in range(settings.proxies)]
    warm, cold = [ListedServer(n) for n in range(3)], 9
    events: list[tuple[int, int, int]] = []  # when, gateway, number of the request
    for gateway in range(settings.proxies):
        fleet[gateway].handle(BEGIN_US - 20_000_000, ServerList(ListKind.FULL, tuple(warm)))
        for number in range(4 * (20 + seconds)):
            at_us = BEGIN_US - 20_000_000 + number * 250_000 + rng.randrange(250_000)
            events.append((at_us, gateway, number))
    ends: list[tuple[int, int, AttemptEnded]] = []
    sent = [0.0] * seconds
    listed = False
    for at_us, gateway, number in sorted(events):
        for over in sorted((end for end in ends if end[0] <= at_us), key=lambda end: end[0]):
            ends.remove(over)
            fleet[over[1]].handle(over[0], over[2])
        if at_us >= BEGIN_US and not listed:
            listed = True
            for balancer in fleet:
                entry = ListedServer(cold, started_us=BEGIN_US)
                balancer.handle(BEGIN_US, ServerList(ListKind.DELTA, (entry,)))
        name = str(number)
        event = RequestArrived(name, 0, 4_000_000, work_us=hint_us)
        for action in fleet[gateway].handle(at_us, event):
            if isinstance(action, Send):
                if action.server == cold:
                    sent[(at_us - BEGIN_US) // 1_000_000] += WORK_US / 1e6
                took_us = JAMMED_US if action.server != cold and at_us > JAM_US else 2 * WORK_US
                ended = AttemptEnded(name, 0, action.server, Outcome.OK, took_us, finished=True)
                ends.append((at_us + took_us, gateway, ended))
    return sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_gateways_use_a_warming_server_in_a_jam(seed: int) -> None:
    """Counted by how long others took, the whole fleet sent a cold server one request in a second."""
    sent = sent_to_the_cold(SETTINGS, hint_us=WORK_US, seed=seed)
    # It surely has 0.3 to 0.7 of a core in these seconds, and may be sent three times that.
    assert sum(sent[1:]) > 1.1 * sum(0.3 + 0.07 * second for second in range(1, 6))


def assert_not_pushed_over(sent: list[float]) -> None:
    for second, work in enumerate(sent):
        assert work < 3.0 * (0.3 + 0.07 * second), (second, work)


@pytest.mark.parametrize("hint_us", [WORK_US, None])
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_a_warming_server_does_not_collapse(seed: int, hint_us: int | None) -> None:
    assert_not_pushed_over(sent_to_the_cold(SETTINGS, hint_us, seed))


@pytest.mark.parametrize("hint_us", [1, WORK_US // 1000])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_clients_that_understate_work_do_not_make_it_collapse(seed: int, hint_us: int) -> None:
    """Clients that told milliseconds for microseconds had it sent three times what makes it fall."""
    assert_not_pushed_over(sent_to_the_cold(SETTINGS, hint_us, seed))


def test_a_request_said_to_be_nothing_has_a_price() -> None:
    """One client among honest ones that says 1 µs sent whatever it liked to a cold server."""
    balancer = Balancer(SETTINGS, seed=1)
    balancer.handle(BEGIN_US - 1, ServerList(ListKind.FULL, (ListedServer(9, started_us=BEGIN_US),)))
    sent = 0
    for number in range(200):  # 8 s: every other request is a liar's
        event = RequestArrived(str(number), 0, 4_000_000, work_us=1 if number % 2 else WORK_US)
        for action in balancer.handle(BEGIN_US + number * 40_000, event):
            if isinstance(action, Send):
                sent += 1
                ended = AttemptEnded(str(number), 0, 9, Outcome.OK, WORK_US, finished=True)
                balancer.handle(BEGIN_US + number * 40_000 + 5_000, ended)
    assert sent <= 3  # one of 40 gateways; 11 without a price


def test_a_long_request_is_not_sent_to_a_warming_server() -> None:
    """A few long ones of many gateways in one second are more than any budget foresees."""
    balancer = Balancer(replace(SETTINGS, proxies=1), seed=1)
    started_us = BEGIN_US
    servers = (ListedServer(1), ListedServer(9, started_us=started_us))
    balancer.handle(BEGIN_US - 1, ServerList(ListKind.FULL, servers))
    sent = {WORK_US: 0, 4 * WORK_US: 0}
    for number in range(80):  # slow enough for the budget to have room for any
        work_us = 4 * WORK_US if number % 5 == 4 else WORK_US
        at_us, name = BEGIN_US + number * 120_000, str(number)
        for action in balancer.handle(at_us, RequestArrived(name, 0, 4_000_000, work_us=work_us)):
            if isinstance(action, Send):
                sent[work_us] += action.server == 9
                ended = AttemptEnded(name, 0, action.server, Outcome.OK, work_us, finished=True)
                balancer.handle(at_us + 5_000, ended)
    assert sent[WORK_US] > 10 and sent[4 * WORK_US] == 0


def test_where_nothing_is_said_of_a_requests_work_the_answers_tell() -> None:
    sent = sent_to_the_cold(SETTINGS, hint_us=None, seed=1)
    assert sum(sent) > 0.0
