"""Tests of the decisions about a backend's node."""

from __future__ import annotations

from typing import Any

from cloverkeel.discovery.registration import RegistrationAction, Registration
from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.node_codec import decode_backend


def make_registration(**changes: Any) -> Registration:
    return Registration(Backend("s-0", ("127.0.0.1", 9001), since_ms=5), **changes)


def perform_next_action(registration: Registration, now_s: float) -> RegistrationAction:
    action = registration.next_action(now_s)
    if action is not RegistrationAction.NONE:
        registration.on_action_done(action, registration.node_data())
    return action


def test_a_backend_has_a_node_only_while_it_is_healthy() -> None:
    registration = make_registration(max_failed_checks=3)
    assert perform_next_action(registration, 0) is RegistrationAction.NONE
    registration.on_health_check(10, True)
    assert (
        perform_next_action(registration, 1) is RegistrationAction.CREATE
        and perform_next_action(registration, 1) is RegistrationAction.NONE
    )
    for _ in range(2):
        registration.on_health_check(20, False)
        assert perform_next_action(registration, 2) is RegistrationAction.NONE
    registration.on_health_check(20, True)  # fewer failures than max_failed_checks: still the same process
    assert registration.backend.since_ms == 5 and perform_next_action(registration, 3) is RegistrationAction.NONE
    for _ in range(3):
        registration.on_health_check(30, False)
    assert (
        perform_next_action(registration, 4) is RegistrationAction.DELETE
        and perform_next_action(registration, 4) is RegistrationAction.NONE
    )
    registration.on_health_check(40, True)
    # After max_failed_checks failures the backend counts as a new process.
    assert perform_next_action(registration, 5) is RegistrationAction.CREATE and registration.backend.since_ms == 40


def test_a_new_session_registers_the_same_start_time_again() -> None:
    registration = make_registration()
    registration.on_health_check(10, True)
    perform_next_action(registration, 0)
    registration.on_new_session()
    assert (
        perform_next_action(registration, 1) is RegistrationAction.CREATE
        and decode_backend(registration.written_data).since_ms == 5
    )


def test_termination_drains_then_deletes_the_node() -> None:
    registration = make_registration(drain_s=2.0)
    registration.on_health_check(10, True)
    perform_next_action(registration, 0)
    registration.on_termination(10.0)
    registration.on_termination(11.0)  # a second call has no effect
    assert (
        perform_next_action(registration, 10.0) is RegistrationAction.UPDATE
        and decode_backend(registration.written_data).status is BackendStatus.DRAINING
    )
    assert (
        perform_next_action(registration, 11.9) is RegistrationAction.NONE
        and perform_next_action(registration, 12.0) is RegistrationAction.END
    )
    without_node = make_registration()
    without_node.on_termination(0.0)
    assert without_node.next_action(0.0) is RegistrationAction.END  # without a node there is nothing to drain
