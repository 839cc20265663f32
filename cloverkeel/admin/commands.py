"""The codec of operators' commands: a line of bytes in, a command out, and the line of its answer. Pure.

One line to a connection, one line back, which begins with ACK or NAK and goes on with a few words for a person. Two
words of the line differ from the code's: SUSPEND is Command.EJECT, RESTORE is Command.REINSTATE.

Invariants:
- whatever the bytes are, there is a command or a CommandError, never another error;
- an answer is one line, whatever the command held.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.admin.errors import CommandError

MAX_LINE_BYTES: Final = 512  # before the end of the line: a word and an id, with some to spare
MAX_ID_BYTES: Final = 256


class Command(Enum):
    """Name what is asked for; the values are the words of the line."""

    STATUS = b"STATUS"  # does this process accept clients?
    EJECT = b"SUSPEND"  # take a host out of use
    REINSTATE = b"RESTORE"  # bring it back
    PAUSE = b"PAUSE"  # drain the gateway
    RESUME = b"RESUME"  # accept clients again

    @property
    def word(self) -> str:
        """The word as text."""
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
    """One command, and the host that it is about where it is about one."""

    command: Command
    host_id: str = ""


@dataclass(slots=True, frozen=True)
class AdminAnswer:
    """The answer to one command: ACK or NAK, and words for a person."""

    is_ack: bool
    text: str


def parse_request(line: bytes) -> AdminRequest:
    """Return the command of one line, with or without its end; raise CommandError where there is none."""
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
    """Return the line of an answer."""
    text = "".join(character if character.isprintable() else "?" for character in answer.text)
    status = "ACK" if answer.is_ack else "NAK"
    return f"{status} {text}".rstrip().encode() + b"\n"
