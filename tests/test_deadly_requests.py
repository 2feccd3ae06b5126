"""A request under which runners end is kept from the others.

One request crashed each runner that began to run it, and its callers asked for it again
and again, at any host. Each try came under an id of its own and no host remembered the
one before, so that within forty seconds one request was sent to 21 runners, each with
up to 33 others aboard. What settled it: the fingerprint of caller, path and body, which
the lines of failed attempts name ("attempt failed ... peer closed connection ...
fingerprint"), is the same in one attempt of each end, and no other's is.
"""

import json
from contextlib import asynccontextmanager

from .bench import run_two_hosts, until
from .case import ScenarioCase
from .test_cli import run

DEADLY = "a label that no runner survives"

#: Ends of runners under one request after which no further one may take it.
ALLOWED_ENDS = 3


def deadly_runs(bench):
    """Return how often runners began to run what ends them."""
    return sum(DEADLY in text for text in bench.ran())


class DeadlyCase(ScenarioCase):
    """Two hosts before four runners, and a request that comes to either in turn."""

    @asynccontextmanager
    async def two_hosts(self, bench):
        """Run the hosts; yield them once both know all runners and each other."""
        for index in range(4):
            bench.add_runner(f"lektor-{index}", deadly_text=DEADLY)
        async with run_two_hosts(bench) as hosts:
            yield hosts

    async def ask_in_turn(self, bench, hosts, count):
        """Ask for the deadly prompt again and again, with all runners up."""
        answers = []
        for number in range(count):
            host = hosts[number % len(hosts)]
            answers.append(await host.complete(DEADLY))
            for each in hosts:
                await each.until_ready(*bench.runners)
        return answers


class FleetTest(DeadlyCase):
    def test_it_ends_three_runners_and_no_more_whoever_asks_for_it(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                answers = await self.ask_in_turn(bench, (one, two), 8)
                other = await one.complete("a label like any other")
                return answers, other, deadly_runs(bench)

        answers, other, runs = self.run_scenario(scenario)
        self.assertLessEqual(runs, ALLOWED_ENDS)
        self.assertEqual({502}, {answer.status_code for answer in answers})
        self.assertEqual(200, other.status_code)


class OperatorTest(DeadlyCase):
    """An operator sees what is stopped, why, and can let it go everywhere."""

    def test_list_metrics_and_forget(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                answers = await self.ask_in_turn(bench, (one, two), 5)
                self.assertEqual("ends_upstreams", answers[-1].json()["error"]["code"])
                admins = [f"http://{host.addresses.admin}" for host in (one, two)]
                listed = await run("suspects", "--json", "--admin", admins[1])
                (row,) = json.loads(listed[1])
                self.assertEqual(("stopped", 3), (row["state"], row["ends_count"]))
                metrics = (await one.client.get(f"{admins[0]}/metrics")).text
                self.assertIn('rampwick_suspects{state="stopped"} 1.0', metrics)
                words = ("suspects", "--forget", row["fingerprint"])
                self.assertEqual(0, (await run(*words, "--admin", admins[0]))[0])
                book = two.daemon.scheduler.quarantine.tracker
                await until(lambda: not len(book))
                again = await run(*words, "--admin", admins[0])
                wrong = await run("suspects", "--forget", "x", "--admin", admins[0])
                self.assertEqual((2, 2), (again[0], wrong[0]))
                self.assertIn("nothing is held", again[2])

        self.run_scenario(scenario)
