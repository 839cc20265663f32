"""Mutants of the control plane's relay: each removes one guard."""

from __future__ import annotations

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("relay-even-places")
def _() -> None:
    """A gateway's window begins at a hash of its name instead of the evenly spaced position of its rank."""
    from cloverkeel.control_plane.subsetting import HashRing

    patch_source(
        HashRing,
        "window",
        ("window_start(count, gateways, group.rank(gateway))", "__import__('zlib').crc32(gateway.encode()) % count"),
    )


@mutant("relay-own-share")
def _() -> None:
    """A widened gateway uses a full share of the slow-start budget of each host that was added by widening."""
    from cloverkeel.control_plane.entry_codec import Host

    patch_source(Host, "subset_entry", ("users * WIDENED_USERS_FACTOR", "users"))


@mutant("relay-drains")
def _() -> None:
    """A draining host is sent as deleted."""
    from cloverkeel.control_plane.deltas import SubsetResponses

    patch_source(SubsetResponses, "_departed_hosts", ("if now is None or now.is_serving or", "if True or"))


@mutant("relay-index")
def _() -> None:
    """Deltas are computed from the last response to the gateway, whichever response `from` names."""
    from cloverkeel.control_plane.endpoint_cache import EndpointCache

    last = "self.subsets.delta(subscription, max(self.subsets.snapshots_by_gateway[subscription.gateway]))"
    known = (
        "not self.is_known(subscriber, known_index)",
        "not self.subsets.snapshots_by_gateway.get(subscriber.gateway)",
    )
    patch_source(EndpointCache, "respond", known, ("self.subsets.delta(subscription, known_index)", last))


@mutant("relay-restricts-first")
def _() -> None:
    """Serving hosts are sent before draining and deleted hosts."""
    from cloverkeel.control_plane import deltas

    ordered = "(*sorted(deleted), *sorted(draining), *sorted(added.items()))"
    reversed_order = "(*sorted(added.items()), *sorted(draining), *sorted(deleted))"
    patch_source(deltas, "_in_order_of_restriction", (ordered, reversed_order))


@mutant("relay-not-ready")
def _() -> None:
    """A relay without a list responds with an empty snapshot."""
    from cloverkeel.control_plane.endpoint_cache import EndpointCache

    patch_source(EndpointCache, "respond", ("raise NotReadyError", "pass"))


@mutant("relay-spill")
def _() -> None:
    """A region's gateways get only hosts of their own region, however few there are."""
    from cloverkeel.control_plane.subsetting import ServiceRings

    patch_source(ServiceRings, "assign_rings", ("< self.sizes.min_serving:", "< 0:"))


@mutant("relay-rubbish")
def _() -> None:
    """A snapshot with mostly unusable entries is applied."""
    from cloverkeel.control_plane.endpoint_cache import EndpointCache

    patch_source(EndpointCache, "apply_list", ("self.has_few_usable(len(items), parsed.skipped) or ", ""))


@mutant("relay-metered")
def _() -> None:
    """A relay queues every request for a snapshot, however many are waiting."""
    from cloverkeel.control_plane.snapshot_queue import SnapshotQueue

    patch_source(SnapshotQueue, "enqueue", ("if waiting < capacity", "if True or waiting < capacity"))


@mutant("relay-age")
def _() -> None:
    """The age of a relay's list counts from when the registry's response was read, not from when it was requested."""
    from cloverkeel.control_plane.discovery_source import DiscoverySource

    patch_source(DiscoverySource, "_apply", ("= received.index, self.request_sent_us", "= received.index, now_us()"))


@mutant("relay-gzip-asked")
def _() -> None:
    """A response is gzipped if Accept-Encoding names gzip, even with a weight of 0."""
    from cloverkeel.control_plane import connection

    patch_attribute(connection, "accepts_gzip", lambda value: b"gzip" in value)


@mutant("relay-roster-shaped")
def _() -> None:
    """After a roster switch a service's rings keep the old assignment until its hosts change."""
    from cloverkeel.control_plane.endpoint_table import EndpointTable

    patch_source(EndpointTable, "rings_of", ("service in self.pending_groups", "False"))


@mutant("relay-roster-found")
def _() -> None:
    """After a roster switch, a connection with the same subscriber keeps its old subscription keys."""
    from cloverkeel.control_plane.long_poll import LongPolls

    patch_source(LongPolls, "_set_subscriber", (" and connection.keys_roster is self.cache.roster", ""))


@mutant("relay-list-moment")
def _() -> None:
    """A full list that was encoded incrementally gets the index of the change number at the end of the encoding."""
    from cloverkeel.control_plane.full_list import FullListResponses

    current = ("self._index_of(change_number)", "self._index_of(self.table.change_number)")
    patch_source(FullListResponses, "snapshot_incrementally", current)


@mutant("relay-list-age")
def _() -> None:
    """The age of a full list counts from the latest confirmation, even if the list has changed since its encoding."""
    from cloverkeel.control_plane.snapshot_queue import SnapshotQueue

    patch_source(SnapshotQueue, "_send_full_list", ("if not is_outdated:", "if True:"))


@mutant("relay-slices")
def _() -> None:
    """All overdue requests are answered in a single slice."""
    from cloverkeel.control_plane.long_poll import LongPolls

    patch_source(LongPolls, "_answer_overdue", ("self.loop.time() >= slice_end_s", "False"))
