"""Tests of the random generation and the text form of relay schedules."""

from __future__ import annotations

import argparse
from collections import defaultdict

import pytest

from benchmarks.relay_schedules import draw_schedule, parse_schedule


def test_schedule_is_reproduced_from_its_seed_and_from_its_text() -> None:
    for seed in range(100):
        drawn = draw_schedule(seed)
        parsed = parse_schedule(str(drawn))
        assert draw_schedule(seed) == drawn
        assert (parsed.discovery_by_relay, parsed.events) == (drawn.discovery_by_relay, drawn.events)
    for text in ("", "0,2", "1", "0,0 x", "0,0 5:kill-relay:2:0", "0,1 5:cut-link:0:9:both,reset", "0 5:anew:1:0"):
        with pytest.raises(argparse.ArgumentTypeError, match="expected"):
            parse_schedule(text)


def test_event_of_a_component_ends_before_its_next_event_begins() -> None:
    for seed in range(300):
        busy_until_ms: dict[tuple[str, tuple[int, ...]], int] = defaultdict(int)
        for event in draw_schedule(seed).events:
            if event.kind != "host":
                component = event.kind.rpartition("-")[2].replace("anew", "discovery"), event.target
                assert event.at_ms >= busy_until_ms[component], f"seed {seed}: {event}"
                busy_until_ms[component] = event.at_ms + event.duration_ms
