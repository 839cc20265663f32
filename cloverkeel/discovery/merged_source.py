"""Several sources as one for the core: what they say goes through the pure merge, what follows to the core.

Imported only where ephemeral membership is switched on. With the registry among the sources, the core's wish for a
watch or a call goes to it, and its failures come back; without it nobody is asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cloverkeel.balancing.events import ListKind, ListedServer, ServerStatus

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address, Names, stable_id
from cloverkeel.core.log import log
from cloverkeel.core.options import Ephemeral
from cloverkeel.core.ports import Endpoint, OnEndpointList
from cloverkeel.discovery import snapshot_file as state
from cloverkeel.discovery.zookeeper_source import EphemeralNodes
from cloverkeel.discovery.source_merge import Change, Link, Member, Membership, Source, Status
from cloverkeel.discovery.http_client import Discovery, number_of, parse_list

SAVE_S = 0.2  # after a change, for others that come with it
REPORT_S = 10.0  # between lines on the log about membership, while something changes


def entry_of(member: Member, names: Names, gone: bool = False) -> Endpoint:
    """A box in the terms of the core."""
    status = ServerStatus.READY if member.status is Status.SERVING else ServerStatus.DRAINING
    group = member.group if isinstance(member.group, int) else stable_id(member.group, 4)
    listed = ListedServer(
        stable_id(member.name, 4), ServerStatus.GONE if gone else status, member.weight,
        number_of(member.zone, names.zones), group, number_of(member.kind, names.kinds), member.since_ms * 1000,
    )  # fmt: skip
    return Endpoint(member.name, member.address, listed)


def member_of(entry: Endpoint) -> Member:
    """A box of the registry's; what it has numbered stays a number."""
    listed = entry.listed
    status = Status.SERVING if listed.status is ServerStatus.READY else Status.DRAINING
    return Member(
        entry.name, entry.address, status, listed.zone, listed.kind, listed.group, listed.weight,
        listed.started_us // 1000,
    )  # fmt: skip


def named(member: Member, names: Names) -> Member:
    """With the names of what the registry has numbered: numbers may differ at the next start."""
    zones = {number: name for name, number in names.zones.items()}
    kinds = {number: name for name, number in names.kinds.items()}
    zone = zones.get(member.zone, "") if isinstance(member.zone, int) else member.zone
    kind = kinds.get(member.kind, "") if isinstance(member.kind, int) else member.kind
    return replace(member, zone=zone, kind=kind)


class MergedMembership:
    """As the core asks it of a Membership (core/ports.py), and as a reload asks it (core/reload.py)."""

    def __init__(self, options: Ephemeral, registry: Discovery | None, names: Names) -> None:
        self.names, self.registry, self.state = names, registry, options.state
        self.saving: asyncio.Task[None] | None = None
        self.unsaved = False
        self.merge = Membership(tuple(Source(name) for name in options.precedence))
        self.on_list: OnEndpointList = lambda kind, entries: None
        self.nodes = EphemeralNodes(
            options.hosts, options.path, options.session_ms, options.spread_ms / 1000, self.on_nodes, self.on_link,
            self.on_confirmed, self.on_gone,
        )  # fmt: skip
        self.reported = (0, 0, 0)
        self.reporter: asyncio.TimerHandle | None = None
        if registry is not None:
            registry.set_listener(self.on_registry)

    def set_listener(self, on_list: OnEndpointList) -> None:
        self.on_list = on_list

    def load_known(self, raw: dict[str, Any]) -> None:
        entries: list[Endpoint] = []
        try:
            _, _, entries = parse_list(raw, self.names)
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"the list known from before cannot be used: {error!r}")
        # What this gateway wrote down itself is newer than what it is given at a start: a box that it was told
        # gone must not come back with an old list.
        kept = state.load(self.state) if self.state else None
        known = [member_of(entry) for entry in entries] if kept is None else kept
        change = self.merge.known(now_us(), known)
        kind = ListKind.DISK if self.registry is not None else ListKind.FULL
        self.on_list(kind, [entry_of(member, self.names) for member in change.put])
        self.nodes.start()
        self.report()
        if self.registry is not None and self.registry.pushed:
            self.registry.watch(True)

    # From the sources

    def on_nodes(self, members: list[Member]) -> None:
        self.pass_on(self.merge.whole_list(now_us(), Source.EPHEMERAL, members))

    def on_gone(self, name: str) -> None:
        """A node was deleted; whether the box has another is yet to be read."""
        self.pass_on(self.merge.told(now_us(), Source.EPHEMERAL, gone=[name]))

    def on_link(self, link: Link) -> None:
        self.merge.link(now_us(), Source.EPHEMERAL, link)
        if link is not Link.CONNECTED:
            log(f"membership: session {link.value}; the list of {len(self.merge.members)} boxes stands")

    def on_confirmed(self) -> None:
        self.merge.confirm(now_us(), Source.EPHEMERAL)

    def on_registry(self, kind: ListKind, entries: list[Endpoint]) -> None:
        if kind is ListKind.ERROR:
            self.merge.link(now_us(), Source.REGISTRY, Link.SUSPENDED)
            self.on_list(kind, entries)
            return
        self.merge.link(now_us(), Source.REGISTRY, Link.CONNECTED)
        present = [member_of(entry) for entry in entries if entry.listed.status is not ServerStatus.GONE]
        if kind is ListKind.FULL:
            self.pass_on(self.merge.whole_list(now_us(), Source.REGISTRY, present))
        else:
            gone = [entry.name for entry in entries if entry.listed.status is ServerStatus.GONE]
            self.pass_on(self.merge.told(now_us(), Source.REGISTRY, present, gone))

    def pass_on(self, change: Change) -> None:
        gone = [entry_of(member, self.names, gone=True) for member in change.gone]
        self.on_list(ListKind.DELTA, gone + [entry_of(member, self.names) for member in change.put])

        if self.state and change:
            self.unsaved = True
            if self.saving is None:
                self.saving = asyncio.get_running_loop().create_task(self.save())

    async def save(self) -> None:
        """Off the loop, and once for several changes that come together."""
        try:
            while self.unsaved:
                await asyncio.sleep(SAVE_S)
                self.unsaved = False
                members = [named(member, self.names) for member in self.merge.members.values()]
                await asyncio.to_thread(state.save, self.state, members)
        except OSError as error:
            log(f"membership: {self.state} cannot be written: {error.strerror}")
        finally:
            self.saving = None

    # From the core

    def watch(self, on: bool) -> None:
        if self.registry is not None:
            self.registry.watch(on)

    def fetch(self) -> None:
        if self.registry is not None:
            self.registry.fetch()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        count = 1 if self.registry is None else 2

        def one_done() -> None:
            nonlocal count
            count -= 1
            if count == 0:
                done()

        self.nodes.catch_up(one_done)
        if self.registry is not None:
            self.registry.catch_up(stall_us, one_done)

    @property
    def address(self) -> Address:
        """Of the registry: what a reload may move."""
        return self.registry.address if self.registry is not None else ("", 0)

    def move(self, address: Address) -> None:
        if self.registry is not None:
            self.registry.move(address)

    def report(self) -> None:
        """A line about membership where something has changed since the last one."""
        self.reporter = asyncio.get_running_loop().call_later(REPORT_S, self.report)
        counts, nodes = self.merge.counts, self.nodes.counts
        state = (counts.changes, counts.suspended, counts.lost)
        if state != self.reported:
            self.reported = state
            age_s = self.merge.age_us(now_us()) / 1e6
            log(
                f"membership: {len(self.merge.members)} boxes, {age_s:.1f} s old; {counts.changes} changes, "
                f"{nodes.lists} lists and {nodes.reads} nodes read, {counts.suspended} connections and "
                f"{counts.lost} sessions lost, {nodes.bad_data} nodes left out"
            )

    def close(self) -> None:
        if self.reporter is not None:
            self.reporter.cancel()
        self.nodes.close()
        if self.saving is not None:
            self.saving.cancel()
        if self.registry is not None:
            self.registry.close()
