"""An upstream in need is sent what it says that it takes, by all hosts together.

Two of five runners named a limit of 1.8 and 1.4 requests a second in their answers; six
hosts went on sending 4.9 and 4.0 a second, 18 within 4 s where 16 and 13 were allowed.
"""

from contextlib import asynccontextmanager

import attrs

from .bench import until
from .case import ScenarioCase

#: Time within which requests are counted, and what may come beyond its share.
WINDOW_SECONDS = 4.0
OVER_RATIO = 1.5
SLACK_COUNT = 5


def most_in_window(times, window_seconds=WINDOW_SECONDS):
    """Return the most of these times that lie within any window."""
    return max(
        (sum(at <= other < at + window_seconds for other in times) for at in times),
        default=0,
    )


def allowed_count(rate):
    """Return the requests that may come within a window."""
    return OVER_RATIO * rate * WINDOW_SECONDS + SLACK_COUNT


class LimitedCase(ScenarioCase):
    """Two hosts before two runners, of which one names a rate from the start."""

    RATE = 0.5

    @asynccontextmanager
    async def two_hosts(self, bench):
        """Run the hosts; yield them once both know all runners and each other."""
        for index in range(2):
            bench.add_runner(f"lektor-{index}")
        self.limit(bench, self.RATE)
        async with (
            bench.run_host("entry-1") as one,
            bench.run_host("entry-2") as two,
        ):
            for host in (one, two):
                await host.until_ready(*bench.runners)
                await until(lambda host=host: host.daemon.scheduler.hosts_count == 2)
            yield one, two

    def limit(self, bench, rate):
        """Have the first runner name a rate, or none."""
        engine = bench.runners["lektor-0"].engine
        engine.faults = attrs.evolve(engine.faults, request_rate=rate)

    def begun(self, bench, name="lektor-0"):
        """Return when a runner began each request."""
        engine = bench.runners[name].engine
        return [stream.started_at_seconds for stream in engine.started]


class FleetTest(LimitedCase):
    def test_all_hosts_together_send_it_what_it_takes(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as hosts:
                # Both have an answer of the limited runner before anything counts.
                for number in range(100):
                    if all(host.knows_rate("lektor-0") for host in hosts):
                        break
                    await hosts[number % 2].complete(f"a first label {number}")
                known_count = len(self.begun(bench))
                answers = [
                    await hosts[number % 2].complete(f"label {number} of a sheet")
                    for number in range(160)
                ]
                return answers, self.begun(bench)[known_count:]

        answers, times = self.run_scenario(scenario)
        self.assertEqual({200}, {answer.status_code for answer in answers})
        self.assertLessEqual(most_in_window(times), allowed_count(self.RATE))
