"""Gossip nodes, alone and in simulated fleets: reports, forwarding and notifications of the balancer."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.sharing import START_US, Fleet
from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse
from cloverkeel.core.datagrams import PeerSocket
from cloverkeel.gossip.dissemination import MAX_QUEUED_BROADCASTS
from cloverkeel.gossip.driver import GossipDriver
from cloverkeel.gossip.membership import PROBE_INTERVAL_US
from cloverkeel.gossip.messages import (
    MAGIC,
    MAX_DATAGRAM_BYTES,
    GatewayProcess,
    Header,
    HostProcess,
    Item,
    MessageKind,
    ObservationItem,
    encode,
)
from cloverkeel.gossip.node import GossipNode, NodeIdentity
from cloverkeel.gossip.outcome_window import OBSERVATION_LIFETIME_US
from cloverkeel.gossip.outlier_gossip import REPORT_INTERVAL_US
from cloverkeel.gossip.outlier_reports import Assessment
from cloverkeel.gossip.peer_clock import timestamp_ms_of
from cloverkeel.gossip.token_bucket import MAX_SAVED_BYTES, MIN_BYTES_PER_S
from tests.gossip.helpers import HOST, NOW_US, constant_rng, observe
from tests.sockets import configuration, on_loop, wait_until


def ignore(host: HostProcess, assessment: Assessment) -> None:
    """Discard an assessment."""


def make_node(
    fleet_size: int,
    on_assessment: Callable[[HostProcess, Assessment], Any] = ignore,
    rng: Callable[[], float] = constant_rng,
) -> GossipNode:
    return GossipNode(NodeIdentity(GatewayProcess(0, 1), fleet_size, 0), rng, on_assessment)


def make_fleet(count: int, **options: Any) -> Fleet:
    return Fleet(count, 1, **options)


# Fleets


def test_fleet_suspects_a_failing_host_within_a_second_and_until_reports_expire() -> None:
    fleet = make_fleet(40)
    fleet.run(START_US + 1_000_000)
    fleet.failure_rates[0] = 0.9
    fleet.run(fleet.now_us + 1_000_000)
    assert fleet.count_suspecting(0) >= 38
    fleet.failure_rates.clear()
    fleet.run(fleet.now_us + OBSERVATION_LIFETIME_US + 500_000)
    assert fleet.count_suspecting(0) == 0


def test_gateway_for_which_every_host_fails_withholds_reports_and_causes_no_suspicion() -> None:
    fleet = make_fleet(12)
    fleet.run(START_US + 500_000)
    for _ in range(200):
        fleet.run(fleet.now_us + 10_000)
        for host in range(fleet.host_count):
            fleet.record_outcome(5, host, False)
    suspected = {key for key, (_, assessment) in fleet.assessments.items() if assessment.is_suspected_outlier}
    assert not suspected
    assert fleet.nodes[5].outliers.counts.withheld_reports > 100


@pytest.mark.parametrize("fault", ["lossy", "late", "restarts", "stalls"])
def test_recovered_host_is_not_suspected_for_long_despite_network_faults(fault: str) -> None:
    """Datagrams from the time of the fault must not cause a suspicion after the observations have expired."""
    faults = {"loss_rate": 0.3, "duplicate_rate": 0.3} | ({"late_rate": 0.3} if fault == "late" else {})
    fleet = make_fleet(12, **faults)
    fleet.run(START_US + 3_000_000)  # each node knows its peers' clocks
    fleet.failure_rates[0] = 0.9
    fleet.run(fleet.now_us + 2_000_000)
    if fault == "stalls":
        fleet.paused_gateways = set(range(1, 12))
        fleet.run(fleet.now_us + 5_000_000)
        fleet.failure_rates.clear()
        fleet.run(fleet.now_us + 100_000)
        fleet.paused_gateways = set()
        fleet.run(fleet.now_us + 100_000)  # the queued datagrams are read; all of them are old
        assert fleet.count_suspecting(0) <= 1
    else:
        fleet.failure_rates.clear()
        if fault == "restarts":
            for gateway in range(11):
                fleet.restart(gateway)
        fleet.run(fleet.now_us + OBSERVATION_LIFETIME_US + 500_000)
        for _ in range(30):
            fleet.run(fleet.now_us + 1_000_000)
            assert fleet.count_suspecting(0) == 0


def test_partitioned_gateway_drops_suspicions_when_reports_expire() -> None:
    fleet = make_fleet(8)
    fleet.run(START_US + 1_000_000)
    fleet.failure_rates[0] = 0.9
    fleet.run(fleet.now_us + 1_000_000)
    fleet.blocked_links = {(gateway, 7) for gateway in range(8)} | {(7, gateway) for gateway in range(8)}
    fleet.run(fleet.now_us + OBSERVATION_LIFETIME_US + 300_000, has_load=False)
    assert not fleet.is_suspecting(7, 0)


def test_restarted_gateway_is_sent_the_suspicions() -> None:
    fleet = make_fleet(12)
    fleet.run(START_US + 1_000_000)
    fleet.failure_rates[0] = 0.9
    fleet.run(fleet.now_us + 1_500_000)
    fleet.restart(3)
    fleet.run(fleet.now_us + 500_000)
    assert fleet.is_suspecting(3, 0)
    assert fleet.nodes[3].outliers.local.totals(fleet.clock_us(3), HostProcess(0, 1)) <= (1, 1)


def test_bytes_sent_are_limited_by_the_token_bucket() -> None:
    fleet = make_fleet(40, requests_per_s=30.0)
    fleet.failure_rates = dict.fromkeys(range(fleet.host_count), 0.45)
    seconds = 12
    fleet.run(START_US + seconds * 1_000_000)
    bytes_per_s = max(MIN_BYTES_PER_S, 0.1 * 256 * 30 * 1.5)
    for node in fleet.nodes:
        assert node.counts.sent_bytes <= MAX_SAVED_BYTES + seconds * bytes_per_s + MAX_DATAGRAM_BYTES
        assert len(node.broadcasts.queued) <= MAX_QUEUED_BROADCASTS


# One node


def test_timeout_is_no_failure_if_the_host_has_answered_since() -> None:
    """Such a timeout indicates overload. Guards against suspecting every host under overload."""
    node = make_node(9)
    local, broadcasts = node.outliers.local, node.broadcasts
    node.record_outcome(NOW_US, HOST, True)
    node.record_outcome(NOW_US + 1_000, HOST, False, NOW_US - 500_000)
    assert local.totals(NOW_US + 1_000, HOST) == (1, 0)
    assert not broadcasts.queued
    node.record_outcome(NOW_US + 2_000, HOST, False, NOW_US + 500)  # no answer since this attempt was sent
    assert local.totals(NOW_US + 2_000, HOST) == (0, 1)
    assert broadcasts.queued


def test_processes_of_one_host_are_assessed_separately() -> None:
    assessed: list[HostProcess] = []
    node = make_node(4, lambda host, assessment: assessed.append(host))
    for reporter in (1, 2):
        node.outliers.on_observation(NOW_US, observe(reporter, host=HostProcess(5, 1)))
    assert assessed == [(5, 1)]
    assert not node.outliers.observations.live_observations(NOW_US, HostProcess(5, 2))


def test_balancer_is_notified_only_of_changed_assessments() -> None:
    assessments: list[Assessment] = []
    node = make_node(9, lambda host, assessment: assessments.append(assessment))
    for reporter in (1, 2):
        node.outliers.on_observation(NOW_US, observe(reporter))
        node.outliers.on_observation(NOW_US, observe(reporter))
    assert len(assessments) == 1
    assert assessments[0].is_suspected_outlier
    node.last_assessed_us = 0
    node.tick(NOW_US + OBSERVATION_LIFETIME_US)
    assert assessments[-1].failure_reporters == 0
    assert len(assessments) == 2
    assert not node.outliers.assessment_by_host
    assert REPORT_INTERVAL_US < OBSERVATION_LIFETIME_US < PROBE_INTERVAL_US * 3


def test_failure_is_forwarded_only_with_a_second_reporter() -> None:
    node = make_node(40, rng=random.Random(1).random)
    node.outliers.on_observation(NOW_US, observe(1))
    assert not node.broadcasts.queued
    node.outliers.on_observation(NOW_US + 1000, observe(2, at_us=NOW_US + 1000))
    items = [broadcast.item for broadcast in node.broadcasts.queued.values()]
    assert {item.reporter for item in items if isinstance(item, ObservationItem)} == {1, 2}


# One node with a real socket


async def suspicion_duration_us(read_after_us: int) -> int:
    """Return how long a host is suspected after two failure reports were read `read_after_us` after being sent."""
    clock_us = NOW_US
    with contextlib.ExitStack() as stack:
        peers = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(2)]
        for peer in peers:
            peer.bind(("127.0.0.1", 0))
        addresses = ["127.0.0.1:9", *("{}:{}".format(*peer.getsockname()) for peer in peers)]
        raw = configuration("127.0.0.1:9") | {"peer_listen": addresses[0], "peers": addresses}
        raw["settings"] |= {"balancers": 3, "index": 0}
        config = parse(raw)
        program = assemble(config)
        stack.callback(program.close)
        datagrams = PeerSocket(("127.0.0.1", 0), config.peers)
        stack.callback(datagrams.close)
        driver = GossipDriver(config, program.gateway, datagrams, lambda: clock_us)
        stack.callback(driver.close)
        datagrams.register(MAGIC, driver)
        datagrams.start()
        await wait_until(lambda: driver.check_timer is not None)
        assert datagrams.transport is not None
        gateway_address = datagrams.transport.get_extra_info("sockname")

        def send(reporter: int, *items: Item) -> None:
            header = Header(MessageKind.GOSSIP, reporter, 1, timestamp_ms_of(clock_us))
            peers[reporter - 1].sendto(encode(header, items), gateway_address)

        for reporter in (1, 2):
            send(reporter)  # read at once, so that the minimum delay of each peer is known
        await wait_until(lambda: driver.node.counts.received == 2)
        for reporter in (1, 2):
            send(reporter, observe(reporter, at_us=clock_us))
        clock_us += read_after_us  # the event loop has not run since, so the reports are still in the socket
        await wait_until(lambda: driver.node.counts.received == 4)
        assessment = driver.node.outliers.assessment_by_host.get(HOST)
        if assessment is None or not assessment.is_suspected_outlier:
            return 0
        return assessment.expires_us - clock_us


@on_loop
async def test_reports_read_late_after_a_stall_count_by_their_age() -> None:
    """Guards against suspecting a host after a stall for a fault that is over."""
    assert await suspicion_duration_us(0) == OBSERVATION_LIFETIME_US
    assert await suspicion_duration_us(500_000) == OBSERVATION_LIFETIME_US - 500_000
    assert await suspicion_duration_us(OBSERVATION_LIFETIME_US) == 0
    assert await suspicion_duration_us(3_000_000) == 0
