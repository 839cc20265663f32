"""Lines of staff: whatever the bytes, a call or a reason."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.admin.commands import ID_LIMIT, LINE_LIMIT, CallError, OpsCall, Word, answer, parse_line


@pytest.mark.parametrize(
    ("line", "call"),
    [
        (b"STATUS", OpsCall(Word.STATUS)),
        (b"STATUS\r\n", OpsCall(Word.STATUS)),
        (b"PAUSE\n", OpsCall(Word.PAUSE)),
        (b"RESUME", OpsCall(Word.RESUME)),
        (b"SUSPEND s-5be2a07c\n", OpsCall(Word.SUSPEND, "s-5be2a07c")),
        ("RESTORE hōst".encode(), OpsCall(Word.RESTORE, "hōst")),
    ],
)
def test_calls(line: bytes, call: OpsCall) -> None:
    assert parse_line(line) == call


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
        (b"SUSPEND " + b"a" * (ID_LIMIT + 1), "longer"),
        (b"S" * (LINE_LIMIT + 1), "longer"),
    ],
)
def test_reasons(line: bytes, reason: str) -> None:
    with pytest.raises(CallError, match=reason):
        parse_line(line)


@given(st.binary(max_size=700))
def test_any_bytes_give_a_call_or_a_reason(line: bytes) -> None:
    try:
        call = parse_line(line)
    except CallError as error:
        said = answer(False, str(error))
    else:
        assert call.word.value in line and call.id.encode() in line
        said = answer(True, call.id)
    assert said.count(b"\n") == 1 and said.endswith(b"\n")


@given(st.booleans(), st.text())
def test_an_answer_is_one_line_of_text(yes: bool, words: str) -> None:
    said = answer(yes, words)
    assert said.startswith(b"ACK" if yes else b"NAK")
    assert len(said.decode().splitlines()) == 1 and said.endswith(b"\n")
