"""Mutants of discovery: each takes out one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("watch-silent")
def _() -> None:
    """A watch that says nothing is waited for as if it had something to say."""
    from cloverkeel.discovery import poll_schedule as watch

    swap(watch, "LONG_POLL_GRACE_S", 6.0)


@entry("first-silent")
def _() -> None:
    """So is a connection that has never answered."""
    from cloverkeel.discovery import poll_schedule as watch

    swap(watch, "FIRST_REPLY_TIMEOUT_S", 6.0)


@entry("failed-longer")
def _() -> None:
    """A call after a failure is given up as soon as any."""
    from cloverkeel.discovery.poll_schedule import PollSchedule

    cut(
        PollSchedule,
        "next_request",
        ("FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S if self.failures else FIRST_REPLY_TIMEOUT_S", "FIRST_REPLY_TIMEOUT_S"),
    )


@entry("leaving-odd")
def _() -> None:
    """An entry that cannot be used is skipped, whatever it says."""
    from cloverkeel.discovery import endpoint_parser

    swap(endpoint_parser, "parse_departed_endpoint", lambda raw: None)


@entry("one-call")
def _() -> None:
    """A call that was replaced goes on beside the new one."""
    from cloverkeel.discovery.http_client import HttpEndpointSource

    cut(HttpEndpointSource, "restart", ("self.stop()", "pass"))


@entry("version-back")
def _() -> None:
    """Changes of another life of the service are taken for news."""
    from cloverkeel.discovery.poll_schedule import PollSchedule

    cut(PollSchedule, "on_reply", ("or version >= self.version", "or True"))


@entry("list-rests")
def _() -> None:
    """A service that answers at once with nothing is asked again at once."""
    from cloverkeel.discovery import polling_client

    swap(polling_client, "EMPTY_REPLY_PAUSE_S", 0.0)


@entry("list-moves")
def _() -> None:
    """Discovery is asked where it was at the start."""
    from cloverkeel.discovery.http_client import HttpEndpointSource

    swap(HttpEndpointSource, "move", lambda self, address: None)


@entry("lost-tells-nothing")
def _() -> None:
    """A session that is lost empties the list."""
    from cloverkeel.discovery.source_merge import ConnectionState
    from cloverkeel.discovery.merged_source import MergedEndpointSource

    old = MergedEndpointSource.on_session_state

    def on_session_state(self: Any, state: ConnectionState) -> None:
        old(self, state)
        if state is ConnectionState.LOST:
            self.on_nodes([])

    swap(MergedEndpointSource, "on_session_state", on_session_state)


@entry("state-kept")
def _() -> None:
    """A start without the service begins with the list that the configuration names."""
    from cloverkeel.discovery import snapshot_file

    swap(snapshot_file, "load_snapshot", lambda path: None)


@entry("agent-checks")
def _() -> None:
    """An agent keeps the node of a box that does not answer."""
    from cloverkeel.discovery.registration import Registration

    cut(Registration, "on_health_check", ("self.is_healthy = False", "pass"))


@entry("ban")
def _() -> None:
    """A host that was taken out by hand is passed on as the list has it."""
    from cloverkeel.discovery.manual_ejections import ManualEjections

    cut(ManualEjections, "_overlay", ("status = ServerStatus.DRAINING", "pass"))


@entry("ban-cold")
def _() -> None:
    """A host that is put back is as old as the list has it."""
    from cloverkeel.discovery.manual_ejections import ManualEjections

    cut(ManualEjections, "reinstate", ("self.reinstated_us_by_name[name] = now_us", "pass"))


@entry("relay-move-anew")
def _() -> None:
    """A gateway that moves asks the next relay for changes after what another told."""
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    cut(RelayEndpointSource, "_poll_next", ("self.schedule.reset()", "pass"))


@entry("relay-replaced")
def _() -> None:
    """Who is asked now is asked on, though the options name it no more."""
    from cloverkeel.discovery.relay_selection import RelaySelector

    cut(
        RelaySelector,
        "replace",
        (
            "return max(jitter * MAX_FIRST_FAILOVER_DELAY_S, self._min_move_wait_s(now_s))",
            "return None",
        ),
    )


@entry("relay-names")
def _() -> None:
    """A gateway behind relays does not say who it is."""
    from cloverkeel.discovery import relay_client as relayed

    swap(relayed, "identify_gateway", lambda target, gateway, services, doublings: target)


@entry("relay-old-permits")
def _() -> None:
    """Whatever a relay permits is believed, though it may not have heard of a drain that is known."""
    from cloverkeel.discovery.known_state import KnownState

    cut(
        KnownState,
        "_may_predate_restriction",
        ("restriction.read_s > as_of_s and restriction.run != self.run", "False"),
    )


@entry("relay-looks")
def _() -> None:
    """The others are not asked how old their lists are."""
    from cloverkeel.discovery.relay_selection import RelaySelector

    swap(RelaySelector, "next_freshness_check", lambda self, age_s: None)


@entry("relay-stale-permits")
def _() -> None:
    """What a stale relay says is taken as any other's."""
    from cloverkeel.discovery.known_state import KnownState

    cut(KnownState, "accept", ("if self.status_by_server and answer.age_s > MAX_STALENESS_S:", "if False:"))


@entry("relay-wide")
def _() -> None:
    """A subset whose hosts fail stays as it is."""
    from cloverkeel.discovery.subset_widening import SubsetWidening

    swap(SubsetWidening, "update", lambda self, now_s, failing_hosts, serving_hosts: 0)


@entry("list-steps")
def _() -> None:
    """A long list is read with no turns of the loop in between."""
    from cloverkeel.discovery.polling_client import PollingClient

    cut(PollingClient, "_run_cooperatively", ("await asyncio.sleep(0)", "pass"))


@entry("list-steps-bounded")
def _() -> None:
    """Reading a long list takes as long as the loop's other work makes it."""
    from cloverkeel.discovery.polling_client import PollingClient

    cut(PollingClient, "_run_cooperatively", ("now_s < deadline_s and ", ""))


@entry("list-steps-superseded")
def _() -> None:
    """A list that is being read is told, whatever has come in its place."""
    from cloverkeel.discovery.polling_client import PollingClient

    cut(PollingClient, "stop", ("self.poll_task.cancel()", "pass"))


@entry("list-steps-unread")
def _() -> None:
    """A process that stood still does not wait for the list that it is reading."""
    from cloverkeel.discovery.polling_client import PollingClient

    cut(PollingClient, "_has_unread", ("self.is_reading or connection.has_unread", "connection.has_unread"))


@entry("list-steps-hurry")
def _() -> None:
    """A list is read by steps also while nothing is sent before it is told."""
    from cloverkeel.discovery.polling_client import PollingClient

    cut(PollingClient, "_run_cooperatively", (" and not self.is_catching_up", ""))


@entry("gzip-relays")
def _() -> None:
    """Discovery itself is asked for gzip where its answers are not read so."""
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    cut(RelayEndpointSource, "extra_headers", ('b"" if self.selector.current is None else ', ""))
