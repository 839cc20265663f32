"""Mutants of the control plane's relay: each takes out one guard."""

from __future__ import annotations

from benchmarks.guards.patching import cut, entry, swap


@entry("relay-even-places")
def _() -> None:
    """A gateway's window begins at a hash of its own, not evenly spaced by its rank."""
    from cloverkeel.control_plane.subsetting import HashRing

    cut(
        HashRing,
        "window",
        ("window_start(count, gateways, group.rank(gateway))", "__import__('zlib').crc32(gateway.encode()) % count"),
    )


@entry("relay-own-share")
def _() -> None:
    """Who has widened takes a full share of each cold host that it has by that."""
    from cloverkeel.control_plane.entry_codec import Host

    cut(Host, "subset_entry", ("users * WIDENED_USERS_FACTOR", "users"))


@entry("relay-drains")
def _() -> None:
    """A host that drains is told as gone."""
    from cloverkeel.control_plane.deltas import SubsetResponses

    cut(SubsetResponses, "_departed_hosts", ("if now is None or now.is_serving or", "if True or"))


@entry("relay-index")
def _() -> None:
    """Changes are told from the gateway's last answer, whichever `from` names."""
    from cloverkeel.control_plane.endpoint_cache import EndpointCache

    last = "self.subsets.delta(subscription, max(self.subsets.snapshots_by_gateway[subscription.gateway]))"
    known = (
        "not self.is_known(subscriber, known_index)",
        "not self.subsets.snapshots_by_gateway.get(subscriber.gateway)",
    )
    cut(EndpointCache, "respond", known, ("self.subsets.delta(subscription, known_index)", last))


@entry("relay-restricts-first")
def _() -> None:
    """What serves is said before what restricts."""
    from cloverkeel.control_plane import deltas

    ordered = "(*sorted(deleted), *sorted(draining), *sorted(added.items()))"
    reversed_order = "(*sorted(added.items()), *sorted(draining), *sorted(deleted))"
    cut(deltas, "_in_order_of_restriction", (ordered, reversed_order))


@entry("relay-not-ready")
def _() -> None:
    """A relay that has no list says that nobody serves."""
    from cloverkeel.control_plane.endpoint_cache import EndpointCache

    cut(EndpointCache, "respond", ("raise NotReadyError", "pass"))


@entry("relay-spill")
def _() -> None:
    """A region's gateways have its own hosts only, however few."""
    from cloverkeel.control_plane.subsetting import ServiceRings

    cut(ServiceRings, "assign_rings", ("< self.sizes.min_serving:", "< 0:"))


@entry("relay-rubbish")
def _() -> None:
    """A whole list that is mostly rubbish is taken."""
    from cloverkeel.control_plane.endpoint_cache import EndpointCache

    cut(EndpointCache, "apply_list", ("self.has_few_usable(len(items), parsed.skipped) or ", ""))


@entry("relay-metered")
def _() -> None:
    """A relay serves all wholes at once."""
    from cloverkeel.control_plane.snapshot_queue import SnapshotQueue

    cut(SnapshotQueue, "enqueue", ("if waiting < capacity", "if True or waiting < capacity"))


@entry("relay-age")
def _() -> None:
    """A relay's list counts as of the moment in which its answer was read."""
    from cloverkeel.control_plane.discovery_source import DiscoverySource

    cut(DiscoverySource, "_apply", ("= received.index, self.request_sent_us", "= received.index, now_us()"))


@entry("relay-gzip-asked")
def _() -> None:
    """Whoever says Accept-Encoding gets gzip, whatever weight it gives."""
    from cloverkeel.control_plane import connection

    swap(connection, "accepts_gzip", lambda value: b"gzip" in value)


@entry("relay-roster-shaped")
def _() -> None:
    """After another roster a service stays as it was until its hosts change."""
    from cloverkeel.control_plane.endpoint_table import EndpointTable

    cut(EndpointTable, "rings_of", ("service in self.pending_groups", "False"))


@entry("relay-roster-found")
def _() -> None:
    """A caller that asks as before is found as before, whatever the roster says now."""
    from cloverkeel.control_plane.long_poll import LongPolls

    cut(LongPolls, "_set_subscriber", (" and connection.keys_roster is self.cache.roster", ""))


@entry("relay-list-moment")
def _() -> None:
    """A whole list made by steps counts as of their end."""
    from cloverkeel.control_plane.full_list import FullListResponses

    current = ("self._index_of(change_number)", "self._index_of(self.table.change_number)")
    cut(FullListResponses, "snapshot_incrementally", current)


@entry("relay-list-age")
def _() -> None:
    """The age of a whole list counts from what is known as it is written, though the list went on."""
    from cloverkeel.control_plane.snapshot_queue import SnapshotQueue

    cut(SnapshotQueue, "_send_full_list", ("if not is_outdated:", "if True:"))


@entry("relay-slices")
def _() -> None:
    """All who are behind are answered in one go."""
    from cloverkeel.control_plane.long_poll import LongPolls

    cut(LongPolls, "_answer_overdue", ("self.loop.time() >= slice_end_s", "False"))
