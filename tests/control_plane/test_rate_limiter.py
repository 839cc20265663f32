"""The rate limiter of snapshots."""

from __future__ import annotations

from cloverkeel.control_plane.rate_limiter import SnapshotRateLimiter


def test_large_snapshot_delays_the_next() -> None:
    limiter = SnapshotRateLimiter(rate_per_s=10.0, burst=2.0)
    assert limiter.delay_s(100.0) == 0.0
    limiter.consume(4 << 20)
    assert limiter.delay_s(100.0) > 1.0
    assert limiter.delay_s(102.0) == 0.0
