"""Fixtures of the tests of discovery."""

from __future__ import annotations

from collections.abc import Iterator

import pytest


from tests.discovery.coordination import Service


@pytest.fixture
def service() -> Iterator[Service]:
    made = Service()
    try:
        yield made
    finally:
        made.close()
