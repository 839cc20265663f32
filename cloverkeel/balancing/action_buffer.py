"""Buffer of the actions that result from one event, in order, with a rate limit for log lines."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.actions import Action, Log

MIN_LOG_INTERVAL_US: Final = 100_000


class ActionBuffer:
    """Collect the actions that result from the event being handled."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.logged_at_us = -MIN_LOG_INTERVAL_US

    def log(self, now_us: int, line: str) -> None:
        """Log a line, or drop it within `MIN_LOG_INTERVAL_US` of the last one.

        Keeps a failure of many servers from flooding the log and hiding how it began.
        """
        if now_us - self.logged_at_us >= MIN_LOG_INTERVAL_US:
            self.logged_at_us = now_us
            self.actions.append(Log(line))
