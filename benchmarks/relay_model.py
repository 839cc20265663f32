"""Model checking of relays: all orders of events in a small fleet, applied to the relays' pure modules.

    .venv-dev/bin/python -m benchmarks.relay_model [--depth 12] [--states 100000] [--from START] [--only change,ask]
    .venv-dev/bin/python -m benchmarks.relay_model --walks 2000 [--steps 80] [--seed 1]
    .venv-dev/bin/python -m benchmarks.relay_model --from spill --replay 'change:0 hear:1 ask:0 ...'

The fleet is a discovery, two relays, two gateways and three hosts. Its events: a host changes its status, or returns
in another zone or service; a relay receives the next change or a whole list; a gateway polls its relay; a gateway
polls and the response is lost; a gateway moves to the other relay; a gateway widens its subset; a relay restarts
without state, or reads another roster. The search is breadth-first and visits each state once, so the first trace to
a violation is a shortest one. The invariant: what a gateway holds is its subset. The expected subset comes from
`reference_subset`, which is written from docs/relay-design.md alone and computes each window from scratch.

Exit code: 0: no violation; 1: an invariant was violated; 2: invalid arguments.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, fields, replace
from typing import Any, Final

from cloverkeel.control_plane.deltas import ClientSnapshot, SubsetWindow
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import EndpointTable
from cloverkeel.control_plane.entry_codec import WIDENED_USERS_FACTOR
from cloverkeel.control_plane.errors import NotReadyError
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.control_plane.subsetting import HashRing, RingShare, ServiceRings, SubsetSizes
from cloverkeel.core.config import stable_id

Event = tuple[str, int]  # kind; number of the host, relay or gateway
Subset = tuple[set[str], set[tuple[str, str]]]  # names of hosts; rings as (service, zone)
Entry = dict[str, Any]
EntryByName = dict[str, Entry]
FIRST_INDEX: Final = 1_000  # of both relays; an index of one relay has no meaning for the other
INDEX_STEP_PER_RESTART: Final = 100
# Maximum number of events of each kind in one trace of a search. Random walks are limited by their length alone.
MAX_EVENTS_BY_KIND: Final = {
    "change": 4, "shift": 1, "lose": 2, "move": 2, "restart": 1, "list": 1, "roster": 1, "wide": 1
}  # fmt: skip
EVENT_KINDS: Final = (*MAX_EVENTS_BY_KIND, "hear", "ask")
STATUSES_BY_RESTRICTION: Final = ("DELETED", "DRAINING", "SERVING")  # most restrictive first


@dataclass(slots=True, frozen=True)
class FleetSetup:
    """A fleet at the start of a trace.

    rosters: the rosters that relays read in turn.
    locations: (service, zone) in which a host may return.
    """

    rosters: tuple[dict[str, Any], ...]
    hosts: tuple[Entry, ...]
    subscribers: tuple[Subscriber, ...]
    locations: tuple[tuple[str, str], ...]
    sizes: SubsetSizes
    parsed_rosters: tuple[FleetRoster, ...] = ()
    cached_subsets: dict[tuple[object, ...], Subset] = field(default_factory=dict)  # results of `subset_of`

    def with_parsed_rosters(self) -> FleetSetup:
        """Return a copy whose rosters are parsed, as a fleet needs them."""
        return replace(self, parsed_rosters=tuple(parse_roster(json.dumps(raw), "a setup") for raw in self.rosters))

    def subset_of(self, roster_number: int, subscriber: Subscriber, entry_by_name: EntryByName) -> Subset:
        """Return the reference subset; cached."""
        states = sorted((e["name"], e["service"], e["zone"], e["status"]) for e in entry_by_name.values())
        key = (roster_number, subscriber, tuple(states))
        subset = self.cached_subsets.get(key)
        if subset is None:
            subset = self.cached_subsets[key] = reference_subset(
                self.rosters[roster_number], self.sizes, subscriber, entry_by_name
            )
        return subset


def make_entry(name: str, service: str, zone: str) -> Entry:
    """Return the entry of a host that serves."""
    return {"name": name, "address": "10.0.0.1:80", "zone": zone, "service": service, "status": "SERVING"}


# Reference implementation of docs/relay-design.md


def reference_subset(
    roster: dict[str, Any], sizes: SubsetSizes, subscriber: Subscriber, entry_by_name: EntryByName
) -> Subset:
    """Return the names of a subscriber's hosts, and the rings (service, zone) that it shares."""
    placement = roster["gateways"].get(subscriber.gateway)
    regions = roster["regions"]
    if placement is None:
        return {name for name, each in entry_by_name.items() if each["status"] == "SERVING"}, set()

    def region_of(zone: str) -> str:
        return next((region for region, zones in regions.items() if zone in zones), "")

    def region_by_gateway(service: str) -> dict[str, str]:
        """The gateways that route to a service."""
        gateways = roster["gateways"].items()
        return {n: region_of(p["zone"]) for n, p in gateways if "services" not in p or service in p["services"]}

    own_region, names, shared = region_of(placement["zone"]), set[str](), set[tuple[str, str]]()
    services = (
        subscriber.services
        or placement.get("services")
        or sorted({each["service"] for each in entry_by_name.values()})
    )
    for service in services:
        gateways = region_by_gateway(service)
        zones = {each["zone"] for each in entry_by_name.values() if each["service"] == service}
        # Zones whose region has no gateway that routes to the service
        unclaimed = {zone for zone in zones if region_of(zone) not in gateways.values()}
        own_zones = unclaimed | {zone for zone in zones if region_of(zone) == own_region}

        def serving_in(zone: str, service: str = service) -> list[str]:
            key = (service, zone, "SERVING")
            hosts = [
                name for name, each in entry_by_name.items() if (each["service"], each["zone"], each["status"]) == key
            ]
            return sorted(hosts, key=lambda name: (stable_id(f"{service}\0{zone}\0{name}", 8), name))

        if sum(len(serving_in(zone)) for zone in own_zones) < sizes.min_serving:
            own_zones = zones
        for zone in own_zones:
            shared.add((service, zone))
            hosts = serving_in(zone)
            group = [n for n, region in gateways.items() if zone in unclaimed or region == own_region] or list(
                gateways
            )
            hashes = [stable_id(f"{service}\0{n}", 8) for n in group]
            rank = sum(hash_ < stable_id(f"{service}\0{subscriber.gateway}", 8) for hash_ in hashes)
            count, min_hosts = max(len(group), 1), sizes.min_hosts << subscriber.widenings
            for offset in range(min(len(hosts), max(min_hosts, -(-min_hosts * len(hosts) // count)))):
                first = int((rank + 0.5) * len(hosts) / count)
                names.add(hosts[(first + offset) % len(hosts)])
    return names, shared


# The small fleet


class GatewayClient:
    """A gateway's client: the relay that it polls, and the list that it holds."""

    __slots__ = ("held_entry_by_name", "known_index", "relay_number", "subscriber")

    def __init__(self, subscriber: Subscriber, relay_number: int) -> None:
        self.subscriber, self.relay_number = subscriber, relay_number
        self.known_index: int | None = None
        self.held_entry_by_name: dict[str, bytes] = {}

    def copy(self) -> GatewayClient:
        """Return a copy that can be changed independently."""
        client = GatewayClient(self.subscriber, self.relay_number)
        client.known_index, client.held_entry_by_name = self.known_index, dict(self.held_entry_by_name)
        return client

    def apply_response(self, response: ListResponse) -> None:
        """Apply a response like PollSchedule.on_reply.

        Changes with an index below the known one come from a relay that has restarted; a snapshot is requested next.
        """
        if not response.is_snapshot and self.known_index is not None and response.index < self.known_index:
            self.known_index = None
            return
        if response.is_snapshot:
            self.held_entry_by_name = {}
        self.known_index = response.index
        for encoded in response.entries:
            raw = json.loads(encoded)
            if raw["status"] == "DELETED":
                self.held_entry_by_name.pop(raw["name"], None)
            else:
                self.held_entry_by_name[raw["name"]] = encoded


class Relay:
    """A relay's cache, and what the relay has received from discovery."""

    __slots__ = ("applied_changes", "cache", "entry_by_name", "restart_count", "roster_number")

    def __init__(self, setup: FleetSetup, restart_count: int = 0, roster_number: int = 0) -> None:
        self.restart_count, self.roster_number = restart_count, roster_number
        self.cache = EndpointCache(
            setup.parsed_rosters[roster_number], FIRST_INDEX + restart_count * INDEX_STEP_PER_RESTART, setup.sizes
        )
        self.applied_changes = -1  # number of discovery's changes that were applied; -1: no list received yet
        self.entry_by_name: EntryByName = {}

    def copy(self) -> Relay:
        """Return a copy that can be changed independently."""
        relay = Relay.__new__(Relay)
        relay.restart_count, relay.roster_number, relay.applied_changes, relay.entry_by_name = (
            self.restart_count,
            self.roster_number,
            self.applied_changes,
            dict(self.entry_by_name),
        )
        relay.cache = copy_cache(self.cache)
        return relay


class FleetState:
    """State of the small fleet, and the first violation."""

    __slots__ = (
        "changes",
        "clients",
        "entry_by_name",
        "event_counts",
        "published_entries",
        "relays",
        "setup",
        "violation",
    )

    def __init__(self, setup: FleetSetup) -> None:
        self.setup, self.violation = setup, ""
        self.entry_by_name: EntryByName = {each["name"]: each for each in setup.hosts}
        self.changes: tuple[Entry, ...] = ()  # since the start, in order
        self.published_entries = frozenset(encode_entry(each) for each in setup.hosts)
        self.relays = [Relay(setup), Relay(setup)]
        self.clients = [GatewayClient(subscriber, number % 2) for number, subscriber in enumerate(setup.subscribers)]
        self.event_counts = dict.fromkeys(MAX_EVENTS_BY_KIND, 0)

    def copy(self) -> FleetState:
        """Return a copy that can be changed independently."""
        state = FleetState.__new__(FleetState)
        state.setup, state.violation, state.changes, state.published_entries = (
            self.setup,
            self.violation,
            self.changes,
            self.published_entries,
        )
        state.entry_by_name, state.event_counts = dict(self.entry_by_name), dict(self.event_counts)
        state.relays = [relay.copy() for relay in self.relays]
        state.clients = [client.copy() for client in self.clients]
        return state

    def key(self) -> tuple[object, ...]:
        """Return everything that later events depend on. Change numbers and indexes are reduced to their order."""
        relays = tuple(
            (relay.roster_number, relay.applied_changes - len(self.changes), relay.restart_count,
             cache_key(relay.cache))
            for relay in self.relays
        )  # fmt: skip
        clients = tuple(
            (
                client.relay_number, client.subscriber.widenings, tuple(sorted(client.held_entry_by_name.items())),
                None
                if client.known_index is None
                else client.known_index - self.relays[client.relay_number].cache.indexes.last,
            )
            for client in self.clients
        )  # fmt: skip
        pending_count = len(self.changes) - min(relay.applied_changes for relay in self.relays)
        pending = tuple(encode_entry(each) for each in self.changes[-pending_count:]) if pending_count else ()
        return (
            relays,
            clients,
            pending,
            self.published_entries,
            tuple(self.event_counts.values()),
            list_key(self.entry_by_name),
        )

    # Events

    def possible_events(self) -> Iterator[Event]:
        """Yield the events that can happen next."""
        allowed = {kind for kind, max_count in MAX_EVENTS_BY_KIND.items() if self.event_counts[kind] < max_count}
        for kind, count in (("change", len(self.setup.hosts)), ("shift", len(self.setup.hosts))):
            if kind in allowed:
                yield from ((kind, number) for number in range(count))
        for number, relay in enumerate(self.relays):
            if -1 < relay.applied_changes < len(self.changes):
                yield "hear", number
            if relay.applied_changes == -1 or "list" in allowed:
                yield "list", number
            if "restart" in allowed and relay.applied_changes >= 0:
                yield "restart", number
            if "roster" in allowed and len(self.setup.rosters) > 1:
                yield "roster", number
        for number in range(len(self.clients)):
            yield "ask", number
            yield from ((kind, number) for kind in ("lose", "move", "wide") if kind in allowed)

    def apply_event(self, event: Event) -> None:
        """Apply an event; one that is not possible now has no effect."""
        kind, number = event
        if kind in MAX_EVENTS_BY_KIND and not (kind == "list" and self.relays[number].applied_changes == -1):
            self.event_counts[kind] += 1
        if kind in ("change", "shift"):
            self.change_host(number, kind == "shift")
        elif kind == "hear":
            self.deliver_next_change(number)
        elif kind == "list":
            relay = self.relays[number]
            relay.cache.apply_list(True, list(self.entry_by_name.values()))
            relay.applied_changes, relay.entry_by_name = len(self.changes), dict(self.entry_by_name)
        elif kind == "restart":
            self.relays[number] = Relay(
                self.setup, self.relays[number].restart_count + 1, self.relays[number].roster_number
            )
        elif kind == "roster":
            relay = self.relays[number]
            relay.roster_number = (relay.roster_number + 1) % len(self.setup.rosters)
            relay.cache.replace_roster(self.setup.parsed_rosters[relay.roster_number])
        elif kind == "move":
            client = self.clients[number]
            client.relay_number, client.known_index = 1 - client.relay_number, None
        elif kind == "wide":
            client = self.clients[number]
            client.subscriber = replace(client.subscriber, widenings=1 - client.subscriber.widenings)
        else:
            self.poll_relay(number, kind == "lose")

    def change_host(self, number: int, is_move: bool) -> None:
        """Change a host from serving to draining to deleted to serving; or let it serve in another location."""
        previous = self.entry_by_name.get(self.setup.hosts[number]["name"])
        if is_move:
            initial = self.setup.hosts[number]
            location = (
                (initial["service"], initial["zone"]) if previous is None else (previous["service"], previous["zone"])
            )
            others = [other for other in self.setup.locations if other != location]
            service, zone = others[number % len(others)]
            changed = make_entry(initial["name"], service, zone)
        elif previous is None:
            changed = dict(self.setup.hosts[number])
        else:
            changed = previous | {"status": "DRAINING" if previous["status"] == "SERVING" else "DELETED"}
        self.changes = (*self.changes, changed)
        apply_change(self.entry_by_name, changed)
        self.published_entries |= {encode_entry(changed)}

    def deliver_next_change(self, number: int) -> None:
        """Let a relay receive the next change from discovery, if there is one."""
        relay = self.relays[number]
        if -1 < relay.applied_changes < len(self.changes):
            changed = self.changes[relay.applied_changes]
            relay.cache.apply_list(False, [changed])
            apply_change(relay.entry_by_name, changed)
            relay.applied_changes += 1

    def poll_relay(self, number: int, is_response_lost: bool) -> None:
        """Let a gateway poll its relay, and check the response and the list that the gateway then holds."""
        client = self.clients[number]
        relay = self.relays[client.relay_number]
        try:
            response = relay.cache.respond(client.subscriber, client.known_index)
        except NotReadyError:
            self.require(relay.applied_changes == -1, "a relay that has a list is not ready")
            return
        self.require(relay.applied_changes >= 0, "a relay that has no list sent a response")
        if is_response_lost:
            return
        if response is not None:
            self.check_response(client, relay, response)
            client.apply_response(response)
        if client.known_index is not None:
            self.check_held_list(client, relay)

    def settled(self) -> FleetState:
        """Return a copy in which relays have received all changes and gateways have polled them; checked."""
        state = self.copy()
        for number, relay in enumerate(state.relays):
            if relay.applied_changes == -1:
                state.apply_event(("list", number))
            while relay.applied_changes < len(state.changes):
                state.deliver_next_change(number)
        for number, client in enumerate(state.clients):
            for _ in range(2):  # the first response may be unusable
                state.poll_relay(number, False)
            state.require(client.known_index is not None, "a gateway has no list after the fleet has settled")
            draining = {name for name, each in state.entry_by_name.items() if each["status"] == "DRAINING"}
            names, _ = state.setup.subset_of(
                state.relays[client.relay_number].roster_number, client.subscriber, state.entry_by_name
            )
            state.require(
                client.held_entry_by_name.keys() - draining == names,
                "a gateway holds another subset after the fleet has settled",
            )
        return state

    # Invariants

    def require(self, holds: bool, violation: str) -> None:
        """Record a violation, if it is the first."""
        if not holds and not self.violation:
            self.violation = violation

    def check_response(self, client: GatewayClient, relay: Relay, response: ListResponse) -> None:
        """Check the order, content and necessity of the entries of a response."""
        raw_entries = [json.loads(encoded) for encoded in response.entries]
        ranks = [STATUSES_BY_RESTRICTION.index(raw["status"]) for raw in raw_entries]
        self.require(
            response.is_snapshot or ranks == sorted(ranks), "the most restrictive entries are not sent first"
        )
        names = [raw["name"] for raw in raw_entries]
        self.require(len(set(names)) == len(names), "a host appears twice in one response")
        self.require(response.is_snapshot or bool(raw_entries), "a response with changes is empty")
        self.require(
            client.known_index is not None or response.is_snapshot, "changes were sent to a gateway without a list"
        )
        if response.is_snapshot:
            return
        _, shared = self.setup.subset_of(relay.roster_number, client.subscriber, relay.entry_by_name)
        for raw in raw_entries:
            current = relay.entry_by_name.get(raw["name"])
            if raw["status"] == "DELETED" and current is not None and current["status"] == "DRAINING":
                is_shared = (
                    (current["service"], current["zone"]) in shared
                    and raw["name"] in client.held_entry_by_name
                )  # fmt: skip
                self.require(not is_shared, "a draining host was sent as deleted")

    def check_held_list(self, client: GatewayClient, relay: Relay) -> None:
        """Check a gateway's list after a response, or if there is nothing to send."""
        names, _ = self.setup.subset_of(relay.roster_number, client.subscriber, relay.entry_by_name)
        serving: set[str] = set()
        for name, encoded in client.held_entry_by_name.items():
            raw = json.loads(encoded)
            users = raw.pop("users", None)
            self.require(
                encode_entry(raw) in self.published_entries, "a gateway holds an entry that discovery never had"
            )
            current = relay.entry_by_name.get(name)
            is_current = current is not None and encode_entry(current) == encode_entry(raw)
            self.require(is_current, "a gateway holds an entry that its relay no longer has")
            if raw["status"] == "SERVING":
                serving.add(name)
                min_users = self.min_users_of(relay, client.subscriber, name) if users is not None else 0
                self.require((users or min_users) >= min_users, "more gateways use a host than `users` says")
        self.require(serving == names, "a gateway's subset differs from the one that its relay's list gives")

    def min_users_of(self, relay: Relay, subscriber: Subscriber, name: str) -> int:
        """Return the minimum value of `users` for a host in a subscriber's subset.

        This is the number of gateways in the roster that use the host without widening; multiplied by
        WIDENED_USERS_FACTOR if the subscriber has the host only by widening.
        """
        gateways = [Subscriber(gateway) for gateway in self.setup.rosters[relay.roster_number]["gateways"]]
        users = sum(
            name in self.setup.subset_of(relay.roster_number, gateway, relay.entry_by_name)[0] for gateway in gateways
        )
        own, _ = self.setup.subset_of(relay.roster_number, replace(subscriber, widenings=0), relay.entry_by_name)
        return users if name in own else users * WIDENED_USERS_FACTOR


def encode_entry(raw: Entry) -> str:
    """Return a canonical text form, for comparisons."""
    return json.dumps(raw, sort_keys=True)


def list_key(entry_by_name: EntryByName) -> tuple[str, ...]:
    """Return a hashable form of a list."""
    return tuple(sorted(encode_entry(each) for each in entry_by_name.values()))


def apply_change(entry_by_name: EntryByName, changed: Entry) -> None:
    """Apply a change of one host to a list."""
    if changed["status"] == "DELETED":
        entry_by_name.pop(changed["name"], None)
    else:
        entry_by_name[changed["name"]] = changed


def copy_cache(cache: EndpointCache) -> EndpointCache:
    """Copy a cache. Hosts, windows and snapshots are immutable, and so shared by the copies."""
    copied = EndpointCache(cache.roster, cache.indexes.last + 1, cache.table.sizes)
    copied.is_ready = cache.is_ready
    for counter in fields(cache.counters):
        setattr(copied.counters, counter.name, getattr(cache.counters, counter.name))
    copy_table(cache.table, copied.table)
    snapshots = cache.subsets.snapshots_by_gateway
    copied.subsets.snapshots_by_gateway = {gateway: dict(by_index) for gateway, by_index in snapshots.items()}
    copied.full_list.change_by_index = cache.full_list.change_by_index.copy()
    copied.full_list.entries, copied.full_list.entries_change = (
        cache.full_list.entries,
        cache.full_list.entries_change,
    )
    return copied


def copy_table(table: EndpointTable, target: EndpointTable) -> None:
    """Copy the content of a table into a new one."""
    target.change_number, target.host_by_name = table.change_number, dict(table.host_by_name)
    target.change_by_service = table.change_by_service.copy()
    target.change_by_service_floor = table.change_by_service_floor
    target.change_log.entries, target.change_log.floor = table.change_log.entries.copy(), table.change_log.floor
    for name, rings in table.rings_by_service.items():
        copied = target.rings_by_service[name] = ServiceRings.__new__(ServiceRings)
        copied.sizes, copied.groups, copied.spillover_regions = rings.sizes, rings.groups, rings.spillover_regions
        copied.ring_by_zone = {zone: copy_ring(ring) for zone, ring in rings.ring_by_zone.items()}
        copied.shares_by_region = {
            region: tuple(RingShare(copied.ring_by_zone[share.ring.zone], share.group) for share in shares)
            for region, shares in rings.shares_by_region.items()
        }


def copy_ring(ring: HashRing) -> HashRing:
    """Copy a ring. Its hosts are immutable, and so shared by the copies."""
    copied = HashRing(ring.zone, ring.min_hosts)
    copied.hosts, copied.known_hosts, copied.changed_at = list(ring.hosts), ring.known_hosts, ring.changed_at
    copied.group_sizes = ring.group_sizes
    return copied


def cache_key(cache: EndpointCache) -> tuple[object, ...]:
    """Return a cache's state, with change numbers replaced by their ranks, and indexes relative to the last one."""
    table, by_gateway = cache.table, cache.subsets.snapshots_by_gateway
    log, by_index, last = table.change_log, cache.full_list.change_by_index, cache.indexes.last
    snapshots = [snapshot for each in by_gateway.values() for snapshot in each.values()]
    windows = [w for each in snapshots for zones in each.windows_by_service.values() for w in zones.values()]
    all_rings = [ring for rings in table.rings_by_service.values() for ring in rings.ring_by_zone.values()]
    change_numbers = {table.change_number, log.floor, table.change_by_service_floor}
    change_numbers.update(table.change_by_service.values(), by_index.values())
    change_numbers.update(number for number, _ in log.entries)
    change_numbers.update(snapshot.change_number for snapshot in snapshots)
    change_numbers.update(ring.changed_at for ring in all_rings)
    change_numbers.update(window.changed_at for window in windows)
    rank_by_number = {number: rank for rank, number in enumerate(sorted(change_numbers))}

    def window_key(window: SubsetWindow) -> object:
        hosts = tuple((host.is_serving, host.fields) for host in window.hosts)
        return rank_by_number[window.changed_at], window.max_users, window.own_hosts, hosts

    def snapshot_key(snapshot: ClientSnapshot) -> object:
        windows = tuple(
            (name, zone, window_key(window))
            for name, zones in sorted(snapshot.windows_by_service.items()) for zone, window in sorted(zones.items())
        )  # fmt: skip
        draining = tuple((host.is_serving, host.fields) for _, host in sorted(snapshot.draining_by_name.items()))
        subscription = snapshot.subscription
        return (
            rank_by_number[snapshot.change_number],
            subscription.roster.digest,
            subscription.services,
            subscription.widenings,
            windows,
            draining,
        )

    rings = tuple(
        (name, zone, rank_by_number[ring.changed_at], ring.known_hosts, tuple(host.fields for host in ring.hosts))
        for name, service_rings in sorted(table.rings_by_service.items())
        for zone, ring in sorted(service_rings.ring_by_zone.items())
    )  # fmt: skip
    return (
        cache.is_ready, rank_by_number[table.change_number], rings,
        tuple((host.is_serving, host.fields) for _, host in sorted(table.host_by_name.items())),
        tuple((name, rank_by_number[number]) for name, number in sorted(table.change_by_service.items())),
        tuple((rank_by_number[number], host.is_serving, host.fields) for number, host in log.entries),
        tuple((index - last, rank_by_number[number]) for index, number in by_index.items()),
        tuple(
            (gateway, tuple((index - last, snapshot_key(each)) for index, each in sorted(snapshot_by_index.items())))
            for gateway, snapshot_by_index in sorted(by_gateway.items())
        ),
    )  # fmt: skip


# Setups at which a search starts

SMALL_SUBSETS: Final = SubsetSizes(min_hosts=1, min_serving=1)


def make_ring_setup() -> FleetSetup:
    """Three hosts on one ring; two gateways share it, and each uses two hosts."""
    roster = {"regions": {"r": ["z"]}, "gateways": {"g0": {"zone": "z"}, "g1": {"zone": "z"}}}
    without_g1 = {"regions": {"r": ["z"]}, "gateways": {"g0": {"zone": "z"}}}  # then g1 gets the full list
    hosts = tuple(make_entry(f"h{n}", "", "z") for n in range(3))
    return FleetSetup(
        (roster, without_g1), hosts, (Subscriber("g0"), Subscriber("g1")), (("", "z"), ("a", "z")), SMALL_SUBSETS
    ).with_parsed_rosters()


def make_spillover_setup() -> FleetSetup:
    """Two regions with one gateway each; a gateway whose region has no serving host uses the other region's hosts."""
    gateways = {"g0": {"zone": "z0"}, "g1": {"zone": "z1"}}
    roster = {"regions": {"r0": ["z0"], "r1": ["z1"]}, "gateways": gateways}
    hosts = tuple(make_entry(f"h{n}", "", f"z{n % 2}") for n in range(3))
    return FleetSetup(
        (roster,),
        hosts,
        (Subscriber("g0"), Subscriber("g1")),
        (("", "z0"), ("", "z1"), ("", "far")),
        SMALL_SUBSETS,
    ).with_parsed_rosters()


def make_services_setup() -> FleetSetup:
    """Two services; one gateway routes to one of them, the other to both; hosts move between the services."""
    gateways = {"g0": {"zone": "z", "services": ["a"]}, "g1": {"zone": "z", "services": ["a", "b"]}}
    roster = {"regions": {"r": ["z"]}, "gateways": gateways}
    other_roster = {"regions": {"r": ["z"]}, "gateways": gateways | {"g0": {"zone": "z", "services": ["b"]}}}
    hosts = tuple(make_entry(f"h{n}", "a" if n < 2 else "b", "z") for n in range(3))
    return FleetSetup(
        (roster, other_roster), hosts, (Subscriber("g0"), Subscriber("g1")), (("a", "z"), ("b", "z")), SMALL_SUBSETS
    ).with_parsed_rosters()


SETUPS: Final = {"ring": make_ring_setup, "spill": make_spillover_setup, "services": make_services_setup}


def make_initial_state(setup: FleetSetup) -> FleetState:
    """Return the state in which both relays have the list and all gateways have their subsets."""
    state = FleetState(setup)
    for event in (("list", 0), ("list", 1), *(("ask", n) for n in range(len(setup.subscribers)))):
        state.apply_event(event)
    return state


@dataclass(slots=True)
class SearchResult:
    """Outcome of a search. Without a violation, `violation` and `trace` are empty."""

    states: int = 0
    depth: int = 0
    violation: str = ""
    trace: tuple[Event, ...] = ()


def find_violation(state: FleetState) -> str:
    """Return the violation in this state or after the fleet has settled; "" if there is none."""
    return state.violation or state.settled().violation


def search_states(
    setup: FleetSetup, max_depth: int, max_states: int, kinds: Sequence[str] = EVENT_KINDS
) -> SearchResult:
    """Search the states within `max_depth` events of these kinds breadth-first, up to `max_states` states."""
    first = make_initial_state(setup)
    predecessor_by_key: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]] = {
        first.key(): (None, ("", 0))
    }
    queue: deque[tuple[FleetState, tuple[object, ...], int]] = deque([(first, first.key(), 0)])
    result = SearchResult(1)
    while queue:
        state, key, depth = queue.popleft()
        if depth >= max_depth:
            continue
        for event in state.possible_events():
            if event[0] not in kinds:
                continue
            next_state = state.copy()
            next_state.apply_event(event)
            next_key = next_state.key()
            if next_key in predecessor_by_key:
                continue
            predecessor_by_key[next_key] = (key, event)
            result.states, result.depth = result.states + 1, depth + 1
            result.violation = find_violation(next_state)
            if result.violation:
                result.trace = trace_to(predecessor_by_key, next_key)
                return result
            if result.states >= max_states:
                return result
            queue.append((next_state, next_key, depth + 1))
    return result


def trace_to(
    predecessor_by_key: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]], key: tuple[object, ...]
) -> tuple[Event, ...]:
    """Return the events that lead from the initial state to the state with this key."""
    events: list[Event] = []
    current: tuple[object, ...] | None = key
    while current is not None:
        current, event = predecessor_by_key[current]
        events.append(event)
    return tuple(reversed(events[:-1]))


def replay_trace(setup: FleetSetup, trace: Iterable[Event]) -> FleetState:
    """Return the state after these events, or after the first one that violates an invariant."""
    state = make_initial_state(setup)
    for event in trace:
        state.apply_event(event)
        if state.violation:
            break
    return state


def shorten_trace(setup: FleetSetup, trace: Sequence[Event]) -> tuple[Event, ...]:
    """Remove the events that are not needed for a violation."""
    kept = list(trace)
    is_changed = True
    while is_changed:
        is_changed = False
        for index in range(len(kept) - 1, -1, -1):
            fewer = kept[:index] + kept[index + 1 :]
            if find_violation(replay_trace(setup, fewer)):
                kept, is_changed = fewer, True
    return tuple(kept)


WEIGHT_BY_KIND: Final = {
    "ask": 8.0, "hear": 6.0, "change": 4.0, "shift": 1.0, "lose": 2.0, "move": 1.0, "list": 0.5, "restart": 0.4,
    "roster": 0.3, "wide": 0.5,
}  # fmt: skip


def draw_event(rng: random.Random, state: FleetState) -> Event:
    """Draw one of the possible events."""
    events = list(state.possible_events())
    kinds = sorted({event[0] for event in events})
    (kind,) = rng.choices(kinds, [WEIGHT_BY_KIND[kind] for kind in kinds])
    return rng.choice([event for event in events if event[0] == kind])


def run_random_walks(setup: FleetSetup, walks: int, steps: int, seed: int) -> SearchResult:
    """Apply long random traces; shorten the first one that violates an invariant."""
    result = SearchResult()
    for number in range(walks):
        rng, state, trace = random.Random(f"{seed}/{number}"), make_initial_state(setup), list[Event]()
        state.event_counts = dict.fromkeys(MAX_EVENTS_BY_KIND, -steps)  # no kind reaches its maximum
        for step in range(steps):
            event = draw_event(rng, state)
            trace.append(event)
            state.apply_event(event)
            result.states += 1
            if state.violation or (step == steps - 1 and find_violation(state)):
                result.trace = shorten_trace(setup, trace)
                result.violation = find_violation(replay_trace(setup, result.trace))
                return result
    return result


def parse_trace(text: str) -> tuple[Event, ...]:
    """Parse a trace as given to --replay. Raises ValueError for an unknown event."""
    events = []
    for word in text.split():
        kind, _, number = word.partition(":")
        if kind not in EVENT_KINDS or not (number or "0").isdigit():
            raise ValueError(f"--replay: expected words such as ask:0 or change:2, found {word!r}")
        events.append((kind, int(number or 0)))
    return tuple(events)


def print_trace(setup: FleetSetup, trace: Sequence[Event]) -> None:
    """Print, after each event, the lists of discovery, of each relay and of each gateway."""
    state = make_initial_state(setup)
    for event in (("", 0), *trace):
        if event[0]:
            state.apply_event(event)
        relays = "  ".join(
            summarize_entries(relay.entry_by_name.values()) if relay.applied_changes >= 0 else "-"
            for relay in state.relays
        )
        clients = "  ".join(
            f"{client.subscriber.gateway}@{client.relay_number}/{client.known_index}: "
            f"{summarize_entries(map(json.loads, client.held_entry_by_name.values()))}"
            for client in state.clients
        )
        print(
            f"{event[0] or 'start':>8}:{event[1]}  [{summarize_entries(state.entry_by_name.values())}]  "
            f"relays {relays}  {clients}"
        )
    print("replay with: --replay '" + " ".join(f"{kind}:{number}" for kind, number in trace) + "'")


def summarize_entries(entries: Iterable[Entry]) -> str:
    """Return the names of hosts; a draining host is marked with "-"."""
    marks = {"SERVING": "", "DRAINING": "-"}
    words = sorted(f"{each['name']}{marks[each['status']]}" for each in entries)
    return ",".join(words) or "none"


def main() -> int:
    """Run a search, random walks or a replay, and print the result."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--from", dest="start", choices=sorted(SETUPS), default="ring")
    parser.add_argument("--only", default=",".join(EVENT_KINDS), metavar="KINDS")
    parser.add_argument("--walks", type=int, default=0)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--replay", default="", metavar="EVENTS")
    options = parser.parse_args()
    setup, start_s = SETUPS[options.start](), time.monotonic()
    try:
        replayed, kinds = parse_trace(options.replay), options.only.split(",")
        if not set(kinds) <= set(EVENT_KINDS):
            raise ValueError(f"--only: expected words of {','.join(EVENT_KINDS)}, found {options.only!r}")
    except ValueError as error:
        print(f"relay_model: {error}", file=sys.stderr)
        return 2
    if replayed:
        print_trace(setup, replayed)
        violation = find_violation(replay_trace(setup, replayed))
        print(violation or "no violation")
        return 1 if violation else 0
    result = (
        run_random_walks(setup, options.walks, options.steps, options.seed)
        if options.walks
        else search_states(setup, options.depth, options.states, kinds)
    )
    duration_s = time.monotonic() - start_s
    print(f"{result.states} states, depth {result.depth}, {duration_s:.1f} s: {result.violation or 'no violation'}")
    if result.violation:
        print_trace(setup, result.trace)
    return 1 if result.violation else 0


if __name__ == "__main__":
    raise SystemExit(main())
