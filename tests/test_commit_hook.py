"""The commit-msg hook that ./test.sh installs: a title under 90 characters and a body are required."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

HOOK = Path(__file__).parent.parent / ".githooks" / "commit-msg"


@pytest.mark.parametrize(
    ("message", "code", "error"),
    [
        ("A title\n\nCause, change, result.\n", 0, ""),
        ("A" * 89 + "\n\nCause.\n", 0, ""),
        ("é" * 89 + "\n\nCause.\n", 0, ""),
        ("A" * 90 + "\n\nCause.\n", 1, "90 characters; expected under 90"),
        ("A title\n\n# a comment is no body\n", 1, "no body"),
        ("# a comment\n" + "A" * 95 + "\n\nCause.\n", 1, "95 characters"),
        ("Merge the journal of a run\n", 0, ""),
        ("Merge " + "a" * 90 + "\n", 1, "96 characters"),
    ],
)
def test_long_titles_and_missing_bodies_are_refused(tmp_path: Path, message: str, code: int, error: str) -> None:
    file = tmp_path / "message"
    file.write_text(message, encoding="utf-8")
    environment = {"PATH": "/usr/bin:/bin", "LC_ALL": "C.UTF-8"}
    completed = subprocess.run([str(HOOK), str(file)], capture_output=True, text=True, env=environment)
    assert completed.returncode == code and error in completed.stderr
