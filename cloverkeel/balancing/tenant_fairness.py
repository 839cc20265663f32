"""Quotas of tenants: who sends more than its share yields first while load is shed."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.settings import Settings

TENANT_MEMORY: Final = 0.98  # of the requests by tenant, left after each request
MAX_SHARE_FACTOR: Final = 1.5  # times its share: a tenant's requests beyond are more than chance


class TenantFairness:
    """Hold the recent requests of each tenant.

    Guards against a tenant's clients that repeat without limit.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # As many as its share of all, before the first.
        self.requests = [tenant.share / (1.0 - TENANT_MEMORY) for tenant in settings.tenants]

    def record(self, tenant: int) -> float:
        """Count a request; return its tenant's overuse: the part of its requests beyond its share, 0.0 without one.

        Below 0 where the tenant is within its share.
        """
        if not 0 <= tenant < len(self.requests):
            return 0.0
        self.requests = [count * TENANT_MEMORY for count in self.requests]
        self.requests[tenant] += 1
        fair = MAX_SHARE_FACTOR * self.settings.tenants[tenant].share * sum(self.requests)
        return (1.0 - self.settings.overuse_weight) * (1.0 - fair / self.requests[tenant])
