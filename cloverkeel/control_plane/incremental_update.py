"""A long list of discovery's taken in by steps, so that callers get their turn between them. Pure: no I/O, no clock.

Invariants:
- nothing of the feed is changed before the list was read to its end and found fit: rubbish leaves all as it is;
- after the last step the feed is as after `Feed.take` of the same list; in between it has some of the changes, what
  restricts first, the rest service by service. Whoever stops early must ask for the whole list.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, Final

from cloverkeel.control_plane.endpoint_cache import MOST_HOSTS, USABLE, Feed, Topic
from cloverkeel.control_plane.subsetting import Host

SORT_STEP: Final = 2_048  # entries: some 2 ms
STEP: Final = 32  # entries: some 2 ms each on a busy machine


def take_in(feed: Feed, whole: bool, items: list[Any]) -> Generator[None, None, frozenset[Topic] | None]:
    """Returns whose waiting it ends, as Feed.take; None: it is rubbish."""
    told: set[str] = set()  # names
    changes: dict[str, Host | None] = {}
    skipped = 0
    for begin in range(0, len(items), STEP):
        some, unfit = feed.read(items[begin : begin + STEP], whole)
        skipped += unfit
        told.update(some)
        for name, host in some.items():
            if feed.hosts.get(name) is not host:
                changes[name] = host
            else:
                changes.pop(name, None)  # said twice: the last word counts
        yield
    feed.counts.skipped += skipped
    is_rubbish = whole and len(items) - skipped < USABLE * len(items)
    is_long = len(told if whole else feed.hosts.keys() | changes.keys()) > MOST_HOSTS
    if is_rubbish or is_long or (not whole and not feed.ready):
        feed.counts.rubbish_lists += 1
        return None
    if whole:
        feed.counts.lists += 1
        changes.update(dict.fromkeys(feed.hosts.keys() - told))
    yield
    ordered: list[tuple[str, Host | None]] = []
    by_service: dict[tuple[bool, str], list[tuple[str, Host | None]]] = {}
    for count, change in enumerate(changes.items(), 1):
        by_service.setdefault(_order(feed, *change), []).append(change)
        if not count % SORT_STEP:
            yield
    for key in sorted(by_service):
        ordered += by_service[key]
    yield
    topics: set[Topic] = set()
    for begin in range(0, len(ordered), STEP):
        topics |= feed.apply(ordered[begin : begin + STEP])
        yield
    feed.ready = True
    return frozenset(topics)


def _order(feed: Feed, name: str, host: Host | None) -> tuple[bool, str]:
    """What restricts first; hosts of one service side by side, as each service touched is worked out anew."""
    held = host or feed.hosts.get(name)
    return host is not None and host.serves, held.service if held is not None else ""
