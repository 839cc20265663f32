"""What a gateway behind relays knows of each host, whatever relays answer."""

from __future__ import annotations

import random

import pytest

from cloverkeel.balancing.events import ListKind, ListedServer, ServerStatus
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.known_state import (
    RelayAnswer,
    CLOCK_RATE_SLACK_S,
    MAX_STALENESS_S,
    KnownState,
    restrict_to_known,
)


HOSTS = 3


EVENT_S = 0.5


@pytest.mark.parametrize("part", range(4))
def test_no_relay_undoes_a_known_restriction(part: int) -> None:
    """Discovery changes twice a second; each relay is behind it as it likes, and tells the least age that is true."""
    for seed in range(part * 250, part * 250 + 250):
        check_random_walk(random.Random(seed))


def check_random_walk(chance: random.Random) -> None:
    history = [(chance.randrange(HOSTS), chance.choice(list(ServerStatus))) for _ in range(120)]
    known_state, now_s, run, of = KnownState(), 2.0, -1, 0
    shown: dict[int, ServerStatus] = {}
    core: dict[int, ServerStatus] = {}
    ended = dict.fromkeys(range(HOSTS), -1)  # the latest state in which a restriction of it was read
    relay = 0
    while now_s < 55.0:
        relay = chance.randrange(3) if chance.random() < 0.3 else relay
        asked_s = now_s
        now_s += chance.choice((0.02, 0.4, 0.7))
        whole = relay != run or chance.random() < 0.05  # or it began anew
        lag = chance.choice((0, 0, 1, 2, 3, 4, 12, 30))
        of = max(0 if whole else of, int(asked_s / EVENT_S) - lag)  # in order within a run
        run, age_s = relay, max(0.0, asked_s - (of + 1) * EVENT_S)
        new = {9: ServerStatus.READY} | dict(history[:of])
        new = {n: status for n, status in new.items() if status is not ServerStatus.GONE}
        said = {n: status for n, status in new.items() if whole or shown.get(n) is not status}
        said |= {} if whole else {n: ServerStatus.GONE for n in shown if n not in new}
        shown = new
        entries = [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, status)) for n, status in said.items()]
        update = known_state.accept(RelayAnswer(now_s, asked_s, age_s, whole, entries))
        kind, passed, asks = update.kind, update.endpoints, update.requires_snapshot
        run = -1 if asks else run  # the next is whole
        before, named = core, {entry.listed.server: entry.listed.status for entry in passed}
        core = {**({} if kind is ListKind.FULL else before), **named}
        core = {n: status for n, status in core.items() if status is not ServerStatus.GONE}
        assert core == known_state.status_by_server
        for n in range(HOSTS):
            if core.get(n) is ServerStatus.READY and before.get(n) is not ServerStatus.READY:
                assert of >= ended[n]
            restricts = n in named and said.get(n) in (ServerStatus.DRAINING, ServerStatus.GONE)
            if restricts or (n in before and n not in core):
                ended[n] = max(ended[n], of)
        if age_s <= MAX_STALENESS_S and not asks:  # what waits has cause to
            assert all(
                known_state.restriction_by_server[n].read_s > asked_s - age_s - CLOCK_RATE_SLACK_S
                for n in known_state.deferred_by_server
            )
        assert len(known_state.restriction_by_server) <= HOSTS and len(known_state.deferred_by_server) <= HOSTS


def test_a_newer_entry_replaces_a_deferred_permission_even_from_a_stale_relay() -> None:
    def listed(*statuses: ServerStatus) -> list[Endpoint]:
        return [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, status)) for n, status in enumerate(statuses)]

    known_state = KnownState()
    known_state.accept(RelayAnswer(9.0, 9.0, 0.0, True, listed(ServerStatus.READY, ServerStatus.READY)))
    known_state.accept(RelayAnswer(10.0, 9.8, 0.0, False, listed(ServerStatus.GONE)))
    known_state.accept(RelayAnswer(10.3, 10.2, 1.0, True, listed(ServerStatus.READY, ServerStatus.READY)))
    assert list(known_state.deferred_by_server) == [0]
    known_state.accept(RelayAnswer(14.0, 13.8, MAX_STALENESS_S + 1.0, False, listed(ServerStatus.DRAINING)))
    accepted = known_state.accept(RelayAnswer(15.0, 14.8, 0.0, False, [])).endpoints
    assert not accepted and list(known_state.status_by_server) == [1]


def test_old_restrictions_are_forgotten() -> None:
    known_state = KnownState()
    for n in range(100):
        gone = [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, ServerStatus.GONE))]
        known_state.accept(RelayAnswer(float(n), float(n), 0.1, False, gone))
    assert len(known_state.restriction_by_server) <= MAX_STALENESS_S + 2


def test_discoverys_complete_list_is_reduced_to_the_known_hosts_while_they_serve() -> None:
    def listed(*numbers: int) -> list[Endpoint]:
        return [Endpoint(f"s-{n}", ("h", 1), ListedServer(n)) for n in numbers]

    held = dict.fromkeys(range(4), ServerStatus.READY)
    assert [entry.listed.server for entry in restrict_to_known(held, listed(0, 1, 8, 9))] == [0, 1]
    assert [entry.listed.server for entry in restrict_to_known(held, listed(0, 8, 9))] == [0, 8, 9]
