"""What a backend's node should be, by what was seen."""

from __future__ import annotations

from typing import Any


from cloverkeel.discovery.registration import RegistrationAction, Registration
from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.node_codec import decode_backend


def registration_of(**changes: Any) -> Registration:
    return Registration(Backend("s-0", ("127.0.0.1", 9001), since_ms=5), **changes)


def carry_out(registration: Registration, now_s: float) -> RegistrationAction:
    action = registration.next_action(now_s)
    if action is not RegistrationAction.NONE:
        registration.on_action_done(action, registration.node_data())
    return action


def test_no_node_before_the_backend_answers_nor_after_it_stopped() -> None:
    registration = registration_of(max_failed_checks=3)
    assert carry_out(registration, 0) is RegistrationAction.NONE
    registration.on_health_check(10, True)
    assert (
        carry_out(registration, 1) is RegistrationAction.CREATE
        and carry_out(registration, 1) is RegistrationAction.NONE
    )
    for _ in range(2):
        registration.on_health_check(20, False)
        assert carry_out(registration, 2) is RegistrationAction.NONE
    registration.on_health_check(20, True)  # it had a slow moment: the same process
    assert registration.backend.since_ms == 5 and carry_out(registration, 3) is RegistrationAction.NONE
    for _ in range(3):
        registration.on_health_check(30, False)
    assert (
        carry_out(registration, 4) is RegistrationAction.DELETE
        and carry_out(registration, 4) is RegistrationAction.NONE
    )
    registration.on_health_check(40, True)
    assert (
        carry_out(registration, 5) is RegistrationAction.CREATE and registration.backend.since_ms == 40
    )  # a new process


def test_after_an_expiry_the_same_life_registers_again() -> None:
    registration = registration_of()
    registration.on_health_check(10, True)
    carry_out(registration, 0)
    registration.on_new_session()
    assert (
        carry_out(registration, 1) is RegistrationAction.CREATE
        and decode_backend(registration.written_data).since_ms == 5
    )


def test_a_term_drains_then_deletes() -> None:
    registration = registration_of(drain_s=2.0)
    registration.on_health_check(10, True)
    carry_out(registration, 0)
    registration.on_termination(10.0)
    registration.on_termination(11.0)  # a second one changes nothing
    assert (
        carry_out(registration, 10.0) is RegistrationAction.UPDATE
        and decode_backend(registration.written_data).status is BackendStatus.DRAINING
    )
    assert (
        carry_out(registration, 11.9) is RegistrationAction.NONE
        and carry_out(registration, 12.0) is RegistrationAction.END
    )
    idle = registration_of()
    idle.on_termination(0.0)
    assert idle.next_action(0.0) is RegistrationAction.END  # there was no node: nothing to wait for
