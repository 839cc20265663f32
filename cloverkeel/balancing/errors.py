"""Errors raised by the balancer."""

from __future__ import annotations


class SettingError(ValueError):
    """Raised for an invalid setting; holds the setting's name and the problem."""

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{name} {problem}")
        self.name = name
        self.problem = problem
