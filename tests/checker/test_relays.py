"""Tests that the check of relays finds each kind of violation in a constructed record."""

from __future__ import annotations

import pytest

from standins.checker.relays import (
    BackendArrival,
    ClientRequest,
    Component,
    DirectPoll,
    EndpointChange,
    Outage,
    RunRecord,
    UnexpectedExit,
    check_relays,
)

SECOND_US = 1_000_000


def record(until_s: float = 20.0, discovery_by_relay: tuple[int, ...] = (0, 0)) -> RunRecord:
    """Return the record of a run with one gateway and two hosts, without events."""
    return RunRecord(0, int(until_s * SECOND_US), 1, 2, discovery_by_relay, 3 * SECOND_US)


def add_arrivals(run: RunRecord, host: int, begin_s: float, end_s: float) -> None:
    """Add twenty requests a second to a host."""
    run.arrivals += [
        BackendArrival(at, 0, host) for at in range(int(begin_s * SECOND_US), int(end_s * SECOND_US), SECOND_US // 20)
    ]
    run.arrivals.sort(key=lambda arrival: arrival.at_us)


def add_change(run: RunRecord, at_s: float, status: str, discovery: int = 0) -> None:
    """Add a change of the status of host 1."""
    run.changes.append(EndpointChange(int(at_s * SECOND_US), discovery, 1, status))


def add_outage(run: RunRecord, begin_s: float, end_s: float, *components: Component) -> None:
    """Add an outage of components."""
    run.outages += [Outage(int(begin_s * SECOND_US), int(end_s * SECOND_US), component) for component in components]


def violations_of(run: RunRecord) -> list[str]:
    """Return the texts of the violations of a run."""
    return [violation.description for violation in check_relays(run)]


@pytest.mark.parametrize("status", ["DRAINING", "DELETED"])
def test_a_removed_host_is_left_in_time(status: str) -> None:
    run = record()
    add_change(run, 2.0, status)
    add_arrivals(run, 1, 0.5, 8.2)
    assert not violations_of(run)
    add_arrivals(run, 1, 8.2, 8.5)
    assert violations_of(run) == ["used until 6.500 s after its removal"]


def test_outages_of_all_chains_extend_the_bound() -> None:
    cut: tuple[Component, ...] = (("link", 0, 0), ("feed", 1))
    run = record()
    add_change(run, 2.0, "DRAINING")
    add_arrivals(run, 1, 0.5, 11.2)
    add_outage(run, 3.0, 5.0, *cut)  # the bound is longer by 2 s and INTERRUPTION_COST_US
    assert not violations_of(run)
    add_arrivals(run, 1, 11.2, 11.5)
    assert violations_of(run) == ["used until 9.450 s after its removal"]
    for components in ((("gateway", 0),), (("discovery", 0),), (("relay", 0), ("relay", 1))):
        run.outages.clear()
        add_outage(run, 3.0, 6.0, *components)
        assert not violations_of(run)
    run.outages.clear()
    add_outage(
        run, 3.0, 6.0, ("relay", 0), ("feed", 0), ("link", 0, 0)
    )  # the change could arrive through the other relay
    assert violations_of(run) == ["used until 9.450 s after its removal"]


def test_a_host_that_was_left_is_not_used_again() -> None:
    run = record()
    add_change(run, 2.0, "DRAINING")
    add_arrivals(run, 1, 0.0, 2.5)
    add_arrivals(run, 0, 0.0, 10.0)
    add_arrivals(run, 1, 5.0, 5.1)
    assert not violations_of(run)  # after 50 requests elsewhere it may still be in use, after 100 it is not
    add_arrivals(run, 0, 0.0, 10.0)
    assert violations_of(run) == ["left, and used again after 2.550 s"]
    add_change(run, 4.9, "SERVING")
    add_change(run, 5.2, "DRAINING")
    assert not violations_of(run)


def test_a_host_left_at_once_or_unused_before_its_drain() -> None:
    run = record()
    add_change(run, 2.0, "DRAINING")
    add_arrivals(run, 1, 0.0, 2.0)
    for _ in range(2):
        add_arrivals(run, 0, 0.0, 10.0)
    add_arrivals(run, 1, 5.0, 5.1)
    assert violations_of(run) == ["left, and used again after 3.050 s"]
    run.arrivals = [arrival for arrival in run.arrivals if arrival.host == 0 or arrival.at_us >= 2 * SECOND_US]
    assert not violations_of(run)  # the gateway had not used the host before
    add_arrivals(run, 1, 0.0, 0.5)
    assert violations_of(run) == ["left, and used again after 4.550 s"]


def test_a_host_that_returns_is_used_in_time() -> None:
    run = record()
    add_change(run, 2.0, "DELETED")
    add_change(run, 4.0, "SERVING")
    add_arrivals(run, 1, 11.5, 20.0)
    assert not violations_of(run)
    run.arrivals.clear()
    add_arrivals(run, 1, 12.5, 20.0)
    assert violations_of(run) == ["not used for 8.500 s after its return"]
    add_outage(run, 5.0, 6.0, ("gateway", 0))
    assert not violations_of(run)
    run.arrivals.clear()
    assert violations_of(run) == ["not used for 16.000 s after its return"]
    add_change(run, 11.0, "DELETED")  # removed again before the bound
    assert not violations_of(run)


def test_a_host_that_discoveries_disagree_on_is_not_checked() -> None:
    run = record(discovery_by_relay=(0, 1))
    add_change(run, 2.0, "DRAINING", 0)
    add_arrivals(run, 1, 0.5, 19.0)
    assert not violations_of(run)
    add_change(run, 10.0, "DELETED", 1)
    assert violations_of(run) == ["used until 8.950 s after its removal"]


def add_request(
    run: RunRecord, at_s: float, took_s: float | None = 0.1, status: int = 200, is_own: bool = True
) -> None:
    """Add a request of a client; it is not answered if `took_s` is None."""
    answered_us = 0 if took_s is None else int((at_s + took_s) * SECOND_US)
    run.requests.append(ClientRequest(int(at_s * SECOND_US), 0, answered_us, status if answered_us else 0, is_own))


def test_each_request_gets_its_own_response_in_time() -> None:
    run = record()
    add_request(run, 1.0, 1.9)
    add_request(run, 19.0, None)
    assert not violations_of(run)
    add_request(run, 3.0, 4.5)
    assert violations_of(run) == ["answered late, 4.500 s"]
    add_outage(run, 4.0, 7.0, ("gateway", 0))
    assert not violations_of(run)
    add_request(run, 10.0, None)
    assert violations_of(run) == ["not answered, 10.000 s"]
    run.requests.pop()
    add_request(run, 12.0, status=502)
    add_request(run, 13.0, is_own=False)
    assert violations_of(run) == ["answered 502", "the response is that of another request"]


def test_no_gateway_is_without_hosts() -> None:
    run = record()
    for at_s in (1.0, 1.5, 2.0, 2.4):
        add_request(run, at_s, status=503)
    add_request(run, 2.45)
    add_request(run, 2.6, status=503)
    assert not violations_of(run)
    add_request(run, 4.2, status=503)
    assert violations_of(run) == ["all requests refused for 1.600 s"]
    add_outage(run, 3.0, 4.0, ("gateway", 0))
    assert not violations_of(run)


def test_direct_polls_of_discovery_are_rare() -> None:
    run = record()
    run.direct_polls = [DirectPoll(at_us, 0) for at_us in (1 * SECOND_US, 4 * SECOND_US, 7 * SECOND_US - 200_000)]
    assert not violations_of(run)
    run.direct_polls = [DirectPoll(at_us, 0) for at_us in (1 * SECOND_US, 7 * SECOND_US, 8 * SECOND_US)]
    assert violations_of(run) == ["polled discovery directly 2 times in 1.000 s"]
    add_outage(run, 4.0, 6.9, ("gateway", 0))  # the second poll was decided before the stop and sent after it
    assert not violations_of(run)


def test_an_unexpected_exit_of_a_process_is_reported() -> None:
    run = record()
    run.exits.append(UnexpectedExit(5 * SECOND_US, "relay-0"))
    assert violations_of(run) == ["a process exited unexpectedly"]
