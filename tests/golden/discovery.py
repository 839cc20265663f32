"""Samples of the requests of cloverkeel.discovery, and of its data in ZooKeeper and on disk."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Final

from cloverkeel.discovery.registration_agent import AgentOptions, RegistrationAgent
from cloverkeel.discovery.registration import RegistrationAction, Registration
from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.node_codec import decode_backend, encode_backend
from cloverkeel.discovery.relay_requests import STATE_PATH, RelayPollSchedule, parse_state_age_s, identify_gateway
from cloverkeel.discovery.relay_selection import rank_relays
from cloverkeel.discovery.snapshot_file import load_snapshot, save_snapshot
from cloverkeel.discovery.poll_schedule import INSTANCES_PATH, PollSchedule
from tests.golden.store import Sample, SamplesByName

SERVING: Final = Backend(
    "s-5be2a07c", ("10.1.0.18", 8081), BackendStatus.SERVING, "kita-room", "small-2c", 3, 1.0, 1_796_119_613_761
)
BACKEND_WITH_ALL_FIELDS: Final = replace(SERVING, status=BackendStatus.DRAINING, weight=0.25, czxid=0x500000007)
BACKENDS: Final = {
    "serving": SERVING,
    "draining": replace(SERVING, status=BackendStatus.DRAINING),
    "defaults": Backend("s-1", ("10.1.0.19", 1)),
    "text_group_and_weight": replace(SERVING, name="höst", group="rack-7", weight=0.25),
    "ipv6": replace(SERVING, address=("fd00::18", 65_535)),
}
RELAY_ADDRESSES: Final = tuple(("10.9.0.1", 7_000 + number) for number in range(5))


def _node_sample(backend: Backend) -> Sample:
    return Sample(lambda: encode_backend(backend), decode_backend, backend)


def _agent_node_path() -> bytes:
    options = AgentOptions(hosts="127.0.0.1:2181", path="/cloverkeel/boxes", session_ms=2_000)
    return RegistrationAgent(Registration(SERVING), options).node_path.encode()


def _agent_node_data(is_draining: bool) -> bytes:
    """Return the data that the agent would write to the node."""
    registration = Registration(SERVING)
    registration.on_health_check(1_796_119_700_000, check_passed=True)
    assert registration.next_action(0.0) is RegistrationAction.CREATE
    if is_draining:
        registration.on_termination(0.0)
    return registration.node_data()


def _write_snapshot(backends: Sequence[Backend]) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "list.json"
        save_snapshot(str(path), backends)
        return path.read_bytes()


def _read_snapshot(data: bytes) -> list[Backend] | None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "list.json"
        path.write_bytes(data)
        return load_snapshot(str(path))


def _snapshot_sample(*backends: Backend) -> Sample:
    return Sample(lambda: _write_snapshot(backends), _read_snapshot, list(backends))


def _first_targets(schedule: PollSchedule) -> bytes:
    """Return the request targets without a list, after a snapshot, and after a reconnect."""
    targets = [schedule.next_request(0.0).target]
    schedule.on_reply(0.0, 41, is_snapshot=True)
    targets.append(schedule.next_request(0.1).target)
    schedule.on_connected()
    targets.append(schedule.next_request(0.1).target)
    return b"\n".join(targets)


def _relay_target(services: tuple[str, ...], doublings: int) -> bytes:
    target = INSTANCES_PATH + b"?from=41&hold_ms=400"
    return identify_gateway(target, "n0/ö", services, doublings)


def _relay_order() -> bytes:
    addresses = rank_relays("n0", RELAY_ADDRESSES)
    return " ".join(f"{host}:{port}" for host, port in addresses).encode()


RELAY_STATE: Final = b'{"version":41,"age_ms":1250}'

SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "membership_nodes": {
        **{name: _node_sample(backend) for name, backend in BACKENDS.items()},
        "all_fields": Sample(
            lambda: encode_backend(BACKEND_WITH_ALL_FIELDS),
            lambda data: decode_backend(data, BACKEND_WITH_ALL_FIELDS.czxid),
            BACKEND_WITH_ALL_FIELDS,
        ),
        "agent_path": Sample(_agent_node_path),
        "agent_serving": Sample(lambda: _agent_node_data(is_draining=False), decode_backend, SERVING),
        "agent_draining": Sample(lambda: _agent_node_data(is_draining=True), decode_backend, BACKENDS["draining"]),
    },
    "membership_snapshot": {"empty": _snapshot_sample(), "all": _snapshot_sample(*BACKENDS.values())},
    "membership_calls": {
        "discovery": Sample(lambda: _first_targets(PollSchedule())),
        "relay": Sample(lambda: _first_targets(RelayPollSchedule())),
        "relay_named": Sample(lambda: _relay_target(("a", "b,c", ""), 2)),
        "relay_named_for_all_services": Sample(lambda: _relay_target((), 0)),
        "relay_state": Sample(lambda: STATE_PATH),
        "relay_state_answer": Sample(lambda: RELAY_STATE, parse_state_age_s, 1.25),
        "relay_order": Sample(_relay_order),
    },
}
