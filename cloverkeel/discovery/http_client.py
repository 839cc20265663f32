"""The gateway's HTTP endpoint source: polls discovery directly and passes its lists to the core."""

from __future__ import annotations

import asyncio
from typing import Any

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.config import Address, Names
from cloverkeel.core.log import log
from cloverkeel.core.ports import Endpoint, OnEndpointList
from cloverkeel.discovery.endpoint_parser import parse_endpoint_list, parse_endpoint_list_incrementally
from cloverkeel.core.incremental import HintedIncremental
from cloverkeel.discovery.polling_client import PollingClient


class HttpEndpointSource(PollingClient):
    """Pass snapshots, deltas and failures to `on_list` (`EndpointSource` in core/ports.py)."""

    def __init__(self, address: Address, names: Names, pushed: bool) -> None:
        super().__init__(address, pushed)
        self.names = names
        self.on_list: OnEndpointList = lambda _kind, _endpoints: None  # replaced by the core

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set the function that receives endpoint lists from now on."""
        self.on_list = on_list

    def load_known(self, raw: dict[str, Any]) -> None:
        """Start from the list that this gateway had before its restart."""
        endpoints: list[Endpoint] = []
        try:
            known = parse_endpoint_list(raw, self.names)
            self.schedule.version, endpoints = known.version, known.endpoints
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"discovery: known list unusable, cause={error!r}")
        self.on_list(ListKind.DISK, endpoints)
        if self.pushed:
            self.watch(True)

    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        """Parse a list and pass it to the core."""
        raw = yield from self.decode_body(body)
        answer = yield from parse_endpoint_list_incrementally(raw, self.names)
        yield True  # the core applies the complete list in one step
        now_s = asyncio.get_running_loop().time()
        if self.schedule.on_reply(now_s, answer.version, answer.is_snapshot):
            self.on_list(ListKind.FULL if answer.is_snapshot else ListKind.DELTA, answer.endpoints)
        return bool(answer.endpoints)

    def on_call_failed(self) -> None:
        """Report the failure to the core; the balancer may poll again."""
        self.on_list(ListKind.ERROR, [])
