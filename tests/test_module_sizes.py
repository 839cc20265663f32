"""Limits on the sizes of the product's modules and functions."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_MODULE_LINES = 300
MAX_FUNCTION_LINES = 40


def product_modules() -> Iterator[tuple[str, str]]:
    """Yield the path relative to the root, and the source, of each module of the product."""
    for path in sorted((ROOT / "cloverkeel").rglob("*.py")):
        name = path.relative_to(ROOT).as_posix()
        if "/_compiled/" not in name and "/." not in name:
            yield name, path.read_text()


def function_lengths(source: str) -> Iterator[tuple[str, int]]:
    """Yield the name and the number of lines of each function, from its first line to its last."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno is not None
            yield node.name, node.end_lineno - node.lineno + 1


@pytest.mark.parametrize(("name", "source"), [pytest.param(*module, id=module[0]) for module in product_modules()])
def test_module_and_its_functions_are_within_the_limits(name: str, source: str) -> None:
    assert len(source.splitlines()) <= MAX_MODULE_LINES
    too_long = {function: length for function, length in function_lengths(source) if length > MAX_FUNCTION_LINES}
    assert too_long == {}
