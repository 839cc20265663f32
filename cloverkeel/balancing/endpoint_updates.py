"""Updates of the server list: added, removed and changed servers, and when the list is polled."""

from __future__ import annotations

import random
from typing import Final

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import SetTimer
from cloverkeel.balancing.affinity import rendezvous_rank, zone_preference
from cloverkeel.balancing.endpoints import Endpoint, Endpoints
from cloverkeel.balancing.events import ListedServer, ListKind, ServerList, ServerStatus
from cloverkeel.balancing.request_timers import LIST_TOKEN
from cloverkeel.balancing.settings import Settings
from cloverkeel.balancing.slow_start_budget import SlowStartBudget

FIRST_POLL_RATIO: Final = 0.1  # the first poll of the list takes place within this part of max_poll_interval_us
MAX_FIRST_POLL_US: Final = 2_000_000  # the first poll takes place within this time, whatever the settings
POLL_RETRIES_PER_INTERVAL: Final = 20  # of a poll that keeps failing, in each max_poll_interval_us
MAX_RETRY_POLL_US: Final = 400_000  # longest wait before a failed poll is retried


class EndpointUpdates:
    """Apply server lists to the endpoints."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: Endpoints,
        slow_start: SlowStartBudget,
        buffer: ActionBuffer,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.buffer = buffer

    def apply(self, now_us: int, event: ServerList) -> None:
        """Apply a list, or schedule a retry after a failed poll."""
        if event.kind is ListKind.ERROR:
            self.on_error(now_us)
            return
        if event.kind is ListKind.DISK and not self.settings.list_is_pushed:
            self._schedule_first_poll(now_us)
        if event.kind is ListKind.DELTA:
            self._apply_delta(now_us, event)
            return
        listed = {entry.server for entry in event.servers}
        for server in [server for server in self.endpoints.by_server if server not in listed]:
            self.endpoints.remove(server)
        self._apply_entries(now_us, event)
        self.endpoints.rank_all()

    def on_error(self, now_us: int) -> None:
        """Schedule a retry after a failed poll, unless the list is pushed: then the subscriber retries.

        The wait doesn't grow with the number of failures, as a change must be known within seconds after discovery
        is back. It is random, so that proxies whose polls failed together don't retry together.
        """
        if self.settings.list_is_pushed:
            return
        max_us = min(self.settings.max_poll_interval_us / POLL_RETRIES_PER_INTERVAL, MAX_RETRY_POLL_US)
        wait_us = max_us * self.rng.uniform(0.5, 1.0)
        self.buffer.log(now_us, "server list: poll failed, asking again")
        self.buffer.actions.append(SetTimer(now_us + int(wait_us), LIST_TOKEN))

    def _schedule_first_poll(self, now_us: int) -> None:
        """Schedule the first poll of the list at a random time.

        Guards against hundreds of proxies that start and poll at the same time: most polls were rejected.
        """
        max_us = min(self.settings.max_poll_interval_us * FIRST_POLL_RATIO, MAX_FIRST_POLL_US)
        wait_us = self.rng.random() * max_us
        self.buffer.actions.append(SetTimer(now_us + int(wait_us), LIST_TOKEN))

    def _apply_delta(self, now_us: int, event: ServerList) -> None:
        """Apply changed entries."""
        by_server = self.endpoints.by_server
        before = {entry.server: by_server.get(entry.server) for entry in event.servers}
        self._apply_entries(now_us, event)
        for server, endpoint in before.items():
            self.endpoints.rerank(server, endpoint)

    def _apply_entries(self, now_us: int, event: ServerList) -> None:
        """Apply entries; new and restarted servers begin with the mean weight of the unchanged ones."""
        restarted = []
        for entry in event.servers:
            endpoint = self.endpoints.by_server.get(entry.server)
            if endpoint is not None and endpoint.entry.started_us != entry.started_us:
                restarted.append(endpoint)
        mean_weight = self.endpoints.mean_weight(restarted)
        for entry in event.servers:
            self._apply_entry(now_us, entry, mean_weight)

    def _apply_entry(self, now_us: int, entry: ListedServer, mean_weight: float) -> None:
        """Remove, update or add the server of one entry."""
        if entry.status is ServerStatus.GONE:
            self.endpoints.remove(entry.server)
            return
        listed = self.endpoints.by_server.get(entry.server)
        known = listed if listed is not None else self.endpoints.restore(entry)
        preference = zone_preference(self.settings, entry)
        if known is not None and known.entry.started_us == entry.started_us:
            self.slow_start.update_entry(now_us, known, entry)
            known.zone_preference = preference
            return
        rank = rendezvous_rank(self.settings.proxy, entry.server, preference)
        slow_start = self.slow_start.start(now_us, entry)
        self.endpoints.add(Endpoint(entry, mean_weight, rank, preference, slow_start), listed)
