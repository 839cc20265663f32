"""What a list costs: a change that of the change, a long list no long stop, the collector nothing that it knows."""

from __future__ import annotations

import asyncio
import gc
import random
import weakref
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import Send
from cloverkeel.balancing.events import AttemptEnded, ListKind, ListedServer, Outcome, RequestArrived
from cloverkeel.balancing.settings import RequestClass
from cloverkeel.balancing.events import ServerList, ServerStatus
from cloverkeel.balancing.settings import Settings as Rules
from cloverkeel.core.gc_tuning import ENTRIES_PER_FREEZE, EndpointFreezer
from cloverkeel.core.ports import Endpoint
from cloverkeel.core.list_batches import MAX_UNSPLIT_ENTRIES, MAX_GROWTH_FACTOR, BATCH_ENTRIES, ListBatches

from benchmarks.streams import Stream
from tests.sockets import Running, answers, configuration, on_loop, overhear, peer, reply, running

BEGIN_US = 100_000_000
RULES = Rules(
    classes=(RequestClass(objective_us=2_000_000, client_timeout_us=4_000_000),), proxies=400, start_capacity=0.3,
    slow_start_us=10_000_000, collapse_multiple=3.0,
)  # fmt: skip

# The module


@pytest.mark.parametrize("seed", range(12))
def test_incremental_ranking_and_weight_sum_match_the_complete_list(seed: int) -> None:
    stream = Stream(seed, 1_500)
    for event, came in stream.play():
        assert not came.startswith("raised"), (event, came)
        if isinstance(event, ServerList):
            servers = stream.balancer.endpoints.by_server.values()
            assert stream.balancer.endpoints.ranked == sorted(servers, key=lambda server: server.rank)
            assert stream.balancer.endpoints.weight_sum == pytest.approx(
                sum(server.weight for server in servers), abs=1e-9
            )


class Unwalked(dict[int, Any]):
    """What may be asked for one thing, and not gone through."""

    def items(self) -> Any:
        raise AssertionError("went through all")

    values = keys = __iter__ = items


def test_a_delta_does_not_iterate_over_the_complete_list() -> None:
    balancer = Balancer(RULES, seed=1)
    hosts = tuple(ListedServer(number) for number in range(500))
    balancer.handle(BEGIN_US, ServerList(ListKind.FULL, hosts))
    balancer.endpoints.by_server = Unwalked(balancer.endpoints.by_server)
    for entry in (
        ListedServer(7, weight=2.0), ListedServer(7, started_us=BEGIN_US), ListedServer(900, started_us=BEGIN_US),
        ListedServer(8, ServerStatus.DRAINING), ListedServer(9, ServerStatus.GONE), ListedServer(9),
    ):  # fmt: skip
        balancer.handle(BEGIN_US, ServerList(ListKind.DELTA, (entry,)))
        listed = entry.status is not ServerStatus.GONE
        assert [server.entry for server in balancer.endpoints.ranked if server.entry.server == entry.server] == [
            entry
        ] * listed
    assert len(balancer.endpoints.ranked) == 501


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 60), st.floats(3, 500)), min_size=1, max_size=20))
def test_the_quotas_of_all_gateways_never_exceed_a_warming_servers_budget(
    fleet: list[tuple[int, float]],
) -> None:
    """Whatever each one's list and reach: by these alone, twenty of 40 that know 60 hosts took ten times it."""
    parts = 0.0
    for number, (hosts, reach) in enumerate(fleet):
        balancer = Balancer(replace(RULES, proxies=40, proxy=number), seed=number)
        cold = ListedServer(10_000, started_us=BEGIN_US, users=len(fleet))
        listed = (cold, *(ListedServer(n * 17 + number) for n in range(hosts)))
        balancer.handle(BEGIN_US, ServerList(ListKind.FULL, listed))
        balancer.subset.size = reach
        endpoint = balancer.endpoints.by_server[10_000]
        at_once_us = balancer.slow_start.burst_us(balancer.now_us, endpoint)
        evenly_us = balancer.slow_start.window_us(balancer.now_us, endpoint)
        parts += (at_once_us + evenly_us) / balancer.slow_start.capacity_ratio(balancer.now_us, endpoint)
    assert parts <= RULES.collapse_multiple * RULES.collapse_window_us


def test_a_growing_quota_does_not_allow_a_burst() -> None:
    """Those that knew the server until now may just have spent theirs."""
    klass = RequestClass(objective_us=80_000, client_timeout_us=4_000_000)
    balancer = Balancer(replace(RULES, classes=(klass,), start_capacity=1.0), seed=1)

    def sent(at_us: int, users: int) -> int:
        entry = ListedServer(9, started_us=BEGIN_US, users=users)
        balancer.handle(at_us, ServerList(ListKind.DELTA, (entry,)))
        count = 0
        for number in range(40):
            name = f"{at_us}.{users}.{number}"
            for action in balancer.handle(at_us, RequestArrived(name, 0, 4_000_000, work_us=20_000)):
                if isinstance(action, Send):
                    count += 1
                    balancer.handle(at_us, AttemptEnded(name, 0, 9, Outcome.OK, 20_000, finished=True))
        return count

    sent(BEGIN_US, 20)
    assert sent(BEGIN_US + 2_000_000, 20) == 3  # 67,500 µs at once: all that it may
    assert sent(BEGIN_US + 2_000_000, 4) == 0  # 337,500 now, and as much of it is taken for spent as came
    assert sent(BEGIN_US + 3_000_000, 4) == 16  # what was worked off meanwhile


# Parts of long lists


def entry_of(
    number: int, status: ServerStatus = ServerStatus.READY, started_us: int = 0, weight: float = 1.0
) -> Endpoint:
    return Endpoint(f"h-{number}", ("10.0.0.1", number), ListedServer(number, status, weight, started_us=started_us))


class Applied:
    """What was applied to the balancer and the pools: the newest entry of each host that is not removed."""

    def __init__(self) -> None:
        self.hosts: dict[int, Endpoint] = {}

    def take(self, entries: list[Endpoint]) -> None:
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.hosts.pop(entry.listed.server, None)
            else:
                self.hosts[entry.listed.server] = entry

    def is_another(self, entry: Endpoint) -> bool:
        known = self.hosts.get(entry.listed.server)
        return known is not None and known.listed.started_us != entry.listed.started_us


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.sampled_from(("whole", "change", "small", "turn", "turn")), max_size=14))
def test_applied_and_pending_entries_are_always_the_newest(seed: int, steps: list[str]) -> None:
    rng, slices, applied, truth = random.Random(seed), ListBatches(), Applied(), Applied()
    for step in ["whole", *steps]:
        if step == "turn":
            applied.take(slices.next_batch())
        else:
            count = {"whole": 700, "change": 300, "small": 5}[step]
            statuses = (ServerStatus.READY,) * 8 + (ServerStatus.DRAINING, ServerStatus.GONE)
            numbers = rng.sample(range(900), count)
            entries = [entry_of(n, rng.choice(statuses), rng.choice((0, 0, 0, 5)), rng.random()) for n in numbers]
            if step == "whole":
                slices.clear()
                truth.hosts.clear()
                applied.hosts = {n: entry for n, entry in applied.hosts.items() if n in numbers}
            truth.take(entries)
            known = len(applied.hosts)
            now = slices.split(entries, known, applied.is_another)
            applied.take(now)
            assert step != "small" or now == entries
            assert now == entries or MAX_GROWTH_FACTOR * known >= len(entries) > MAX_UNSPLIT_ENTRIES
        assert applied.hosts | slices.pending == truth.hosts  # the newest entry of each host, and no other host
        for server, entry in applied.hosts.items():  # of what is in use, every restriction is applied
            newest = truth.hosts[server].listed
            assert newest.status is entry.listed.status or newest.status is ServerStatus.READY
            assert newest.started_us == entry.listed.started_us
    while slices.pending:
        part = slices.next_batch()
        assert 0 < len(part) <= BATCH_ENTRIES
        applied.take(part)
    assert applied.hosts == truth.hosts


def lists_told(run: Running) -> list[ServerList]:
    lists: list[ServerList] = []

    def on_event(event: object) -> None:
        if isinstance(event, ServerList) and event.kind is not ListKind.ERROR:  # nobody answers there
            lists.append(event)

    overhear(run, on_event)
    return lists


def serving(numbers: range, weight: float = 1.0) -> list[Endpoint]:
    return [entry_of(number, weight=weight) for number in numbers]


@on_loop
async def test_the_event_loop_runs_between_the_batches_of_a_long_list() -> None:
    async with running(configuration("127.0.0.1:9")) as run:
        run.gateway.on_endpoint_list(ListKind.FULL, serving(range(500)))  # nearly all new: applied in one piece
        lists = lists_told(run)
        gone = {*range(20), *range(491, 499), *run.module.endpoints.by_server} - {*range(20, 491), 499}
        anew, drains = entry_of(490, started_us=BEGIN_US), entry_of(499, ServerStatus.DRAINING)
        listed = [*serving(range(20, 490), weight=0.5), *serving(range(500, 600)), anew, drains]
        run.gateway.on_endpoint_list(ListKind.FULL, listed)
        first = lists.pop()
        assert not lists and first.kind is ListKind.DELTA  # at once: what restricts, and no more
        assert {entry.server for entry in first.servers if entry.status is ServerStatus.GONE} == gone
        assert first.servers[len(gone) :] == (anew.listed, drains.listed)
        assert not any(run.pool.has_host(number) for number in gone)
        last = next(reversed(run.gateway.endpoint_updates.batches.pending.values()))
        run.gateway.on_endpoint_list(ListKind.DELTA, [entry_of(last.listed.server, ServerStatus.GONE)])
        assert lists.pop().servers[0].status is ServerStatus.GONE and not lists  # ahead of what waits
        turns = 0
        while run.gateway.endpoint_updates.batches.pending:
            before = len(lists)
            await asyncio.sleep(0)
            assert len(lists) <= before + 1
            turns += 1
        assert turns >= 569 / BATCH_ENTRIES and all(len(event.servers) <= BATCH_ENTRIES for event in lists)
        assert set(run.module.endpoints.by_server) == {entry.listed.server for entry in listed if entry is not last}
        assert run.pool.host_count() == len(listed) - 1


@on_loop
async def test_a_list_up_to_the_unsplit_limit_is_applied_at_once() -> None:
    async with running(configuration("127.0.0.1:9")) as run:
        lists = lists_told(run)
        for listed in (serving(range(MAX_UNSPLIT_ENTRIES)), serving(range(5, MAX_UNSPLIT_ENTRIES + 5), weight=0.5)):
            run.gateway.on_endpoint_list(ListKind.FULL, listed)
            assert lists.pop() == ServerList(ListKind.FULL, tuple(entry.listed for entry in listed)) and not lists


@on_loop
async def test_after_a_stall_the_complete_list_is_applied_before_requests_are_sent() -> None:
    """Also what waited since before it."""
    async with peer(answers(reply())) as host, running(configuration(host)) as run:
        run.gateway.on_endpoint_list(ListKind.DELTA, serving(range(300)))
        run.gateway.on_endpoint_list(ListKind.DELTA, serving(range(300), weight=0.5))
        assert run.gateway.endpoint_updates.batches.pending
        run.gateway.check_stall(
            run.gateway.stall_detector.last_check_us + 10_000_000
        )  # a gap was seen: nothing may be sent
        await asyncio.sleep(0)
        assert not run.gateway.endpoint_updates.batches.pending and run.gateway.stall_detector.is_holding
        run.gateway.on_endpoint_list(ListKind.DELTA, [entry_of(7, weight=0.25)])
        weights = {number: run.module.endpoints.by_server[number].entry.weight for number in range(300)}
        assert weights.pop(7) == 0.25 and set(weights.values()) == {0.5}
        run.gateway.on_endpoint_list(ListKind.DELTA, serving(range(300), weight=0.75))
        assert {run.module.endpoints.by_server[number].entry.weight for number in range(300)} == {0.75}


# The collector


@contextmanager
def nothing_frozen() -> Iterator[None]:
    gc.collect()
    try:
        yield
    finally:
        gc.unfreeze()


@on_loop
async def test_frozen_endpoints_are_not_scanned_again_and_are_freed_after_removal() -> None:
    """Through forty lists, each of other hosts: what is frozen is as much as after the first ones."""
    async with peer(answers(reply())) as host, running(configuration(host)) as run:
        freezer = EndpointFreezer(asyncio.get_running_loop().call_soon)
        run.gateway.endpoint_updates.on_applied = freezer.on_entries_added
        with nothing_frozen():
            frozen: list[int] = []
            for turn in range(40):
                hosts = [*serving(range(turn * 600, turn * 600 + 600))]
                run.gateway.on_endpoint_list(ListKind.FULL, hosts)
                del hosts
                while run.gateway.endpoint_updates.batches.pending or freezer.is_scheduled:
                    await asyncio.sleep(0)
                if turn == 0:
                    assert freezer.freezes == 1 and gc.get_freeze_count() > 600 * 5
                    assert len(gc.get_objects()) < 600  # all that a full pass looks at from now on
                frozen.append(gc.get_freeze_count())
            assert freezer.freezes >= 40
            assert max(frozen[5:]) < frozen[4] + 600 * 2, frozen


class Knot:
    """Refers to itself: freed by the collector alone."""

    def __init__(self) -> None:
        self.me = self


def test_garbage_is_collected_before_freezing() -> None:
    with nothing_frozen():
        left = weakref.ref(Knot())
        EndpointFreezer(lambda freeze: freeze()).on_entries_added(ENTRIES_PER_FREEZE)
        assert left() is None and gc.get_freeze_count()


def test_small_lists_do_not_trigger_a_freeze_each() -> None:
    due: list[Any] = []
    freezer = EndpointFreezer(due.append)
    for _ in range(ENTRIES_PER_FREEZE - 1):
        freezer.on_entries_added(1)
    assert not due
    freezer.on_entries_added(1)
    freezer.on_entries_added(1_000)
    assert len(due) == 1  # one for all that came before its turn
