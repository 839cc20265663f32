"""python -m cloverkeel duties: the leases (duties) of gateways, read and moved through their admin addresses.

    duties show [--json]       holder, age and epoch (fencing token) of each lease, slow-start quota lent and taken,
                               and differences between the gateways' answers
    duties hand-on DUTY        ask the lease's holder to hand it over to another gateway
    duties keep-off GATEWAY    exclude the gateway with this number from holding leases from now on
    duties keep-on GATEWAY     let that gateway hold leases again

`--at HOST:PORT,...` lists the admin addresses; the default is CLOVERKEEL_OPS. Exit code 0: done; 1: not done, or a
gateway did not answer; 2: invalid options.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Iterator, Sequence
from typing import Any, Final

from cloverkeel.core.admin_client import parse_address_list, call_gateways, call
from cloverkeel.core.config import Address, ConfigError

# Gateways' answers to DUTIES, by address; LeaseDriver.describe defines the keys.
Answers = dict[str, Any]

LEASE_ROW: Final = "{:<44} {:>7} {:>8} {:>9} {:>20}"
GATEWAY_ROW: Final = "{:>7} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>9} {:>9}  {}"


def differences(answers: Answers) -> list[str]:
    """Return a line for each lease with more than one holder, and for each gateway wrongly presumed the holder."""
    token_by_holder: dict[str, dict[int, int]] = {}  # by lease name: gateways that claim to hold it, their tokens
    reporters_by_holder: dict[str, dict[int, list[int]]] = {}  # by lease name: presumed holder, its reporters
    for answer in answers.values():
        for lease in answer["duties"]:
            if is_held(lease):
                token_by_holder.setdefault(lease["duty"], {})[answer["gateway"]] = lease["epoch"]
            elif lease["holder"] >= 0:
                reporters = reporters_by_holder.setdefault(lease["duty"], {}).setdefault(lease["holder"], [])
                reporters.append(answer["gateway"])
    return [*duplicate_holders(token_by_holder), *misdirected_reports(token_by_holder, reporters_by_holder)]


def is_held(lease: dict[str, Any]) -> bool:
    """Return whether the gateway that answered holds this lease."""
    return bool(lease["phase"] == "held")


def duplicate_holders(token_by_holder: dict[str, dict[int, int]]) -> Iterator[str]:
    """Yield a line for each lease that more than one gateway holds."""
    for name, tokens in sorted(token_by_holder.items()):
        if len(tokens) > 1:
            holders = ", ".join(f"{gateway} (epoch {token})" for gateway, token in sorted(tokens.items()))
            yield f"{name}: held by {holders}; asked one after another, it may have changed hands meanwhile"


def misdirected_reports(
    token_by_holder: dict[str, dict[int, int]], reporters_by_holder: dict[str, dict[int, list[int]]]
) -> Iterator[str]:
    """Yield a line for each gateway that receives reports for a lease that another gateway holds."""
    for name, reporters in sorted(reporters_by_holder.items()):
        holders = token_by_holder.get(name)
        for holder, gateways in sorted(reporters.items()):
            if holders and holder not in holders:
                yield f"{name}: {', '.join(map(str, gateways))} report to {holder}, which does not hold it"


def show(answers: Answers, failures: Sequence[str]) -> None:
    """Print a row per lease, a row per gateway, and the differences between the gateways' answers."""
    for row in [*lease_rows(answers), *gateway_rows(answers), *differences(answers), *failures]:
        print(row)


def lease_rows(answers: Answers) -> Iterator[str]:
    """Yield the header and a row for each lease."""
    yield LEASE_ROW.format("duty", "holder", "left ms", "held s", "epoch")
    row_by_name = {
        lease["duty"]: LEASE_ROW.format(
            lease["duty"], answer["gateway"], lease["left_ms"], lease["held_s"], lease["epoch"]
        )
        for answer in answers.values()
        for lease in answer["duties"]
        if is_held(lease)
    }
    for name in sorted({lease["duty"] for answer in answers.values() for lease in answer["duties"]}):
        yield row_by_name.get(name) or LEASE_ROW.format(name, "nobody", "", "", "")


def gateway_rows(answers: Answers) -> Iterator[str]:
    """Yield the header and a row for each gateway."""
    yield GATEWAY_ROW.format(
        "gateway", "voter", "off", "held", "lost", "lent", "taken", "sent", "old acts", "dropped"
    )  # fmt: skip
    for answer in sorted(answers.values(), key=lambda answer: int(answer["gateway"])):
        yield GATEWAY_ROW.format(
            answer["gateway"], "yes" if answer["voter"] else "no", "yes" if answer["kept_off"] else "no",
            sum(map(is_held, answer["duties"])), answer["lost"], answer["lent"], answer["taken"], answer["sent"],
            answer["old_acts"], answer["dropped"] or "",
        )  # fmt: skip


def hand_over(addresses: Sequence[Address], name: str) -> int:
    """Ask the holder of a lease to hand it over; return the exit code."""
    for address in addresses:
        answer = call(address, f"HANDON {name}")
        if answer.startswith("ACK"):
            print(f"{address[0]}:{address[1]}: {answer[4:]}")
            return 0
    print(f"{name}: none of these gateways holds it", file=sys.stderr)
    return 1


def call_gateway(addresses: Sequence[Address], gateway: int, line: str) -> int:
    """Send an admin line to the gateway with this number; return the exit code."""
    for address in addresses:
        answer = call(address, "DUTIES")
        if answer.startswith("ACK {") and json.loads(answer[4:])["gateway"] == gateway:
            print(call(address, line))
            return 0
    print(f"gateway {gateway}: not at these addresses", file=sys.stderr)
    return 1


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m cloverkeel duties", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="command", required=True)
    show_parser = commands.add_parser("show", help="show leases, their holders, and differences between gateways")
    show_parser.add_argument("--json", action="store_true")
    hand_on_parser = commands.add_parser("hand-on", help="ask the holder of a lease to hand it over")
    hand_on_parser.add_argument("duty")
    for name in ("keep-off", "keep-on"):
        keep_parser = commands.add_parser(name, help="keep-off excludes a gateway from leases; keep-on ends this")
        keep_parser.add_argument("gateway", type=int)
    for command in commands.choices.values():
        command.add_argument("--at", default=os.environ.get("CLOVERKEEL_OPS", ""), metavar="HOST:PORT,...")
    return parser


def main(arguments: Sequence[str]) -> int:
    """Run the command; return its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        addresses = parse_address_list(options.at)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    if options.command == "hand-on":
        return hand_over(addresses, options.duty)
    if options.command != "show":
        return call_gateway(addresses, options.gateway, "KEEPOFF" if options.command == "keep-off" else "KEEPON")
    answers, failures = call_gateways(addresses, "DUTIES", "no duties here")
    if options.json:
        shown = {"gateways": answers, "differences": differences(answers), "wrong": failures}
        print(json.dumps(shown, indent=1))
    else:
        show(answers, failures)
    return 1 if failures else 0
