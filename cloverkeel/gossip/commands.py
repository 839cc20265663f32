"""python -m cloverkeel peers: the gateways' views of one another and of hosts, read from their admin addresses.

    peers show [--json]    members, suspected hosts, differences between the gateways' views, datagrams and bytes

`--at HOST:PORT,...` lists the admin addresses; the default is CLOVERKEEL_OPS. Exit code 0: all gateways answered;
1: at least one did not; 2: invalid options.
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

Status = dict[str, Any]  # a gateway's answer to the admin command PEERS (status.py)

GATEWAY_ROW = "{:>7} {:>4} {:>6} {:>6} {:>7} {:>5} {:>8} {:>9} {:>7} {:>6} {:>5}  {}"
GATEWAY_TITLES = (
    "gateway", "zone", "health", "alive", "suspect", "gone", "sent", "bytes", "came", "budget", "poor", "dropped",
)  # fmt: skip
HOST_ROW = "{:<10} {:>7} {:>7} {:>6} {:>6} {:>7} {:>5} {:>8}  {}"
HOST_TITLES = ("host", "gateway", "doubt", "good", "bad", "tellers", "well", "left ms", "own good, bad")


def find_differences(status_by_address: dict[str, Status]) -> list[str]:
    """Return one line for each gateway or host of which the gateways' views differ."""
    status_by_gateway = {status["gateway"]: status for status in status_by_address.values()}
    return [*_member_differences(status_by_gateway), *_host_differences(status_by_gateway)]


def _member_differences(status_by_gateway: dict[int, Status]) -> list[str]:
    """Return one line for each gateway that is dead to some gateways and alive to others."""
    lines = []
    members = {int(member) for status in status_by_gateway.values() for member in status["peers"]}
    for member in sorted(members):
        observers_by_state: dict[str, list[int]] = {}
        for observer, status in sorted(status_by_gateway.items()):
            peer = status["peers"].get(str(member))
            if peer is not None:
                observers_by_state.setdefault(peer["state"], []).append(observer)
        if "gone" in observers_by_state and "alive" in observers_by_state:
            dead_for, alive_for = _joined(observers_by_state["gone"]), _joined(observers_by_state["alive"])
            lines.append(f"gateway {member}: gone for {dead_for}, heard by {alive_for}")
    return lines


def _host_differences(status_by_gateway: dict[int, Status]) -> list[str]:
    """Return one line for each host that some gateways suspect and others do not."""
    suspecting_by_host: dict[str, list[int]] = {}
    for observer, status in sorted(status_by_gateway.items()):
        for host in status["hosts"]:
            if host["doubted"]:
                suspecting_by_host.setdefault(host["host"], []).append(observer)
    lines = []
    for name, suspecting in sorted(suspecting_by_host.items()):
        if len(suspecting) < len(status_by_gateway):
            not_suspecting = [gateway for gateway in sorted(status_by_gateway) if gateway not in suspecting]
            lines.append(f"host {name}: in doubt at {_joined(suspecting)}, not at {_joined(not_suspecting)}")
    return lines


def _joined(gateways: Sequence[int]) -> str:
    return ", ".join(map(str, gateways))


def print_status(status_by_address: dict[str, Status], failures: Sequence[str]) -> None:
    """Print tables of gateways and hosts, then the differences and the failed calls."""
    print(GATEWAY_ROW.format(*GATEWAY_TITLES))
    for status in sorted(status_by_address.values(), key=lambda status: int(status["gateway"])):
        print(GATEWAY_ROW.format(*_gateway_cells(status)))
    rows = [
        (host["host"], status["gateway"], host) for status in status_by_address.values() for host in status["hosts"]
    ]
    if rows:
        print(HOST_ROW.format(*HOST_TITLES))
    for name, gateway, host in sorted(rows, key=lambda row: row[:2]):
        print(HOST_ROW.format(name, gateway, *_host_cells(host)))
    for line in [*find_differences(status_by_address), *failures]:
        print(line)


def _gateway_cells(status: Status) -> tuple[Any, ...]:
    states = [peer["state"] for peer in status["peers"].values()]
    return (
        status["gateway"], status["zone"], status["health"], states.count("alive"), states.count("suspect"),
        states.count("gone"), status["sent"], status["sent_bytes"], status["came"], status["budget"], status["poor"],
        status["dropped"] or "",
    )  # fmt: skip


def _host_cells(host: dict[str, Any]) -> tuple[Any, ...]:
    return (
        "yes" if host["doubted"] else "no", host["good"], host["bad"], host["tellers"], host["well"],
        host["left_ms"], ", ".join(map(str, host["own"])),
    )  # fmt: skip


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m cloverkeel peers", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="command", required=True)
    show = commands.add_parser("show", help="show members, suspected hosts, differences and traffic")
    show.add_argument("--json", action="store_true")
    show.add_argument("--at", default=os.environ.get("CLOVERKEEL_OPS", ""), metavar="HOST:PORT,...")
    return parser


def main(arguments: Sequence[str]) -> int:
    """Run the `peers` command and return its exit code."""
    options = _parser().parse_args(arguments)
    try:
        addresses = parse_address_list(options.at)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    status_by_address, failures = call_gateways(addresses, "PEERS", "nothing is shared here")
    if options.json:
        differences = find_differences(status_by_address)
        answer = {"gateways": status_by_address, "differences": differences, "wrong": failures}
        print(json.dumps(answer, indent=1))
    else:
        print_status(status_by_address, failures)
    return 1 if failures else 0
