"""What a subscriber is to be sent, by the roster. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from cloverkeel.control_plane.endpoint_table import SubscriptionKey
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.messages import MAX_WIDENINGS, Subscriber


@dataclass(slots=True, frozen=True)
class Subscription:
    """Of one gateway that is in the roster. `services` None: all of them."""

    gateway: str
    region: str
    services: frozenset[str] | None
    widenings: int
    roster: FleetRoster

    def has_service(self, service: str) -> bool:
        """Return whether it is to have the hosts of this service."""
        return self.services is None or service in self.services

    @property
    def keys(self) -> tuple[SubscriptionKey, ...]:
        """The keys by which it is found when something changes."""
        if self.services is None:
            return ((None, self.region),)
        return tuple((service, self.region) for service in self.services)


def subscription_of(subscriber: Subscriber, roster: FleetRoster) -> Subscription | None:
    """Return a subscriber's subscription; None: the roster does not have it, and it gets the full list."""
    placement = roster.placement_by_gateway.get(subscriber.gateway)
    if placement is None:
        return None
    services = frozenset(subscriber.services) if subscriber.services else placement.services
    widenings = min(max(subscriber.widenings, 0), MAX_WIDENINGS)
    return Subscription(subscriber.gateway, placement.region, services, widenings, roster)
