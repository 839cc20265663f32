"""Mutants of discovery: each takes out one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("watch-silent")
def _() -> None:
    """A watch that says nothing is waited for as if it had something to say."""
    from cloverkeel.discovery import poll_schedule as watch

    swap(watch, "LATE_S", 6.0)


@entry("first-silent")
def _() -> None:
    """So is a connection that has never answered."""
    from cloverkeel.discovery import poll_schedule as watch

    swap(watch, "ANSWER_S", 6.0)


@entry("failed-longer")
def _() -> None:
    """A call after a failure is given up as soon as any."""
    from cloverkeel.discovery.poll_schedule import Watch

    cut(Watch, "next_query", ("SLOW_ANSWER_S if self.failures else ANSWER_S", "ANSWER_S"))


@entry("leaving-odd")
def _() -> None:
    """An entry that cannot be used is skipped, whatever it says."""
    from cloverkeel.discovery import http_client as registry

    swap(registry, "leaving_of", lambda raw: None)


@entry("one-call")
def _() -> None:
    """A call that was replaced goes on beside the new one."""
    from cloverkeel.discovery.http_client import Discovery

    cut(Discovery, "begin", ("self.stop()", "pass"))


@entry("version-back")
def _() -> None:
    """Changes of another life of the service are taken for news."""
    from cloverkeel.discovery.poll_schedule import Watch

    cut(Watch, "on_answer", ("or index >= self.index", "or True"))


@entry("list-rests")
def _() -> None:
    """A service that answers at once with nothing is asked again at once."""
    from cloverkeel.discovery import http_client as registry

    swap(registry, "REST_S", 0.0)


@entry("list-moves")
def _() -> None:
    """Discovery is asked where it was at the start."""
    from cloverkeel.discovery.http_client import Discovery

    swap(Discovery, "move", lambda self, address: None)


@entry("lost-tells-nothing")
def _() -> None:
    """A session that is lost empties the list."""
    from cloverkeel.discovery.source_merge import Link
    from cloverkeel.discovery.merged_source import MergedMembership

    old = MergedMembership.on_link

    def on_link(self: Any, link: Link) -> None:
        old(self, link)
        if link is Link.LOST:
            self.on_nodes([])

    swap(MergedMembership, "on_link", on_link)


@entry("state-kept")
def _() -> None:
    """A start without the service begins with the list that the configuration names."""
    from cloverkeel.discovery import snapshot_file as state

    swap(state, "load", lambda path: None)


@entry("agent-checks")
def _() -> None:
    """An agent keeps the node of a box that does not answer."""
    from cloverkeel.discovery.registration import Keeper

    cut(Keeper, "on_check", ("self.answered = False", "pass"))


@entry("ban")
def _() -> None:
    """A host that was taken out by hand is passed on as the list has it."""
    from cloverkeel.discovery.manual_ejections import Bans

    cut(Bans, "presented", ("status = ServerStatus.DRAINING", "pass"))


@entry("ban-cold")
def _() -> None:
    """A host that is put back is as old as the list has it."""
    from cloverkeel.discovery.manual_ejections import Bans

    cut(Bans, "restore", ("self.back[name] = now_us", "pass"))


@entry("relay-move-anew")
def _() -> None:
    """A gateway that moves asks the next relay for changes after what another told."""
    from cloverkeel.discovery.relay_client import RelayedDiscovery

    cut(RelayedDiscovery, "_turn", ("self.plan.begin_anew()", "pass"))


@entry("relay-replaced")
def _() -> None:
    """Who is asked now is asked on, though the options name it no more."""
    from cloverkeel.discovery.relay_selection import Relays

    cut(Relays, "replace", ("return max(chance * MOVE_S, self.since_s + MOVE_GAP_S - now_s)", "return None"))


@entry("relay-names")
def _() -> None:
    """A gateway behind relays does not say who it is."""
    from cloverkeel.discovery import relay_client as relayed

    swap(relayed, "named", lambda target, gateway, services, wide: target)


@entry("relay-old-permits")
def _() -> None:
    """Whatever a relay permits is believed, though it may not have heard of a drain that is known."""
    from cloverkeel.discovery.relay_selection import Belief

    cut(Belief, "_permitted", ("read_s > as_of_s and run != self.run and", "False and"))


@entry("relay-looks")
def _() -> None:
    """The others are not asked how old their lists are."""
    from cloverkeel.discovery.relay_selection import Relays

    swap(Relays, "look", lambda self, age_s: None)


@entry("relay-stale-permits")
def _() -> None:
    """What a stale relay says is taken as any other's."""
    from cloverkeel.discovery.relay_selection import Belief

    cut(Belief, "take", ("if self.held and age_s > STALE_S:", "if False:"))


@entry("relay-wide")
def _() -> None:
    """A subset whose hosts fail stays as it is."""
    from cloverkeel.discovery.relay_selection import Width

    swap(Width, "step", lambda self, now_s, failing, serving: 0)


@entry("list-steps")
def _() -> None:
    """A long list is read with no turns of the loop in between."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_in_turns", ("await asyncio.sleep(0)", "pass"))


@entry("list-steps-bounded")
def _() -> None:
    """Reading a long list takes as long as the loop's other work makes it."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_in_turns", ("and now_s < until_s", ""))


@entry("list-steps-superseded")
def _() -> None:
    """A list that is being read is told, whatever has come in its place."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "stop", ("self.task.cancel()", "pass"))


@entry("list-steps-unread")
def _() -> None:
    """A process that stood still does not wait for the list that it is reading."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_has_unread", ("(self.taking or line.has_unread)", "line.has_unread"))


@entry("list-steps-hurry")
def _() -> None:
    """A list is read by steps also while nothing is sent before it is told."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_in_turns", (" and not self.catches_up", ""))


@entry("gzip-relays")
def _() -> None:
    """Discovery itself is asked for gzip where its answers are not read so."""
    from cloverkeel.discovery.relay_client import RelayedDiscovery

    cut(RelayedDiscovery, "accepts", ('b"" if self.relays.at is None else ', ""))
