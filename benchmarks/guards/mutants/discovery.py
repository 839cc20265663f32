"""Mutants of discovery: each disables one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("watch-silent")
def _() -> None:
    """A silent watch is not abandoned in time."""
    from cloverkeel.discovery import poll_schedule

    patch_attribute(poll_schedule, "LONG_POLL_GRACE_S", 6.0)


@mutant("first-silent")
def _() -> None:
    """A connection that is silent before its first reply is not abandoned in time."""
    from cloverkeel.discovery import poll_schedule

    patch_attribute(poll_schedule, "FIRST_REPLY_TIMEOUT_S", 6.0)


@mutant("failed-longer")
def _() -> None:
    """The timeout of the first reply is not longer after a failure."""
    from cloverkeel.discovery.poll_schedule import PollSchedule

    patch_source(
        PollSchedule,
        "next_request",
        ("FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S if self.failures else FIRST_REPLY_TIMEOUT_S", "FIRST_REPLY_TIMEOUT_S"),
    )


@mutant("leaving-odd")
def _() -> None:
    """An invalid entry is skipped even if it removes its host."""
    from cloverkeel.discovery import endpoint_parser

    patch_attribute(endpoint_parser, "parse_departed_endpoint", lambda raw: None)


@mutant("one-call")
def _() -> None:
    """A replaced call continues alongside the new one."""
    from cloverkeel.discovery.http_client import HttpEndpointSource

    patch_source(HttpEndpointSource, "restart", ("self.stop()", "pass"))


@mutant("version-back")
def _() -> None:
    """A delta of a restarted registry is applied to the list held."""
    from cloverkeel.discovery.poll_schedule import PollSchedule

    patch_source(PollSchedule, "on_reply", ("or version >= self.version", "or True"))


@mutant("list-rests")
def _() -> None:
    """A long poll that is answered immediately without entries is repeated without a pause."""
    from cloverkeel.discovery import polling_client

    patch_attribute(polling_client, "EMPTY_REPLY_PAUSE_S", 0.0)


@mutant("list-moves")
def _() -> None:
    """A reload does not change the address of discovery."""
    from cloverkeel.discovery.http_client import HttpEndpointSource

    patch_attribute(HttpEndpointSource, "move", lambda self, address: None)


@mutant("lost-tells-nothing")
def _() -> None:
    """The loss of the session empties the list."""
    from cloverkeel.discovery.source_merge import ConnectionState
    from cloverkeel.discovery.merged_source import MergedEndpointSource

    original = MergedEndpointSource.on_session_state

    def on_session_state(self: Any, state: ConnectionState) -> None:
        original(self, state)
        if state is ConnectionState.LOST:
            self.on_nodes([])

    patch_attribute(MergedEndpointSource, "on_session_state", on_session_state)


@mutant("state-kept")
def _() -> None:
    """The saved list is not loaded; a gateway that starts without ZooKeeper uses the list in its configuration."""
    from cloverkeel.discovery import snapshot_file

    patch_attribute(snapshot_file, "load_snapshot", lambda path: None)


@mutant("agent-checks")
def _() -> None:
    """An agent keeps the node of a backend that fails its health check."""
    from cloverkeel.discovery.registration import Registration

    patch_source(Registration, "on_health_check", ("self.is_healthy = False", "pass"))


@mutant("ban")
def _() -> None:
    """An ejected host is passed on with its listed status."""
    from cloverkeel.discovery.manual_ejections import ManualEjections

    patch_source(ManualEjections, "_overlay", ("status = ServerStatus.DRAINING", "pass"))


@mutant("ban-cold")
def _() -> None:
    """A reinstated host keeps its listed start time."""
    from cloverkeel.discovery.manual_ejections import ManualEjections

    patch_source(ManualEjections, "reinstate", ("self.reinstated_us_by_name[name] = now_us", "pass"))


@mutant("relay-move-anew")
def _() -> None:
    """After a move, a gateway requests changes since a version of the previous relay."""
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    patch_source(RelayEndpointSource, "_poll_next", ("self.schedule.reset()", "pass"))


@mutant("relay-replaced")
def _() -> None:
    """The current relay stays in use after the options no longer name it."""
    from cloverkeel.discovery.relay_selection import RelaySelector

    patch_source(
        RelaySelector,
        "replace",
        (
            "return max(jitter * MAX_FIRST_FAILOVER_DELAY_S, self._min_move_wait_s(now_s))",
            "return None",
        ),
    )


@mutant("relay-names")
def _() -> None:
    """A gateway does not identify itself to relays."""
    from cloverkeel.discovery import relay_client

    patch_attribute(relay_client, "identify_gateway", lambda target, gateway, services, doublings: target)


@mutant("relay-old-permits")
def _() -> None:
    """A permission applies even if the relay's list may be older than a known restriction."""
    from cloverkeel.discovery.known_state import KnownState

    patch_source(
        KnownState,
        "_may_predate_restriction",
        ("restriction.read_s > as_of_s and restriction.run != self.run", "False"),
    )


@mutant("relay-looks")
def _() -> None:
    """The other relays are not asked for the age of their lists."""
    from cloverkeel.discovery.relay_selection import RelaySelector

    patch_attribute(RelaySelector, "next_freshness_check", lambda self, age_s: None)


@mutant("relay-stale-permits")
def _() -> None:
    """Replies of a stale relay are applied like those of a fresh one."""
    from cloverkeel.discovery.known_state import KnownState

    patch_source(KnownState, "accept", ("if self.status_by_server and answer.age_s > MAX_STALENESS_S:", "if False:"))


@mutant("relay-wide")
def _() -> None:
    """A subset whose hosts fail is not widened."""
    from cloverkeel.discovery.subset_widening import SubsetWidening

    patch_attribute(SubsetWidening, "update", lambda self, now_s, failing_hosts, serving_hosts: 0)


@mutant("list-steps")
def _() -> None:
    """A long list is read without suspending."""
    from cloverkeel.discovery.polling_client import PollingClient

    patch_source(PollingClient, "_run_cooperatively", ("await asyncio.sleep(0)", "pass"))


@mutant("list-steps-bounded")
def _() -> None:
    """Incremental reading has no time limit; other tasks of the loop can prolong it."""
    from cloverkeel.discovery.polling_client import PollingClient

    patch_source(PollingClient, "_run_cooperatively", ("now_s < deadline_s and ", ""))


@mutant("list-steps-superseded")
def _() -> None:
    """A list that is being read is applied although its call was replaced."""
    from cloverkeel.discovery.polling_client import PollingClient

    patch_source(PollingClient, "stop", ("self.poll_task.cancel()", "pass"))


@mutant("list-steps-unread")
def _() -> None:
    """After a stall, the process does not wait for a list that is being read."""
    from cloverkeel.discovery.polling_client import PollingClient

    patch_source(PollingClient, "_has_unread", ("self.is_reading or connection.has_unread", "connection.has_unread"))


@mutant("list-steps-hurry")
def _() -> None:
    """Reading suspends even while requests wait for the list after a stall."""
    from cloverkeel.discovery.polling_client import PollingClient

    patch_source(PollingClient, "_run_cooperatively", (" and not self.is_catching_up", ""))


@mutant("gzip-relays")
def _() -> None:
    """Direct polls of discovery offer gzip, which is not decoded there."""
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    patch_source(RelayEndpointSource, "extra_headers", ('b"" if self.selector.current is None else ', ""))
