"""Which loads a play offers, and under which conditions: data alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from standins.parties.overload_model import OverloadModel

LOADS: Final = (0.6, 0.9, 1.2, 1.6, 2.5, 4.0)  # times what the hosts can do
EMPTY: Final = 0.9  # a fleet of which no gateway knows anything yet
SURGE: Final = 4.0
CALM: Final = 0.6  # before and after a surge


@dataclass(slots=True, frozen=True)
class Step:
    direction: str
    load: float
    seconds: float

    @property
    def name(self) -> str:
        return f"{self.direction} {self.load:g}"


def steps(loads: tuple[float, ...], each_s: float, surge_s: float, after_s: float) -> list[Step]:
    """Empty at 0.9, up, down again by the same loads, then from the least straight into a surge and out of it."""
    made = [Step("empty", EMPTY, each_s)]
    made += [Step("up", load, each_s) for load in loads]
    made += [Step("down", load, each_s) for load in reversed(loads[:-1])]
    if surge_s:
        made += [Step("surge", SURGE, surge_s), Step("after", CALM, after_s)]
    return made


@dataclass(slots=True, frozen=True)
class Terms:
    """One play's conditions. Hosts of two cores do 37 requests a second each."""

    gateways: int
    seed: int
    steps: tuple[Step, ...]
    hosts: int = 4
    cores: int = 2
    law: OverloadModel | None = field(default_factory=OverloadModel)
    honour: float = 0.7  # share of clients that heed the time they were told
    retries: int = 2  # of a client, after its first try
    attempts: int = 6  # of a gateway, for each request
    copies: bool = True  # two of them may be out together
    sharing: bool = False
