"""Limits that several checks share."""

from __future__ import annotations

from typing import Final

DELIVERY_TIMEOUT_US: Final = (
    6_000_000  # a change counts as delivered after this time, as with a direct poll of discovery
)
SLACK_US: Final = 250_000  # a busy machine may take this long between a decision and its observation
