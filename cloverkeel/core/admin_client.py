"""Asks gateways at their second addresses, for the commands of staff."""

from __future__ import annotations

import json
import socket
from collections.abc import Sequence
from typing import Any, Final

from cloverkeel.core.config import Address, ConfigError, parse_address

CALL_S: Final = 1.0  # for a gateway to answer
ANSWER_MOST: Final = 1_000_000  # bytes of one


def call(address: Address, line: str) -> str:
    """What staff are told; "" where nobody answers in time."""
    try:
        with socket.create_connection(address, CALL_S) as to:
            to.sendall(line.encode() + b"\n")
            said = b""
            while not said.endswith(b"\n") and len(said) < ANSWER_MOST and (piece := to.recv(65_536)):
                said += piece
        return said.decode(errors="replace").strip()
    except OSError:
        return ""


def ask_all(addresses: Sequence[Address], line: str, otherwise: str) -> tuple[dict[str, Any], list[str]]:
    """What each gateway answers to this line, by its address; and what is wrong, a line each.

    `otherwise`: what a gateway that refuses the line lacks.
    """
    shown: dict[str, Any] = {}
    wrong = []
    for host, port in addresses:
        said, where = call((host, port), line), f"{host}:{port}"
        if said.startswith("ACK {"):
            shown[where] = json.loads(said[4:])
        elif said:
            wrong.append(f"{where}: {otherwise}: {said}")
        else:
            wrong.append(f"{where}: no answer within {CALL_S:g} s")
    return shown, wrong


def addresses_of(text: str) -> list[Address]:
    """ConfigError for what is no list of addresses."""
    if not text:
        raise ConfigError("--at: expected host:port,host:port (or CLOVERKEEL_OPS)")
    return [parse_address(part.strip(), f"--at: {part.strip()!r}") for part in text.split(",")]
