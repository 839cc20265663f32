"""A gateway that stood still for longer than its session: nothing that it holds passes for fresh."""

from __future__ import annotations

import asyncio
import signal

import pytest
import uvloop

from standins.checker import find_violations
from standins.event_log import NotificationDelivered, ProcessEvent
from standins.playing.play import World
from standins.playing.stage import play
from standins.playing.scenario import parse

PLAY = """
about = "A gateway stands still for longer than its session, and boxes drain meanwhile"
seconds = 9
[fleet]
membership = "ephemeral"
boxes = 4
gateways = 2
load = 0.2
[[trouble]]
at = 1
do = "pause"
for = 4
drain = true
[[trouble]]
at = 2
do = "crash"
for = 20
"""


@pytest.mark.alone
def test_a_gateway_that_stood_still_reads_its_list_anew() -> None:
    worlds: list[World] = []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        world = runner.run(play(parse(PLAY, "pause", "pause"), 2, None, worlds.append))
    (stopped,) = [
        p for p in world.ledger.events_of(ProcessEvent) if p.what == signal.SIGSTOP.name.removeprefix("SIG")
    ]
    (woken,) = [p for p in world.ledger.events_of(ProcessEvent) if p.what == "CONT"]
    told = [
        t
        for t in world.ledger.events_of(NotificationDelivered)
        if t.gateway == stopped.gateway and t.at_us > woken.at_us
    ]
    # Its session had ended: the whole list is read again, and the box that died meanwhile is not on it.
    assert {t.backend for t in told if t.status == "SERVING"} >= set(world.boxes) - {b for b in world.busy}
    assert all(gateway.exits == [0] for gateway in world.gateways)
    assert not find_violations(world.ledger)
