"""Tenant quotas: under load shedding, requests of tenants beyond their share are refused first."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.settings import Settings

REQUEST_COUNT_DECAY: Final = 0.98  # factor on all request counts at each request
MAX_SHARE_FACTOR: Final = 1.5  # multiple of its share above which a tenant's requests exceed random variation


class TenantFairness:
    """Exponentially decaying count of each tenant's requests.

    Guards other tenants against a tenant whose clients retry without limit.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Each tenant starts with the count of a tenant that sends exactly its share.
        self.request_counts = [tenant.share / (1.0 - REQUEST_COUNT_DECAY) for tenant in settings.tenants]

    def record(self, tenant: int) -> float:
        """Count a request; return its tenant's overuse.

        It is the fraction of the tenant's requests beyond its share, times 1 - `overuse_weight`. Negative if the
        tenant is within its share; 0.0 for an unknown tenant.
        """
        if not 0 <= tenant < len(self.request_counts):
            return 0.0
        self.request_counts = [count * REQUEST_COUNT_DECAY for count in self.request_counts]
        self.request_counts[tenant] += 1
        fair_count = MAX_SHARE_FACTOR * self.settings.tenants[tenant].share * sum(self.request_counts)
        return (1.0 - self.settings.overuse_weight) * (1.0 - fair_count / self.request_counts[tenant])
