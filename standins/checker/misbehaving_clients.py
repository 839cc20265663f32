"""Check that a client that breaks the protocol gets an error or a close in time, and is not served."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from standins.checker.observations import Observations
from standins.checker.process_history import FOREVER_US
from standins.checker.violations import Rule, Violation
from standins.event_log import MisbehavingClient

STATUS_OK: Final = 200


def check_misbehaving_clients(observations: Observations) -> Iterator[Violation]:
    """Yield the violations of gateways towards clients that break the protocol."""
    for client in observations.misbehaving_clients:
        if client.status == STATUS_OK and not client.may_be_served:
            description = f"served a client that sent: {client.what}"
            yield Violation(Rule.MISSING, client.ended_us, client.gateway, description)
        yield from check_deadline(observations, client)


def check_deadline(observations: Observations, client: MisbehavingClient) -> Iterator[Violation]:
    """Yield a violation if the client got neither an error nor a close in time."""
    rules = observations.rules
    deadline_us = client.at_us + rules.rude_us
    ended_us = client.ended_us or FOREVER_US
    late_us = ended_us - deadline_us
    if late_us <= rules.slack_us:
        return
    if deadline_us > observations.end_us:
        return
    if observations.processes.is_loss_excused(client.gateway, client.at_us, deadline_us):
        return
    if late_us > observations.delays.stalled_us(client.at_us, ended_us):
        description = (
            f"neither an error nor a close in {rules.rude_us / 1e6:g} s for a client that sent: {client.what}"
        )
        yield Violation(Rule.MISBEHAVING, deadline_us, client.gateway, description)
