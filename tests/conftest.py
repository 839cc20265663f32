"""One suite for both builds of the decisions: --build says which must be running. --without takes guards out.

--shuffle draws the order of tests from a seed. A test marked `alone` wants the machine to itself: ./test.sh runs
those at the end, one after another.
"""

from __future__ import annotations

import random
import sys

import pytest
from hypothesis import settings

from cloverkeel.balancing import BUILD

# Examples are drawn from the test's own text, and no database carries one run's finds into the next: the same verdict
# every time. What wants more seeds is a command under benchmarks/.
settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--build", choices=("plain", "compiled"), help="fail unless this build of the decisions runs")
    parser.addoption("--without", metavar="NAME+NAME", help="take these guards out (benchmarks.guards --list)")
    parser.addoption("--shuffle", metavar="SEED", help="run the tests in an order drawn from this")


def pytest_configure(config: pytest.Config) -> None:
    without = config.getoption("--without")
    if without:
        from benchmarks.guards.mutated_gateway import apply_mutants

        apply_mutants(without.split("+"))
        from tests import sockets  # after that: it brings the gateway along

        sockets.TEST_TIMEOUT_S = 8.0  # what is waited for may never come now
        sockets.GATEWAY_COMMAND = (sys.executable, "-m", "benchmarks.guards.mutated_gateway", without)
    wanted = config.getoption("--build")
    if wanted and not BUILD.startswith(wanted):
        raise pytest.UsageError(f"--build {wanted}: the decisions are {BUILD}")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    seed = config.getoption("--shuffle")
    if seed:
        random.Random(seed).shuffle(items)
