"""Requests without a confirmed configuration wait for one refresh from the store."""

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
    """A store whose responses are delayed by the test."""

    def __init__(self):
        self.calls_count = 0
        self.may_respond = anyio.Event()
        self.is_up = True

    async def list_objects(self, prefix, after_key=""):
        self.calls_count += 1
        await self.may_respond.wait()
        if not self.is_up:
            raise PlatformUnavailableError("down", step="list objects")
        return Listing(5, [StoredObject("config/main", 5, b"{}")])


class Reader:
    configuration_prefix = "config/"

    def read_tree(self, state, on_problem):
        return Tree(3, {"/": Node()})


class RefreshTest(TestCase):
    """Concurrent requests share one refresh of the configuration.

    Guards against refusals of all but one of the first requests at restarted hosts: a
    peer sent the configuration without its age, and a dozen requests triggered a
    refresh at once. The first one read the store; for the others the refresh was
    skipped as too recent, although it had not confirmed anything yet.
    """

    def run_scenario(self, scenario):
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
            with anyio.fail_after(10.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(source.run, task)
                    result = await scenario(task, api, clock)
                    tasks.cancel_scope.cancel()
            return result

        return anyio.run(main)

    def test_concurrent_requests_wait_for_one_refresh(self):
        async def scenario(task, api, clock):
            ages = []

            async def refresh():
                await task.refresh()
                ages.append(task.age_seconds(clock.now))

            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(refresh)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual([], ages)
                api.may_respond.set()
            return ages, api.calls_count

        ages, calls_count = self.run_scenario(scenario)
        self.assertEqual([0.0] * 10, ages)
        self.assertEqual(1, calls_count)

    def test_next_request_shares_the_refresh_of_one_that_was_cancelled(self):
        async def scenario(task, api, clock):
            async with anyio.create_task_group() as tasks:
                first = anyio.CancelScope()

                async def refresh_until_cancelled():
                    with first:
                        await task.refresh()

                tasks.start_soon(refresh_until_cancelled)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(task.refresh)
                await anyio.wait_all_tasks_blocked()
                first.cancel()
                await anyio.wait_all_tasks_blocked()
                api.may_respond.set()
            return task.age_seconds(clock.now), api.calls_count

        self.assertEqual((0.0, 1), self.run_scenario(scenario))

    def test_refreshes_back_off_while_the_store_is_down(self):
        """Ten requests a second trigger refreshes during an outage of five seconds."""

        async def scenario(task, api, clock):
            api.is_up = False
            api.may_respond.set()
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

        failed_count, after_count = self.run_scenario(scenario)
        self.assertLessEqual(failed_count, 6)
        # After the store has recovered, the back-off is reset.
        self.assertEqual(2, after_count)

    def test_refreshes_continue_during_a_long_outage(self):
        """Guards against an overflow after 1,024 failed refreshes.

        The back-off was two to the power of the number of failures, so that after half
        an hour of outage every request failed.
        """

        async def scenario(task, api, clock):
            api.is_up = False
            api.may_respond.set()
            for _ in range(1100):
                clock.now += 2.0
                await task.refresh()
            return api.calls_count

        self.assertEqual(1100, self.run_scenario(scenario))

    def test_concurrent_requests_share_one_failed_refresh(self):
        async def scenario(task, api, clock):
            api.is_up = False
            api.may_respond.set()
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(task.refresh)
            return api.calls_count, task.problem

        calls_count, problem = self.run_scenario(scenario)
        self.assertEqual(1, calls_count)
        self.assertIn("down", problem)


class RefreshOnRequestTest(TestCase):
    """A request without a usable configuration triggers one refresh."""

    def check(self, verdict, after):
        """Return the final verdict and the number of refreshes."""
        state = SimpleNamespace(verdict=verdict, refreshes_count=0)

        async def refresh():
            state.refreshes_count += 1
            state.verdict = after

        context = SimpleNamespace(
            configuration=SimpleNamespace(refresh=refresh),
            check_access=lambda call: Access(state.verdict),
        )
        entry = RoutedEntry(context)
        try:
            anyio.run(entry._check, None, b"", 0.0)
        except CallerError as error:
            return error.code, state.refreshes_count
        raise AssertionError("no verdict")

    def test_missing_or_stale_configuration_is_refreshed_once(self):
        unknown = Verdict.UNKNOWN_ROUTE
        self.assertEqual(
            ("unknown_route", 1), self.check(Verdict.NO_CONFIGURATION, unknown)
        )
        self.assertEqual(("unknown_route", 1), self.check(Verdict.STALE, unknown))

    def test_missing_configuration_after_the_refresh_is_reported(self):
        none = Verdict.NO_CONFIGURATION
        self.assertEqual(("no_configuration", 1), self.check(none, none))

    def test_unknown_key_triggers_no_refresh(self):
        unknown = Verdict.UNKNOWN_KEY
        self.assertEqual(("unknown_key", 0), self.check(unknown, unknown))
