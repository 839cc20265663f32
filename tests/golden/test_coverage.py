"""Each codec has stored bytes for all its kinds of messages."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import pytest

from tests.golden import admin, control_plane, discovery, gossip, leases, simulator
from tests.golden.store import load

CODECS = {
    "duties messages": (leases.MESSAGE_CLASSES, leases.MESSAGE_CLASSES_OF_SAMPLES),
    "sharing items": (gossip.ITEM_CLASSES, gossip.ITEM_CLASSES_OF_SAMPLES),
    "simulator actions": (simulator.ACTION_CLASSES, simulator.ACTION_CLASSES_OF_SAMPLES),
    "simulator events": (simulator.EVENT_NAMES, simulator.EVENT_NAMES_OF_SAMPLES),
    "simulator verdicts": (simulator.VERDICTS, simulator.VERDICTS_OF_SAMPLES),
    "admin words": (admin.WORDS, admin.WORDS_OF_SAMPLES),
}
FULL_SAMPLES: dict[str, Any] = {
    "box": discovery.BACKEND_WITH_ALL_FIELDS,
    "relay poll request": control_plane.FULL_REQUEST,
    "relay subscriber": control_plane.FULL_REQUEST.subscriber,
    "simulator load report": simulator.LOAD,
    "simulator request class": simulator.SETTINGS.classes[1],
    "simulator settings": simulator.SETTINGS,
    "state file": admin.STATES["full"],
}


@pytest.mark.parametrize("codec", sorted(CODECS))
def test_every_kind_of_message_has_a_sample(codec: str) -> None:
    known, sampled = CODECS[codec]
    assert known == sampled


def test_every_kind_of_gossip_datagram_has_stored_bytes() -> None:
    kinds = {name.removeprefix("empty_") for name in load("sharing_datagrams") if name.startswith("empty_")}
    assert kinds == gossip.DATAGRAM_KINDS


def test_stored_lease_datagrams_have_every_kind_number() -> None:
    kinds = {data[2] for data in load("duties_datagrams").values()}
    assert len(kinds) == len(leases.MESSAGE_CLASSES)


@pytest.mark.parametrize("name", sorted(FULL_SAMPLES))
def test_a_full_sample_sets_every_field(name: str) -> None:
    sample = FULL_SAMPLES[name]
    defaulted_fields = [field.name for field in fields(sample) if getattr(sample, field.name) == field.default]
    assert defaulted_fields == []
