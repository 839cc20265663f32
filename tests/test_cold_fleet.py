"""Many gateways and one cold server, on a scripted clock: it is neither pushed over nor left idle."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from caperdrift.balance import Balancer
from caperdrift.interface import (
    AttemptEnded,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    ServerList,
    Settings,
)

PROXIES = 40
WORK_US = 100_000  # of a request
JAMMED_US = 500_000  # what the warm servers take for one
WARM_AFTER_US = 10_000_000
SETTINGS = Settings(
    classes=(RequestClass(aim_us=2_000_000, give_up_us=4_000_000),),
    proxies=PROXIES,
    start_capacity=0.3,
    warm_after_us=WARM_AFTER_US,
    fall_multiple=3.0,
    fall_us=1_000_000,
)
BEGIN_US = 100_000_000


def sent_to_the_cold(settings: Settings, hinted: bool, seed: int, seconds: int = 6) -> list[float]:
    """Shares of a core that all gateways together send it, in each second since it was listed.

    Three warm servers are jammed, each gateway takes four requests a second.
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
        event = RequestArrived(name, 0, 4_000_000, work_us=WORK_US if hinted else None)
        for action in fleet[gateway].handle(at_us, event):
            if isinstance(action, Send):
                if action.server == cold:
                    sent[(at_us - BEGIN_US) // 1_000_000] += WORK_US / 1e6
                took_us = WORK_US if action.server == cold else JAMMED_US
                ended = AttemptEnded(name, 0, action.server, Outcome.OK, took_us, finished=True)
                ends.append((at_us + took_us, gateway, ended))
    return sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_gateways_use_a_cold_server_in_a_jam(seed: int) -> None:
    """Counted by how long others took, the whole fleet sent a cold server one request in a second."""
    sent = sent_to_the_cold(SETTINGS, hinted=True, seed=seed)
    # It surely has 0.3 to 0.7 of a core in these seconds, and may be sent three times that.
    assert sum(sent[1:]) > 1.1 * sum(0.3 + 0.07 * second for second in range(1, 6))


@pytest.mark.parametrize("hinted", [True, False])
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_a_cold_server_is_not_pushed_over(seed: int, hinted: bool) -> None:
    sent = sent_to_the_cold(SETTINGS, hinted=hinted, seed=seed)
    for second, work in enumerate(sent):
        assert work < 3.0 * (0.3 + 0.07 * second), (second, work)


def test_a_long_request_is_not_sent_to_a_cold_server() -> None:
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
    sent = sent_to_the_cold(SETTINGS, hinted=False, seed=1)
    assert sum(sent) > 0.0
