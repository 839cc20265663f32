"""Discovery's endpoint list as a relay has it cached: lists in, responses for its subscribers out. Pure.

Invariants:
- nothing is answered before a snapshot has come (NotReadyError): a relay that is new tells nobody that nobody
  serves;
- a list that cannot be used leaves what is cached as it is, and is counted;
- another roster counts for all subscribers from one moment on; each one's next response is by it.

What is kept, and its bounds: endpoint_table.py, deltas.py and full_list.py.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.control_plane.counters import CacheCounters
from cloverkeel.control_plane.deltas import SubsetResponses
from cloverkeel.control_plane.endpoint_table import ALL_HOSTS_KEY, MAX_HOSTS, EndpointTable, SubscriptionKey
from cloverkeel.control_plane.entry_codec import UNUSABLE_ENTRY_ERRORS, Host, departing_host_name, parse_entry
from cloverkeel.control_plane.errors import NotReadyError
from cloverkeel.control_plane.fleet_roster import FleetRoster, GroupsByService
from cloverkeel.control_plane.full_list import FullListResponses
from cloverkeel.core.incremental import Incremental, run_to_completion
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.response_indexes import ResponseIndexes
from cloverkeel.control_plane.subscriptions import subscription_of
from cloverkeel.control_plane.subsetting import DEFAULT_SIZES, SubsetSizes

MIN_USABLE_RATIO: Final = 0.5  # of a snapshot's entries, or all of the list is unusable


@dataclass(slots=True, frozen=True)
class ParsedEntries:
    """Entries of a list: by name the host, None where it is gone (the last of a name wins); and how many were
    skipped."""

    host_by_name: dict[str, Host | None]
    skipped: int


class EndpointCache:
    """Apply discovery's lists to it, and ask it for the response to a subscriber."""

    def __init__(self, roster: FleetRoster, first_index: int, sizes: SubsetSizes = DEFAULT_SIZES) -> None:
        """`first_index`: of its first response; greater than any of an earlier process at the same address (a
        clock)."""
        self.is_ready = False
        self.counters = CacheCounters()
        self.indexes = ResponseIndexes(first_index)
        self.table = EndpointTable(roster, sizes, self.counters)
        self.subsets = SubsetResponses(self.table, self.indexes, self.counters)
        self.full_list = FullListResponses(self.table, self.indexes, self.counters)

    @property
    def roster(self) -> FleetRoster:
        """The roster that is in force."""
        return self.table.roster

    # Lists of discovery

    def apply_list(self, is_snapshot: bool, items: object) -> frozenset[SubscriptionKey]:
        """Apply a list's `endpoints` as discovery gave them, all (`is_snapshot`) or changes.

        Returns the keys of the subscribers that may have something new; none for a list that cannot be used.
        """
        if not isinstance(items, list):
            self.counters.unusable_lists += 1
            return frozenset()
        if not is_snapshot and not self.is_ready:
            self.counters.changes_before_snapshot += 1
            return frozenset()
        parsed = self.parse_entries(items, is_snapshot)
        self.counters.skipped_entries += parsed.skipped
        listed = parsed.host_by_name
        if is_snapshot and (self.has_few_usable(len(items), parsed.skipped) or len(listed) > MAX_HOSTS):
            self.counters.unusable_lists += 1
            return frozenset()
        known = self.table.host_by_name
        if is_snapshot:
            self.is_ready = True
            self.counters.snapshots_applied += 1
            listed.update({name: None for name in known if name not in listed})
        changes = [(name, host) for name, host in listed.items() if known.get(name) is not host]
        return self.table.apply_changes(changes) if changes else frozenset()

    @staticmethod
    def has_few_usable(entries: int, skipped: int) -> bool:
        """Return whether so few entries of a snapshot can be used that all of it is unusable."""
        return entries - skipped < MIN_USABLE_RATIO * entries

    def parse_entries(self, items: list[object], is_snapshot: bool) -> ParsedEntries:
        """Parse entries of a list. Of changes, hosts beyond MAX_HOSTS are skipped."""
        known = self.table.host_by_name
        parsed: dict[str, Host | None] = {}
        skipped, vacancies = 0, MAX_HOSTS - len(known)
        for item in items:
            try:
                name, host = parse_entry(item, known)
            except UNUSABLE_ENTRY_ERRORS:
                skipped += 1
                departing = departing_host_name(item)
                if departing is not None:
                    parsed[departing] = None
                continue
            if host is not None and not is_snapshot and name not in known and name not in parsed:
                if vacancies <= 0:
                    skipped += 1
                    continue
                vacancies -= 1
            parsed[name] = host
        return ParsedEntries(parsed, skipped)

    # The roster

    def replace_roster(self, roster: FleetRoster) -> None:
        """Use another roster. All subscribers that wait are to be looked at again."""
        self.switch_roster(roster, run_to_completion(self.prepare_roster(roster)))
        run_to_completion(self.finish_roster_switch())

    def prepare_roster(self, roster: FleetRoster) -> Incremental[GroupsByService]:
        """Work out what `switch_roster` is to be called with when this ends, as EndpointTable.prepare_roster."""
        return self.table.prepare_roster(roster)

    def switch_roster(self, roster: FleetRoster, groups: GroupsByService) -> None:
        """Use another roster from now on."""
        self.table.switch_roster(roster, groups)

    def finish_roster_switch(self) -> Incremental[None]:
        """Do what is left after `switch_roster`; it changes no response."""
        yield from self.table.assign_pending_rings()
        yield from self.subsets.forget_unknown_gateways()

    # Responses

    def subscription_keys(self, subscriber: Subscriber) -> tuple[SubscriptionKey, ...]:
        """Return a subscriber's keys: `apply_list` returns one of them whenever it may have something new."""
        subscription = subscription_of(subscriber, self.roster)
        return (ALL_HOSTS_KEY,) if subscription is None else subscription.keys

    def respond(self, subscriber: Subscriber, known_index: int | None) -> ListResponse | None:
        """Return the response to a subscriber; None: it has all of it, and may wait.

        known_index: of the response that it has; None: it has none. Raises NotReadyError where there is no list yet.
        """
        if not self.is_ready:
            raise NotReadyError
        subscription = subscription_of(subscriber, self.roster)
        if known_index is None or not self.is_known(subscriber, known_index):
            self.counters.unknown_indexes += known_index is not None
            if subscription is None:
                return run_to_completion(self.full_list.snapshot_incrementally())
            return self.subsets.snapshot(subscription)
        if subscription is None:
            return self.full_list.changes_since(known_index)
        return self.subsets.delta(subscription, known_index)

    def is_known(self, subscriber: Subscriber, index: int) -> bool:
        """Return whether this is a response after which the changes can be sent."""
        if subscriber.gateway in self.roster.placement_by_gateway:
            return self.subsets.is_known(subscriber.gateway, index)
        return self.full_list.is_known(index)

    def is_up_to_date(self, subscriber: Subscriber, index: int) -> bool:
        """Return whether there is surely nothing new after this response; costs next to nothing."""
        subscription = subscription_of(subscriber, self.roster)
        if subscription is None:
            return self.full_list.is_up_to_date(index)
        return self.subsets.is_up_to_date(subscription, index)
