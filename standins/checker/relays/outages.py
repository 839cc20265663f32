"""When each gateway was stopped, and when no change could reach it through each relay."""

from __future__ import annotations

from typing import Final

from standins.checker.relays.periods import Period, clip_periods, merge_periods, total_us
from standins.checker.relays.record import Component, RunRecord

INTERRUPTION_COST_US: Final = (
    1_000_000  # time to recover from the loss of a relay: docs/relay-design.md, "On the wire"
)


class OutageHistory:
    """The outages of a run, by the gateways that they concern."""

    def __init__(self, record: RunRecord) -> None:
        self._record = record
        self._interrupted = {
            (gateway, relay): self._outages_of(
                ("gateway", gateway),
                ("relay", relay),
                ("link", gateway, relay),
                ("feed", relay),
                ("discovery", discovery),
            )
            for gateway in range(record.gateways)
            for relay, discovery in enumerate(record.discovery_by_relay)
        }
        self._stopped = [self._outages_of(("gateway", gateway)) for gateway in range(record.gateways)]

    def could_have_received_change(self, gateway: int, since_us: int, at_us: int, delay_us: int) -> bool:
        """Tell whether a change since `since_us` had more than `delay_us` to reach the gateway through some relay.

        Interruptions and the time to recover from each of them do not count.
        """
        for relay in range(len(self._record.discovery_by_relay)):
            interruptions = clip_periods(self._interrupted[gateway, relay], since_us, at_us)
            cost_us = INTERRUPTION_COST_US * len(interruptions)
            if at_us - since_us - total_us(interruptions) - cost_us > delay_us:
                return True
        return False

    def stopped_us(self, gateway: int, begin_us: int, end_us: int) -> int:
        """Return for how long the gateway was stopped between two moments."""
        return total_us(clip_periods(self._stopped[gateway], begin_us, end_us))

    def stops_ending_between(self, gateway: int, begin_us: int, end_us: int) -> list[Period]:
        """Return the gateway's stops that ended between two moments, both included."""
        return [stop for stop in self._stopped[gateway] if begin_us <= stop.end_us <= end_us]

    def _outages_of(self, *components: Component) -> list[Period]:
        return merge_periods(
            Period(outage.begin_us, outage.end_us)
            for outage in self._record.outages
            if outage.component in components
        )
