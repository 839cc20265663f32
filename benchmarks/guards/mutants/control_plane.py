"""Mutants of the control plane's relay: each takes out one guard."""

from __future__ import annotations

from benchmarks.guards.patching import cut, entry, swap


@entry("relay-even-places")
def _() -> None:
    """A gateway's window begins at a hash of its own, not evenly spaced by its rank."""
    from cloverkeel.control_plane.subsetting import Ring

    cut(Ring, "window", ("start(count, gateways, group.place(gateway))", "stable_id(gateway, 8) % count"))


@entry("relay-own-share")
def _() -> None:
    """Who has widened takes a full share of each cold host that it has by that."""
    from cloverkeel.control_plane.subsetting import Host

    cut(Host, "entry", ("users * APART", "users"))


@entry("relay-drains")
def _() -> None:
    """A host that drains is told as gone."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "answer_delta", ("if now is None or now.serves or", "if True or"))


@entry("relay-index")
def _() -> None:
    """Changes are told from the gateway's last answer, whichever `from` names."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    last = "self.answer_delta(asker, post, max(self.views[asker.gateway]))"
    known = ("not self.knows(asker, since)", "not self.views.get(asker.gateway)")
    cut(Feed, "answer", known, ("self.answer_delta(asker, post, since)", last))


@entry("relay-restricts-first")
def _() -> None:
    """What serves is said before what restricts."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    ordered = "(*sorted(deleted), *sorted(drains), *sorted(came.items()))"
    cut(Feed, "answer_delta", (ordered, "(*sorted(came.items()), *sorted(drains), *sorted(deleted))"))


@entry("relay-not-ready")
def _() -> None:
    """A relay that has no list says that nobody serves."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "answer", ("raise NotReady", "pass"))


@entry("relay-spill")
def _() -> None:
    """A region's gateways have its own hosts only, however few."""
    from cloverkeel.control_plane.subsetting import Service

    cut(Service, "shape", ("< self.sizes.serving:", "< 0:"))


@entry("relay-rubbish")
def _() -> None:
    """A whole list that is mostly rubbish is taken."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "take", ("(len(items) - skipped) < USABLE * len(items) or ", ""))


@entry("relay-metered")
def _() -> None:
    """A relay serves all wholes at once."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "on_whole", ("if waiting < ", "if True or waiting < "))


@entry("relay-age")
def _() -> None:
    """A relay's list counts as of the moment in which its answer was read."""
    from cloverkeel.control_plane.discovery_source import Source

    cut(
        Source,
        "handle_body",
        (
            "self.index_of_discovery, self.confirmed_us = index, self.asked_us",
            "self.index_of_discovery, self.confirmed_us = index, now_us()",
        ),
    )


@entry("relay-gzip-asked")
def _() -> None:
    """Whoever says Accept-Encoding gets gzip, whatever weight it gives."""
    from cloverkeel.control_plane import http_server as server

    swap(server, "takes_gzip", lambda value: b"gzip" in value)


@entry("relay-roster-shaped")
def _() -> None:
    """After another roster a service stays as it was until its hosts change."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "service", ("name in self.regrouped", "False"))


@entry("relay-roster-found")
def _() -> None:
    """A caller that asks as before is found as before, whatever the roster says now."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "find_by", (" and caller.roster is self.feed.roster", ""))


@entry("relay-list-moment")
def _() -> None:
    """A whole list made by steps counts as of their end."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "listing", ("self.index_of(number)", "self.index_of(self.number)"))


@entry("relay-list-age")
def _() -> None:
    """The age of a whole list counts from what is known as it is written, though the list went on."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "go_listed", ("if listed.number == self.feed.number:", "if True:"))


@entry("relay-slices")
def _() -> None:
    """All who are behind are answered in one go."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "look", ("self.loop.time() >= end_s", "False"))
