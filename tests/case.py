"""Base class of tests that run a scenario on a bench."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import testtools

from .bench import Bench, run_bench

#: Time-out of one scenario.
SCENARIO_TIMEOUT_SECONDS = 60.0


class ScenarioCase(testtools.TestCase):
    """Runs coroutines, each on a new bench."""

    def run_scenario(self, scenario: Callable[[Bench], Awaitable[Any]]) -> Any:
        """Run a scenario and return its result."""

        async def run() -> Any:
            with anyio.fail_after(SCENARIO_TIMEOUT_SECONDS):
                async with run_bench() as bench:
                    return await scenario(bench)

        return anyio.run(run)

    def assert_holds(self, violations: list[str]) -> None:
        """Fail if a checker found violations."""
        self.assertEqual([], violations)
