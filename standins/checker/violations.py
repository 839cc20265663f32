"""The rules of a run, and violations of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """The rules. The values are used in reports and summaries."""

    MISSING = "missing"  # each request gets one complete response in time, and nothing is sent after it
    DUPLICATE = "twice"  # no request takes effect twice
    DRAIN = "drain"  # no request is sent to a draining backend after the grace period
    SLOW_START = "cold"  # no backend is overloaded while it warms up
    CRASH = "crash"  # a gateway process exits only when it is signalled to exit
    RESOURCES = "bounds"  # a gateway process stays within its limits of memory and descriptors
    MISBEHAVING = "owed"  # a client that breaks the protocol gets an error or a close in time


RULES = tuple(rule.value for rule in Rule)


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule, with the timeline of its subject."""

    rule: Rule
    at_us: int
    subject: str  # the request's id, the backend or the gateway
    description: str
    timeline: tuple[str, ...] = ()

    def __str__(self) -> str:
        lines = [f"{self.rule}: {self.subject}: {self.description}"]
        lines += [f"    {line}" for line in self.timeline]
        return "\n".join(lines)
