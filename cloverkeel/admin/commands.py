"""Codec of operators' commands: parses command lines and encodes answer lines. No I/O.

Each connection carries one command line and one answer line: ACK or NAK, then a short human-readable text. Two
keywords differ from the names in the code: SUSPEND is Command.EJECT, RESTORE is Command.REINSTATE.

Invariants:
- any input bytes give a command or a CommandError, never another exception;
- an answer is always one line, whatever the command contained.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.admin.errors import CommandError

MAX_LINE_BYTES: Final = 512  # without the line ending; fits a keyword and an id of MAX_ID_BYTES with room to spare
MAX_ID_BYTES: Final = 256


class Command(Enum):
    """Commands; the values are their keywords on the line."""

    STATUS = b"STATUS"  # report whether this process accepts clients
    EJECT = b"SUSPEND"  # stop sending requests to a host
    REINSTATE = b"RESTORE"  # undo the ejection of a host
    PAUSE = b"PAUSE"  # drain the gateway
    RESUME = b"RESUME"  # accept clients again

    @property
    def word(self) -> str:
        """The keyword as text."""
        return self.value.decode()


COMMANDS_WITH_ID: Final = frozenset({Command.EJECT, Command.REINSTATE})
KNOWN_WORDS: Final = ", ".join(command.word for command in Command)
LINE_TOO_LONG: Final = f"the line is longer than {MAX_LINE_BYTES} bytes"
LINE_EMPTY: Final = f"an empty line; expected one of {KNOWN_WORDS}"
COMMAND_UNKNOWN: Final = f"unknown call; expected one of {KNOWN_WORDS}, in capitals"
ID_TOO_LONG: Final = f"the id is longer than {MAX_ID_BYTES} bytes"
ID_NOT_TEXT: Final = "the id is no text"


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """One parsed command."""

    command: Command
    host_id: str = ""  # "" for commands without a host


@dataclass(slots=True, frozen=True)
class AdminAnswer:
    """The answer to one command."""

    is_ack: bool  # False is sent as NAK
    text: str  # human-readable


def parse_request(line: bytes) -> AdminRequest:
    """Parse one line, with or without its line ending; raise CommandError if it is not a valid command."""
    if len(line.rstrip(b"\r\n")) > MAX_LINE_BYTES:
        raise CommandError(LINE_TOO_LONG)
    text = line.strip(b"\r\n")
    if not text:
        raise CommandError(LINE_EMPTY)
    word, *arguments = text.split(b" ")
    try:
        command = Command(word)
    except ValueError:
        raise CommandError(COMMAND_UNKNOWN) from None
    if command in COMMANDS_WITH_ID:
        return AdminRequest(command, _parse_id(command, arguments))
    if arguments:
        raise CommandError(message=f"{command.word} takes no argument")
    return AdminRequest(command)


def _parse_id(command: Command, arguments: list[bytes]) -> str:
    if len(arguments) != 1 or not arguments[0]:
        raise CommandError(message=f"expected {command.word} and one id, one space between them")
    (argument,) = arguments
    if len(argument) > MAX_ID_BYTES:
        raise CommandError(ID_TOO_LONG)
    try:
        host_id = argument.decode()
    except UnicodeDecodeError:
        raise CommandError(ID_NOT_TEXT) from None
    if not host_id.isprintable():
        raise CommandError(ID_NOT_TEXT)
    return host_id


def encode_answer(answer: AdminAnswer) -> bytes:
    """Return the answer line; non-printable characters are replaced by `?`."""
    text = "".join(character if character.isprintable() else "?" for character in answer.text)
    status = "ACK" if answer.is_ack else "NAK"
    return f"{status} {text}".rstrip().encode() + b"\n"
