"""Run commands that query gateways, with scripted answers instead of connections."""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable, Iterator, Sequence
from typing import Final
from unittest import mock

AT: Final = "127.0.0.1:7001,127.0.0.1:7002"

AnswersByLine = dict[str, Sequence[str]]
Command = Callable[[Sequence[str]], int]


class ScriptedGateways:
    """Replacement for calls to admin addresses; records the sent lines."""

    def __init__(self, answers_by_line: AnswersByLine) -> None:
        self.answers_by_line = {line: iter(answers) for line, answers in answers_by_line.items()}
        self.sent: list[str] = []

    def call(self, address: tuple[str, int], line: str) -> str:
        """Return the next scripted answer to a line."""
        self.sent.append(f"{address[0]}:{address[1]} {line}")
        return next(self.answers_by_line[line])


@contextlib.contextmanager
def replaced(targets: Sequence[str], replacement: object) -> Iterator[None]:
    """Replace each target (full dotted name) by `replacement`."""
    with contextlib.ExitStack() as stack:
        for target in targets:
            stack.enter_context(mock.patch(target, replacement))
        yield


def output_of(
    command: Command, arguments: Sequence[str], answers_by_line: AnswersByLine, targets: Sequence[str]
) -> bytes:
    """Return the lines that a command sends, its output and its exit code."""
    gateways = ScriptedGateways(answers_by_line)
    output = io.StringIO()
    with replaced(targets, gateways.call), contextlib.redirect_stdout(output):
        exit_code = command([*arguments, "--at", AT])
    sent = "".join(f"sent: {line}\n" for line in gateways.sent)
    return f"{sent}{output.getvalue()}exit code: {exit_code}\n".encode()
