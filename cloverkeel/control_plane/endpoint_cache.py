"""A relay's cache of the registry's endpoint list: applies lists, and builds responses to subscribers. Pure.

Invariants:
- before the first snapshot was applied, every request raises NotReadyError: a relay that has just started must not
  report that no host serves;
- an unusable list leaves the cache unchanged, and is counted;
- a new roster takes effect for all subscribers at once; each subscriber's next response follows it.

The state and its bounds are described in endpoint_table.py, deltas.py and full_list.py.
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

MIN_USABLE_RATIO: Final = 0.5  # below this ratio of usable entries a whole snapshot is unusable


@dataclass(slots=True, frozen=True)
class ParsedEntries:
    """The parsed entries of a list.

    host_by_name: None for a deleted host; the last entry of a name counts.
    skipped: number of unusable entries, and of hosts beyond MAX_HOSTS.
    """

    host_by_name: dict[str, Host | None]
    skipped: int


class EndpointCache:
    """The endpoint table of a relay, and the responses to its subscribers."""

    def __init__(self, roster: FleetRoster, first_index: int, sizes: SubsetSizes = DEFAULT_SIZES) -> None:
        """Create an empty cache, which is not ready.

        first_index: index of the first response; greater than any index of an earlier process at the same address,
            so it is taken from a clock.
        """
        self.is_ready = False
        self.counters = CacheCounters()
        self.indexes = ResponseIndexes(first_index)
        self.table = EndpointTable(roster, sizes, self.counters)
        self.subsets = SubsetResponses(self.table, self.indexes, self.counters)
        self.full_list = FullListResponses(self.table, self.indexes, self.counters)

    @property
    def roster(self) -> FleetRoster:
        """The current roster."""
        return self.table.roster

    # Lists from the registry

    def apply_list(self, is_snapshot: bool, items: object) -> frozenset[SubscriptionKey]:
        """Apply the `endpoints` of a list from the registry: a snapshot, or changes.

        Returns the keys of the subscribers whose responses may change; empty for an unusable list.
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
        """Return whether a snapshot has too few usable entries to be applied."""
        return entries - skipped < MIN_USABLE_RATIO * entries

    def parse_entries(self, items: list[object], is_snapshot: bool) -> ParsedEntries:
        """Parse entries of a list. In a list of changes, new hosts beyond MAX_HOSTS are skipped."""
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
        """Replace the roster in one go. The caller then checks every waiting subscriber for changes."""
        self.switch_roster(roster, run_to_completion(self.prepare_roster(roster)))
        run_to_completion(self.finish_roster_switch())

    def prepare_roster(self, roster: FleetRoster) -> Incremental[GroupsByService]:
        """Compute the groups for `switch_roster`, as EndpointTable.prepare_roster does."""
        return self.table.prepare_roster(roster)

    def switch_roster(self, roster: FleetRoster, groups: GroupsByService) -> None:
        """Make this the current roster; `groups` is the result of `prepare_roster`."""
        self.table.switch_roster(roster, groups)

    def finish_roster_switch(self) -> Incremental[None]:
        """Reassign pending rings and discard state of removed gateways; changes no response."""
        yield from self.table.assign_pending_rings()
        yield from self.subsets.forget_unknown_gateways()

    # Responses

    def subscription_keys(self, subscriber: Subscriber) -> tuple[SubscriptionKey, ...]:
        """Return a subscriber's keys; `apply_list` returns at least one of them if its response may change."""
        subscription = subscription_of(subscriber, self.roster)
        return (ALL_HOSTS_KEY,) if subscription is None else subscription.keys

    def respond(self, subscriber: Subscriber, known_index: int | None) -> ListResponse | None:
        """Return the response to a subscriber, or None if it is up to date.

        known_index: index of the response that the subscriber holds; None if it holds none.
        Raises NotReadyError before the first snapshot was applied.
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
        """Return whether a delta since this response can be computed."""
        if subscriber.gateway in self.roster.placement_by_gateway:
            return self.subsets.is_known(subscriber.gateway, index)
        return self.full_list.is_known(index)

    def is_up_to_date(self, subscriber: Subscriber, index: int) -> bool:
        """Return whether nothing has changed since this response, without comparing subsets.

        False means that there may be changes.
        """
        subscription = subscription_of(subscriber, self.roster)
        if subscription is None:
            return self.full_list.is_up_to_date(index)
        return self.subsets.is_up_to_date(subscription, index)
