"""A host whose event loop did not run says so, and whether it was busy."""

import time
from unittest import mock

import anyio

from rampwick_router import _scheduler_task

from .bench import until
from .case import ScenarioCase

BLOCKED_SECONDS = 0.5


class BlockedLoopTest(ScenarioCase):
    def test_blocked_event_loop_is_logged_with_the_processor_time(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            with mock.patch.object(_scheduler_task.loop_log, "problem") as problem:
                async with bench.run_host() as host, anyio.create_task_group() as tasks:
                    await host.until_ready("lektor-1")
                    tasks.start_soon(lambda: host.stream("p", max_tokens=2000))
                    await until(lambda: runner.engine.started)
                    time.sleep(BLOCKED_SECONDS)
                    await until(lambda: problem.called)
                    tasks.cancel_scope.cancel()
            return problem.call_args

        _, fields = self.run_scenario(scenario)
        self.assertGreaterEqual(
            fields["blocked_ms"], 1000 * _scheduler_task.BLOCKED_LOOP_SECONDS
        )
        self.assertLess(fields["processor_ms"], fields["blocked_ms"])
