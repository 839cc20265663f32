"""Random choice among gateways. Pure: randomness is passed in."""

from __future__ import annotations

from collections.abc import Callable, Iterable

UniformRandom = Callable[[], float]  # returns a random number in [0, 1)


def shuffled(gateways: Iterable[int], rng: UniformRandom) -> list[int]:
    """Return the gateways in random order."""
    return sorted(gateways, key=lambda _: rng())
