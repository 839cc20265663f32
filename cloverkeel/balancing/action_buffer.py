"""The actions that one event leads to, in order, and the log lines among them."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.actions import Action, Log

MIN_LOG_INTERVAL_US: Final = 100_000  # between two log lines


class ActionBuffer:
    """Collect the actions of the event that is being handled."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.logged_at_us = -MIN_LOG_INTERVAL_US

    def log(self, now_us: int, line: str) -> None:
        """Log a line, but no more than one in an interval: a wide failure must not bury its own beginning."""
        if now_us - self.logged_at_us >= MIN_LOG_INTERVAL_US:
            self.logged_at_us = now_us
            self.actions.append(Log(line))
