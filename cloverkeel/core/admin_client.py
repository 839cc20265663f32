"""Client of the gateways' admin addresses, used by the operators' commands."""

from __future__ import annotations

import json
import socket
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

from cloverkeel.core.config import Address, ConfigError, parse_address

CALL_TIMEOUT_S: Final = 1.0
MAX_ANSWER_BYTES: Final = 1_000_000
READ_BYTES: Final = 65_536
JSON_ACK: Final = "ACK "


class GatewayAnswers(NamedTuple):
    """Answers of several gateways to one command line."""

    answer_by_address: dict[str, Any]
    errors: list[str]  # one line for each gateway without a usable answer


def call(address: Address, line: str) -> str:
    """Send a command line and return the answer, or "" if there is none within CALL_TIMEOUT_S."""
    try:
        with socket.create_connection(address, CALL_TIMEOUT_S) as connection:
            connection.sendall(line.encode() + b"\n")
            return _read_answer(connection).decode(errors="replace").strip()
    except OSError:
        return ""


def _read_answer(connection: socket.socket) -> bytes:
    """Read until the end of the line or of the connection, MAX_ANSWER_BYTES or a little more at most."""
    answer = b""
    while not answer.endswith(b"\n") and len(answer) < MAX_ANSWER_BYTES:
        chunk = connection.recv(READ_BYTES)
        if not chunk:
            break
        answer += chunk
    return answer


def call_gateways(addresses: Sequence[Address], line: str, reason: str) -> GatewayAnswers:
    """Send a command line to each gateway and decode the JSON object in its ACK.

    `reason`: the explanation shown for a gateway that rejects the command, such as a disabled feature.
    """
    answers = GatewayAnswers({}, [])
    for host, port in addresses:
        answer = call((host, port), line)
        address = f"{host}:{port}"
        if answer.startswith(JSON_ACK + "{"):
            answers.answer_by_address[address] = json.loads(answer.removeprefix(JSON_ACK))
        elif answer:
            answers.errors.append(f"{address}: {reason}: {answer}")
        else:
            answers.errors.append(f"{address}: no answer within {CALL_TIMEOUT_S:g} s")
    return answers


def parse_address_list(text: str) -> list[Address]:
    """Parse the value of --at; raise ConfigError if it is not a list of addresses."""
    if not text:
        expected = "host:port,host:port"
        message = f"--at: expected {expected} (or CLOVERKEEL_OPS)"
        raise ConfigError(message, key="--at", expected=expected)
    return [parse_address(part.strip(), f"--at: {part.strip()!r}") for part in text.split(",")]
