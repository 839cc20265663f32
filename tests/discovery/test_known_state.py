"""Host states of a gateway behind relays, for arbitrary sequences of relay replies."""

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


CHANGE_INTERVAL_S = 0.5


@pytest.mark.parametrize("part", range(4))
def test_no_relay_undoes_a_known_restriction(part: int) -> None:
    """Discovery changes twice a second; relays lag by a random delay and report the lowest age that is correct."""
    for seed in range(part * 250, part * 250 + 250):
        check_random_walk(random.Random(seed))


def check_random_walk(rng: random.Random) -> None:
    history = [(rng.randrange(HOSTS), rng.choice(list(ServerStatus))) for _ in range(120)]
    known_state, now_s, run_relay, version = KnownState(), 2.0, -1, 0  # version: index in `history`
    relay_state: dict[int, ServerStatus] = {}
    core: dict[int, ServerStatus] = {}
    restricted_version = dict.fromkeys(
        range(HOSTS), -1
    )  # the latest version in which a restriction of a host was read
    relay = 0
    while now_s < 55.0:
        relay = rng.randrange(3) if rng.random() < 0.3 else relay
        requested_s = now_s
        now_s += rng.choice((0.02, 0.4, 0.7))
        is_snapshot = relay != run_relay or rng.random() < 0.05  # also after a restart of the relay
        lag = rng.choice((0, 0, 1, 2, 3, 4, 12, 30))
        # Versions do not decrease within a run
        version = max(0 if is_snapshot else version, int(requested_s / CHANGE_INTERVAL_S) - lag)
        run_relay, age_s = relay, max(0.0, requested_s - (version + 1) * CHANGE_INTERVAL_S)
        state = {9: ServerStatus.READY} | dict(history[:version])
        state = {n: status for n, status in state.items() if status is not ServerStatus.GONE}
        sent = {n: status for n, status in state.items() if is_snapshot or relay_state.get(n) is not status}
        sent |= {} if is_snapshot else {n: ServerStatus.GONE for n in relay_state if n not in state}
        relay_state = state
        entries = [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, status)) for n, status in sent.items()]
        update = known_state.accept(RelayAnswer(now_s, requested_s, age_s, is_snapshot, entries))
        kind, passed, requires_snapshot = update.kind, update.endpoints, update.requires_snapshot
        run_relay = -1 if requires_snapshot else run_relay  # the next reply is a snapshot
        before, updated = core, {entry.listed.server: entry.listed.status for entry in passed}
        core = {**({} if kind is ListKind.FULL else before), **updated}
        core = {n: status for n, status in core.items() if status is not ServerStatus.GONE}
        assert core == known_state.status_by_server
        for n in range(HOSTS):
            if core.get(n) is ServerStatus.READY and before.get(n) is not ServerStatus.READY:
                assert version >= restricted_version[n]
            is_restricted = n in updated and sent.get(n) in (ServerStatus.DRAINING, ServerStatus.GONE)
            if is_restricted or (n in before and n not in core):
                restricted_version[n] = max(restricted_version[n], version)
        if age_s <= MAX_STALENESS_S and not requires_snapshot:  # each deferred permission contradicts a restriction
            assert all(
                known_state.restriction_by_server[n].read_s > requested_s - age_s - CLOCK_RATE_SLACK_S
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
        removed = [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, ServerStatus.GONE))]
        known_state.accept(RelayAnswer(float(n), float(n), 0.1, False, removed))
    assert len(known_state.restriction_by_server) <= MAX_STALENESS_S + 2


def test_discoverys_complete_list_is_reduced_to_the_known_hosts_while_they_serve() -> None:
    def listed(*numbers: int) -> list[Endpoint]:
        return [Endpoint(f"s-{n}", ("h", 1), ListedServer(n)) for n in numbers]

    status_by_server = dict.fromkeys(range(4), ServerStatus.READY)
    assert [entry.listed.server for entry in restrict_to_known(status_by_server, listed(0, 1, 8, 9))] == [0, 1]
    assert [entry.listed.server for entry in restrict_to_known(status_by_server, listed(0, 8, 9))] == [0, 8, 9]
