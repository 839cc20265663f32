"""Requests to a relay, and the age that a relay reports for its list. Pure: no I/O, no clock.

This module maps wire names: `gateway`, `services` and `wide` (subset doublings) identify the caller in a request
target, `hold_ms` is the hold of a long poll, `age_ms` is the age of a relay's list.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Final
from urllib.parse import quote

from cloverkeel.discovery.errors import FieldError, NoListYetError
from cloverkeel.discovery.poll_schedule import INSTANCES_PATH, PollRequest, PollSchedule, changes_since

STATE_PATH: Final = b"/relay/state"
RELAY_HOLD_S: Final = 0.4  # hold of a long poll; short, so that an unresponsive relay is detected soon
RELAY_GRACE_S: Final = 0.3  # how long the reply may take after the hold
RELAY_FIRST_REPLY_TIMEOUT_S: Final = 1.0  # mostly a snapshot; a relay builds queued snapshots one after another
MAX_AGE_MS: Final = 10**12


def identify_gateway(target: bytes, gateway: str, services: Sequence[str], doublings: int) -> bytes:
    """Return the target with this gateway's name, services and subset doublings added to its query."""
    path, _, query = target.partition(b"?")
    quoted_services = ",".join(quote(service, "") for service in services)
    identity = f"?gateway={quote(gateway, '')}&services={quoted_services}&wide={doublings}"
    return path + identity.encode() + (b"&" + query if query else b"")


def parse_age_s(raw: dict[str, Any]) -> float:
    """Return a list's age in seconds, 0 if absent (discovery's own reply); raise FieldError if it is invalid."""
    age_ms = raw.get("age_ms", 0)
    if not isinstance(age_ms, int) or isinstance(age_ms, bool) or not 0 <= age_ms < MAX_AGE_MS:
        raise FieldError("age_ms", "a whole number of milliseconds", repr(age_ms))
    return age_ms / 1000


def parse_state_age_s(body: bytes) -> float:
    """Return the age in seconds that a relay's state reports; raise NoListYetError or ValueError if it has none."""
    raw = json.loads(body)
    if not isinstance(raw, dict) or raw.get("version") is None or raw.get("age_ms") is None:
        raise NoListYetError
    return parse_age_s(raw)


class RelayPollSchedule(PollSchedule):
    """Select the next request to a relay; direct polls of discovery follow the base schedule."""

    def __init__(self) -> None:
        super().__init__()
        self.is_direct = False  # discovery is polled directly
        self.grace_s = RELAY_GRACE_S

    def next_request(self, now_s: float) -> PollRequest:
        """Return the next request."""
        if self.is_direct:
            return super().next_request(now_s)
        if self.version is None:
            return PollRequest(INSTANCES_PATH, RELAY_FIRST_REPLY_TIMEOUT_S)
        if self.replied_s is None:
            return PollRequest(changes_since(self.version, 0), RELAY_FIRST_REPLY_TIMEOUT_S)
        target = changes_since(self.version, int(RELAY_HOLD_S * 1000))
        return PollRequest(target, RELAY_HOLD_S + self.grace_s, is_long_poll=True)
