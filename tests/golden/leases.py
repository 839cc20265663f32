"""Samples of what cloverkeel.leases sends, stores and prints."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Final, cast, get_args
from unittest import mock

from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse as parse_config
from cloverkeel.core.datagrams import PeerSocket
from cloverkeel.core.options import LeaseOptions
from cloverkeel.leases import probe_election, slow_start_budget, slow_start_quotas
from cloverkeel.leases.commands import main
from cloverkeel.leases.driver import LeaseDriver
from cloverkeel.leases.messages import (
    MAX_PAYLOAD_BYTES,
    Accepted,
    Datagram,
    Handover,
    HandoverAck,
    Header,
    Hello,
    LeaderReply,
    Message,
    NotLeaseHolder,
    Prepare,
    Promised,
    Propose,
    RefusalReason,
    Refused,
    Release,
    Report,
    StaleTokenNotice,
    decode,
    encode,
)
from cloverkeel.leases.placement import lease_id_of
from cloverkeel.leases.process import ProcessId
from cloverkeel.leases.slow_start_budget import decode_grant, encode_grant, encode_report
from cloverkeel.leases.zookeeper_driver import LeaseNodeClient
from cloverkeel.leases.zookeeper_lease import NodeOutcome, NodeResponse
from tests.golden.commands import AnswersByLine, output_of
from tests.golden.store import Sample, SamplesByName
from tests.sockets import configuration

HEADER: Final = Header(voters=5, sender=0x1203, nonce=0x89ABCDEF, highest_counter=0x0123456789ABCDEF)
PEER_HEADER: Final = Header(voters=5, sender=1, nonce=2, highest_counter=3)
LEASE_ID: Final = 0x0FEDCBA987654321
BALLOT: Final = 0x0123456789ABCDE
NOW_US: Final = 1_796_119_613_761_000

MESSAGES: Final[dict[str, Message]] = {
    "prepare": Prepare(LEASE_ID, BALLOT, 7, 0x0102030405060708),
    "propose": Propose(LEASE_ID, BALLOT, 7, 4_000_000, 0x0102030405060708),
    "promised": Promised(LEASE_ID, BALLOT, 7),
    "accepted": Accepted(LEASE_ID, BALLOT, 7),
    **{
        f"refused_{reason.name.lower()}": Refused(
            LEASE_ID, BALLOT, 7, reason, 0x0203, 0x13579BDF, 1_234_567, BALLOT + 1
        )
        for reason in RefusalReason
    },
    "release": Release(LEASE_ID, BALLOT),
    "hand_on": Handover(LEASE_ID, BALLOT),
    "hand_on_with_state": Handover(LEASE_ID, BALLOT, bytes(range(MAX_PAYLOAD_BYTES))),
    "taken": HandoverAck(LEASE_ID, BALLOT),
    "report": Report(LEASE_ID, 0x1111222233334444, 0x5555666677778888),
    "report_with_payload": Report(LEASE_ID, 0x1111222233334444, 0, encode_report(True, 0.5)),
    "act": LeaderReply(LEASE_ID, BALLOT, 0x1111222233334444, 0x5555666677778888),
    "act_with_payload": LeaderReply(LEASE_ID, BALLOT, 0x1111222233334444, 0x5555666677778888, encode_grant(1.25)),
    "not_mine": NotLeaseHolder(LEASE_ID),
    "hello": Hello(),
    "hello_wants_answer": Hello(1),
    "older": StaleTokenNotice(LEASE_ID, BALLOT),
}
MESSAGE_CLASSES: Final[frozenset[type]] = frozenset(get_args(Message))
MESSAGE_CLASSES_OF_SAMPLES: Final[frozenset[type]] = frozenset(map(type, MESSAGES.values()))

NODE_GATEWAY: Final = 3
NODE_NONCE: Final = 0x00BCDEF1


def _datagram(message: Message) -> Sample:
    return Sample(lambda: encode(HEADER, message), decode, Datagram(HEADER, message))


def _with_node_client(use: Callable[[LeaseNodeClient], object]) -> object:
    async def run() -> object:
        options = LeaseOptions(hosts="127.0.0.1:2181", path="/cloverkeel/duties", lease_ms=4_000)
        process = ProcessId(NODE_GATEWAY, NODE_NONCE)
        nodes = LeaseNodeClient(options, process, lambda lease_id, response: None, lambda: None)
        try:
            return use(nodes)
        finally:
            nodes.client.close()

    return asyncio.run(run())


def _node_data() -> bytes:
    return cast(bytes, _with_node_client(lambda nodes: nodes.node_data))


def _node_path() -> bytes:
    return cast(str, _with_node_client(lambda nodes: nodes.path_of(LEASE_ID >> 8))).encode()


def _read_node_data(data: bytes) -> object:
    """Classify a node of another session, and a node of this session."""
    others = SimpleNamespace(ephemeralOwner=1, czxid=77)
    own = SimpleNamespace(ephemeralOwner=0, czxid=78)

    def use(nodes: LeaseNodeClient) -> object:
        nodes.granted_session_ms = nodes.session_ms
        return nodes.classify(5, data, others), nodes.classify(6, data, own)

    return _with_node_client(use)


def _admin_answers() -> dict[str, bytes]:
    """Return the answers to admin lines of a gateway that holds one of its two leases."""

    async def run() -> dict[str, bytes]:
        peers = ["127.0.0.1:7", "127.0.0.1:8"]
        raw = configuration("127.0.0.1:9", peers=True) | {"peer_listen": peers[0], "peers": peers}
        raw["settings"] |= {"balancers": 2, "index": 0}
        config = parse_config(raw)
        program = assemble(config)
        with mock.patch("random.SystemRandom") as system_random:
            system_random.return_value.getrandbits.return_value = 1
            driver = LeaseDriver(
                config, LeaseOptions(), program.gateway, PeerSocket(("127.0.0.1", 7), config.peers), lambda: NOW_US
            )
        manager = driver.manager
        manager.uses_zookeeper = True
        try:
            empty = _line_answer(driver, b"DUTIES")
            asked_us = NOW_US - 1_000_000
            held = manager.request_lease(NOW_US - 3_500_000, slow_start_quotas.lease_name(5, 1), driver.budgets)
            manager.tick(asked_us)
            (request,) = manager.outbox.take_node_requests()
            manager.on_node_response(
                asked_us + 500_000, held, NodeResponse(request.round, NodeOutcome.OWNED, 0x500000007)
            )
            manager.receive(NOW_US - 100_000, PEER_HEADER, Report(held, 1, 0, encode_report(True, 0.0)))
            driver.budgets.update(NOW_US, [(5, 1, True, False)], manager)
            driver.probes.update(NOW_US, [(7, True)], manager)
            return {
                "duties_of_nothing": empty,
                "duties": _line_answer(driver, b"DUTIES\r\n"),
                "handon_unknown": _line_answer(driver, b"HANDON warden/9/9"),
                "handon": _line_answer(driver, b"HANDON warden/5/1"),
                "keepoff": _line_answer(driver, b"KEEPOFF"),
                "keepon": _line_answer(driver, b"KEEPON"),
                "duties_with_argument": _line_answer(driver, b"DUTIES now"),
                "status": _line_answer(driver, b"STATUS"),
            }
        finally:
            driver.close()
            program.close()

    return asyncio.run(run())


def _line_answer(driver: LeaseDriver, line: bytes) -> bytes:
    """Return the answer's outcome (yes or no) and its text; a fixed text if the driver does not know the line."""
    found = driver.call(line)
    if found is None:
        return b"not a line of this package"
    return f"{'yes' if found[0] else 'no'}: {found[1]}".encode()


def _admin_answer(name: str) -> Sample:
    return Sample(lambda: _admin_answers()[name])


def _shown(gateway: int, **changes: object) -> str:
    row = {"duty": "warden/5/1", "phase": "free", "holder": 0, "epoch": 9, "left_ms": 0, "held_s": 0}
    shown: dict[str, object] = {
        "gateway": gateway, "voter": True, "kept_off": False, "duties": [row | changes], "colds": [], "outs": [],
        "held_back": 0, "sent": 3, "sent_bytes": 120, "came": 2, "began": 1, "lost": 0, "old_acts": 0,
        "dropped": {"unreadable": 1}, "lent": 0, "taken": 0, "not_sent": 0,
    }  # fmt: skip
    return "ACK " + json.dumps(shown)


def _command(*arguments: str) -> Sample:
    held = _shown(0, phase="held", epoch=12, left_ms=2_900, held_s=3.5)
    other = _shown(1, holder=1)
    answers: AnswersByLine = {
        "DUTIES": [held, other],
        "HANDON warden/5/1": ["NAK that duty is not held here", "ACK handed on to gateway 0"],
        "KEEPOFF": ["ACK it holds no duty"],
        "KEEPON": ["ACK it may hold duties"],
    }
    targets = ("cloverkeel.core.admin_client.call", "cloverkeel.leases.commands.call")
    return Sample(lambda: output_of(main, arguments, answers, targets))


def _show_without_answers() -> Sample:
    answers: AnswersByLine = {"DUTIES": ["NAK unknown call", ""]}
    targets = ("cloverkeel.core.admin_client.call",)
    return Sample(lambda: output_of(main, ("show", "--json"), answers, targets))


def _lease_id(name: str) -> Sample:
    return Sample(lambda: f"{name} {lease_id_of(name):015x}".encode())


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "duties_datagrams": {name: _datagram(message) for name, message in MESSAGES.items()},
    "duties_payloads": {
        "report_wants": Sample(lambda: encode_report(True, 0.0), slow_start_budget.REPORT_FORMAT.unpack, (1, 0)),
        "report_lends": Sample(lambda: encode_report(False, 1.0), slow_start_budget.REPORT_FORMAT.unpack, (0, 1_000)),
        "grant_of_nothing": Sample(lambda: encode_grant(0.0), decode_grant, 0.0),
        "grant": Sample(lambda: encode_grant(2.125), decode_grant, 2.125),
        "trial_asks": Sample(lambda: probe_election.PROBE_REPORT),
        "trial_tried": Sample(lambda: probe_election.PROBING),
        "trial_well": Sample(lambda: probe_election.RECOVERED),
        "trial_idle": Sample(lambda: probe_election.IDLE),
    },
    "duties_ids": {
        "warden": _lease_id(slow_start_quotas.lease_name(0x5BE2A07C, 1_796_119_613_761_000)),
        "trier": _lease_id(probe_election.lease_name(2, 0x5BE2A07C)),
    },
    "duties_nodes": {
        "path": Sample(_node_path),
        "data": Sample(
            _node_data,
            _read_node_data,
            (NodeResponse(5, NodeOutcome.TAKEN, 77, NODE_GATEWAY), NodeResponse(6, NodeOutcome.OWNED, 78)),
        ),
    },
    "duties_admin": {
        name: _admin_answer(name)
        for name in (
            "duties_of_nothing", "duties", "handon_unknown", "handon", "keepoff", "keepon", "duties_with_argument",
            "status",
        )
    },
    "duties_commands": {
        "show_json": _command("show", "--json"),
        "show_json_without_answers": _show_without_answers(),
        "hand_on": _command("hand-on", "warden/5/1"),
        "keep_off": _command("keep-off", "0"),
        "keep_on": _command("keep-on", "0"),
    },
}  # fmt: skip
