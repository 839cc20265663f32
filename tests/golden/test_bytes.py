"""Messages are written as the stored bytes, and the stored bytes are read as the values they were written from."""

from __future__ import annotations

import pytest

from tests.golden.samples import SAMPLES_BY_KIND
from tests.golden.store import DATA_FOLDER, load

KINDS = [
    "core_metrics",
    "duties_admin",
    "duties_commands",
    "duties_datagrams",
    "duties_ids",
    "duties_nodes",
    "duties_payloads",
    "membership_calls",
    "membership_nodes",
    "membership_snapshot",
    "ops_answers",
    "ops_lines",
    "ops_state",
    "relay_answers",
    "relay_calls",
    "relay_commands",
    "sharing_admin",
    "sharing_commands",
    "sharing_datagrams",
    "simulator_actions",
    "simulator_dialogue",
    "simulator_events",
]
STORED = {kind: load(kind) for kind in KINDS}
CASES = [(kind, name) for kind in KINDS for name in STORED[kind]]


def test_every_kind_has_a_data_file_and_samples() -> None:
    assert sorted(SAMPLES_BY_KIND) == KINDS
    assert sorted(path.stem for path in DATA_FOLDER.iterdir()) == KINDS


@pytest.mark.parametrize("kind", KINDS)
def test_every_sample_has_stored_bytes(kind: str) -> None:
    assert list(SAMPLES_BY_KIND[kind]) == list(STORED[kind])


@pytest.mark.parametrize(("kind", "name"), CASES)
def test_written_bytes_equal_the_stored_bytes(kind: str, name: str) -> None:
    sample = SAMPLES_BY_KIND[kind][name]
    assert sample.canonical(sample.write()) == sample.canonical(STORED[kind][name])


@pytest.mark.parametrize(("kind", "name"), [case for case in CASES if SAMPLES_BY_KIND[case[0]][case[1]].read])
def test_stored_bytes_are_read_as_the_expected_value(kind: str, name: str) -> None:
    sample = SAMPLES_BY_KIND[kind][name]
    assert sample.read is not None
    assert sample.read(STORED[kind][name]) == sample.expected
