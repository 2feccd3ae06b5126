"""Requests that come before the configuration is confirmed wait for one look at it."""

import random
from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_platform import Listing, PlatformUnavailableError, StoredObject
from rampwick_policy import Access, ConfigurationFollower, Scheduler, Verdict
from rampwick_router import CallerError
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._configuration import ConfigurationTask
from rampwick_router.control._configuration_sources import WatchedTreeSource
from rampwick_router.entry._routed_entry import RoutedEntry
from rampwick_schema import Node, Tree, parse_settings

SETTINGS = parse_settings('[host]\nname = "h"\nhall = "x"\n', source="t")


class SlowApi:
    """A store whose answers wait for the test."""

    def __init__(self):
        self.calls_count = 0
        self.may_answer = anyio.Event()
        self.is_up = True

    async def list_objects(self, prefix, after_key=""):
        self.calls_count += 1
        await self.may_answer.wait()
        if not self.is_up:
            raise PlatformUnavailableError("down", step="list objects")
        return Listing(5, [StoredObject("config/main", 5, b"{}")])


class Reader:
    configuration_prefix = "config/"

    def read_tree(self, state):
        return Tree(3, {"/": Node()})


class LookAgainTest(TestCase):
    """Symptom: of the first requests at hosts that came back all but one were refused.

    Sequence: a peer told the configuration and not how old it is; a dozen requests
    asked for a look at the store at once; the first read, the others were told that
    the last look was a moment ago, and nothing was confirmed yet.
    """

    def look(self, scenario):
        async def main():
            clock = SimpleNamespace(now=100.0)
            scheduler = SchedulerTask(Scheduler(SETTINGS), lambda: clock.now)
            task = ConfigurationTask(
                ConfigurationFollower(), scheduler, lambda: clock.now
            )
            api = SlowApi()
            source = WatchedTreeSource(
                api, Reader(), SETTINGS, lambda: False, lambda: clock.now, random
            )
            task.source = source
            source._task = task
            with anyio.fail_after(10.0):
                return await scenario(task, api, clock)

        return anyio.run(main)

    def test_all_that_ask_at_once_wait_for_one_look(self):
        async def scenario(task, api, clock):
            ages = []

            async def ask():
                await task.refresh()
                ages.append(task.age_seconds(clock.now))

            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(ask)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual([], ages)
                api.may_answer.set()
            return ages, api.calls_count

        ages, calls_count = self.look(scenario)
        self.assertEqual([0.0] * 10, ages)
        self.assertEqual(1, calls_count)

    def test_where_the_first_goes_away_the_next_one_looks(self):
        async def scenario(task, api, clock):
            async with anyio.create_task_group() as tasks:
                first = anyio.CancelScope()

                async def ask_and_leave():
                    with first:
                        await task.refresh()

                tasks.start_soon(ask_and_leave)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(task.refresh)
                await anyio.wait_all_tasks_blocked()
                first.cancel()
                await anyio.wait_all_tasks_blocked()
                api.may_answer.set()
            return task.age_seconds(clock.now), api.calls_count

        self.assertEqual((0.0, 2), self.look(scenario))

    def test_while_the_store_is_away_looks_become_rare(self):
        """Ten requests a second ask for a look through five seconds of outage."""

        async def scenario(task, api, clock):
            api.is_up = False
            api.may_answer.set()
            for _ in range(50):
                clock.now += 0.1
                await task.refresh()
            failed_count = api.calls_count
            api.is_up = True
            clock.now += 1.6
            await task.refresh()
            self.assertEqual(0.0, task.age_seconds(clock.now))
            clock.now += 0.2
            await task.refresh()
            return failed_count, api.calls_count - failed_count

        failed_count, after_count = self.look(scenario)
        self.assertLessEqual(failed_count, 6)
        # Once it answers, looks are as near to each other as before.
        self.assertEqual(2, after_count)

    def test_a_store_that_is_away_for_long_is_looked_for_all_the_while(self):
        """Symptom: after 1,024 looks that failed, each request broke with an overflow.

        Half an hour of outage does that; the pause was two to the power of the looks.
        """

        async def scenario(task, api, clock):
            api.is_up = False
            api.may_answer.set()
            for _ in range(1100):
                clock.now += 2.0
                await task.refresh()
            return api.calls_count

        self.assertEqual(1100, self.look(scenario))

    def test_a_store_that_is_away_is_not_asked_by_each(self):
        async def scenario(task, api, clock):
            api.is_up = False
            api.may_answer.set()
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(task.refresh)
            return api.calls_count, task.problem

        calls_count, problem = self.look(scenario)
        self.assertEqual(1, calls_count)
        self.assertIn("down", problem)


class BeforeAnyConfigurationTest(TestCase):
    """What comes before a host knows any configuration has it looked for, too."""

    def check(self, verdict, after):
        """Return the verdict that counts, and how often the source was asked."""
        found = SimpleNamespace(verdict=verdict, looks_count=0)

        async def refresh():
            found.looks_count += 1
            found.verdict = after

        parts = SimpleNamespace(
            configuration=SimpleNamespace(refresh=refresh),
            check_access=lambda call: Access(found.verdict),
        )
        entry = RoutedEntry(parts)
        try:
            anyio.run(entry._check, None, b"", 0.0)
        except CallerError as error:
            return error.code, found.looks_count
        raise AssertionError("no verdict")

    def test_it_is_looked_for_once(self):
        unknown = Verdict.UNKNOWN_ROUTE
        self.assertEqual(
            ("unknown_route", 1), self.check(Verdict.NO_CONFIGURATION, unknown)
        )
        self.assertEqual(("unknown_route", 1), self.check(Verdict.STALE, unknown))

    def test_where_none_is_found_it_is_told(self):
        none = Verdict.NO_CONFIGURATION
        self.assertEqual(("no_configuration", 1), self.check(none, none))

    def test_what_is_known_to_be_wrong_is_not_looked_for(self):
        unknown = Verdict.UNKNOWN_KEY
        self.assertEqual(("unknown_key", 0), self.check(unknown, unknown))
