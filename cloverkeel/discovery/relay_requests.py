"""What a gateway asks of a relay, and what a relay says of its list's age. Pure: no I/O, no clock.

This module maps the wire's words: `gateway`, `services` and `wide` name the caller in a target, `hold_ms` is the long
poll's hold, `age_ms` is the staleness of a relay's list.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Final
from urllib.parse import quote

from cloverkeel.discovery.errors import FieldError, NoListYetError
from cloverkeel.discovery.poll_schedule import INSTANCES_PATH, PollRequest, PollSchedule, changes_since

STATE_PATH: Final = b"/relay/state"
RELAY_HOLD_S: Final = 0.4  # of a long poll at a relay: what a silence is noticed by
RELAY_GRACE_S: Final = 0.3  # for the answer beyond that
RELAY_FIRST_REPLY_TIMEOUT_S: Final = 1.0  # on a connection, a snapshot mostly: relays make them in turn
MAX_AGE_MS: Final = 10**12


def identify_gateway(target: bytes, gateway: str, services: Sequence[str], doublings: int) -> bytes:
    """Return a target with this gateway's name, its services and its subset's doublings in it."""
    path, _, query = target.partition(b"?")
    quoted_services = ",".join(quote(service, "") for service in services)
    identity = f"?gateway={quote(gateway, '')}&services={quoted_services}&wide={doublings}"
    return path + identity.encode() + (b"&" + query if query else b"")


def parse_age_s(raw: dict[str, Any]) -> float:
    """Return a list's age in seconds; an answer that tells none is discovery's own. FieldError for what is no age."""
    age_ms = raw.get("age_ms", 0)
    if not isinstance(age_ms, int) or isinstance(age_ms, bool) or not 0 <= age_ms < MAX_AGE_MS:
        raise FieldError("age_ms", "a whole number of milliseconds", repr(age_ms))
    return age_ms / 1000


def parse_state_age_s(body: bytes) -> float:
    """Return the age in seconds of a relay's list, by its state. NoListYetError or ValueError: it tells none."""
    raw = json.loads(body)
    if not isinstance(raw, dict) or raw.get("version") is None or raw.get("age_ms") is None:
        raise NoListYetError
    return parse_age_s(raw)


class RelayPollSchedule(PollSchedule):
    """What a relay is asked next; discovery itself is asked as without relays."""

    def __init__(self) -> None:
        super().__init__()
        self.is_direct = False  # discovery itself is asked
        self.grace_s = RELAY_GRACE_S

    def next_request(self, now_s: float) -> PollRequest:
        """Return what is asked next."""
        if self.is_direct:
            return super().next_request(now_s)
        if self.version is None:
            return PollRequest(INSTANCES_PATH, RELAY_FIRST_REPLY_TIMEOUT_S)
        if self.replied_s is None:
            return PollRequest(changes_since(self.version, 0), RELAY_FIRST_REPLY_TIMEOUT_S)
        target = changes_since(self.version, int(RELAY_HOLD_S * 1000))
        return PollRequest(target, RELAY_HOLD_S + self.grace_s, is_long_poll=True)
