"""Call gateways at their admin addresses, for the operators' commands."""

from __future__ import annotations

import json
import socket
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

from cloverkeel.core.config import Address, ConfigError, parse_address

CALL_TIMEOUT_S: Final = 1.0  # for a gateway to answer
MAX_ANSWER_BYTES: Final = 1_000_000
READ_BYTES: Final = 65_536
JSON_ACK: Final = "ACK "


class GatewayAnswers(NamedTuple):
    """What several gateways answered to one line."""

    answer_by_address: dict[str, Any]
    errors: list[str]  # a line each


def call(address: Address, line: str) -> str:
    """Return the answer to a line; "" where nobody answers in time."""
    try:
        with socket.create_connection(address, CALL_TIMEOUT_S) as connection:
            connection.sendall(line.encode() + b"\n")
            return _read_answer(connection).decode(errors="replace").strip()
    except OSError:
        return ""


def _read_answer(connection: socket.socket) -> bytes:
    """Return what is sent up to the end of a line, or of the connection."""
    answer = b""
    while not answer.endswith(b"\n") and len(answer) < MAX_ANSWER_BYTES:
        chunk = connection.recv(READ_BYTES)
        if not chunk:
            break
        answer += chunk
    return answer


def call_gateways(addresses: Sequence[Address], line: str, reason: str) -> GatewayAnswers:
    """Call each gateway with this line, and read the JSON object that its ACK holds.

    `reason`: what a gateway that refuses the line lacks.
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
    """Return the addresses of the option --at; raise ConfigError for what is no list of addresses."""
    if not text:
        expected = "host:port,host:port"
        message = f"--at: expected {expected} (or CLOVERKEEL_OPS)"
        raise ConfigError(message, key="--at", expected=expected)
    return [parse_address(part.strip(), f"--at: {part.strip()!r}") for part in text.split(",")]
