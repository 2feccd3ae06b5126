"""Tests of the quarantine of requests that crash runners.

They guard against a request that crashes each runner that begins to run it while its
callers retry it on any host. Each retry had an id of its own and hosts kept no record
of earlier ones, so one request was sent to 21 runners within 40 s, each with up to 33
other requests running. The cause is identified by the fingerprint of caller, path and
body in the log lines of failed attempts ("attempt failed ... peer closed connection ...
fingerprint"): one attempt of each crash has the same fingerprint, and no other
fingerprint is common to all crashes.
"""

import json
from contextlib import asynccontextmanager

from .bench import run_two_hosts, until
from .case import ScenarioCase
from .test_cli import run

CRASHING_PROMPT = "a label that no runner survives"

#: Crashes by one request after which no further runner may run it.
ALLOWED_CRASHES = 3


def crashing_runs(bench):
    """Return how often runners began to run the crashing prompt."""
    return sum(CRASHING_PROMPT in text for text in bench.ran())


class CrashingRequestCase(ScenarioCase):
    """Two hosts, four runners, and a request sent to the hosts in turn."""

    @asynccontextmanager
    async def two_hosts(self, bench):
        """Run the hosts; yield them once both see all runners and each other."""
        for index in range(4):
            bench.add_runner(f"lektor-{index}", deadly_text=CRASHING_PROMPT)
        async with run_two_hosts(bench) as hosts:
            yield hosts

    async def send_in_turn(self, bench, hosts, count):
        """Send the crashing prompt `count` times, each with all runners up."""
        responses = []
        for number in range(count):
            host = hosts[number % len(hosts)]
            responses.append(await host.complete(CRASHING_PROMPT))
            for each in hosts:
                await each.until_ready(*bench.runners)
        return responses


class FleetTest(CrashingRequestCase):
    def test_it_crashes_at_most_three_runners_over_all_hosts(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                responses = await self.send_in_turn(bench, (one, two), 8)
                other_response = await one.complete("a label like any other")
                return responses, other_response, crashing_runs(bench)

        responses, other_response, runs = self.run_scenario(scenario)
        self.assertLessEqual(runs, ALLOWED_CRASHES)
        self.assertEqual({502}, {response.status_code for response in responses})
        self.assertEqual(200, other_response.status_code)

    def test_host_that_is_asked_right_after_another_runs_it_at_no_reborn_runner(self):
        # The runners are up again before the second host has probed them.
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                for host in (one, two):
                    await host.complete(CRASHING_PROMPT)
                return crashing_runs(bench)

        self.assertLessEqual(self.run_scenario(scenario), ALLOWED_CRASHES)


class OperatorTest(CrashingRequestCase):
    """Operators can list quarantined requests and release them on all hosts."""

    def test_list_metrics_and_forget(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                responses = await self.send_in_turn(bench, (one, two), 5)
                self.assertEqual(
                    "ends_upstreams", responses[-1].json()["error"]["code"]
                )
                admins = [f"http://{host.addresses.admin}" for host in (one, two)]
                listed = await run("suspects", "--json", "--admin", admins[1])
                (row,) = json.loads(listed[1])
                self.assertEqual(("stopped", 3), (row["state"], row["ends_count"]))
                metrics = (await one.client.get(f"{admins[0]}/metrics")).text
                self.assertIn('rampwick_suspects{state="stopped"} 1.0', metrics)
                arguments = ("suspects", "--forget", row["fingerprint"])
                self.assertEqual(0, (await run(*arguments, "--admin", admins[0]))[0])
                book = two.daemon.scheduler.quarantine.tracker
                await until(lambda: not len(book))
                second_release = await run(*arguments, "--admin", admins[0])
                unknown_release = await run(
                    "suspects", "--forget", "x", "--admin", admins[0]
                )
                self.assertEqual((2, 2), (second_release[0], unknown_release[0]))
                self.assertIn("nothing is held", second_release[2])

        self.run_scenario(scenario)
