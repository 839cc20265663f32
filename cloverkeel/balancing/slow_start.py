"""Slow start of one server: its leaky bucket at this proxy, and the quotas that this proxy holds."""

from __future__ import annotations


class SlowStart:
    """One server's leaky bucket, and the lent and granted quotas of its collapse budget."""

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
        self.ends_at_us = ends_at_us  # latest end according to the settings
        self.settled_at_us = settled_at_us  # ends_at_us plus the same duration, in case warming takes longer
        self.bucket_us = bucket_us  # level of the leaky bucket: work sent and not yet drained; used until settled
        self.drained_at_us = drained_at_us
        self.lent_until_us = 0  # this proxy's own quota is lent until then
        self.granted = 0.0  # quotas granted by other proxies
        self.granted_until_us = 0
        self.rejected_at_us = 0  # time of the last request that the quota had no headroom for
        self.sent_at_us = 0  # time of the last request sent before it settled

    def quotas_at(self, at_us: int) -> float:
        """Return the number of quotas of the collapse budget that this proxy holds at a time."""
        own = 0.0 if at_us < self.lent_until_us else 1.0
        return own + (self.granted if at_us < self.granted_until_us else 0.0)

    def add_quotas(self, held_before: float, burst_us: float) -> None:
        """Fill the bucket by the burst of added quotas, so that they allow no burst at first."""
        self.bucket_us = self.bucket_us + burst_us if held_before > 0.0 else max(self.bucket_us, burst_us)

    def drain(self, until_us: int, drained_us: float) -> None:
        """Drain this much work from the bucket, for the time until `until_us`."""
        self.bucket_us = max(0.0, self.bucket_us - drained_us)
        self.drained_at_us = max(self.drained_at_us, until_us)
