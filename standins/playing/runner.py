"""Run a scenario in the environment that its membership needs, in a temporary folder."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path

from standins.playing.zookeeper_environment import ZooKeeperEnvironment
from standins.playing.environment import Environment
from standins.playing.scenario import Scenario


async def run_scenario(
    scenario: Scenario,
    seed: int,
    seconds: float | None = None,
    on_environment: Callable[[Environment], None] | None = None,
) -> Environment:
    """Run a scenario and return its environment, which holds the event log.

    The temporary folder of the run is removed. `on_environment` is called before the run starts.
    """
    environment_type: type[Environment] = Environment
    if scenario.membership == "ephemeral":
        environment_type = ZooKeeperEnvironment
    with tempfile.TemporaryDirectory(prefix="cloverkeel-try-") as folder:
        environment = environment_type(scenario, seed, seconds or scenario.seconds, Path(folder))
        if on_environment is not None:
            on_environment(environment)
        await environment.run()
        return environment
