"""Local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018, section IV-A). Pure."""

from __future__ import annotations

from typing import Final

MAX_LOCAL_HEALTH_SCORE: Final = 8


class LocalHealth:
    """Estimate of this gateway's own health: the higher the score, the later its failure detector suspects peers."""

    def __init__(self) -> None:
        self.score = 0  # 0 if healthy

    @property
    def multiplier(self) -> int:
        """Factor applied to the probe interval and the probe timeout."""
        return 1 + self.score

    def worsen(self, steps: int = 1) -> None:
        """Raise the score: this gateway or its network is probably slow or faulty."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, self.score + steps)

    def improve(self) -> None:
        """Lower the score by one: a probe was answered."""
        self.score = max(0, self.score - 1)
