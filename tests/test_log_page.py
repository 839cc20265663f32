"""docs/logs.md names every line that the program logs."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "logs.md").read_text()
MIN_EVENT_CHARS = 8  # a shorter text, such as that before a placeholder, does not identify a line


def logged_texts(source: str) -> Iterator[str]:
    """Yield the longest literal text, up to the `=` of a key, of each call of `log` with a string or an f-string."""
    for node in ast.walk(ast.parse(source)):
        if not (
            isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log" and node.args
        ):
            continue
        argument = node.args[0]
        parts = argument.values if isinstance(argument, ast.JoinedStr) else [argument]
        texts = [part.value for part in parts if isinstance(part, ast.Constant) and isinstance(part.value, str)]
        events = [text.partition("=")[0].rpartition(",")[0] or text.partition("\n")[0] for text in texts]
        longest = max(events, key=len, default="").strip()
        if len(longest) >= MIN_EVENT_CHARS:
            yield longest


def test_every_logged_event_is_on_the_page() -> None:
    missing = {
        f"{path.relative_to(ROOT)}: {text}"
        for path in sorted((ROOT / "cloverkeel").rglob("*.py"))
        for text in logged_texts(path.read_text())
        if text not in PAGE
    }
    assert not missing
