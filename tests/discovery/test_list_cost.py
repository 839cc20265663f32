"""The cost of endpoint lists: work per delta, suspension of long lists, garbage collection of known endpoints."""

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
from cloverkeel.balancing.settings import Settings as BalancerSettings
from cloverkeel.core.gc_tuning import ENTRIES_PER_FREEZE, EndpointFreezer
from cloverkeel.core.ports import Endpoint
from cloverkeel.core.list_batches import MAX_UNSPLIT_ENTRIES, MAX_GROWTH_FACTOR, BATCH_ENTRIES, ListBatches

from benchmarks.streams import EventStream
from tests.sockets import (
    RunningGateway,
    configuration,
    observe_events,
    on_loop,
    reply,
    respond_with,
    running_gateway,
    scripted_server,
)

START_US = 100_000_000
SETTINGS = BalancerSettings(
    classes=(RequestClass(objective_us=2_000_000, client_timeout_us=4_000_000),), proxies=400, start_capacity=0.3,
    slow_start_us=10_000_000, collapse_multiple=3.0,
)  # fmt: skip

# The balancer


@pytest.mark.parametrize("seed", range(12))
def test_incremental_ranking_and_weight_sum_match_the_complete_list(seed: int) -> None:
    stream = EventStream(seed, 1_500)
    for event, outcome in stream.describe_results():
        assert not outcome.startswith("raised"), (event, outcome)
        if isinstance(event, ServerList):
            servers = stream.balancer.endpoints.by_server.values()
            assert stream.balancer.endpoints.ranked == sorted(servers, key=lambda server: server.rank)
            assert stream.balancer.endpoints.weight_sum == pytest.approx(
                sum(server.weight for server in servers), abs=1e-9
            )


class NonIterableDict(dict[int, Any]):
    """A dict that permits lookups and rejects iteration."""

    def items(self) -> Any:
        raise AssertionError("iterated over all items")

    values = keys = __iter__ = items


def test_a_delta_does_not_iterate_over_the_complete_list() -> None:
    balancer = Balancer(SETTINGS, seed=1)
    hosts = tuple(ListedServer(number) for number in range(500))
    balancer.handle(START_US, ServerList(ListKind.FULL, hosts))
    balancer.endpoints.by_server = NonIterableDict(balancer.endpoints.by_server)
    for entry in (
        ListedServer(7, weight=2.0), ListedServer(7, started_us=START_US), ListedServer(900, started_us=START_US),
        ListedServer(8, ServerStatus.DRAINING), ListedServer(9, ServerStatus.GONE), ListedServer(9),
    ):  # fmt: skip
        balancer.handle(START_US, ServerList(ListKind.DELTA, (entry,)))
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
    """For any list and subset size; derived from these alone, 20 of 40 gateways with 60 hosts took 10 times it."""
    total_us = 0.0
    for number, (hosts, subset_size) in enumerate(fleet):
        balancer = Balancer(replace(SETTINGS, proxies=40, proxy=number), seed=number)
        warming_server = ListedServer(10_000, started_us=START_US, users=len(fleet))
        listed = (warming_server, *(ListedServer(n * 17 + number) for n in range(hosts)))
        balancer.handle(START_US, ServerList(ListKind.FULL, listed))
        balancer.subset.size = subset_size
        endpoint = balancer.endpoints.by_server[10_000]
        burst_us = balancer.slow_start.burst_us(balancer.now_us, endpoint)
        window_us = balancer.slow_start.window_us(balancer.now_us, endpoint)
        total_us += (burst_us + window_us) / balancer.slow_start.capacity_ratio(balancer.now_us, endpoint)
    assert total_us <= SETTINGS.collapse_multiple * SETTINGS.collapse_window_us


def test_a_growing_quota_does_not_allow_a_burst() -> None:
    """Gateways that listed the server before may just have used up their quotas."""
    request_class = RequestClass(objective_us=80_000, client_timeout_us=4_000_000)
    balancer = Balancer(replace(SETTINGS, classes=(request_class,), start_capacity=1.0), seed=1)

    def count_sent(at_us: int, users: int) -> int:
        entry = ListedServer(9, started_us=START_US, users=users)
        balancer.handle(at_us, ServerList(ListKind.DELTA, (entry,)))
        count = 0
        for number in range(40):
            name = f"{at_us}.{users}.{number}"
            for action in balancer.handle(at_us, RequestArrived(name, 0, 4_000_000, work_us=20_000)):
                if isinstance(action, Send):
                    count += 1
                    balancer.handle(at_us, AttemptEnded(name, 0, 9, Outcome.OK, 20_000, finished=True))
        return count

    count_sent(START_US, 20)
    assert count_sent(START_US + 2_000_000, 20) == 3  # a burst of at most 67,500 µs
    assert count_sent(START_US + 2_000_000, 4) == 0  # the quota grows to 337,500 µs; the increase counts as used
    assert count_sent(START_US + 3_000_000, 4) == 16  # the quota that was replenished meanwhile


# Batches of long lists


def make_endpoint(
    number: int, status: ServerStatus = ServerStatus.READY, started_us: int = 0, weight: float = 1.0
) -> Endpoint:
    return Endpoint(f"h-{number}", ("10.0.0.1", number), ListedServer(number, status, weight, started_us=started_us))


class Applied:
    """The entries applied to the balancer and the pools: the newest of each host that is not removed."""

    def __init__(self) -> None:
        self.hosts: dict[int, Endpoint] = {}

    def apply(self, entries: list[Endpoint]) -> None:
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.hosts.pop(entry.listed.server, None)
            else:
                self.hosts[entry.listed.server] = entry

    def is_restart(self, entry: Endpoint) -> bool:
        known = self.hosts.get(entry.listed.server)
        return known is not None and known.listed.started_us != entry.listed.started_us


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.sampled_from(("whole", "change", "small", "turn", "turn")), max_size=14))
def test_applied_and_pending_entries_are_always_the_newest(seed: int, steps: list[str]) -> None:
    rng, batches, applied, expected = random.Random(seed), ListBatches(), Applied(), Applied()
    for step in ["whole", *steps]:
        if step == "turn":
            applied.apply(batches.next_batch())
        else:
            count = {"whole": 700, "change": 300, "small": 5}[step]
            statuses = (ServerStatus.READY,) * 8 + (ServerStatus.DRAINING, ServerStatus.GONE)
            numbers = rng.sample(range(900), count)
            entries = [
                make_endpoint(n, rng.choice(statuses), rng.choice((0, 0, 0, 5)), rng.random()) for n in numbers
            ]
            if step == "whole":
                batches.clear()
                expected.hosts.clear()
                applied.hosts = {n: entry for n, entry in applied.hosts.items() if n in numbers}
            expected.apply(entries)
            known = len(applied.hosts)
            immediate = batches.split(entries, known, applied.is_restart)
            applied.apply(immediate)
            assert step != "small" or immediate == entries
            assert immediate == entries or MAX_GROWTH_FACTOR * known >= len(entries) > MAX_UNSPLIT_ENTRIES
        assert applied.hosts | batches.pending == expected.hosts  # no entry is lost or outdated
        for server, entry in applied.hosts.items():  # all restrictions and restarts of hosts in use are applied
            newest = expected.hosts[server].listed
            assert newest.status is entry.listed.status or newest.status is ServerStatus.READY
            assert newest.started_us == entry.listed.started_us
    while batches.pending:
        batch = batches.next_batch()
        assert 0 < len(batch) <= BATCH_ENTRIES
        applied.apply(batch)
    assert applied.hosts == expected.hosts


def record_lists(run: RunningGateway) -> list[ServerList]:
    lists: list[ServerList] = []

    def on_event(event: object) -> None:
        # Errors are expected, as nothing listens on discovery's address
        if isinstance(event, ServerList) and event.kind is not ListKind.ERROR:
            lists.append(event)

    observe_events(run, on_event)
    return lists


def make_endpoints(numbers: range, weight: float = 1.0) -> list[Endpoint]:
    return [make_endpoint(number, weight=weight) for number in numbers]


@on_loop
async def test_the_event_loop_runs_between_the_batches_of_a_long_list() -> None:
    async with running_gateway(configuration("127.0.0.1:9")) as run:
        # Nearly all hosts are new: applied at once
        run.gateway.on_endpoint_list(ListKind.FULL, make_endpoints(range(500)))
        lists = record_lists(run)
        removed_servers = {*range(20), *range(491, 499), *run.balancer.endpoints.by_server} - {*range(20, 491), 499}
        restarted, draining = make_endpoint(490, started_us=START_US), make_endpoint(499, ServerStatus.DRAINING)
        listed = [*make_endpoints(range(20, 490), weight=0.5), *make_endpoints(range(500, 600)), restarted, draining]
        run.gateway.on_endpoint_list(ListKind.FULL, listed)
        first = lists.pop()
        assert not lists and first.kind is ListKind.DELTA  # only restrictions and restarts are applied at once
        assert {entry.server for entry in first.servers if entry.status is ServerStatus.GONE} == removed_servers
        assert first.servers[len(removed_servers) :] == (restarted.listed, draining.listed)
        assert not any(run.pool.has_host(number) for number in removed_servers)
        last = next(reversed(run.gateway.endpoint_updates.batches.pending.values()))
        run.gateway.on_endpoint_list(ListKind.DELTA, [make_endpoint(last.listed.server, ServerStatus.GONE)])
        assert lists.pop().servers[0].status is ServerStatus.GONE and not lists  # overtakes the pending entries
        turns = 0
        while run.gateway.endpoint_updates.batches.pending:
            before = len(lists)
            await asyncio.sleep(0)
            assert len(lists) <= before + 1
            turns += 1
        assert turns >= 569 / BATCH_ENTRIES and all(len(event.servers) <= BATCH_ENTRIES for event in lists)
        assert set(run.balancer.endpoints.by_server) == {entry.listed.server for entry in listed if entry is not last}
        assert run.pool.host_count() == len(listed) - 1


@on_loop
async def test_a_list_up_to_the_unsplit_limit_is_applied_at_once() -> None:
    async with running_gateway(configuration("127.0.0.1:9")) as run:
        lists = record_lists(run)
        for listed in (
            make_endpoints(range(MAX_UNSPLIT_ENTRIES)),
            make_endpoints(range(5, MAX_UNSPLIT_ENTRIES + 5), weight=0.5),
        ):
            run.gateway.on_endpoint_list(ListKind.FULL, listed)
            assert lists.pop() == ServerList(ListKind.FULL, tuple(entry.listed for entry in listed)) and not lists


@on_loop
async def test_after_a_stall_the_complete_list_is_applied_before_requests_are_sent() -> None:
    """Includes entries that were pending before the stall."""
    async with scripted_server(respond_with(reply())) as host, running_gateway(configuration(host)) as run:
        run.gateway.on_endpoint_list(ListKind.DELTA, make_endpoints(range(300)))
        run.gateway.on_endpoint_list(ListKind.DELTA, make_endpoints(range(300), weight=0.5))
        assert run.gateway.endpoint_updates.batches.pending
        # The gateway detects a stall and holds requests
        run.gateway.check_stall(run.gateway.stall_detector.last_check_us + 10_000_000)
        await asyncio.sleep(0)
        assert not run.gateway.endpoint_updates.batches.pending and run.gateway.stall_detector.is_holding
        run.gateway.on_endpoint_list(ListKind.DELTA, [make_endpoint(7, weight=0.25)])
        weights = {number: run.balancer.endpoints.by_server[number].entry.weight for number in range(300)}
        assert weights.pop(7) == 0.25 and set(weights.values()) == {0.5}
        run.gateway.on_endpoint_list(ListKind.DELTA, make_endpoints(range(300), weight=0.75))
        assert {run.balancer.endpoints.by_server[number].entry.weight for number in range(300)} == {0.75}


# Garbage collection


@contextmanager
def unfreeze_afterwards() -> Iterator[None]:
    gc.collect()
    try:
        yield
    finally:
        gc.unfreeze()


@on_loop
async def test_frozen_endpoints_are_not_scanned_again_and_are_freed_after_removal() -> None:
    """After 40 lists with different hosts, the number of frozen objects is no larger than after the first few."""
    async with scripted_server(respond_with(reply())) as host, running_gateway(configuration(host)) as run:
        freezer = EndpointFreezer(asyncio.get_running_loop().call_soon)
        run.gateway.endpoint_updates.on_applied = freezer.on_entries_added
        with unfreeze_afterwards():
            frozen: list[int] = []
            for turn in range(40):
                hosts = [*make_endpoints(range(turn * 600, turn * 600 + 600))]
                run.gateway.on_endpoint_list(ListKind.FULL, hosts)
                del hosts
                while run.gateway.endpoint_updates.batches.pending or freezer.is_scheduled:
                    await asyncio.sleep(0)
                if turn == 0:
                    assert freezer.freezes == 1 and gc.get_freeze_count() > 600 * 5
                    assert len(gc.get_objects()) < 600  # the objects that a full collection still scans
                frozen.append(gc.get_freeze_count())
            assert freezer.freezes >= 40
            assert max(frozen[5:]) < frozen[4] + 600 * 2, frozen


class SelfReference:
    """Refers to itself, so that only the garbage collector frees it."""

    def __init__(self) -> None:
        self.self_reference = self


def test_garbage_is_collected_before_freezing() -> None:
    with unfreeze_afterwards():
        reference = weakref.ref(SelfReference())
        EndpointFreezer(lambda freeze: freeze()).on_entries_added(ENTRIES_PER_FREEZE)
        assert reference() is None and gc.get_freeze_count()


def test_small_lists_do_not_trigger_a_freeze_each() -> None:
    scheduled: list[Any] = []
    freezer = EndpointFreezer(scheduled.append)
    for _ in range(ENTRIES_PER_FREEZE - 1):
        freezer.on_entries_added(1)
    assert not scheduled
    freezer.on_entries_added(1)
    freezer.on_entries_added(1_000)
    assert len(scheduled) == 1  # one freeze for all entries added before it runs
