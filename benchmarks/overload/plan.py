"""Load steps and settings of an overload run. Data only."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from standins.parties.overload_model import OverloadModel

LOADS: Final = (0.6, 0.9, 1.2, 1.6, 2.5, 4.0)  # relative to the capacity of the hosts
EMPTY_FLEET_LOAD: Final = 0.9  # of the first step, in which no gateway has any state yet
SURGE_LOAD: Final = 4.0
RECOVERY_LOAD: Final = 0.6  # after the surge


@dataclass(slots=True, frozen=True)
class Step:
    """A period of constant load."""

    direction: str
    load: float
    seconds: float

    @property
    def name(self) -> str:
        return f"{self.direction} {self.load:g}"


def make_steps(loads: tuple[float, ...], step_s: float, surge_s: float, recovery_s: float) -> list[Step]:
    """Return the empty-fleet step, all loads upwards, then downwards, then the surge and the recovery from it."""
    steps = [Step("empty", EMPTY_FLEET_LOAD, step_s)]
    steps += [Step("up", load, step_s) for load in loads]
    steps += [Step("down", load, step_s) for load in reversed(loads[:-1])]
    if surge_s:
        steps += [Step("surge", SURGE_LOAD, surge_s), Step("after", RECOVERY_LOAD, recovery_s)]
    return steps


@dataclass(slots=True, frozen=True)
class RunSettings:
    """Settings of one run; the JSON report holds them under these names.

    A host with two cores serves 37 requests per second.
    """

    gateways: int
    seed: int
    steps: tuple[Step, ...]
    hosts: int = 4
    cores: int = 2  # per host
    law: OverloadModel | None = field(default_factory=OverloadModel)  # None: load does not slow the hosts down
    honour: float = 0.7  # share of clients that obey Retry-After
    retries: int = 2  # maximum per operation of a client
    attempts: int = 6  # maximum of a gateway per request
    copies: bool = True  # two attempts of one request may be in progress at the same time
    sharing: bool = False
