"""Local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018, section IV-A). Pure."""

from __future__ import annotations

from typing import Final

MAX_LOCAL_HEALTH_SCORE: Final = 8


class LocalHealth:
    """This gateway's trust in its own failure detector: the higher the score, the slower it accuses others."""

    def __init__(self) -> None:
        self.score = 0  # 0: well

    @property
    def multiplier(self) -> int:
        """The factor by which the probe interval and its timeout are stretched."""
        return 1 + self.score

    def worsen(self, steps: int = 1) -> None:
        """Raise the score: it is likely that this gateway is slow or badly connected."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, self.score + steps)

    def improve(self) -> None:
        """Lower the score by one: a probe was answered."""
        self.score = max(0, self.score - 1)
