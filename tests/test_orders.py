"""Orders to runners: one fenced controller, at most two loads, enough capacity."""

from unittest import mock

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_platform import LeaseStore, WeightsStore
from rampwick_policy import LeaseWatcher, OrderResult, RunnerState, plan_orders
from rampwick_schema import WeightsTarget
from rampwick_standin import PlatformFaults

from .bench import until
from .case import ScenarioCase
from .fakes import FakeApi

TARGET = [WeightsTarget("lektor", 2)]


def runner(name, version=1, serving=True, loading=False, running=0):
    return RunnerState(name, "lektor", version, serving, loading, running)


class PlanTest(TestCase):
    def test_least_loaded_runners_go_first_two_at_a_time(self):
        runners = [runner(f"r{number}", running=number) for number in range(5)]
        planned = plan_orders(runners, TARGET, 7)
        self.assertEqual(["r0", "r1"], [item.runner for item in planned])
        self.assertEqual({7}, {item.order.fencing_number for item in planned})

    def test_a_single_runner_is_updated(self):
        self.assertEqual(1, len(plan_orders([runner("r")], TARGET, 1)))

    def test_half_of_the_runners_keep_serving(self):
        runners = [runner("a"), runner("b"), runner("c", serving=False)]
        self.assertEqual([], plan_orders(runners[:1] + runners[2:], TARGET, 1)[1:])

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(1, 2), st.booleans(), st.booleans()), max_size=8)
    )
    def test_never_more_than_two_loads(self, states):
        runners = [
            runner(f"r{at}", version, serving, loading)
            for at, (version, serving, loading) in enumerate(states)
        ]
        loading = sum(item.is_loading for item in runners)
        planned = plan_orders(runners, TARGET, 1)
        self.assertLessEqual(len(planned), max(0, 2 - loading))
        outdated = {item.name for item in runners if item.weights_version < 2}
        self.assertLessEqual({item.runner for item in planned}, outdated)

    def test_a_runner_at_its_target_gets_no_order(self):
        self.assertEqual([], plan_orders([runner("r", version=2)], TARGET, 1))


class LeaseTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_seconds = 0.0
        self.api = FakeApi()
        self.one = LeaseWatcher("one", 10.0)
        self.two = LeaseWatcher("two", 10.0)

    def try_acquire(self, watcher):
        store = LeaseStore(self.api, "leases/x")
        return anyio.run(store.try_acquire, watcher, lambda: self.now_seconds)

    def test_second_host_waits_for_the_lease_of_the_first(self):
        self.assertTrue(self.try_acquire(self.one))
        self.assertFalse(self.try_acquire(self.two))
        self.now_seconds = 9.0
        self.assertFalse(self.try_acquire(self.two))
        self.now_seconds = 10.0
        self.assertIsNone(self.one.fencing_number(self.now_seconds))
        self.assertTrue(self.try_acquire(self.two))

    def test_renewal_prevents_a_takeover(self):
        self.try_acquire(self.one)
        self.try_acquire(self.two)
        self.now_seconds = 8.0
        self.assertTrue(self.try_acquire(self.one))
        self.now_seconds = 12.0
        self.assertFalse(self.try_acquire(self.two))

    def test_fencing_numbers_increase_with_each_holder(self):
        self.try_acquire(self.one)
        first = self.one.fencing_number(self.now_seconds)
        self.try_acquire(self.two)
        self.now_seconds = 30.0
        self.try_acquire(self.two)
        self.assertGreater(self.two.fencing_number(self.now_seconds), first)

    def test_suspended_holder_has_lost_its_lease(self):
        self.try_acquire(self.one)
        self.try_acquire(self.two)
        self.now_seconds = 11.0
        self.try_acquire(self.two)
        # The first holder resumes and neither sends orders nor regains the lease.
        self.assertIsNone(self.one.fencing_number(self.now_seconds))
        self.assertFalse(self.try_acquire(self.one))

    def test_order_that_would_outlive_the_lease_is_not_sent(self):
        self.try_acquire(self.one)
        self.assertIsNotNone(self.one.fencing_number(8.0, needed_seconds=1.0))
        self.assertIsNone(self.one.fencing_number(9.5, needed_seconds=1.0))

    def test_lost_answer_of_an_effective_write_still_takes_the_lease(self):
        self.api.lose_answers = 1
        self.assertTrue(self.try_acquire(self.one))

    def test_a_race_of_two_hosts_has_one_winner(self):
        async def two_takes():
            store = LeaseStore(self.api, "leases/x")
            await store.try_acquire(self.two, lambda: self.now_seconds)

        self.api.before_put = two_takes
        self.assertFalse(self.try_acquire(self.one))
        self.assertIsNotNone(self.two.fencing_number(0.0))
        self.assertIsNone(self.one.fencing_number(0.0))


STEWARD = "[steward]\nlease_seconds = 3.0\n"


class RolloutTest(ScenarioCase):
    def test_all_runners_reach_the_target_two_at_a_time(self):
        async def scenario(bench):
            names = [f"lektor-{number}" for number in range(4)]
            for name in names:
                bench.add_runner(name, load_seconds=0.2, checks_fencing=True)
            engines = [bench.runners[name].engine for name in names]
            max_loading = 0
            async with bench.run_host(extra=STEWARD) as host:
                await host.until_ready(*names)
                async with bench.open_api() as api:
                    await WeightsStore(api).set_target(TARGET[0])
                while any(engine.weights_version < 2 for engine in engines):
                    loading = [engine.role == "loading" for engine in engines]
                    max_loading = max(max_loading, sum(loading))
                    await anyio.sleep(0.005)
                saw = await host.stream("after the rollout")
            return max_loading, saw, [engine.loads_count for engine in engines]

        max_loading, saw, loads = self.run_scenario(scenario)
        self.assertLessEqual(max_loading, 2)
        self.assertTrue(saw.is_whole)
        self.assertEqual([1, 1, 1, 1], loads)

    def test_host_cut_off_from_the_platform_stops_ordering(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            extra = "[steward]\nlease_seconds = 1.5\n"
            async with bench.run_host(extra=extra) as host:
                await host.until_ready("lektor-1")
                await until(lambda: host.daemon.rollout_controller.is_holder)
                bench.platform.set_faults(PlatformFaults(is_down=True))
                await until(lambda: not host.daemon.rollout_controller.is_holder)
                return bench.runners["lektor-1"].engine.orders

        self.assertEqual([], self.run_scenario(scenario))

    def test_order_of_an_old_holder_is_refused_by_a_runner_with_fencing(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", checks_fencing=True)
            async with bench.run_host(extra=STEWARD) as host:
                await host.until_ready("lektor-1")
                runner.engine.fencing_number = 1_000_000
                async with bench.open_api() as api:
                    await WeightsStore(api).set_target(TARGET[0])
                client = host.daemon.rollout_controller._control
                results = []

                async def send_order(entry, order):
                    results.append(await send(entry, order))
                    return results[-1]

                send = client.send_order
                with mock.patch.object(client, "send_order", send_order):
                    await until(lambda: results)
                return results[0], runner.engine.weights_version

        self.assertEqual((OrderResult.FENCED, 1), self.run_scenario(scenario))
