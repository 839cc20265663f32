"""Limits that several checks share."""

from __future__ import annotations

from typing import Final

DELIVERY_TIMEOUT_US: Final = 6_000_000  # a change counts as delivered, as to who polls discovery directly
SLACK_US: Final = 250_000  # of a busy machine, between a decision and what is observed of it
