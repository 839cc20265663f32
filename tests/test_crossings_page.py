"""docs/crossings.md names tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "crossings.md").read_text()
TEST_NAME = re.compile(r"`([a-z0-9_/]+)::([a-z0-9_]+)`")


@pytest.mark.parametrize(("module", "name"), sorted(set(TEST_NAME.findall(PAGE))))
def test_named_test_exists(module: str, name: str) -> None:
    folder, _, stem = module.rpartition("/")
    source = ROOT / "tests" / folder / f"test_{stem}.py"
    assert f"def test_{name}(" in source.read_text()
