"""Samples of what cloverkeel.discovery asks, and stores in the coordination service and on disk."""

from __future__ import annotations

import argparse
import tempfile
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Final

from cloverkeel.discovery import relay_selection as relays, poll_schedule as watch
from cloverkeel.discovery.registration_agent import Agent
from cloverkeel.discovery.registration import Do, Keeper
from cloverkeel.discovery.source_merge import Member, Status
from cloverkeel.discovery.node_codec import parse, render
from cloverkeel.discovery.relay_selection import RelayWatch, age_in_state, named, order_of
from cloverkeel.discovery.snapshot_file import load, save
from cloverkeel.discovery.poll_schedule import Watch
from tests.golden.store import Sample, SamplesByName

SERVING: Final = Member(
    "s-5be2a07c", ("10.1.0.18", 8081), Status.SERVING, "kita-room", "small-2c", 3, 1.0, 1_796_119_613_761
)
FULL_MEMBER: Final = replace(SERVING, status=Status.DRAINING, weight=0.25, czxid=0x500000007)
MEMBERS: Final = {
    "serving": SERVING,
    "draining": replace(SERVING, status=Status.DRAINING),
    "defaults": Member("s-1", ("10.1.0.19", 1)),
    "text_group_and_weight": replace(SERVING, name="höst", group="rack-7", weight=0.25),
    "ipv6": replace(SERVING, address=("fd00::18", 65_535)),
}
RELAY_ADDRESSES: Final = tuple(("10.9.0.1", 7_000 + number) for number in range(5))


def _node(member: Member) -> Sample:
    return Sample(lambda: render(member), parse, member)


def _agent_node_path() -> bytes:
    options = argparse.Namespace(hosts="127.0.0.1:2181", path="/cloverkeel/boxes", session_ms=2_000)
    return Agent(Keeper(SERVING), options).node.encode()


def _kept_node(is_draining: bool) -> bytes:
    """Return the data that the agent's decisions want in the node."""
    keeper = Keeper(SERVING)
    keeper.on_check(1_796_119_700_000, answers=True)
    assert keeper.next(0.0) is Do.CREATE
    if is_draining:
        keeper.on_term(0.0)
    return keeper.data()


def _saved(members: Sequence[Member]) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "list.json"
        save(str(path), members)
        return path.read_bytes()


def _loaded(data: bytes) -> list[Member] | None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "list.json"
        path.write_bytes(data)
        return load(str(path))


def _snapshot(*members: Member) -> Sample:
    return Sample(lambda: _saved(members), _loaded, list(members))


def _first_targets(plan: Watch) -> bytes:
    """Return what is asked with nothing held, on a new connection, and for news."""
    targets = [plan.next_query(0.0).target]
    plan.on_answer(0.0, 41, whole=True)
    targets.append(plan.next_query(0.1).target)
    plan.connected()
    targets.append(plan.next_query(0.1).target)
    return b"\n".join(targets)


def _relay_target(services: tuple[str, ...], wide: int) -> bytes:
    target = watch.LIST + b"?from=41&hold_ms=400"
    return named(target, "n0/ö", services, wide)


def _relay_order() -> bytes:
    addresses = order_of("n0", RELAY_ADDRESSES)
    return " ".join(f"{host}:{port}" for host, port in addresses).encode()


STATE_OF_RELAY: Final = b'{"version":41,"age_ms":1250}'

SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "membership_nodes": {
        **{name: _node(member) for name, member in MEMBERS.items()},
        "all_fields": Sample(lambda: render(FULL_MEMBER), lambda data: parse(data, FULL_MEMBER.czxid), FULL_MEMBER),
        "agent_path": Sample(_agent_node_path),
        "agent_serving": Sample(lambda: _kept_node(is_draining=False), parse, SERVING),
        "agent_draining": Sample(lambda: _kept_node(is_draining=True), parse, MEMBERS["draining"]),
    },
    "membership_snapshot": {"empty": _snapshot(), "all": _snapshot(*MEMBERS.values())},
    "membership_calls": {
        "discovery": Sample(lambda: _first_targets(Watch())),
        "relay": Sample(lambda: _first_targets(RelayWatch())),
        "relay_named": Sample(lambda: _relay_target(("a", "b,c", ""), 2)),
        "relay_named_for_all_services": Sample(lambda: _relay_target((), 0)),
        "relay_state": Sample(lambda: relays.STATE),
        "relay_state_answer": Sample(lambda: STATE_OF_RELAY, age_in_state, 1.25),
        "relay_order": Sample(_relay_order),
    },
}
