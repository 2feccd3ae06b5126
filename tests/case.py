"""Base of tests that run a scenario on a bench."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import testtools

from .bench import Bench, run_bench

#: A whole scenario that takes longer than this is stuck.
SCENARIO_SECONDS = 60.0


class ScenarioCase(testtools.TestCase):
    """Runs one coroutine on a fresh bench and returns what it returns."""

    def run_scenario(self, scenario: Callable[[Bench], Awaitable[Any]]) -> Any:
        """Run a scenario to its end."""

        async def run() -> Any:
            with anyio.fail_after(SCENARIO_SECONDS):
                async with run_bench() as bench:
                    return await scenario(bench)

        return anyio.run(run)

    def assert_holds(self, violations: list[str]) -> None:
        """Fail with the violations that a checker found."""
        self.assertEqual([], violations)
