"""A gateway behind relays: whom it asks, how often, what it believes; and on loopback, with scripted relays."""

from __future__ import annotations

import asyncio
import gzip
import itertools
import json
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.balancing.actions import WatchList
from cloverkeel.balancing.events import ListKind, ListedServer, ServerStatus
from cloverkeel.assembly import assemble
from cloverkeel.core.config import ConfigError, Names, parse
from cloverkeel.core.options import Options, Relays as RelayOptions, load, parse as parse_options
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.relay_client import RelayedDiscovery
from cloverkeel.discovery.http_client import LIST_LIMIT, parse_entry
from cloverkeel.discovery.relay_selection import (
    HELD_S,
    LATE_S,
    LOOK_AGE_S,
    MOST_WAIT_S,
    MOVE_GAP_S,
    MOVE_S,
    SLACK_S,
    STALE_S,
    VOLUNTARY_S,
    WIDE_BACK_S,
    WIDE_STEP_S,
    WIDEST,
    Belief,
    Relay,
    Relays,
    Width,
    age_in_state,
    age_of,
    of_those_held,
    order_of,
)
from cloverkeel.discovery.poll_schedule import HOLD_S, LATE_S as LONG_LATE_S, TOLD_S
from tests.sockets import (
    Exchange, Peer, Running, Script, answers, configuration, endpoint, host_id, hosts_list, list_reply, on_loop, peer,
    reply, silent, until,
)  # fmt: skip

ROOT = Path(__file__).parents[1]
TWELVE = [(f"10.0.0.{n}", 7100) for n in range(12)]

# Whom to ask


def test_each_gateway_has_an_order_of_its_own_that_a_relay_less_leaves() -> None:
    firsts = Counter(order_of(f"g{n}", TWELVE)[0] for n in range(4_600))
    assert len(firsts) == 12 and max(firsts.values()) < 1.25 * 4_600 / 12 and min(firsts.values()) > 0.75 * 4_600 / 12
    for n in range(50):
        order = order_of(f"g{n}", TWELVE)
        assert order == order_of(f"g{n}", TWELVE[::-1])
        assert order_of(f"g{n}", [a for a in TWELVE if a != order[0]]) == order[1:]
    seconds = Counter(order_of(f"g{n}", TWELVE)[1] for n in range(4_600) if order_of(f"g{n}", TWELVE)[0] == TWELVE[0])
    assert len(seconds) == 11  # who loses one spreads over all others


def test_the_times_together() -> None:
    assert HELD_S + LATE_S + MOVE_S < 1.0  # what a silent relay costs, but for an answer
    assert STALE_S + 1.0 + MOVE_GAP_S + 1.0 < TOLD_S  # a relay cut off is left for another before a drain is late


STEPS = st.tuples(
    st.sampled_from(["fresh", "fresh", "stale", "fails", "silent"]), st.floats(0, 20), st.floats(0, 1)
)  # fmt: skip


@settings(max_examples=300)
@given(st.integers(1, 5), st.floats(0.01, 500), st.lists(STEPS, max_size=80))
def test_no_order_of_answers_and_failures_makes_it_ask_more(
    count: int, every_s: float, steps: list[tuple[str, float, float]]
) -> None:
    relays, now_s = Relays("g", TWELVE[:count], every_s), 100.0
    chosen = [now_s]
    at, direct_s, left_s, fails = relays.choose(now_s), [-1e9], -1e9, 0
    last = dict.fromkeys(relays.order, "")
    for what, wait_s, chance in steps:
        asked_s, now_s = now_s, now_s + wait_s * (0.01 if what == "fails" else 0.1)
        if what in ("fails", "silent"):
            fails += 1
            after_s: float | None = relays.on_failure(now_s, what == "silent", chance)
            assert after_s is not None and 0 <= after_s <= MOST_WAIT_S
        else:
            age_s = 1.0 if what == "fresh" else STALE_S + wait_s + 0.1
            fails = 0 if at else fails
            after_s = relays.on_answer(now_s, asked_s, age_s, True, chance)
            looked = relays.look(age_s) if after_s is None else None
            assert looked is None or (looked is not at and age_s > LOOK_AGE_S)
            if looked is not None:
                relays.on_look(looked, asked_s, None if chance < 0.3 else chance * 5)
                last[looked] = "fails" if chance < 0.3 else "looked at"
        if at is not None:
            last[at] = what
        if after_s is None:
            continue
        now_s += after_s
        voluntary = at is not None and what in ("fresh", "stale")
        assert not (voluntary and what == "fresh" and at is relays.order[0])  # never from its first choice
        assert not voluntary or now_s - left_s >= VOLUNTARY_S
        left_s = now_s if voluntary else left_s
        assert now_s - chosen[-1] >= (MOST_WAIT_S / 2 if fails >= 4 else MOVE_GAP_S) - 1e-6
        chosen.append(now_s)
        at = relays.choose(now_s)
        if at is None:
            assert all(word in ("fails", "silent") for word in last.values())
            assert now_s - direct_s[-1] >= every_s - 1e-6
            direct_s.append(now_s)


@given(st.lists(st.tuples(st.sets(st.integers(0, 11), min_size=1), st.booleans(), st.floats(0, 1)), max_size=20))
def test_whoever_is_replaced_the_present_relay_is_one_of_those_named_or_is_left(
    turns: list[tuple[set[int], bool, float]],
) -> None:
    relays, now_s, chosen_s = Relays("g", TWELVE, 10.0), 100.0, 100.0
    relays.choose(now_s)
    for numbers, fails, chance in turns:
        seen, at = {relay.address: relay for relay in relays.order}, relays.at
        named_now = [TWELVE[number] for number in numbers]
        after_s = relays.replace(now_s, "g", named_now, 10.0, chance)
        assert [relay.address for relay in relays.order] == order_of("g", named_now)
        assert all(seen.get(relay.address, relay) is relay for relay in relays.order)  # what was seen is kept
        assert (after_s is None) == (at is None or at.address in named_now)
        if after_s is None and fails:
            after_s = relays.on_failure(now_s, False, chance)
        if after_s is not None:
            now_s += after_s
            assert now_s - chosen_s >= MOVE_GAP_S - 1e-9 and after_s <= MOST_WAIT_S
            chosen_s = now_s
            relays.choose(now_s)
        assert relays.at is None or relays.at in relays.order


def test_new_relays_are_asked_before_discovery_itself() -> None:
    relays = Relays("g", TWELVE[:1], 10.0)
    relays.choose(0.0)
    now_s = relays.on_failure(0.0, False, 0.5)
    assert relays.direct_due_s is not None
    relays.replace(now_s, "g", TWELVE[1:3], 10.0, 0.5)
    assert relays.direct_due_s is None and relays.choose(1_000.0) is relays.order[0]


def test_the_first_call_to_discovery_is_spread_over_the_fleet() -> None:
    """10 a second of 1,000 gateways: all have asked after 100 s, and no ten seconds saw half as many again."""
    first = []
    for n in range(1_000):
        relays = Relays("g", TWELVE[:1], 100.0)
        relays.choose(0.0)
        relays.on_failure(0.0, False, n / 1_000)
        assert relays.direct_due_s is not None
        first.append(relays.direct_due_s)
    assert max(Counter(int(due_s / 10) for due_s in first).values()) <= 150


def test_it_goes_back_to_its_first_choice_and_holds_to_it() -> None:
    relays = Relays("g", TWELVE[:3], 100.0)
    first = relays.choose(0.0)
    now_s = relays.on_failure(0.0, False, 0.5)
    assert relays.choose(now_s) is relays.order[1]
    while relays.on_answer(now_s, now_s, 0.5, True, 0.5) is None:
        now_s += HELD_S
    assert 5.0 < now_s < 25.0 and relays.choose(now_s) is first
    assert relays.on_answer(now_s, now_s, 0.5, True, 0.5) is None


def test_once_a_relay_answers_discovery_is_not_asked() -> None:
    relays = Relays("g", TWELVE[:1], 1.0)
    relays.choose(0.0)
    relays.on_failure(0.0, False, 0.5)
    assert relays.choose(0.4) is not None and relays.on_answer(0.4, 0.4, 0.5, True, 0.5) is None
    assert relays.choose(9.0) is relays.order[0]


def test_in_a_small_fleet_discovery_does_not_keep_it_from_its_relays() -> None:
    """Where discovery may be asked again at once, each second turn is a relay's all the same."""
    relays, now_s = Relays("g", TWELVE[:2], 0.01), 0.0
    asked: list[bool] = []
    for _ in range(20):
        asked.append(relays.choose(now_s) is None)
        if asked[-1]:
            after_s = relays.on_answer(now_s + 0.01, now_s, 0.0, False, 0.5)
            assert after_s is not None
        else:
            after_s = relays.on_failure(now_s + 0.01, False, 0.5)
        now_s += 0.01 + after_s
    assert any(asked) and not any(one and other for one, other in itertools.pairwise(asked))


def answered(relays: Relays, now_s: float, ages: dict[Relay, float | None], chance: float) -> float | None:
    """The present one answers; so does who is looked at by that (None: it does not)."""
    assert relays.at is not None
    age_s = ages[relays.at]
    assert age_s is not None
    after_s = relays.on_answer(now_s, now_s, age_s, True, chance)
    if after_s is None and (looked := relays.look(age_s)) is not None:
        relays.on_look(looked, now_s, ages[looked])
    return after_s


def test_where_all_are_stale_it_rests_at_the_freshest() -> None:
    relays, now_s, moves, there = Relays("g", TWELVE[:4], 100.0), 0.0, 0, 0
    relays.choose(0.0)
    while now_s < 300.0:
        ages: dict[Relay, float | None] = {
            relay: now_s + 30.0 - 10 * place for place, relay in enumerate(relays.order)
        }  # fmt: skip
        if answered(relays, now_s, ages, 0.1) is not None:
            moves += 1
            relays.choose(now_s)
        there += relays.at is relays.order[-1]
        now_s += HELD_S
    assert moves <= 2 and there * HELD_S > 290.0


@pytest.mark.parametrize("dead", [0, 1, 2, 3, 6])
def test_a_stale_relay_is_left_in_time_for_one_that_is_well_also_where_all_rest(dead: int) -> None:
    """All failed a moment ago, and the last is back when the first is cut off. A drain counts as told after 6 s."""
    relays = Relays("g", TWELVE[: dead + 2], 100.0)
    first, *others = relays.order
    relays.choose(0.0)
    now_s = 0.0
    for each in (*others, first):  # each is asked in vain once
        relays.wish = each
        relays.choose(now_s)
        now_s += relays.on_failure(now_s, False, 1.0)
    relays.wish = first
    relays.choose(now_s)
    cut_s = now_s
    assert all(other.rests_until_s > now_s + TOLD_S for other in others)
    while relays.at is first and now_s - cut_s < TOLD_S:
        ages: dict[Relay, float | None] = dict.fromkeys(others, None)
        ages |= {first: now_s - cut_s, others[-1]: 0.3}
        after_s = answered(relays, now_s, ages, 1.0)
        now_s += HELD_S if after_s is None else after_s
        if after_s is not None:
            relays.choose(now_s)
    assert relays.at is others[-1] and now_s - cut_s < TOLD_S


def test_who_is_well_again_is_found_however_long_all_were_stale() -> None:
    relays, now_s = Relays("g", TWELVE[:3], 100.0), 0.0
    relays.choose(0.0)
    while now_s < 600.0:
        ages: dict[Relay, float | None] = dict.fromkeys(relays.order, now_s)
        answered(relays, now_s, ages, 1.0)
        now_s += HELD_S
    assert relays.at is relays.order[0]
    while relays.at is relays.order[0] and now_s < 610.0:
        ages = dict.fromkeys(relays.order, now_s)
        ages[relays.order[2]] = 0.3
        after_s = answered(relays, now_s, ages, 1.0)
        now_s += HELD_S if after_s is None else after_s
        if after_s is not None:
            relays.choose(now_s)
    assert relays.at is relays.order[2] and now_s < 600.0 + 3.0


@pytest.mark.parametrize("body", [b"[]", b"{}", b"x", b'{"version":null,"age_ms":1}', b'{"version":1,"age_ms":null}'])
def test_a_state_without_a_list_has_no_age(body: bytes) -> None:
    with pytest.raises(ValueError):
        age_in_state(body)
    assert age_in_state(b'{"version":1,"age_ms":250}') == 0.25


# What is believed

HOSTS = 3


EVENT_S = 0.5


@pytest.mark.parametrize("part", range(4))
def test_no_relay_undoes_a_restriction_that_is_known(part: int) -> None:
    """Discovery changes twice a second; each relay is behind it as it likes, and tells the least age that is true."""
    for seed in range(part * 250, part * 250 + 250):
        wander(random.Random(seed))


def wander(chance: random.Random) -> None:
    history = [(chance.randrange(HOSTS), chance.choice(list(ServerStatus))) for _ in range(120)]
    belief, now_s, run, of = Belief(), 2.0, -1, 0
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
        kind, passed, asks = belief.take(now_s, asked_s, age_s, whole, entries)
        run = -1 if asks else run  # the next is whole
        before, named = core, {entry.listed.server: entry.listed.status for entry in passed}
        core = {**({} if kind is ListKind.FULL else before), **named}
        core = {n: status for n, status in core.items() if status is not ServerStatus.GONE}
        assert core == belief.held
        for n in range(HOSTS):
            if core.get(n) is ServerStatus.READY and before.get(n) is not ServerStatus.READY:
                assert of >= ended[n]
            restricts = n in named and said.get(n) in (ServerStatus.DRAINING, ServerStatus.GONE)
            if restricts or (n in before and n not in core):
                ended[n] = max(ended[n], of)
        if age_s <= STALE_S and not asks:  # what waits has cause to
            assert all(belief.ends[n][0] > asked_s - age_s - SLACK_S for n in belief.waiting)
        assert len(belief.ends) <= HOSTS and len(belief.waiting) <= HOSTS


def test_what_waits_is_replaced_by_a_newer_word_however_old_that_is() -> None:
    def listed(*statuses: ServerStatus) -> list[Endpoint]:
        return [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, status)) for n, status in enumerate(statuses)]

    belief = Belief()
    belief.take(9.0, 9.0, 0.0, True, listed(ServerStatus.READY, ServerStatus.READY))
    belief.take(10.0, 9.8, 0.0, False, listed(ServerStatus.GONE))
    belief.take(10.3, 10.2, 1.0, True, listed(ServerStatus.READY, ServerStatus.READY))
    assert list(belief.waiting) == [0]
    belief.take(14.0, 13.8, STALE_S + 1.0, False, listed(ServerStatus.DRAINING))
    _, told, _ = belief.take(15.0, 14.8, 0.0, False, [])
    assert not told and list(belief.held) == [1]


def test_what_was_restricted_long_ago_is_not_kept() -> None:
    belief = Belief()
    for n in range(100):
        gone = [Endpoint(f"s-{n}", ("h", 1), ListedServer(n, ServerStatus.GONE))]
        belief.take(float(n), float(n), 0.1, False, gone)
    assert len(belief.ends) <= STALE_S + 2


def test_of_discoverys_own_list_only_those_held_are_taken_while_they_serve() -> None:
    def listed(*numbers: int) -> list[Endpoint]:
        return [Endpoint(f"s-{n}", ("h", 1), ListedServer(n)) for n in numbers]

    held = dict.fromkeys(range(4), ServerStatus.READY)
    assert [entry.listed.server for entry in of_those_held(held, listed(0, 1, 8, 9))] == [0, 1]
    assert [entry.listed.server for entry in of_those_held(held, listed(0, 8, 9))] == [0, 8, 9]


def test_a_subset_that_fails_grows_and_comes_back() -> None:
    width, now_s, reached = Width(), 100.0, []
    for _ in range(40):
        now_s += WIDE_STEP_S / 4
        reached.append(width.step(now_s, 4, 8))
    assert reached == sorted(reached) and reached[0] == 1 and reached[-1] == WIDEST
    assert reached.count(1) >= 4 and reached.count(2) >= 4  # one doubling at a time
    assert width.step(now_s + WIDE_BACK_S - 1, 3, 8) == WIDEST
    assert [width.step(now_s + n * (WIDE_BACK_S + 1), 0, 8) for n in range(1, 6)] == [2, 1, 0, 0, 0]


# On loopback


def relay_list(index: int, *endpoints: dict[str, object], age_ms: object = 100, snapshot: bool = True) -> bytes:
    return reply(200, json.dumps(hosts_list(index, *endpoints, snapshot=snapshot) | {"age_ms": age_ms}).encode())


def holding(whole: bytes) -> Script:
    """A relay with one list, without news."""

    async def script(exchange: Exchange) -> None:
        if "/relay/state" in exchange.message.first:
            exchange.answer(reply(200, b'{"version":5,"age_ms":100}'))
        elif "from=" in exchange.message.first:
            await asyncio.sleep(HELD_S / 2)
            exchange.answer(relay_list(5, snapshot=False))
        else:
            exchange.answer(whole)

    return script


@asynccontextmanager
async def behind(
    host: Peer, relays: list[Peer], discovery: str = "127.0.0.1:9", **options: Any
) -> AsyncIterator[tuple[Running, list[Peer]]]:
    """The gateway behind relays, and these in its order."""
    config = parse(configuration(host, discovery=discovery))
    addresses = tuple(("127.0.0.1", int(relay.address.split(":")[1])) for relay in relays)
    program = assemble(config, Options(relays=RelayOptions(addresses, **options)))
    assert isinstance(program.discovery, RelayedDiscovery)
    ports = [relay.address[1] for relay in program.discovery.relays.order]
    by_port = {relay.address[1]: relay.address for relay in program.discovery.relays.order}
    assert sorted(by_port) == sorted(ports)
    ordered = sorted(relays, key=lambda relay: ports.index(int(relay.address.split(":")[1])))
    try:
        yield Running(program.gateway, program.server, program.pools, program.discovery, 0), ordered
    finally:
        program.close()


def drained(run: Running, number: int = 0) -> bool:
    return run.pools.hosts[host_id(number)].drained_us is not None


def targets(relay: Peer) -> list[str]:
    return [exchange.message.first.split(" ")[1] for exchange in relay.seen]


@on_loop
async def test_it_names_itself_and_asks_one_relay_alone() -> None:
    async with (
        peer() as host,
        peer() as a,
        peer() as b,
        peer() as discovery,
        behind(host, [a, b], discovery.address, services=("s1", "s 2")) as (run, (first, second)),
    ):
        first.script = holding(relay_list(5, endpoint("s-1", host.address, service="s1", users=12)))
        run.gateway.start()
        await until(lambda: len(first.seen) >= 3)
        named = "/registry/instances?gateway=n0&services=s1,s%202&wide=0"
        assert targets(first)[:3] == [named] + [named + "&from=5&hold_ms=400"] * 2
        assert set(run.pools.hosts) == {host_id(1)} and first.opened == 1
        assert not second.opened and not discovery.opened
        assert run.module.endpoints.by_server[host_id(1)].entry.users == 12


def coded(body: bytes, coding: str = "gzip") -> Script:
    return answers(reply(200, body, f"Content-Encoding: {coding}"))


DRAIN = json.dumps(hosts_list(6, endpoint("s-0", "127.0.0.1:9", status="DRAINING"), snapshot=False)).encode()
FAULTS: dict[str, Script] = {
    "gzip cut short": coded(gzip.compress(DRAIN)[:-9]),
    "more than gzip": coded(gzip.compress(DRAIN) + b"x"),
    "no gzip": coded(DRAIN),
    "another coding": coded(DRAIN, "br"),
    "too long once read": coded(gzip.compress(DRAIN + b" " * LIST_LIMIT, 1)),
    "reset": lambda exchange: exchange.reset(),
    "refuses": answers(reply(503)),
    "rubbish": answers(reply(200, b"not JSON")),
    "odd age": answers(relay_list(6, age_ms="old")),
    "no entry that can be used": answers(relay_list(6, {"name": "", "status": "SERVING"})),
    "silent": silent,
    "stale": lambda exchange: exchange.answer(relay_list(6, age_ms=60_000, snapshot=False)),
}


@pytest.mark.parametrize("fault", FAULTS)
@on_loop
async def test_a_relay_that_fails_costs_no_news_and_the_list_stands(fault: str) -> None:
    async with (
        peer() as host,
        peer() as a,
        peer() as b,
        behind(host, [a, b]) as (run, (first, second)),
    ):
        since: list[float] = []

        def script(exchange: Exchange) -> None:
            if "from=" not in exchange.message.first and not since:
                exchange.answer(relay_list(5, endpoint("s-0", host.address)))
            else:
                since.append(time.monotonic())
                FAULTS[fault](exchange)

        first.script = script
        second.script = holding(relay_list(900, endpoint("s-0", host.address, status="DRAINING")))
        run.gateway.start()
        await until(lambda: since)
        assert not drained(run)
        await until(lambda: drained(run))
        assert time.monotonic() - since[0] < HOLD_S + LONG_LATE_S  # when a watch of discovery is given up
        assert "from=" not in next(target for target in targets(second) if target != "/relay/state")
        left = len(first.seen)
        await until(lambda: len(second.seen) >= 3)
        assert len(first.seen) == left and first.ended == first.opened  # it rests, and its connection is closed


@pytest.mark.parametrize("state", [b"rubbish", b'{"version":1,"age_ms":59000}', None])
@on_loop
async def test_a_relay_that_is_cut_off_is_left_for_one_that_says_it_is_well(state: bytes | None) -> None:
    """The others are looked at meanwhile: one that says rubbish, hardly less old, or nothing is not gone to."""
    entry = endpoint("s-0", "127.0.0.1:1")

    def says(age_ms: int, answer: bytes | None) -> Script:
        async def script(exchange: Exchange) -> None:
            if exchange.message.first.startswith("GET /relay/state "):
                if answer is not None:
                    exchange.answer(reply(200, answer))
                return
            is_held = "from=" in exchange.message.first
            await asyncio.sleep(HELD_S / 10 if is_held else 0)
            exchange.answer(relay_list(5, *(() if is_held else (entry,)), age_ms=age_ms, snapshot=not is_held))

        return script

    async with peer() as host, peer() as a, peer() as b, peer() as c, behind(host, [a, b, c]) as (run, ordered):
        ordered[0].script = says(60_000, None)
        ordered[1].script = says(59_900, state)
        ordered[2].script = says(300, b'{"version":7,"age_ms":300}')
        run.gateway.start()
        await until(lambda: run.discovery.relays.at is run.discovery.relays.order[2])  # type: ignore[attr-defined]
        await until(lambda: any("from=" in target for target in targets(ordered[2])))
        assert {target for target in targets(ordered[1])} == {"/relay/state"}
        assert ordered[0].opened == 1


@on_loop
async def test_what_a_relay_says_that_was_left_is_not_heard() -> None:
    async with (
        peer() as host,
        peer() as a,
        peer() as b,
        behind(host, [a, b]) as (run, (first, second)),
    ):
        paced: list[bool] = []

        async def late(exchange: Exchange) -> None:
            await until(lambda: run.discovery.retry)  # it is between the two
            run.gateway.carry_out(WatchList())
            paced.append(run.discovery.task is None)
            with suppress(RuntimeError):  # closed already
                exchange.answer(relay_list(9, endpoint("s-9", host.address)))

        first.script = late
        second.script = holding(relay_list(5, endpoint("s-0", host.address)))
        run.gateway.start()
        await until(lambda: len(second.seen) >= 4)
        assert first.ended == 1 and paced == [True]
        assert set(run.pools.hosts) == {host_id(0)}


@pytest.mark.parametrize("age_ms", [1_500, 60_000])
@on_loop
async def test_a_move_at_the_moment_of_a_drain_does_not_undo_it(age_ms: int) -> None:
    """The relay that it moves to has not heard of the drain; what it says counts once its list is as young."""
    async with (
        peer() as host,
        peer() as a,
        peer() as b,
        behind(host, [a, b]) as (run, (first, second)),
    ):

        def told(exchange: Exchange) -> None:
            leaving = endpoint("s-0", host.address, status="DRAINING")
            if "from=" in exchange.message.first:
                exchange.reset()
            else:
                exchange.answer(relay_list(5, leaving, endpoint("s-1", host.address)))

        first.script = told
        old = [endpoint(f"s-{n}", host.address) for n in (0, 1)]
        second.script = holding(relay_list(5, *old, age_ms=age_ms))
        run.gateway.start()
        await until(lambda: len(second.seen) >= 2)  # its list has been heard
        assert drained(run) and not drained(run, 1)
        assert isinstance(run.discovery, RelayedDiscovery)
        second.script = holding(relay_list(6, *old, age_ms=0))
        await until(lambda: not drained(run))
        assert run.discovery.moves == 2


@on_loop
async def test_with_all_dead_it_serves_on_asks_discovery_seldom_and_comes_back() -> None:
    def reset(exchange: Exchange) -> None:
        exchange.reset()

    async with peer() as host, peer(reset) as a, peer(reset) as b, peer() as discovery:
        listed = [endpoint(f"s-{n}", host.address, service=s) for n, s in ((1, "s1"), (2, "s2"))]
        discovery.script = answers(list_reply(70, *listed))
        async with behind(host, [a, b], discovery.address, services=("s1",), direct_per_s=1) as (run, order):
            began_s = time.monotonic()
            run.gateway.start()
            await until(lambda: all(len(relay.seen) >= 2 for relay in order))
            assert len(run.pools.hosts) == 1
            await until(lambda: len(discovery.seen) >= 2)
            assert len(discovery.seen) <= 1 + (time.monotonic() - began_s)
            assert targets(discovery)[0] == "/registry/instances" and set(run.pools.hosts) == {host_id(1)}
            order[1].script = holding(relay_list(5, endpoint("s-3", host.address)))
            await until(lambda: set(run.pools.hosts) == {host_id(3)})
            asked = len(discovery.seen)
            await until(lambda: len(order[1].seen) >= 8)
            assert len(discovery.seen) == asked


@on_loop
async def test_a_gateway_whose_hosts_fail_asks_for_more() -> None:
    async with (
        peer() as host,
        peer() as a,
        behind(host, [a]) as (run, (relay,)),
    ):
        relay.script = holding(relay_list(5, endpoint("s-0", host.address), endpoint("s-1", host.address)))
        assert isinstance(run.discovery, RelayedDiscovery)
        run.discovery.outs = lambda: 1
        run.gateway.start()
        await until(lambda: any("&wide=1&from=5" in target for target in targets(relay)))


# Settings


def test_users_of_an_entry_are_taken_where_they_are_a_count() -> None:
    names = Names({}, {}, {}, {})
    for told, users in ((3, 3), (0, 0), (-1, 0), (True, 0), ("7", 0), (2.5, 0)):
        assert parse_entry(endpoint("s-1", "h:1", users=told, service="s1"), names).listed.users == users


@pytest.mark.parametrize("age", [-1, True, 1.5, "1", None, 10**12])
def test_an_age_that_is_none_is_refused(age: object) -> None:
    assert age_of({}) == 0.0 and age_of({"age_ms": 1_500}) == 1.5
    with pytest.raises(ValueError, match="age_ms: expected"):
        age_of({"age_ms": age})


@pytest.mark.parametrize(
    "table, said",
    [
        ({}, "relays: addresses: expected a list of 1 to 64 different host:port, found None"),
        ({"addresses": []}, "relays: addresses: expected a list of 1 to 64"),
        ({"addresses": ["h"]}, "relays: addresses: expected a list of 1 to 64"),
        ({"addresses": ["h:1", "h:1"]}, "relays: addresses: expected a list of 1 to 64 different"),
        ({"addresses": ["h:1"], "services": "s"}, "relays: services: expected a list of at most 256 different names"),
        ({"addresses": ["h:1"], "services": ["a,b"]}, "relays: services: expected a list of at most 256"),
        ({"addresses": ["h:1"], "services": ["é" * 65]}, "relays: services: expected a list of at most 256"),
        ({"addresses": ["h:1"], "services": [f"{n:0128}" for n in range(129)]}, "relays: services: expected"),
        ({"addresses": ["h:1"], "direct_per_s": 0}, "relays: direct_per_s: expected a whole number from 1 to 10000"),
        ({"addresses": ["h:1"], "x": 0}, "relays: x: unknown; expected one of addresses, services, direct_per_s"),
    ],
)
def test_options_that_cannot_be_used_name_file_and_key(table: dict[str, Any], said: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse_options({"relays": table}, "o.toml")
    assert str(error.value).startswith("o.toml: " + said)


def test_the_file_that_is_shipped_can_be_used() -> None:
    relays = load({"CLOVERKEEL_OPTIONS": str(ROOT / "deploy" / "relays-gateway.toml")}).relays
    assert relays == RelayOptions(tuple(("127.0.0.1", port) for port in (7101, 7102, 7103)))


def test_what_is_off_is_not_imported() -> None:
    code = "import sys, cloverkeel.assembly; print([m for m in sys.modules if '.relay' in m or 'urllib' in m])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
