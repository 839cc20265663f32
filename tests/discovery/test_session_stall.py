"""Test of a gateway that is stopped for longer than its session timeout: it must not use its old list as current."""

from __future__ import annotations

import asyncio
import signal

import pytest
import uvloop

from standins.checker import find_violations
from standins.event_log import NotificationDelivered, ProcessEvent
from standins.playing.environment import Environment
from standins.playing.runner import run_scenario
from standins.playing.scenario import parse_scenario

SCENARIO = """
about = "A gateway is stopped for longer than its session timeout, and boxes drain meanwhile"
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
def test_a_gateway_reads_the_complete_list_again_after_a_stop_beyond_its_session_timeout() -> None:
    environments: list[Environment] = []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        environment = runner.run(
            run_scenario(parse_scenario(SCENARIO, "pause", "pause"), 2, None, environments.append)
        )
    (stop_event,) = [
        p for p in environment.event_log.events_of(ProcessEvent) if p.what == signal.SIGSTOP.name.removeprefix("SIG")
    ]
    (continue_event,) = [p for p in environment.event_log.events_of(ProcessEvent) if p.what == "CONT"]
    later_notifications = [
        t
        for t in environment.event_log.events_of(NotificationDelivered)
        if t.gateway == stop_event.gateway and t.at_us > continue_event.at_us
    ]
    # The session expired during the stop, so the complete list is read again.
    # It does not contain the backend that crashed during the stop.
    assert {t.backend for t in later_notifications if t.status == "SERVING"} >= set(environment.backends) - {
        b for b in environment.faulted_backends
    }
    assert all(gateway.exit_codes == [0] for gateway in environment.gateways)
    assert not find_violations(environment.event_log)
