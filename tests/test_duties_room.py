"""The room of duties with a clock and a socket of the test's own: what it does at each reading of the time."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from cloverkeel.core.config import parse
from cloverkeel.core.datagrams import Datagrams
from cloverkeel.core.options import Duties
from cloverkeel.leases.ballots import BEGIN_US
from cloverkeel.leases.messages import (
    Accepted,
    Act,
    Head,
    Message,
    Prepare,
    Promised,
    Propose,
    Report,
    decode,
    encode,
)
from cloverkeel.leases.manager import number_of_duty
from cloverkeel.leases.driver import Room
from tests.sockets import configuration, on_loop

LEASE_US = 600_000
NAME = "warden/5/1"


class Clock:
    """Stands still but for one leap, right before the reading that it is told."""

    def __init__(self) -> None:
        self.now_us = BEGIN_US + 10**12
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
    """What the room calls of one: it wants the warden of one cold host."""

    def __init__(self, clock: Clock) -> None:
        self.still, self.balancer = Still(clock), self
        self.after_gap: list[object] = []
        self.tally = self

    def cold_share(self, *told: object) -> None: ...

    def hold_trials(self, *told: object) -> None: ...

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
        found = decode(data)
        assert found is not None
        self.sent.append((self.clock.now_us, found[1]))

    def close(self) -> None: ...


def of(wire: Wire, kind: type[Message]) -> list[Any]:
    return [message for _, message in wire.sent if isinstance(message, kind)]


def holding() -> tuple[Room, Clock, Wire]:
    """A room that holds the duty: gateways 1 and 2 have accepted it."""
    config = configuration("127.0.0.1:9")
    config |= {"peer_listen": "127.0.0.1:9", "peers": [f"127.0.0.1:{9 + n}" for n in range(3)]}
    config["settings"] |= {"balancers": 3, "index": 0}
    clock = Clock()
    parsed = parse(config)
    assert parsed.peer_listen is not None
    datagrams, wire = Datagrams(parsed.peer_listen, parsed.peers), Wire(clock)
    datagrams.connection_made(cast(Any, wire))
    room = Room(parsed, Duties(3, LEASE_US // 1000), cast(Any, Gateway(clock)), datagrams, clock)
    room.look()
    for _ in range(20):
        clock.now_us += LEASE_US // 12
        room.work()
        for asked in of(wire, Prepare)[-1:]:
            hear(room, Promised(asked.duty, asked.ballot, asked.round))
        if (asked := of(wire, Propose)[-1:]) != []:
            hear(room, Accepted(asked[0].duty, asked[0].ballot, asked[0].round))
            break
    assert room.office.may_act(clock.now_us, number_of_duty(NAME))
    return room, clock, wire


def hear(room: Room, message: Message, *numbers: int) -> None:
    for number in numbers or (1, 2):
        room.datagram_received(encode(Head(3, number, number, 0), message), ("127.0.0.1", 9 + number))


@pytest.mark.parametrize("reading", range(8))
@on_loop
async def test_the_last_look_at_the_time_before_an_act_is_within_the_lease(reading: int) -> None:
    """It stands still for two leases before that reading of the clock, and a report is there when it wakes."""
    room, clock, wire = holding()
    duty = number_of_duty(NAME)
    until_us = room.office.needs[duty].lease.until_us
    hear(room, Report(duty, 1, 0, b""), 1)
    assert len(of(wire, Act)) == 1  # nothing stood still: it answers
    clock.leap_at, clock.leap_us = reading, 2 * LEASE_US
    hear(room, Report(duty, 2, 0, b""), 1)
    late = [at_us for at_us, message in wire.sent if isinstance(message, Act) and at_us >= until_us]
    assert late == []
    await asyncio.sleep(0)
    room.close()
