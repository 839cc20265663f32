"""python -m cloverkeel duties: who holds what, by asking gateways at their second addresses.

    duties show [--json]            who holds what, epoch, age, what is lent and granted, and where gateways differ
    duties hand-on DUTY             its holder hands it on
    duties keep-off GATEWAY         that gateway (its number) holds no duty from now on; keep-on GATEWAY ends it

`--at HOST:PORT,...` names the second addresses, or CLOVERKEEL_OPS does. Exit code 0: done; 1: it was not, or a
gateway did not answer; 2: the options cannot be used.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from typing import Any

from cloverkeel.core.admin_client import call, call_gateways, parse_address_list
from cloverkeel.core.config import Address, ConfigError


def differences(shown: dict[str, Any]) -> list[str]:
    """Duties that two gateways say they hold, and gateways that take another for the holder than it is."""
    holders: dict[str, dict[int, int]] = {}  # by duty: who says that it holds, and its epoch
    believed: dict[str, dict[int, list[int]]] = {}
    for found in shown.values():
        for duty in found["duties"]:
            if duty["phase"] == "held":
                holders.setdefault(duty["duty"], {})[found["gateway"]] = duty["epoch"]
            elif duty["holder"] >= 0:
                believed.setdefault(duty["duty"], {}).setdefault(duty["holder"], []).append(found["gateway"])
    said = []
    for name, of in sorted(holders.items()):
        if len(of) > 1:
            said.append(f"{name}: held by {', '.join(f'{n} (epoch {e})' for n, e in sorted(of.items()))}; "
                        "asked one after another, it may have changed hands meanwhile")  # fmt: skip
    for name, by in sorted(believed.items()):
        said += [
            f"{name}: {', '.join(map(str, who))} report to {holder}, which does not hold it"
            for holder, who in sorted(by.items())
            if holders.get(name) and holder not in holders[name]
        ]
    return said


def show(shown: dict[str, Any], wrong: Sequence[str]) -> None:
    form = "{:<44} {:>7} {:>8} {:>9} {:>20}"
    print(form.format("duty", "holder", "left ms", "held s", "epoch"))
    rows = {
        duty["duty"]: form.format(duty["duty"], found["gateway"], duty["left_ms"], duty["held_s"], duty["epoch"])
        for found in shown.values() for duty in found["duties"] if duty["phase"] == "held"
    }  # fmt: skip
    wanted = {duty["duty"] for found in shown.values() for duty in found["duties"]}
    for name in sorted(wanted):
        print(rows.get(name) or form.format(name, "nobody", "", "", ""))
    form = "{:>7} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>9} {:>9}  {}"
    print(form.format("gateway", "voter", "off", "held", "lost", "lent", "taken", "sent", "old acts", "dropped"))
    for found in sorted(shown.values(), key=lambda found: int(found["gateway"])):
        held = sum(duty["phase"] == "held" for duty in found["duties"])
        print(form.format(
            found["gateway"], "yes" if found["voter"] else "no", "yes" if found["kept_off"] else "no", held,
            found["lost"], found["lent"], found["taken"], found["sent"], found["old_acts"], found["dropped"] or "",
        ))  # fmt: skip
    for line in [*differences(shown), *wrong]:
        print(line)


def hand_on(addresses: Sequence[Address], duty: str) -> int:
    for address in addresses:
        said = call(address, f"HANDON {duty}")
        if said.startswith("ACK"):
            print(f"{address[0]}:{address[1]}: {said[4:]}")
            return 0
    print(f"{duty}: none of these gateways holds it", file=sys.stderr)
    return 1


def keep(addresses: Sequence[Address], gateway: int, line: str) -> int:
    for address in addresses:
        said = call(address, "DUTIES")
        if said.startswith("ACK {") and json.loads(said[4:])["gateway"] == gateway:
            print(call(address, line))
            return 0
    print(f"gateway {gateway}: not at these addresses", file=sys.stderr)
    return 1


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m cloverkeel duties", description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)  # fmt: skip
    commands = parser.add_subparsers(dest="command", required=True)
    shows = commands.add_parser("show", help="who holds what")
    shows.add_argument("--json", action="store_true")
    hands = commands.add_parser("hand-on", help="let a duty's holder hand it on")
    hands.add_argument("duty")
    for name in ("keep-off", "keep-on"):
        keeps = commands.add_parser(name, help="whether a gateway may hold duties")
        keeps.add_argument("gateway", type=int)
    for one in commands.choices.values():
        one.add_argument("--at", default=os.environ.get("CLOVERKEEL_OPS", ""), metavar="HOST:PORT,...")
    options = parser.parse_args(arguments)
    try:
        addresses = parse_address_list(options.at)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    if options.command == "hand-on":
        return hand_on(addresses, options.duty)
    if options.command != "show":
        return keep(addresses, options.gateway, "KEEPOFF" if options.command == "keep-off" else "KEEPON")
    shown, wrong = call_gateways(addresses, "DUTIES", "no duties here")
    if options.json:
        print(json.dumps({"gateways": shown, "differences": differences(shown), "wrong": wrong}, indent=1))
    else:
        show(shown, wrong)
    return 1 if wrong else 0
