"""What each gateway knew of each backend: the notifications that it received, and those that it could have polled."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from standins.checker.process_history import FOREVER_US, ProcessHistory
from standins.event_log import DiscoveryPoll, EndpointChanged, ManualEjection, NotificationDelivered


class NotificationHistory:
    """Notifications and manual ejections, by gateway and backend."""

    def __init__(self) -> None:
        self._notifications: dict[tuple[str, str], list[NotificationDelivered]] = defaultdict(list)
        self._ejections: dict[tuple[str, str], list[ManualEjection]] = defaultdict(list)

    def record_notification(self, event: NotificationDelivered) -> None:
        """Record a notification of the registry to a gateway."""
        self._notifications[event.gateway, event.backend].append(event)

    def record_ejection(self, event: ManualEjection) -> None:
        """Record that a backend was ejected at a gateway by hand."""
        self._ejections[event.gateway, event.backend].append(event)

    def notifications(self, gateway: str, backend: str) -> Sequence[NotificationDelivered]:
        """Return the notifications to the gateway about the backend, by time."""
        return self._notifications.get((gateway, backend), ())

    def unavailable_since(self, gateway: str, backend: str, process_start_us: int, at_us: int) -> int | None:
        """Return since when the gateway's process knew that it must not use the backend; None: it may use it.

        Notifications to an earlier process do not count. A manual ejection survives restarts.
        """
        since_us: int | None = None
        for notification in self.notifications(gateway, backend):
            if notification.at_us > at_us:
                break
            if notification.at_us < process_start_us:
                continue
            if notification.status == "SERVING":
                since_us = None
            elif since_us is None:
                since_us = notification.at_us
        for ejection in self._ejections.get((gateway, backend), ()):
            if ejection.at_us <= at_us < (ejection.until_us or FOREVER_US):
                since_us = min(ejection.at_us, FOREVER_US if since_us is None else since_us)
        return since_us

    def add_missed_changes(
        self,
        changes: Sequence[EndpointChanged],
        polls: Sequence[DiscoveryPoll],
        processes: ProcessHistory,
        max_silence_us: int,
        end_us: int,
    ) -> None:
        """Add the changes that each gateway could have polled, as if it had been notified of them.

        A gateway that neither watched nor polled for `max_silence_us` counts as notified. Changes of which it
        counts as notified only at `end_us`, the end of the run, or later are left out.
        """
        periods_by_gateway = listening_periods(polls, processes, max_silence_us)
        for gateway, periods in periods_by_gateway.items():
            for change in changes:
                at_us = notification_due_us(change.at_us, periods)
                if at_us < end_us:
                    notification = NotificationDelivered(at_us, gateway, change.backend, change.status)
                    self.record_notification(notification)
        for notifications in self._notifications.values():
            notifications.sort(key=lambda notification: notification.at_us)


def listening_periods(
    polls: Sequence[DiscoveryPoll], processes: ProcessHistory, max_silence_us: int
) -> dict[str, list[tuple[int, int]]]:
    """Return for each gateway its listening periods, sorted by their begin.

    A period lasts from the start of a process, or from the begin of a poll, until `max_silence_us` after the start or
    after the poll's end. A gateway that was not notified of a change in a period counts as notified at its end.
    """
    periods_by_gateway: dict[str, list[tuple[int, int]]] = {
        gateway: [(lifetime.start_us, lifetime.start_us + max_silence_us) for lifetime in lifetimes]
        for gateway, lifetimes in processes.lifetimes_by_gateway.items()
    }
    for poll in polls:
        period = (poll.at_us, (poll.until_us or FOREVER_US) + max_silence_us)
        for gateway in [poll.gateway] if poll.gateway else list(periods_by_gateway):
            if gateway in periods_by_gateway:
                periods_by_gateway[gateway].append(period)
    return {gateway: sorted(periods) for gateway, periods in periods_by_gateway.items()}


def notification_due_us(changed_us: int, periods: Sequence[tuple[int, int]]) -> int:
    """Return the time at which a gateway counts as notified of a change, given its sorted listening periods."""
    at_us = changed_us
    for begin_us, end_us in periods:
        if begin_us <= at_us < end_us:
            at_us = end_us
    return at_us
