"""Command lines and answer lines of the admin address: any input bytes give a command or a CommandError."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.admin.commands import (
    MAX_ID_BYTES,
    MAX_LINE_BYTES,
    AdminAnswer,
    AdminRequest,
    Command,
    encode_answer,
    parse_request,
)
from cloverkeel.admin.errors import CommandError


@pytest.mark.parametrize(
    ("line", "request_"),
    [
        (b"STATUS", AdminRequest(Command.STATUS)),
        (b"STATUS\r\n", AdminRequest(Command.STATUS)),
        (b"PAUSE\n", AdminRequest(Command.PAUSE)),
        (b"RESUME", AdminRequest(Command.RESUME)),
        (b"SUSPEND s-5be2a07c\n", AdminRequest(Command.EJECT, "s-5be2a07c")),
        ("RESTORE hōst".encode(), AdminRequest(Command.REINSTATE, "hōst")),
    ],
)
def test_a_command_is_parsed(line: bytes, request_: AdminRequest) -> None:
    assert parse_request(line) == request_


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"", "empty line"),
        (b"\r\n", "empty line"),
        (b"status", "in capitals"),
        (b" STATUS", "unknown call"),
        (b"DANCE", "expected one of STATUS, SUSPEND"),
        (b"STATUS now", "no argument"),
        (b"STATUS ", "no argument"),
        (b"SUSPEND", "one id"),
        (b"SUSPEND ", "one id"),
        (b"SUSPEND a b", "one id"),
        (b"SUSPEND  a", "one id"),
        (b"SUSPEND \xff\xfe", "no text"),
        (b"SUSPEND a\x00b", "no text"),
        (b"SUSPEND " + b"a" * (MAX_ID_BYTES + 1), "longer"),
        (b"S" * (MAX_LINE_BYTES + 1), "longer"),
    ],
)
def test_an_invalid_line_is_an_error_with_a_reason(line: bytes, reason: str) -> None:
    with pytest.raises(CommandError, match=reason):
        parse_request(line)


@given(st.binary(max_size=700))
def test_any_bytes_give_a_command_or_an_error(line: bytes) -> None:
    try:
        parsed = parse_request(line)
    except CommandError as error:
        answer = encode_answer(AdminAnswer(False, str(error)))
    else:
        assert parsed.command.value in line and parsed.host_id.encode() in line
        answer = encode_answer(AdminAnswer(True, parsed.host_id))
    assert answer.count(b"\n") == 1 and answer.endswith(b"\n")


@given(st.booleans(), st.text())
def test_an_answer_is_one_line_of_text(is_ack: bool, text: str) -> None:
    answer = encode_answer(AdminAnswer(is_ack, text))
    assert answer.startswith(b"ACK" if is_ack else b"NAK")
    assert len(answer.decode().splitlines()) == 1 and answer.endswith(b"\n")
