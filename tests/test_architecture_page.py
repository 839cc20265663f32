"""docs/architecture.md names modules, classes and methods that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
CODE_NAME = re.compile(r"`([A-Z][A-Za-z]+(?:\.[a-z_]+)?)`")  # a class, or a class and its method
MODULE_NAME = re.compile(r"`((?:[a-z0-9_]+/)*[a-z0-9_]+\.(?:py|md|toml))`")
NOT_CODE_NAMES = {"DEFECT"}  # marks a log line


def names_by_class() -> dict[str, set[str]]:
    """Return the methods that each class of the product defines, by class name."""
    names: dict[str, set[str]] = {}
    for path in (ROOT / "cloverkeel").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                defined = names.setdefault(node.name, set())
                defined |= {
                    item.name for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)
                }
    return names


@pytest.mark.parametrize("name", sorted(set(CODE_NAME.findall(PAGE)) - NOT_CODE_NAMES))
def test_class_or_method_exists(name: str) -> None:
    class_name, _, member = name.partition(".")
    defined = names_by_class()
    assert class_name in defined
    assert not member or member in defined[class_name]


@pytest.mark.parametrize("name", sorted(set(MODULE_NAME.findall(PAGE))))
def test_module_exists(name: str) -> None:
    folders = (ROOT, ROOT / "docs", ROOT / "cloverkeel", *(ROOT / "cloverkeel").rglob("*/"))
    assert any((folder / name).is_file() for folder in folders)
