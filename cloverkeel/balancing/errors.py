"""Errors that the decisions raise."""

from __future__ import annotations


class SettingError(ValueError):
    """Raise for a setting that no decision can be made from; carries its name and what is wrong with it."""

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{name} {problem}")
        self.name = name
        self.problem = problem
