"""Schedules of relays are drawn as they should be."""

from __future__ import annotations

import argparse
from collections import defaultdict

import pytest

from benchmarks.relay_schedules import draw, parse


def test_a_schedule_is_its_seed_and_its_line() -> None:
    for seed in range(100):
        drawn = draw(seed)
        parsed = parse(str(drawn))
        assert draw(seed) == drawn
        assert (parsed.feeds, parsed.events) == (drawn.feeds, drawn.events)
    for odd in ("", "0,2", "1", "0,0 x", "0,0 5:kill-relay:2:0", "0,1 5:cut-link:0:9:both,reset", "0 5:anew:1:0"):
        with pytest.raises(argparse.ArgumentTypeError, match="expected"):
            parse(odd)


def test_what_is_drawn_for_one_part_of_the_fleet_is_over_before_the_next_begins() -> None:
    for seed in range(300):
        until_ms: dict[tuple[str, tuple[int, ...]], int] = defaultdict(int)
        for event in draw(seed).events:
            if event.what != "host":
                place = event.what.rpartition("-")[2].replace("anew", "discovery"), event.who
                assert event.at_ms >= until_ms[place], f"seed {seed}: {event}"
                until_ms[place] = event.at_ms + event.for_ms
