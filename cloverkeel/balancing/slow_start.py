"""Slow start of one server: the state of its leaky bucket at this proxy, and the share of its capacity it has."""

from __future__ import annotations


class SlowStart:
    """Hold one server's slow start: its leaky bucket, and the quotas of its collapse budget that moved."""

    __slots__ = (
        "bucket_us",
        "drained_at_us",
        "ends_at_us",
        "granted",
        "granted_until_us",
        "lent_until_us",
        "rejected_at_us",
        "sent_at_us",
        "settled_at_us",
    )

    def __init__(self, ends_at_us: int, settled_at_us: int, bucket_us: float = 0.0, drained_at_us: int = 0) -> None:
        self.ends_at_us = ends_at_us  # at the latest, as the settings have it
        self.settled_at_us = settled_at_us  # as long again after that: it is warm, should it be slower than thought
        self.bucket_us = bucket_us  # level of the leaky bucket until it is settled: work sent and not yet drained
        self.drained_at_us = drained_at_us
        self.lent_until_us = 0  # this proxy's own quota is lent
        self.granted = 0.0  # quotas of others
        self.granted_until_us = 0
        self.rejected_at_us = 0  # the last request that its quota had no headroom for
        self.sent_at_us = 0  # the last that it was sent until settled

    def quotas_at(self, at_us: int) -> float:
        """Return the quotas of its collapse budget that this proxy has at a moment."""
        own = 0.0 if at_us < self.lent_until_us else 1.0
        return own + (self.granted if at_us < self.granted_until_us else 0.0)

    def add_quotas(self, had: float, burst_us: float) -> None:
        """Add quotas that are worth this burst: they begin empty, without what they could have sent at once."""
        self.bucket_us = self.bucket_us + burst_us if had > 0.0 else max(self.bucket_us, burst_us)

    def drain(self, until_us: int, drained_us: float) -> None:
        """Drain the bucket up to a moment by this much."""
        self.bucket_us = max(0.0, self.bucket_us - drained_us)
        self.drained_at_us = max(self.drained_at_us, until_us)
