"""Calls of staff: a line of bytes in, what is asked for out, and the words of the answer. Pure.

One line to a connection, one line back, which begins with ACK or NAK and goes on with a few words for a person.

Invariants:
- whatever the bytes are, there is a call or a reason, never an error of the program;
- an answer is one line, whatever the call held.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

LINE_LIMIT: Final = 512  # bytes before the end of the line: a word and an id, with room to spare
ID_LIMIT: Final = 256  # bytes of an id


class Word(Enum):
    STATUS = b"STATUS"  # does this process take clients?
    SUSPEND = b"SUSPEND"  # leave a host out
    RESTORE = b"RESTORE"  # put it back
    PAUSE = b"PAUSE"  # empty the gateway
    RESUME = b"RESUME"  # take clients again


WITH_ID: Final = frozenset({Word.SUSPEND, Word.RESTORE})
KNOWN: Final = ", ".join(word.value.decode() for word in Word)


class CallError(ValueError):
    """No call that can be carried out; the message says what was expected."""


@dataclass(slots=True, frozen=True)
class OpsCall:
    word: Word
    id: str = ""


def parse_line(line: bytes) -> OpsCall:
    """One line, with or without its end."""
    if len(line.rstrip(b"\r\n")) > LINE_LIMIT:
        raise CallError(f"the line is longer than {LINE_LIMIT} bytes")
    if not line.strip(b"\r\n"):
        raise CallError(f"an empty line; expected one of {KNOWN}")
    parts = line.strip(b"\r\n").split(b" ")
    try:
        word = Word(parts[0])
    except ValueError:
        raise CallError(f"unknown call; expected one of {KNOWN}, in capitals") from None
    arguments = parts[1:]
    if word not in WITH_ID:
        if arguments:
            raise CallError(f"{word.value.decode()} takes no argument")
        return OpsCall(word)
    if len(arguments) != 1 or not arguments[0]:
        raise CallError(f"expected {word.value.decode()} and one id, one space between them")
    if len(arguments[0]) > ID_LIMIT:
        raise CallError(f"the id is longer than {ID_LIMIT} bytes")
    try:
        id_ = arguments[0].decode()
    except UnicodeDecodeError:
        raise CallError("the id is no text") from None
    if not id_.isprintable():
        raise CallError("the id is no text")
    return OpsCall(word, id_)


def answer(yes: bool, words: str) -> bytes:
    """The line back."""
    said = "".join(c if c.isprintable() else "?" for c in words)
    return f"{'ACK' if yes else 'NAK'} {said}".rstrip().encode() + b"\n"
