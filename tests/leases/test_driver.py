"""The driver of leases with a clock and a socket of the test's own: what it does at each reading of the time."""

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
    """Stands still but for one leap, right before the reading that it is told."""

    def __init__(self) -> None:
        self.now_us = REFERENCE_TIME_US + 10**12
        self.leap_at = -1  # readings from now
        self.leap_us = 0

    def __call__(self) -> int:
        if self.leap_at == 0:
            self.now_us += self.leap_us
        self.leap_at -= 1
        return self.now_us


class Still:
    """Of a gateway: when its loop last looked at the time."""

    def __init__(self, clock: Clock) -> None:
        self.seen_us = clock.now_us


class Gateway:
    """What the driver calls of one: it wants quota of one host that is warming up."""

    def __init__(self, clock: Clock) -> None:
        self.still, self.balancer = Still(clock), self
        self.stall_listeners: list[object] = []
        self.metrics = self

    def set_slow_start_quota(self, *told: object) -> None: ...

    def suspend_probes(self, *told: object) -> None: ...

    def slow_start_demands(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
        return [(5, 1, True, False)]

    def ejected_servers(self, now_us: int) -> list[object]:
        return []


class Wire:
    """A transport that keeps what is sent, with the last reading of the clock before it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent: list[tuple[int, Message]] = []

    def sendto(self, data: bytes, address: object) -> None:
        datagram = decode(data)
        assert datagram is not None
        self.sent.append((self.clock.now_us, datagram.message))

    def close(self) -> None: ...


def messages_of(wire: Wire, kind: type[Message]) -> list[Any]:
    return [message for _, message in wire.sent if isinstance(message, kind)]


def make_holder() -> tuple[LeaseDriver, Clock, Wire]:
    """A driver that holds the lease: gateways 1 and 2 have accepted it."""
    config = configuration("127.0.0.1:9")
    config |= {"peer_listen": "127.0.0.1:9", "peers": [f"127.0.0.1:{9 + n}" for n in range(3)]}
    config["settings"] |= {"balancers": 3, "index": 0}
    clock = Clock()
    parsed = parse(config)
    assert parsed.peer_listen is not None
    datagrams, wire = PeerSocket(parsed.peer_listen, parsed.peers), Wire(clock)
    datagrams.connection_made(cast(Any, wire))
    driver = LeaseDriver(parsed, LeaseOptions(3, LEASE_US // 1000), cast(Any, Gateway(clock)), datagrams, clock)
    driver.poll_balancer()
    for _ in range(20):
        clock.now_us += LEASE_US // 12
        driver.run_due()
        for asked in messages_of(wire, Prepare)[-1:]:
            receive(driver, Promised(asked.lease_id, asked.ballot, asked.round))
        if (asked := messages_of(wire, Propose)[-1:]) != []:
            receive(driver, Accepted(asked[0].lease_id, asked[0].ballot, asked[0].round))
            break
    assert driver.manager.can_act(clock.now_us, lease_id_of(NAME))
    return driver, clock, wire


def receive(driver: LeaseDriver, message: Message, *numbers: int) -> None:
    for number in numbers or (1, 2):
        driver.datagram_received(encode(Header(3, number, number, 0), message), ("127.0.0.1", 9 + number))


@pytest.mark.parametrize("reading", range(8))
@on_loop
async def test_the_last_reading_of_the_clock_before_a_reply_is_within_the_lease(reading: int) -> None:
    """It stalls for two leases before that reading of the clock, and a report is there when it wakes."""
    driver, clock, wire = make_holder()
    lease_id = lease_id_of(NAME)
    until_us = driver.manager.request_by_lease[lease_id].lease.valid_until_us
    receive(driver, Report(lease_id, 1, 0, b""), 1)
    assert len(messages_of(wire, LeaderReply)) == 1  # nothing stalled: it replies
    clock.leap_at, clock.leap_us = reading, 2 * LEASE_US
    receive(driver, Report(lease_id, 2, 0, b""), 1)
    late = [at_us for at_us, message in wire.sent if isinstance(message, LeaderReply) and at_us >= until_us]
    assert late == []
    await asyncio.sleep(0)
    driver.close()
