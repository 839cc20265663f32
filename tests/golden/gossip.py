"""Samples of the datagrams, admin answers and command output of cloverkeel.gossip."""

from __future__ import annotations

import asyncio
import json
from typing import Final, get_args
from unittest import mock

from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse as parse_config
from cloverkeel.core.datagrams import PeerSocket
from cloverkeel.gossip.commands import main
from cloverkeel.gossip.messages import (
    MASK32,
    Datagram,
    ObservationItem,
    TokenGrantItem,
    Header,
    Item,
    MessageKind,
    MemberStatus,
    MemberItem,
    TokenRequestItem,
    decode,
    encode,
)
from cloverkeel.gossip.driver import GossipDriver
from tests.golden.commands import output_of
from tests.golden.store import Sample, SamplesByName
from tests.sockets import configuration

NOW_US: Final = 1_796_119_613_761_000
INCARNATION: Final = 0x01020304
TIMESTAMP_MS: Final = 0xF0E0D0C0

# The stored samples are named after the terms of docs/peers-wire.md.
MEMBER_SAMPLE_NAMES: Final = {MemberStatus.DEAD: "gone"}
KIND_SAMPLE_NAMES: Final = {
    MessageKind.GOSSIP: "news", MessageKind.PING_REQ: "ping_for", MessageKind.STATE_REQUEST: "ask",
}  # fmt: skip


def _sample_name(kind: MessageKind) -> str:
    return KIND_SAMPLE_NAMES.get(kind, kind.name.lower())


ITEMS: Final[dict[str, Item]] = {
    **{
        f"member_{MEMBER_SAMPLE_NAMES.get(status, status.name.lower())}": MemberItem(
            0x0102, INCARNATION, status, 0x0304
        )
        for status in MemberStatus
    },
    "evidence": ObservationItem(0x0102, INCARNATION, TIMESTAMP_MS, 0x5BE2A07C, 0xA1B2C3D4, 250, 3, 128, 4),
    "evidence_largest": ObservationItem(0xFFFF, MASK32, MASK32, MASK32, MASK32, 255, 255, 255, 255),
    "want": TokenRequestItem(1_250),
    "give": TokenGrantItem(0x0102, INCARNATION, 77, TIMESTAMP_MS, 0x0304, 0x05060708, 450),
}
ITEM_CLASSES: Final[frozenset[type]] = frozenset(get_args(Item))
ITEM_CLASSES_OF_SAMPLES: Final[frozenset[type]] = frozenset(map(type, ITEMS.values()))
DATAGRAM_KINDS: Final[frozenset[str]] = frozenset(map(_sample_name, MessageKind))


def _header(kind: MessageKind) -> Header:
    return Header(kind, 0x1203, INCARNATION, TIMESTAMP_MS, sequence=0x89ABCDEF, subject=0x0405)


def _datagram(kind: MessageKind, *items: Item) -> Sample:
    header = _header(kind)
    return Sample(lambda: encode(header, items), decode, Datagram(header, items))


def _admin_answers() -> dict[str, bytes]:
    """Return a gateway's answers to PEERS before and after two peers reported failures of one host."""

    async def run() -> dict[str, bytes]:
        peers = [f"127.0.0.1:{port}" for port in (7, 8, 9, 10)]
        raw = configuration("127.0.0.1:9", peers=True) | {"peer_listen": peers[0], "peers": peers}
        raw["settings"] |= {"balancers": 4, "index": 0}
        config = parse_config(raw)
        program = assemble(config)
        with mock.patch("random.SystemRandom") as system_random:
            system_random.return_value.getrandbits.return_value = 1
            driver = GossipDriver(config, program.gateway, PeerSocket(("127.0.0.1", 7), config.peers), lambda: NOW_US)
        try:
            before = driver.call(b"PEERS")
            driver.node.start(NOW_US)
            for reporter in (1, 2):
                observation = ObservationItem(reporter, 9, TIMESTAMP_MS, 0x5BE2A07C, 0xA1B2C3D4, 0, 40, 0, 0)
                alive = MemberItem(reporter, 9, MemberStatus.ALIVE, reporter)
                header = Header(MessageKind.GOSSIP, reporter, 9, TIMESTAMP_MS)
                driver.node.receive(NOW_US, Datagram(header, (alive, observation)))
            driver.node.tick(NOW_US)
            after = driver.call(b"PEERS\r\n")
            assert before is not None
            assert after is not None
            assert driver.call(b"PEERS now") is None
            return {"peers_of_nothing": before[1].encode(), "peers": after[1].encode()}
        finally:
            driver.close()
            program.close()

    return asyncio.run(run())


def _admin_answer(name: str) -> Sample:
    return Sample(lambda: _admin_answers()[name])


def _peers_answer(gateway: int, state: str, doubted: bool) -> str:
    status = {
        "gateway": gateway, "zone": 0, "incarnation": 7, "health": 0,
        "peers": {"2": {"state": state, "incarnation": 7, "heard_ms": 5}},
        "hosts": [
            {"host": "5be2a07c", "good": 1.0, "bad": 2.0, "tellers": 2, "well": 0, "doubted": doubted, "left_ms": 900,
             "own": [0, 1]},
        ],
        "sent": 3, "sent_bytes": 99, "came": 4, "budget": 16_000, "poor": 0, "dropped": {},
    }  # fmt: skip
    return "ACK " + json.dumps(status)


def _show_output(*answers: str) -> Sample:
    targets = ("cloverkeel.core.admin_client.call",)
    return Sample(lambda: output_of(main, ("show", "--json"), {"PEERS": answers}, targets))


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "sharing_datagrams": {
        **{f"empty_{_sample_name(kind)}": _datagram(kind) for kind in MessageKind},
        **{f"news_{name}": _datagram(MessageKind.GOSSIP, item) for name, item in ITEMS.items()},
        "ack_with_one_of_each_item": _datagram(
            MessageKind.ACK, ITEMS["member_suspect"], ITEMS["evidence"], ITEMS["want"], ITEMS["give"]
        ),
    },
    "sharing_admin": {name: _admin_answer(name) for name in ("peers_of_nothing", "peers")},
    "sharing_commands": {
        "show_json": _show_output(_peers_answer(0, "gone", True), _peers_answer(1, "alive", False)),
        "show_json_without_answers": _show_output("NAK unknown call", ""),
    },
}
