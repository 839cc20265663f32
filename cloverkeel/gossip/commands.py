"""python -m cloverkeel peers: what gateways know of one another and of hosts, asked at their second addresses.

    peers show [--json]    who hears whom, hosts in doubt and how gateways differ on them, datagrams and bytes

`--at HOST:PORT,...` names the second addresses, or CLOVERKEEL_OPS does. Exit code 0: all answered; 1: one did not;
2: the options cannot be used.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from typing import Any

from cloverkeel.core.admin_client import call_gateways, parse_address_list
from cloverkeel.core.config import ConfigError


def differences(shown: dict[str, Any]) -> list[str]:
    """Gateways that some hold for gone and others hear; hosts that some doubt and others do not."""
    said = []
    by_number = {found["gateway"]: found for found in shown.values()}
    for number in sorted({int(n) for found in shown.values() for n in found["peers"]}):
        states: dict[str, list[int]] = {}
        for teller, found in sorted(by_number.items()):
            peer = found["peers"].get(str(number))
            if peer is not None:
                states.setdefault(peer["state"], []).append(teller)
        if "gone" in states and "alive" in states:
            said.append(f"gateway {number}: gone for {numbers(states['gone'])}, heard by {numbers(states['alive'])}")
    hosts: dict[str, dict[bool, list[int]]] = {}
    for teller, found in sorted(by_number.items()):
        for host in found["hosts"]:
            hosts.setdefault(host["host"], {}).setdefault(host["doubted"], []).append(teller)
    for name, by in sorted(hosts.items()):
        doubting = by.get(True, [])
        if doubting and len(doubting) < len(by_number):
            rest = [n for n in sorted(by_number) if n not in doubting]
            said.append(f"host {name}: in doubt at {numbers(doubting)}, not at {numbers(rest)}")
    return said


def numbers(of: Sequence[int]) -> str:
    return ", ".join(map(str, of))


def show(shown: dict[str, Any], wrong: Sequence[str]) -> None:
    form = "{:>7} {:>4} {:>6} {:>6} {:>7} {:>5} {:>8} {:>9} {:>7} {:>6} {:>5}  {}"
    print(form.format(
        "gateway", "zone", "health", "alive", "suspect", "gone", "sent", "bytes", "came", "budget", "poor", "dropped"
    ))  # fmt: skip
    for found in sorted(shown.values(), key=lambda found: int(found["gateway"])):
        states = [peer["state"] for peer in found["peers"].values()]
        print(form.format(
            found["gateway"], found["zone"], found["health"], states.count("alive"), states.count("suspect"),
            states.count("gone"), found["sent"], found["sent_bytes"], found["came"], found["budget"], found["poor"],
            found["dropped"] or "",
        ))  # fmt: skip
    form = "{:<10} {:>7} {:>7} {:>6} {:>6} {:>7} {:>5} {:>8}  {}"
    rows = [(host["host"], found["gateway"], host) for found in shown.values() for host in found["hosts"]]
    if rows:
        print(form.format("host", "gateway", "doubt", "good", "bad", "tellers", "well", "left ms", "own good, bad"))
    for name, gateway, host in sorted(rows, key=lambda row: row[:2]):
        print(form.format(
            name, gateway, "yes" if host["doubted"] else "no", host["good"], host["bad"], host["tellers"],
            host["well"], host["left_ms"], ", ".join(map(str, host["own"])),
        ))  # fmt: skip
    for line in [*differences(shown), *wrong]:
        print(line)


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m cloverkeel peers", description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)  # fmt: skip
    commands = parser.add_subparsers(dest="command", required=True)
    shows = commands.add_parser("show", help="who hears whom, hosts in doubt, and what it costs")
    shows.add_argument("--json", action="store_true")
    shows.add_argument("--at", default=os.environ.get("CLOVERKEEL_OPS", ""), metavar="HOST:PORT,...")
    options = parser.parse_args(arguments)
    try:
        addresses = parse_address_list(options.at)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    shown, wrong = call_gateways(addresses, "PEERS", "nothing is shared here")
    if options.json:
        print(json.dumps({"gateways": shown, "differences": differences(shown), "wrong": wrong}, indent=1))
    else:
        show(shown, wrong)
    return 1 if wrong else 0
