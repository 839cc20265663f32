"""The driver of leases with a simulated clock and socket: stalls before each reading of the clock."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from cloverkeel.core.config import parse
from cloverkeel.core.datagrams import PeerSocket
from cloverkeel.core.options import LeaseOptions
from cloverkeel.leases.ballots import REFERENCE_TIME_US
from cloverkeel.leases.driver import LeaseDriver
from cloverkeel.leases.messages import (
    Accepted,
    Header,
    LeaderReply,
    Message,
    Prepare,
    Promised,
    Propose,
    Report,
    decode,
    encode,
)
from cloverkeel.leases.placement import lease_id_of
from tests.sockets import configuration, on_loop

LEASE_US = 600_000
NAME = "warden/5/1"


class Clock:
    """A simulated clock that advances only by one jump, right before a chosen reading."""

    def __init__(self) -> None:
        self.now_us = REFERENCE_TIME_US + 10**12
        self.readings_before_jump = -1  # negative: no jump
        self.jump_us = 0

    def __call__(self) -> int:
        if self.readings_before_jump == 0:
            self.now_us += self.jump_us
        self.readings_before_jump -= 1
        return self.now_us


class FakeStallDetector:
    """Stands in for the gateway's stall detector: the time at which it last read the clock."""

    def __init__(self, clock: Clock) -> None:
        self.last_check_us = clock.now_us


class FakeGateway:
    """Stands in for the gateway, its balancer and its metrics; it wants quota of one host in slow start."""

    def __init__(self, clock: Clock) -> None:
        self.stall_detector, self.balancer = FakeStallDetector(clock), self
        self.stall_listeners: list[object] = []
        self.metrics = self

    def set_slow_start_quota(self, *arguments: object) -> None: ...

    def suspend_probes(self, *arguments: object) -> None: ...

    def slow_start_demands(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
        return [(5, 1, True, False)]

    def ejected_servers(self, now_us: int) -> list[object]:
        return []


class FakeTransport:
    """A transport that records sent messages, each with the last reading of the clock before it was sent."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent: list[tuple[int, Message]] = []

    def sendto(self, data: bytes, address: object) -> None:
        datagram = decode(data)
        assert datagram is not None
        self.sent.append((self.clock.now_us, datagram.message))

    def close(self) -> None: ...


def messages_of(transport: FakeTransport, kind: type[Message]) -> list[Any]:
    return [message for _, message in transport.sent if isinstance(message, kind)]


def make_holder() -> tuple[LeaseDriver, Clock, FakeTransport]:
    """Make a driver that holds the lease, which voters 1 and 2 have accepted."""
    config = configuration("127.0.0.1:9")
    config |= {"peer_listen": "127.0.0.1:9", "peers": [f"127.0.0.1:{9 + n}" for n in range(3)]}
    config["settings"] |= {"balancers": 3, "index": 0}
    clock = Clock()
    parsed = parse(config)
    assert parsed.peer_listen is not None
    datagrams, transport = PeerSocket(parsed.peer_listen, parsed.peers), FakeTransport(clock)
    datagrams.connection_made(cast(Any, transport))
    driver = LeaseDriver(parsed, LeaseOptions(3, LEASE_US // 1000), cast(Any, FakeGateway(clock)), datagrams, clock)
    driver.poll_balancer()
    for _ in range(20):
        clock.now_us += LEASE_US // 12
        driver.run_due()
        for prepare in messages_of(transport, Prepare)[-1:]:
            receive(driver, Promised(prepare.lease_id, prepare.ballot, prepare.round))
        if (proposals := messages_of(transport, Propose)[-1:]) != []:
            receive(driver, Accepted(proposals[0].lease_id, proposals[0].ballot, proposals[0].round))
            break
    assert driver.manager.can_act(clock.now_us, lease_id_of(NAME))
    return driver, clock, transport


def receive(driver: LeaseDriver, message: Message, *numbers: int) -> None:
    for number in numbers or (1, 2):
        driver.datagram_received(encode(Header(3, number, number, 0), message), ("127.0.0.1", 9 + number))


@pytest.mark.parametrize("reading", range(8))
@on_loop
async def test_the_last_clock_reading_before_a_reply_is_within_the_lease(reading: int) -> None:
    """The process stalls for two leases right before one reading of the clock, while a report is pending."""
    driver, clock, transport = make_holder()
    lease_id = lease_id_of(NAME)
    until_us = driver.manager.request_by_lease[lease_id].lease.valid_until_us
    receive(driver, Report(lease_id, 1, 0, b""), 1)
    assert len(messages_of(transport, LeaderReply)) == 1  # without a stall the holder replies
    clock.readings_before_jump, clock.jump_us = reading, 2 * LEASE_US
    receive(driver, Report(lease_id, 2, 0, b""), 1)
    late = [at_us for at_us, message in transport.sent if isinstance(message, LeaderReply) and at_us >= until_us]
    assert late == []
    await asyncio.sleep(0)
    driver.close()
