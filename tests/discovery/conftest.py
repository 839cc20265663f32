"""Fixtures for the discovery tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest


from tests.discovery.coordination import Service


@pytest.fixture
def service() -> Iterator[Service]:
    created = Service()
    try:
        yield created
    finally:
        created.close()
