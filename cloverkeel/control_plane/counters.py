"""Counters of a relay process since its start. Pure.

Only this module maps them to the keys of `/relay/state` and of the log line at exit. Those keys must not change, as
operators' tools read them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

CACHE_JSON_KEYS: Final = {
    "snapshots_applied": "lists",
    "unusable_lists": "rubbish_lists",
    "changes_before_snapshot": "early",
    "skipped_entries": "skipped",
    "changed_hosts": "changes",
    "snapshots": "wholes",
    "deltas": "deltas",
    "unknown_indexes": "unknown",
}
SERVER_JSON_KEYS: Final = {
    "requests": "calls",
    "deltas": "changes",
    "empty_responses": "empties",
    "snapshots": "wholes",
    "rejected_snapshots": "wholes_refused",
    "not_ready": "not_ready",
    "bad_requests": "bad_calls",
    "sent_bytes": "bytes_out",
    "rejected_connections": "connections_refused",
    "closed_slow": "closed_slow",
    "closed_idle": "closed_idle",
    "notification_rounds": "passes",
    "checked_connections": "touched",
}


@dataclass(slots=True)
class CacheCounters:
    """Counts of the lists that an EndpointCache received and the responses that it made."""

    snapshots_applied: int = 0
    unusable_lists: int = 0
    changes_before_snapshot: int = 0  # lists of changes received before any snapshot
    skipped_entries: int = 0
    changed_hosts: int = 0  # changed, added or removed
    snapshots: int = 0  # responses with the subscriber's whole list
    deltas: int = 0  # responses with changes only
    unknown_indexes: int = 0  # requests whose `from` is unknown to this relay

    def as_json(self) -> dict[str, int]:
        """Return the counters by their JSON keys."""
        return {key: getattr(self, name) for name, key in CACHE_JSON_KEYS.items()}


@dataclass(slots=True)
class ServerCounters:
    """Counts of the requests, responses and connections of a RelayServer."""

    requests: int = 0
    deltas: int = 0
    empty_responses: int = 0
    snapshots: int = 0
    rejected_snapshots: int = 0
    not_ready: int = 0
    bad_requests: int = 0
    sent_bytes: int = 0
    rejected_connections: int = 0
    closed_slow: int = 0
    closed_idle: int = 0
    notification_rounds: int = 0
    checked_connections: int = 0  # waiting connections checked for changes, in all rounds

    def as_json(self) -> dict[str, int]:
        """Return the counters by their JSON keys."""
        return {key: getattr(self, name) for name, key in SERVER_JSON_KEYS.items()}
