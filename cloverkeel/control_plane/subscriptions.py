"""The part of the endpoint list that a subscriber is sent according to the roster. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from cloverkeel.control_plane.endpoint_table import SubscriptionKey
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.messages import MAX_WIDENINGS, Subscriber


@dataclass(slots=True, frozen=True)
class Subscription:
    """The subscription of a gateway in the roster; `services` is None for all services."""

    gateway: str
    region: str
    services: frozenset[str] | None
    widenings: int
    roster: FleetRoster

    def has_service(self, service: str) -> bool:
        """Return whether the subscription includes this service."""
        return self.services is None or service in self.services

    @property
    def keys(self) -> tuple[SubscriptionKey, ...]:
        """The keys under which the gateway is notified of changes."""
        if self.services is None:
            return ((None, self.region),)
        return tuple((service, self.region) for service in self.services)


def subscription_of(subscriber: Subscriber, roster: FleetRoster) -> Subscription | None:
    """Return a subscriber's subscription, or None if it is not in the roster and so gets the full list."""
    placement = roster.placement_by_gateway.get(subscriber.gateway)
    if placement is None:
        return None
    services = frozenset(subscriber.services) if subscriber.services else placement.services
    widenings = min(max(subscriber.widenings, 0), MAX_WIDENINGS)
    return Subscription(subscriber.gateway, placement.region, services, widenings, roster)
